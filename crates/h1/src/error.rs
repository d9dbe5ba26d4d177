//! Errors of a connection.

use std::io;

use thiserror::Error;

/// Why a message could not be read.
#[derive(Debug, Error)]
pub enum Error {
    /// The bytes are not a message of the protocol, or one that could be read in two ways.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The head is larger than allowed.
    #[error("the head is larger than {0} bytes")]
    HeadTooLarge(usize),
    /// The body is larger than allowed.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(usize),
    /// The peer sent nothing for too long within a body.
    #[error("the peer is silent")]
    IdleTimeout,
    /// The connection ended before the message did.
    #[error("the connection ended early")]
    UnexpectedEof,
    /// The connection was reset or failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
}
