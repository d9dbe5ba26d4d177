//! Errors of reading a message from a connection.

use std::io;

use thiserror::Error;

/// A failure to read a message.
#[derive(Debug, Error)]
pub enum Error {
    /// The bytes are not an HTTP/1.1 message, or other parsers may read them differently.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The head exceeds the limit, in bytes or as a number of fields.
    #[error("the head exceeds the limit of {0} bytes or fields")]
    HeadTooLarge(usize),
    /// The body exceeds the limit, which is given in bytes.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(usize),
    /// The peer had sent bytes before the request, of which nothing was sent therefore.
    #[error("the peer sent bytes before the request")]
    Unsolicited,
    /// The peer sent nothing for the idle timeout within a body.
    #[error("the peer sent no data within the timeout")]
    IdleTimeout,
    /// The peer closed the connection before the end of the message.
    #[error("the connection closed before the end of the message")]
    UnexpectedEof,
    /// An operation on the socket failed, for example because the peer reset the connection.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
}
