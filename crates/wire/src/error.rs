//! Errors of links and calls between instances.

use thiserror::Error;

/// Cause of a failed connection or call.
///
/// The texts of errors found by a listener are sent to the peer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The connection could not be opened, or it was closed.
    #[error("the link broke: {0}")]
    Disconnected(String),
    /// No reply arrived in time; a call may have taken effect.
    #[error("the peer did not answer in time")]
    Timeout,
    /// The peer's part of the handshake is invalid, for example for lack of the key.
    #[error("the peer does not know the key")]
    Unauthenticated,
    /// A message has an invalid MAC or an old sequence number.
    #[error("a message was altered or replayed")]
    Tampered,
    /// The peer is in backoff after a failed connection; nothing was sent.
    #[error("the peer is in backoff after a failed connection")]
    Backoff,
    /// Too many calls to the peer are in flight; nothing was sent.
    #[error("too many calls to the peer are in flight")]
    Busy,
    /// The peer refused the call, which had no effect; holds the peer's reason.
    #[error("the peer refused: {0}")]
    Refused(String),
    /// A message violates the schema or a limit, or the peer reported an error.
    #[error("malformed message: {0}")]
    Malformed(String),
}

impl From<capnp::Error> for Error {
    fn from(error: capnp::Error) -> Self {
        match error.kind {
            capnp::ErrorKind::Disconnected => Self::Disconnected(error.extra),
            _ => Self::Malformed(error.to_string()),
        }
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Disconnected(error.to_string())
    }
}
