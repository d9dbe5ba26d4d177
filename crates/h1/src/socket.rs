//! A TCP socket that tells an orderly close from a reset.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::os::fd::{AsFd, BorrowedFd};

use bytes::BufMut;
use rustix::net::Shutdown;
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;

/// A connected TCP socket that remembers a failed write.
///
/// The kernel reports a reset once, to the first call that meets it. If that is a write, later reads
/// return the bytes that arrived before the reset and then 0, like after an orderly close.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    has_failed_write: Cell<bool>,
}

impl Socket {
    /// Wraps a connected stream to which no write has failed.
    #[must_use]
    pub fn from_stream(stream: TcpStream) -> Self {
        Self { stream, has_failed_write: Cell::new(false) }
    }

    /// Reads available bytes; 0 means that the peer has closed the connection in order.
    ///
    /// # Errors
    ///
    /// Returns `WouldBlock` if no bytes are available, and `ConnectionReset` also if the connection
    /// has ended after a write to it had failed.
    pub fn try_read_buf(&self, buffer: &mut impl BufMut) -> io::Result<usize> {
        let has_room = buffer.has_remaining_mut();
        match self.stream.try_read_buf(buffer) {
            Ok(0) if has_room && self.has_failed_write.get() => {
                Err(io::ErrorKind::ConnectionReset.into())
            }
            result => result,
        }
    }

    /// Waits for bytes and reads them; 0 means that the peer has closed the connection in order.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection was reset or has failed.
    pub async fn read_buf(&self, buffer: &mut impl BufMut) -> io::Result<usize> {
        loop {
            self.stream.readable().await?;
            match self.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return result,
            }
        }
    }

    /// Writes what fits into the send buffer.
    ///
    /// # Errors
    ///
    /// Returns `WouldBlock` if the send buffer is full, and another error if the write failed.
    pub fn try_write_vectored(&self, parts: &[IoSlice<'_>]) -> io::Result<usize> {
        let result = self.stream.try_write_vectored(parts);
        if result.as_ref().is_err_and(|error| error.kind() != io::ErrorKind::WouldBlock) {
            self.has_failed_write.set(true);
        }
        result
    }

    /// Writes what fits into the send buffer; waits while it is full.
    ///
    /// # Errors
    ///
    /// Returns an error if the write failed.
    pub async fn write_some(&self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match self.try_write_vectored(&[IoSlice::new(bytes)]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.writable().await?;
                }
                result => return result,
            }
        }
    }

    /// Writes all bytes; waits while the send buffer is full.
    ///
    /// # Errors
    ///
    /// Returns an error if the write failed.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            bytes = &bytes[self.write_some(bytes).await?..];
        }
        Ok(())
    }

    /// Waits until the socket is ready for one of these operations.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime has shut down.
    pub async fn ready(&self, interest: Interest) -> io::Result<Ready> {
        self.stream.ready(interest).await
    }

    /// Waits until bytes, a close or a failure can be read.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime has shut down.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Ends the sending direction, after the bytes that are buffered.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has ended.
    pub fn shutdown_write(&self) -> io::Result<()> {
        Ok(rustix::net::shutdown(&self.stream, Shutdown::Write)?)
    }
}

impl AsFd for Socket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}
