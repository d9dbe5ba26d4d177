//! A connection and the bytes that were read from it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use rustix::net::sockopt;
use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::head::Framing;
use crate::{Body, Error, Response};

/// Bytes for which room is made before each read; an event of a stream or a usual head fits.
const READ_RESERVE_BYTES: usize = 8 << 10;
/// Bytes that are kept of a peer that sends while nothing is expected.
const UNEXPECTED_BYTES_MAX: usize = 64 << 10;

/// Longest time and most bytes for which a finished connection is read.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const LINGER_BYTES_MAX: usize = 8 << 20;

/// A TCP connection with its input buffer.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    /// Bytes that were read and not taken yet.
    pub input: BytesMut,
}

impl Conn {
    /// Wraps an accepted connection; sent bytes that stay unacknowledged for `silence` end it.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket's options cannot be set.
    pub fn from_stream(stream: TcpStream, user_timeout: Duration) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let user_timeout = u32::try_from(user_timeout.as_millis()).unwrap_or(u32::MAX);
        sockopt::set_tcp_user_timeout(&stream, user_timeout)?;
        Ok(Self { stream, input: BytesMut::new() })
    }

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is refused or not there within `patience`.
    pub async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
        user_timeout: Duration,
    ) -> io::Result<Self> {
        let connect = TcpStream::connect(address);
        let stream =
            tokio::time::timeout(connect_timeout, connect).await.map_err(io::Error::from)??;
        Self::from_stream(stream, user_timeout)
    }

    /// Waits for more bytes and returns how many came; 0 means that the peer has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection was reset or failed.
    pub async fn fill_input(&mut self) -> io::Result<usize> {
        loop {
            self.stream.readable().await?;
            match self.try_read() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return result,
            }
        }
    }

    fn try_read(&mut self) -> io::Result<usize> {
        self.input.reserve(READ_RESERVE_BYTES);
        self.stream.try_read_buf(&mut self.input)
    }

    /// Waits for more bytes of a body, or notes that the peer ended it.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed, or ended before the body.
    pub async fn fill_body(&mut self, body: &mut Body) -> Result<(), Error> {
        if self.fill_input().await? == 0 { body.handle_eof() } else { Ok(()) }
    }

    /// Reads a whole body of at most `most` bytes.
    ///
    /// `silence` bounds each wait for bytes; without it the caller bounds the whole.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, ends early or is silent, or the body is too large
    /// or malformed.
    pub async fn read_body(
        &mut self,
        framing: Framing,
        max_bytes: usize,
        idle_timeout: Option<Duration>,
    ) -> Result<Bytes, Error> {
        let mut body = Body::open(framing);
        let mut bytes = BytesMut::new();
        loop {
            match body.decode(&mut self.input)? {
                Some(part) if bytes.len() + part.len() > max_bytes => {
                    return Err(Error::BodyTooLarge(max_bytes));
                }
                Some(part) => bytes.extend_from_slice(&part),
                None if body.is_done() => return Ok(bytes.freeze()),
                None => match idle_timeout {
                    Some(limit) => tokio::time::timeout(limit, self.fill_body(&mut body))
                        .await
                        .map_err(|_elapsed| Error::IdleTimeout)??,
                    None => self.fill_body(&mut body).await?,
                },
            }
        }
    }

    /// Waits until the peer closes or resets the connection; what it sends meanwhile is kept.
    pub async fn wait_closed(&mut self) {
        while self.input.len() < UNEXPECTED_BYTES_MAX {
            if !matches!(self.fill_input().await, Ok(count) if count > 0) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Returns true if the connection is idle and open: nothing was sent and nothing ended.
    pub fn is_idle(&mut self) -> bool {
        self.input.is_empty()
            && matches!(self.try_read(), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.stream.try_write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => bytes = &bytes[count..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.writable().await?;
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Ends the own side and reads what the peer still sends, so that it gets the last answer.
    ///
    /// Closing with unread bytes would reset the connection and could destroy that answer.
    pub async fn close_gracefully(mut self) {
        if rustix::net::shutdown(&self.stream, rustix::net::Shutdown::Write).is_err() {
            return;
        }
        let drain = async {
            let mut left = LINGER_BYTES_MAX;
            while let Ok(count) = self.fill_input().await {
                if count == 0 || count >= left {
                    return;
                }
                left -= count;
                self.input.clear();
            }
        };
        // A peer that keeps the connection open is cut off.
        drop(tokio::time::timeout(LINGER_TIMEOUT, drain).await);
    }

    /// Writes a request and reads the head of its response, in whatever order they proceed.
    ///
    /// The second result is false if the response began before the request was written whole;
    /// such a connection must not be used again.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or fails, or the response is malformed.
    pub async fn exchange(
        &mut self,
        mut request: &[u8],
        head_bytes_max: usize,
    ) -> Result<(Response, bool), Error> {
        let mut is_write_broken = false;
        loop {
            if let Some(head) = Response::decode(&mut self.input, head_bytes_max)? {
                if head.is_interim() {
                    continue;
                }
                return Ok((head, request.is_empty()));
            }
            let interest = if request.is_empty() || is_write_broken {
                Interest::READABLE
            } else {
                Interest::READABLE | Interest::WRITABLE
            };
            let ready = self.stream.ready(interest).await?;
            if ready.is_readable() {
                match self.try_read() {
                    Ok(0) => return Err(Error::UnexpectedEof),
                    Err(error) if error.kind() != io::ErrorKind::WouldBlock => {
                        return Err(error.into());
                    }
                    Ok(_) | Err(_) => {}
                }
            }
            if ready.is_writable() && !request.is_empty() && !is_write_broken {
                match self.stream.try_write(request) {
                    Ok(count) => request.advance(count),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    // The answer may have arrived before the connection broke.
                    Err(_) => is_write_broken = true,
                }
            }
        }
    }
}
