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
const READ_SIZE: usize = 8 << 10;
/// Bytes that are kept of a peer that sends while nothing is expected.
const AHEAD_MAX: usize = 64 << 10;

/// Longest time and most bytes for which a finished connection is read.
const FINISH_TIME: Duration = Duration::from_millis(500);
const FINISH_BYTES: usize = 8 << 20;

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
    pub fn accepted(stream: TcpStream, silence: Duration) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let silence = u32::try_from(silence.as_millis()).unwrap_or(u32::MAX);
        sockopt::set_tcp_user_timeout(&stream, silence)?;
        Ok(Self { stream, input: BytesMut::new() })
    }

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is refused or not there within `patience`.
    pub async fn open(
        address: SocketAddr,
        patience: Duration,
        silence: Duration,
    ) -> io::Result<Self> {
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(patience, connect).await.map_err(io::Error::from)??;
        Self::accepted(stream, silence)
    }

    /// Waits for more bytes and returns how many came; 0 means that the peer has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection was reset or failed.
    pub async fn fill(&mut self) -> io::Result<usize> {
        loop {
            self.stream.readable().await?;
            match self.read() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return result,
            }
        }
    }

    fn read(&mut self) -> io::Result<usize> {
        self.input.reserve(READ_SIZE);
        self.stream.try_read_buf(&mut self.input)
    }

    /// Waits for more bytes of a body, or notes that the peer ended it.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed, or ended before the body.
    pub async fn more(&mut self, body: &mut Body) -> Result<(), Error> {
        if self.fill().await? == 0 { body.end() } else { Ok(()) }
    }

    /// Reads a whole body of at most `most` bytes.
    ///
    /// `silence` bounds each wait for bytes; without it the caller bounds the whole.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, ends early or is silent, or the body is too large
    /// or malformed.
    pub async fn body(
        &mut self,
        framing: Framing,
        most: usize,
        silence: Option<Duration>,
    ) -> Result<Bytes, Error> {
        let mut body = Body::open(framing);
        let mut whole = BytesMut::new();
        loop {
            match body.take(&mut self.input)? {
                Some(part) if whole.len() + part.len() > most => {
                    return Err(Error::BodyTooLarge(most));
                }
                Some(part) => whole.extend_from_slice(&part),
                None if body.is_done() => return Ok(whole.freeze()),
                None => match silence {
                    Some(silence) => tokio::time::timeout(silence, self.more(&mut body))
                        .await
                        .map_err(|_elapsed| Error::Silent)??,
                    None => self.more(&mut body).await?,
                },
            }
        }
    }

    /// Waits until the peer closes or resets the connection; what it sends meanwhile is kept.
    pub async fn closed(&mut self) {
        while self.input.len() < AHEAD_MAX {
            if !matches!(self.fill().await, Ok(count) if count > 0) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Returns true if the connection is idle and open: nothing was sent and nothing ended.
    pub fn is_quiet(&mut self) -> bool {
        self.input.is_empty()
            && matches!(self.read(), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed.
    pub async fn write(&self, mut bytes: &[u8]) -> io::Result<()> {
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
    pub async fn finish(mut self) {
        if rustix::net::shutdown(&self.stream, rustix::net::Shutdown::Write).is_err() {
            return;
        }
        let drained = async {
            let mut left = FINISH_BYTES;
            while let Ok(count) = self.fill().await {
                if count == 0 || count >= left {
                    return;
                }
                left -= count;
                self.input.clear();
            }
        };
        // A peer that keeps the connection open is cut off.
        drop(tokio::time::timeout(FINISH_TIME, drained).await);
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
        head_max: usize,
    ) -> Result<(Response, bool), Error> {
        let mut is_broken = false;
        loop {
            if let Some(head) = Response::take(&mut self.input, head_max)? {
                if head.is_interim() {
                    continue;
                }
                return Ok((head, request.is_empty()));
            }
            let interest = if request.is_empty() || is_broken {
                Interest::READABLE
            } else {
                Interest::READABLE | Interest::WRITABLE
            };
            let ready = self.stream.ready(interest).await?;
            if ready.is_readable() {
                match self.read() {
                    Ok(0) => return Err(Error::Ended),
                    Err(error) if error.kind() != io::ErrorKind::WouldBlock => {
                        return Err(error.into());
                    }
                    Ok(_) | Err(_) => {}
                }
            }
            if ready.is_writable() && !request.is_empty() && !is_broken {
                match self.stream.try_write(request) {
                    Ok(count) => request.advance(count),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    // The answer may have arrived before the connection broke.
                    Err(_) => is_broken = true,
                }
            }
        }
    }
}
