//! A TCP connection with its input buffer.

use std::fmt;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use rustix::net::sockopt;
use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::frame;
use crate::head::Framing;
use crate::{Body, Error, Response, Socket, Traffic};

/// Free space of the input buffer before each read; fits a typical head or event.
const READ_RESERVE_BYTES: usize = 8 << 10;
/// Most buffered bytes of a peer that sends while none are expected.
///
/// It bounds what a caller that sends requests ahead makes an instance hold for each connection.
const MAX_UNEXPECTED_BYTES: usize = 16 << 10;
/// First size of the buffer of a body; it then grows with the bytes that arrive.
///
/// A peer that states a large body and sends nothing makes the receiver hold no more than this.
const FIRST_BODY_CAPACITY: usize = 16 << 10;
/// Factor by which the buffer of a body grows.
const BODY_GROWTH: usize = 4;
/// Size of a body's buffer after which it grows to its full size at once.
///
/// Large buffers of many sizes, each freed after the next growth, more than double the resident
/// memory: 127 MB for 52 MB of bodies.
const MAX_STEP_CAPACITY: usize = 256 << 10;
/// Unused bytes of a whole body's buffer above which the buffer is shrunk.
const MAX_UNUSED_BYTES: usize = 64 << 10;

/// Bytes of a peer that sends without a pause after which other tasks have their turn.
const MAX_UNPAUSED_BYTES: usize = 64 << 10;
/// Most interim responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;
/// Longest time for which [`Conn::close_gracefully`] reads and discards input.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes that [`Conn::close_gracefully`] reads and discards.
const MAX_LINGER_BYTES: usize = 8 << 20;

/// Observer of the bytes that a connection holds.
pub trait Gauge: fmt::Debug {
    /// Records the size of the connection's buffers in bytes; called after each read.
    ///
    /// `received` is the number of bytes that the read has added.
    fn record(&self, held: usize, received: usize);
}

/// A TCP connection and the bytes that were read from it.
#[derive(Debug)]
pub struct Conn {
    socket: Socket,
    /// Bytes that were read and are not decoded yet.
    pub input: BytesMut,
    /// Bytes that were read without a pause for the other tasks of the thread.
    unpaused_bytes: usize,
    /// Decoder of the input; `None` if the peer sends it without frames.
    frames: Option<frame::Decoder>,
    /// Size of the buffer of the body that is being read.
    body_capacity: usize,
    /// Whether a request was sent on the connection.
    is_used: bool,
    /// Observer of the held bytes; `None` if nobody accounts for them.
    gauge: Option<Rc<dyn Gauge>>,
}

