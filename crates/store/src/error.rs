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
    /// The answer, or a row in it, could not be decoded.
    #[error("malformed answer of the platform: {0}")]
    Malformed(String),
}
