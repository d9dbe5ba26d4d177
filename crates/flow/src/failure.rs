//! Failures of a single attempt at an upstream.
//!
//! Each failure tells whether the request can have run and whether the upstream is at fault.

use h1::client;
use ntex::http::StatusCode;
use thiserror::Error;

use crate::exchange::{Call, Exchange};

/// Reason why an attempt at an upstream gave no answer.
#[derive(Debug, Error)]
pub enum Failure {
    /// There was no connection, or it broke, or what it brought was no answer.
    #[error(transparent)]
    Client(#[from] client::Failure),
    /// The head of the answer did not arrive within the upstream timeout.
    #[error("the upstream did not begin its answer in time")]
    Timeout,
    /// The deadline of the request passed first; the upstream may be healthy.
    #[error("the deadline of the request passed")]
    DeadlineExceeded,
    /// The engine is saturated and did not start the request.
    #[error("the engine rejected the request with status {0}")]
    Rejected(StatusCode),
}

impl Failure {
    /// Returns true if the failure counts against the health of the upstream.
    #[must_use]
    pub fn is_upstream_fault(&self) -> bool {
        !matches!(self, Self::Rejected(_) | Self::DeadlineExceeded)
    }

    /// Returns true if the connection failed, which may mean that the upstream crashed.
    #[must_use]
    pub fn is_disconnect(&self) -> bool {
        matches!(self, Self::Client(_))
    }

    /// Returns true if the attempt loaded the upstream, so that a retry needs retry budget.
    #[must_use]
    pub fn needs_retry_budget(&self) -> bool {
        matches!(self, Self::Rejected(_)) || !self.proves_not_run()
    }

    /// Returns true if the request certainly did not run.
    ///
    /// A connection that closes without an answer proves nothing, since the request was already
    /// written to it.
    ///
    /// # Examples
    ///
    /// ```
    /// use flow::failure::Failure;
    /// let refused = std::io::Error::from(std::io::ErrorKind::ConnectionRefused);
    /// assert!(Failure::Client(h1::client::Failure::Unsent(refused)).proves_not_run());
    /// let closed = h1::client::Failure::Exchange(h1::Error::UnexpectedEof);
    /// assert!(!Failure::Client(closed).proves_not_run());
    /// ```
    #[must_use]
    pub fn proves_not_run(&self) -> bool {
        match self {
            Self::Rejected(_) | Self::Client(client::Failure::Unsent(_)) => true,
            Self::Timeout | Self::DeadlineExceeded | Self::Client(_) => false,
        }
    }
}

/// Returns true if an engine is saturated and did not start the request.
///
/// The same status codes from a plain service have no fixed meaning and go to the caller.
#[must_use]
pub fn is_rejected(exchange: &Exchange, status: StatusCode) -> bool {
    let busy = [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];
    matches!(exchange.call, Call::Chat(_)) && busy.contains(&status)
}
