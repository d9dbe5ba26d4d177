//! Outcome of a request, as reported to callers.

use std::fmt;

/// Name of the response header that carries an [`Outcome`].
pub const HEADER: &str = "lacewing-outcome";

/// What is known about the execution of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The request is guaranteed not to have run and never to run.
    NotRun,
    /// The request ran to its end.
    Completed,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the response header [`HEADER`].
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(base::outcome::Outcome::NotRun.as_str(), "not-run");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Completed => "completed",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
