//! Requests to a peer, and answers that are read as they arrive.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use thiserror::Error;
use tokio::time::timeout;

use crate::{Body, Conn, Error, Framing, Response};

/// Longest time for a connect to an instance or an upstream in the same network.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which sent bytes without acknowledgement fail a connection.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest head of an answer.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// A request whose body is known.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Method, for example `GET`.
    pub method: &'a str,
    /// Path and query; starts with `/`.
    pub target: &'a str,
    /// Header fields besides `Host`, `Connection` and `Content-Length`.
    pub fields: &'a [(&'a str, &'a [u8])],
    /// Whole body; `GET` requests without one state no length.
    pub body: &'a [u8],
}

/// Why a request got no answer.
#[derive(Debug, Error)]
pub enum Failure {
    /// Nothing was sent, so that the request has not run.
    #[error("nothing was sent: {0}")]
    Unsent(io::Error),
    /// The connection failed, or brought no answer, after the request was sent.
    #[error(transparent)]
    Exchange(#[from] Error),
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct Answer {
    /// Head of the answer.
    pub head: Response,
    conn: Conn,
    body: Body,
    is_reusable: bool,
}

/// Sends a request on a connection of its own, so that no answer to an earlier one can be taken for
/// its answer.
///
/// # Errors
///
/// Returns an error if no connection is opened within a second, if a field holds a control byte, or
/// if no answer begins. There is no other time limit.
///
/// # Examples
///
/// ```
/// # use std::io::{Read, Write};
/// # let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
/// # let address = listener.local_addr()?;
/// # std::thread::spawn(move || {
/// #     let (mut stream, _) = listener.accept().unwrap();
/// #     stream.read(&mut [0; 1_000]).unwrap();
/// #     stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi").unwrap();
/// # });
/// # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
/// let request = h1::client::Request { method: "GET", target: "/", fields: &[], body: &[] };
/// let answer = h1::client::send(address, &request).await?;
/// assert_eq!(answer.head.status, 200);
/// assert_eq!(answer.read_whole(100, None).await?, "hi");
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// # })?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub async fn send(address: SocketAddr, request: &Request<'_>) -> Result<Answer, Failure> {
    let head = request.encode(address, false).map_err(Failure::Unsent)?;
    let conn = connect(address).await.map_err(Failure::Unsent)?;
    exchange(conn, &head, request).await
}

async fn connect(address: SocketAddr) -> io::Result<Conn> {
    Conn::open(address, CONNECT_TIMEOUT, UNACKED_TIMEOUT).await
}

async fn exchange(mut conn: Conn, head: &[u8], request: &Request<'_>) -> Result<Answer, Failure> {
    let result = conn.exchange(head, request.body, MAX_HEAD_BYTES).await;
    let (mut head, is_written) = result.map_err(|error| match error {
        Error::Unsolicited => Failure::Unsent(io::ErrorKind::InvalidData.into()),
        error => Failure::Exchange(error),
    })?;
    if request.method == "HEAD" {
        // The length is that of the body that a GET would return; none follows.
        head.framing = Framing::Length(0);
    }
    let is_reusable = is_written && head.keep_alive;
    Ok(Answer { body: Body::open(head.framing), head, conn, is_reusable })
}

impl Request<'_> {
    fn encode(&self, address: SocketAddr, keep_alive: bool) -> io::Result<BytesMut> {
        let mut out = BytesMut::with_capacity(512);
        for text in [self.method, " ", self.target, " HTTP/1.1\r\nHost: "] {
            out.extend_from_slice(text.as_bytes());
        }
        out.extend_from_slice(format!("{address}\r\n").as_bytes());
        for (name, value) in self.fields {
            if value.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t') {
                return Err(io::Error::new(io::ErrorKind::InvalidInput, "a control byte"));
            }
            for part in [name.as_bytes(), b": ", value, b"\r\n"] {
                out.extend_from_slice(part);
            }
        }
        if !self.body.is_empty() || self.method != "GET" {
            out.extend_from_slice(format!("Content-Length: {}\r\n", self.body.len()).as_bytes());
        }
        out.extend_from_slice(if keep_alive { b"\r\n" } else { b"Connection: close\r\n\r\n" });
        Ok(out)
    }
}

impl Answer {
    /// Returns the next bytes of the body; `None` once it is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or closes before the end of the body, or if the body
    /// is malformed.
    pub async fn read(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            if let Some(part) = self.body.decode(&mut self.conn.input)? {
                return Ok(Some(part));
            }
            if self.body.is_done() {
                return Ok(None);
            }
            self.conn.fill_body(&mut self.body).await?;
        }
    }

    /// Reads the whole body of at most `max_bytes` bytes.
    ///
    /// `idle_timeout` limits each wait for bytes; `None` leaves time limits to the calling code.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, closes early or stays idle, or if the body is too
    /// large or malformed.
    pub async fn read_whole(
        mut self,
        max_bytes: usize,
        idle_timeout: Option<Duration>,
    ) -> Result<Bytes, Error> {
        self.conn.read_body(self.head.framing, max_bytes, idle_timeout).await
    }
}

/// Client that keeps its connections to one peer open.
///
/// It is for peers that write no answer twice, since an answer that comes too late is only told from
/// the next one if it arrives before the next request is sent.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    max_idle: usize,
    idle: RefCell<Vec<Conn>>,
}

impl Client {
    /// Opens a client without a connection; it keeps at most `max_idle` of them while unused.
    #[must_use]
    pub fn open(address: SocketAddr, max_idle: usize) -> Self {
        Self { address, max_idle, idle: RefCell::default() }
    }

    /// Sends a request and returns the status and the body of its answer.
    ///
    /// `time_limit` holds up to the head of the answer, and again for its body.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection is opened within a second, if no answer comes in time, or
    /// if its body has more than `max_bytes` bytes.
    pub async fn call(
        &self,
        request: &Request<'_>,
        max_bytes: usize,
        time_limit: Duration,
    ) -> Result<(u16, Bytes), Failure> {
        let answering = timeout(time_limit, self.exchange(request));
        let mut answer = answering.await.map_err(|_elapsed| Error::IdleTimeout)??;
        let reading = answer.conn.read_body(answer.head.framing, max_bytes, None);
        let body = timeout(time_limit, reading).await.map_err(|_elapsed| Error::IdleTimeout)??;
        let mut idle = self.idle.borrow_mut();
        if answer.is_reusable && answer.conn.input.is_empty() && idle.len() < self.max_idle {
            idle.push(answer.conn);
        }
        Ok((answer.head.status, body))
    }

    async fn exchange(&self, request: &Request<'_>) -> Result<Answer, Failure> {
        let head = request.encode(self.address, true).map_err(Failure::Unsent)?;
        while let Some(conn) = self.take_idle() {
            match exchange(conn, &head, request).await {
                Err(Failure::Unsent(_)) => {}
                result => return result,
            }
        }
        exchange(connect(self.address).await.map_err(Failure::Unsent)?, &head, request).await
    }

    fn take_idle(&self) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        std::iter::from_fn(|| idle.pop()).find_map(|mut conn| conn.is_idle().then_some(conn))
    }
}