impl Conn {
    /// Wraps a connected socket and disables Nagle's algorithm.
    ///
    /// The kernel resets the connection if sent bytes stay unacknowledged for `user_timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket option cannot be set.
    pub fn from_stream(stream: TcpStream, user_timeout: Duration) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let user_timeout = u32::try_from(user_timeout.as_millis()).unwrap_or(u32::MAX);
        sockopt::set_tcp_user_timeout(&stream, user_timeout)?;
        Ok(Self {
            socket: Socket::from_stream(stream),
            input: BytesMut::new(),
            unpaused_bytes: 0,
            frames: None,
            body_capacity: 0,
            is_used: false,
            gauge: None,
        })
    }

    /// Connects to an address; see [`Self::from_stream`] for `user_timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer refuses the connection or `connect_timeout` expires.
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

    /// Expects frames in the input, so that a close within the stream is an error.
    #[must_use]
    pub fn framed(mut self) -> Self {
        self.frames = Some(frame::Decoder::default());
        self
    }

    /// Sets the observer of the held bytes; `None` removes it.
    pub fn set_gauge(&mut self, gauge: Option<Rc<dyn Gauge>>) {
        self.gauge = gauge;
    }

    /// Returns the socket; bytes that were read and not decoded are lost.
    #[must_use]
    pub fn into_socket(self) -> Socket {
        self.socket
    }

    /// Waits for input and returns the bytes added; 0 means that the peer closed.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer reset the connection or the read failed.
    pub async fn fill_input(&mut self) -> io::Result<usize> {
        if self.frames.as_ref().is_some_and(frame::Decoder::has_ended) {
            return Ok(0);
        }
        if self.input.is_empty() {
            // An idle connection keeps no buffer.
            self.input = BytesMut::new();
        }
        self.read_with(Self::try_read).await
    }

    /// Waits until `read` gets bytes from the socket, and records them.
    async fn read_with(
        &mut self,
        mut read: impl FnMut(&mut Self) -> io::Result<usize>,
    ) -> io::Result<usize> {
        if self.unpaused_bytes >= MAX_UNPAUSED_BYTES {
            self.unpaused_bytes = 0;
            tokio::task::yield_now().await;
        }
        loop {
            self.socket.readable().await?;
            match read(self) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.unpaused_bytes = 0,
                result => {
                    let count = result.as_ref().copied().unwrap_or_default();
                    self.unpaused_bytes += count;
                    if let Some(gauge) = self.gauge.as_ref().filter(|_| count > 0) {
                        gauge.record(self.input.capacity() + self.body_capacity, count);
                    }
                    return result;
                }
            }
        }
    }

    fn try_read(&mut self) -> io::Result<usize> {
        let Some(frames) = &mut self.frames else {
            self.input.reserve(READ_RESERVE_BYTES);
            let count = self.socket.try_read_buf(&mut self.input)?;
            Traffic::record(count, 0);
            return Ok(count);
        };
        while !frames.has_ended() {
            frames.input.reserve(READ_RESERVE_BYTES);
            let received = self.socket.try_read_buf(&mut frames.input)?;
            if received == 0 {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            Traffic::record(received, 0);
            let count = frames.decode(&mut self.input);
            if count > 0 {
                return Ok(count);
            }
        }
        Ok(0)
    }

    /// Waits for more input of a body, or passes the close to its decoder.
    ///
    /// # Errors
    ///
    /// Returns an error if the read failed or the connection closed within the body.
    pub async fn fill_body(&mut self, body: &mut Body) -> Result<(), Error> {
        if self.fill_input().await? == 0 { body.handle_eof() } else { Ok(()) }
    }

    /// Reads a whole body of at most `max_bytes` bytes.
    ///
    /// `idle_timeout` limits each wait for bytes; `None` leaves time limits to the calling code.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, closes early or stays idle, or if the body is too
    /// large or malformed.
    pub async fn read_body(
        &mut self,
        framing: Framing,
        max_bytes: usize,
        idle_timeout: Option<Duration>,
    ) -> Result<Bytes, Error> {
        let result = match framing {
            Framing::Length(length) if self.frames.is_none() => {
                self.read_sized_body(length, max_bytes, idle_timeout).await
            }
            _ => self.read_decoded_body(framing, max_bytes, idle_timeout).await,
        };
        self.body_capacity = 0;
        result
    }

    /// Reads a body of known length; a large one bypasses the input buffer.
    async fn read_sized_body(
        &mut self,
        length: u64,
        max_bytes: usize,
        idle_timeout: Option<Duration>,
    ) -> Result<Bytes, Error> {
        let length = usize::try_from(length).ok().filter(|length| *length <= max_bytes);
        let length = length.ok_or(Error::BodyTooLarge(max_bytes))?;
        let mut bytes = Vec::new();
        while bytes.len() < length {
            let left = length - bytes.len();
            self.body_capacity = grow(&mut bytes, 1, length);
            let free = (bytes.capacity() - bytes.len()).min(left);
            if !self.input.is_empty() {
                bytes.extend_from_slice(&self.input.split_to(free.min(self.input.len())));
                continue;
            }
            let size = free.min(MAX_UNPAUSED_BYTES);
            let read = async {
                // One read of a small rest also brings the next message.
                if left <= READ_RESERVE_BYTES {
                    return self.fill_input().await;
                }
                self.read_with(|conn| {
                    conn.socket
                        .try_read_buf(&mut (&mut bytes).limit(size))
                        .inspect(|count| Traffic::record(*count, 0))
                })
                .await
            };
            let count = match idle_timeout {
                Some(limit) => tokio::time::timeout(limit, read)
                    .await
                    .map_err(|_elapsed| Error::IdleTimeout)??,
                None => read.await?,
            };
            if count == 0 {
                return Err(Error::UnexpectedEof);
            }
        }
        Ok(bytes.into())
    }

    async fn read_decoded_body(
        &mut self,
        framing: Framing,
        max_bytes: usize,
        idle_timeout: Option<Duration>,
    ) -> Result<Bytes, Error> {
        let mut body = Body::open(framing);
        let mut bytes = Vec::new();
        loop {
            match body.decode(&mut self.input)? {
                Some(part) if bytes.len() + part.len() > max_bytes => {
                    return Err(Error::BodyTooLarge(max_bytes));
                }
                Some(part) => {
                    self.body_capacity = grow(&mut bytes, part.len(), max_bytes);
                    bytes.extend_from_slice(&part);
                }
                None if body.is_done() => {
                    if bytes.capacity() - bytes.len() > MAX_UNUSED_BYTES {
                        bytes.shrink_to_fit();
                    }
                    return Ok(bytes.into());
                }
                None => match idle_timeout {
                    Some(limit) => tokio::time::timeout(limit, self.fill_body(&mut body))
                        .await
                        .map_err(|_elapsed| Error::IdleTimeout)??,
                    None => self.fill_body(&mut body).await?,
                },
            }
        }
    }

    /// Waits until the peer closes or resets the connection, and buffers its input meanwhile.
    ///
    /// Never returns once 16 KiB are buffered, since a close is then no longer detected.
    pub async fn wait_closed(&mut self) {
        while self.input.len() < MAX_UNEXPECTED_BYTES {
            if !matches!(self.fill_input().await, Ok(count) if count > 0) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Returns true if the peer has sent bytes that are not decoded yet.
    pub fn has_unsolicited(&mut self) -> bool {
        !self.input.is_empty() || matches!(self.try_read(), Ok(1..))
    }

    /// Returns true if the connection is open and the peer has sent no unread bytes.
    pub fn is_idle(&mut self) -> bool {
        self.input.is_empty()
            && matches!(self.try_read(), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns true once [`Self::exchange`] has begun to send a request.
    ///
    /// From then on, a response may belong to an earlier request.
    #[must_use]
    pub fn is_used(&self) -> bool {
        self.is_used
    }

    /// Writes all bytes; waits while the send buffer is full.
    ///
    /// # Errors
    ///
    /// Returns an error if the write failed.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let count = self.socket.write_some(bytes).await?;
            Traffic::record(0, count);
            bytes = &bytes[count..];
        }
        Ok(())
    }

    /// Shuts down sending and discards input until the peer closes (lingering close).
    ///
    /// Closing a socket with unread bytes resets the connection, and the peer could lose the last
    /// response.
    pub async fn close_gracefully(mut self) {
        if self.socket.shutdown_write().is_err() {
            return;
        }
        let drain = async {
            let mut left = MAX_LINGER_BYTES;
            while let Ok(count) = self.fill_input().await {
                if count == 0 || count >= left {
                    return;
                }
                left -= count;
                self.input.clear();
            }
        };
        // Dropping the stream after the timeout closes the connection in any case.
        drop(tokio::time::timeout(LINGER_TIMEOUT, drain).await);
    }

    /// Writes a request and concurrently reads the head of its response.
    ///
    /// `body` follows `head`; they are separate so that the body need not be copied.
    ///
    /// The flag is false if the response began before the whole request was written; such a
    /// connection must not be reused. Interim responses are skipped. With an empty `head`, the next
    /// response to the last request is read.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unsolicited`] if the peer has sent bytes or closed before anything was
    /// written, and another error if the connection closes or fails, or the response is malformed.
    pub async fn exchange(
        &mut self,
        mut head: &[u8],
        mut body: &[u8],
        max_head_bytes: usize,
    ) -> Result<(Response, bool), Error> {
        let is_request = !head.is_empty();
        let mut is_unsent = is_request;
        self.is_used |= is_request;
        if is_request && !self.input.is_empty() {
            return Err(Error::Unsolicited);
        }
        let mut is_write_broken = false;
        let mut interim_responses = 0;
        loop {
            let is_written = head.is_empty() && body.is_empty();
            if let Some(response) = Response::decode(&mut self.input, max_head_bytes)? {
                if response.is_interim() {
                    interim_responses += 1;
                    if interim_responses > MAX_INTERIM_RESPONSES {
                        return Err(Error::Malformed("too many interim responses"));
                    }
                    continue;
                }
                return Ok((response, is_written));
            }
            let interest = if is_written || is_write_broken {
                Interest::READABLE
            } else {
                Interest::READABLE | Interest::WRITABLE
            };
            let ready = self.socket.ready(interest).await?;
            if ready.is_readable() {
                match self.try_read() {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    // What has arrived before the request is no response to it.
                    _ if is_unsent => return Err(Error::Unsolicited),
                    Ok(0) => return Err(Error::UnexpectedEof),
                    Ok(_) => {}
                    Err(error) => return Err(error.into()),
                }
            }
            if ready.is_writable() && !is_written && !is_write_broken {
                let parts = [IoSlice::new(head), IoSlice::new(body)];
                match self.socket.try_write_vectored(&parts) {
                    Ok(count) => {
                        is_unsent = false;
                        Traffic::record(0, count);
                        let head_count = count.min(head.len());
                        head.advance(head_count);
                        body.advance(count - head_count);
                    }
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    // The response may have arrived before the write failed, so reading continues.
                    Err(_) => is_write_broken = true,
                }
            }
        }
    }
}

/// Makes room for `added` bytes in the buffer of a body of at most `max_bytes`; returns its size.
fn grow(bytes: &mut Vec<u8>, added: usize, max_bytes: usize) -> usize {
    let needed = bytes.len() + added;
    if needed > bytes.capacity() {
        let next = (bytes.capacity() * BODY_GROWTH).max(FIRST_BODY_CAPACITY);
        let next = if next > MAX_STEP_CAPACITY { max_bytes } else { next };
        bytes.reserve_exact(next.max(needed).min(max_bytes) - bytes.len());
    }
    bytes.capacity()
}
