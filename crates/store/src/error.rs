//! Errors of calls to the platform.

use thiserror::Error;

/// Reason why a call to the platform failed.
#[derive(Debug, Clone, Error)]
pub enum Error {
    /// No complete answer arrived; a write may or may not have been applied.
    #[error("platform did not answer: {0}")]
    Unreachable(String),
    /// The platform answered with this HTTP status instead of 200, as in an outage.
    #[error("platform answered with status {0}")]
    Status(u16),
    /// The table was restored from a copy; revisions and rows read before are no longer valid.
    ///
    /// A write may have been applied before the restore and lost by it.
    #[error("the table was restored from a copy")]
    Restored,
    /// The answer, or a row in it, could not be decoded.
    #[error("malformed answer of the platform: {0}")]
    Malformed(String),
}
