//! Listening sockets and the connections that they accept.

use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use bytes::BytesMut;
use futures::FutureExt;
use h1::{Conn, Request};
use slog::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::Refusal;
use crate::memory::{Holder, Registry, Resource};
use crate::refusal;
use crate::serve::{CALLER_WRITE_TIMEOUT, Disposition, Front, OVERFULL};

/// Pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Connections that the kernel accepts before the instance does.
const BACKLOG: i32 = 1_024;
/// The same while the link is full; further callers find no room and send nothing.
const CONGESTED_BACKLOG: i32 = 1;
/// Interval at which a closed gate is checked.
const GATE_INTERVAL: Duration = Duration::from_millis(4);
/// Largest head of a request to an auxiliary interface: readiness, addresses or metrics.
const MAX_AUXILIARY_HEAD_BYTES: usize = 8 << 10;
/// Timeout on auxiliary connections for idling, for reading a head and for unacknowledged bytes.
const AUXILIARY_TIMEOUT: Duration = Duration::from_secs(30);

/// Binds a listening socket to an address.
///
/// # Errors
///
/// Returns an error if the address cannot be bound, for example because it is in use.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts connections of callers until the thread ends.
///
/// While the gate is closed, the kernel keeps one connection waiting and ignores further connects. To
/// close the listening socket instead would reset requests that are on their way, whose bytes the link
/// has then carried in vain.
pub async fn accept(front: Rc<Front>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(&front, stream),
            Err(error) => {
                warn!(front.log, "accept failed"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
        if front.admits_connects() {
            continue;
        }
        set_backlog(&front, &listener, CONGESTED_BACKLOG);
        // A caller whose connection waits would have left before its request is read.
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            spawn_connection(&front, stream);
        }
        let closed_at = front.clock.now();
        while !front.admits_connects() {
            sleep(GATE_INTERVAL).await;
        }
        front.record_reopened(closed_at);
        set_backlog(&front, &listener, BACKLOG);
    }
}

fn set_backlog(front: &Front, listener: &TcpListener, backlog: i32) {
    if let Err(error) = rustix::net::listen(listener, backlog) {
        warn!(front.log, "cannot change the backlog"; "error" => %error);
    }
}

fn spawn_connection(front: &Rc<Front>, stream: TcpStream) {
    // Without a holder, the connection is closed for lack of descriptors.
    let Some(holder) = front.memory.insert() else { return };
    let front = Rc::clone(front);
    front.gate.borrow_mut().record_accepted();
    ntex::rt::spawn(async move { serve_connection(&front, stream, holder).await });
}

/// Serves the requests of one connection in sequence.
async fn serve_connection(front: &Rc<Front>, stream: TcpStream, holder: Rc<Holder>) {
    let Ok(mut conn) = Conn::from_stream(stream, front.unacked_timeout) else { return };
    conn.set_gauge(Some(Rc::clone(&holder) as Rc<dyn h1::Gauge>));
    loop {
        holder.begin_wait(conn.input.len());
        let limits = front.routing.borrow().limits;
        let read = tokio::select! {
            biased;
            resource = holder.wait_evicted() => Err(resource),
            head = read_head(
                &mut conn,
                limits.max_head_bytes,
                limits.idle_timeout,
                limits.head_timeout,
            ) => Ok(head),
        };
        let disposition = match read {
            // The future of a request is large, and is held only while there is one.
            Ok(Ok(Some(head))) => Box::pin(front.serve(&mut conn, head, &holder)).await,
            Ok(Ok(None)) => Disposition::Abort,
            Ok(Err(refusal)) => {
                info!(front.log, "request head refused"; "code" => refusal.code);
                refuse_head(&conn, &refusal).await;
                Disposition::Close
            }
            // Nothing of a request has arrived.
            Err(_) if conn.input.is_empty() => Disposition::Abort,
            Err(resource) => {
                refuse_head(&conn, &OVERFULL).await;
                close_evicted(resource)
            }
        };
        match disposition {
            Disposition::Keep => {}
            Disposition::Close => return conn.close_gracefully().await,
            Disposition::Abort => return,
        }
    }
}

/// Returns how a connection that gives way is closed: at once if descriptors are scarce.
pub(crate) fn close_evicted(resource: Resource) -> Disposition {
    match resource {
        Resource::Memory => Disposition::Close,
        Resource::Descriptors => Disposition::Abort,
    }
}

async fn refuse_head(conn: &Conn, refusal: &Refusal) {
    let mut out = BytesMut::new();
    refusal.write(None, false, &mut out);
    // A failed write means that the caller has closed the connection, or does not read.
    drop(timeout(CALLER_WRITE_TIMEOUT, conn.write_all(&out)).await);
}

/// Reads the next head. Returns `None` if the caller disconnected or idled too long.
async fn read_head(
    conn: &mut Conn,
    max_head_bytes: usize,
    idle_timeout: Duration,
    head_timeout: Duration,
) -> Result<Option<Request>, Refusal> {
    if conn.input.is_empty()
        && !matches!(timeout(idle_timeout, conn.fill_input()).await, Ok(Ok(1..)))
    {
        return Ok(None);
    }
    let read = async {
        loop {
            match Request::decode(&mut conn.input, max_head_bytes) {
                Ok(Some(head)) => return Ok(Some(head)),
                Ok(None) => {}
                Err(h1::Error::HeadTooLarge(_)) => {
                    return Err(Refusal::not_run(431, "head_too_large"));
                }
                Err(_) => return Err(Refusal::not_run(400, "malformed_head")),
            }
            if !matches!(conn.fill_input().await, Ok(1..)) {
                return Ok(None);
            }
        }
    };
    timeout(head_timeout, read).await.unwrap_or(Err(Refusal::not_run(408, "head_timeout")))
}

/// Answer of an auxiliary interface.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status code, three digits.
    pub status: u16,
    /// Value of the `Content-Type` field.
    pub content_type: &'static str,
    /// Whole body; its length is stated in the head.
    pub body: String,
}

/// Accepts connections of an auxiliary interface: readiness, addresses or metrics.
///
/// `handler` answers each request. The account of the connections is `memory`.
pub async fn accept_auxiliary(
    listener: TcpListener,
    memory: Rc<Registry>,
    handler: Rc<dyn Fn(&Request) -> Reply>,
) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let Some(holder) = memory.insert() else { continue };
            let handler = Rc::clone(&handler);
            ntex::rt::spawn(async move {
                // A connection that gives way is closed at once.
                tokio::select! {
                    _ = holder.wait_evicted() => {}
                    () = serve_auxiliary(stream, &holder, &*handler) => {}
                }
            });
        } else {
            sleep(ACCEPT_RETRY_DELAY).await;
        }
    }
}

async fn serve_auxiliary(
    stream: TcpStream,
    holder: &Rc<Holder>,
    handler: &dyn Fn(&Request) -> Reply,
) {
    let Ok(mut conn) = Conn::from_stream(stream, AUXILIARY_TIMEOUT) else { return };
    conn.set_gauge(Some(Rc::clone(holder) as Rc<dyn h1::Gauge>));
    while let Ok(Some(request)) =
        read_head(&mut conn, MAX_AUXILIARY_HEAD_BYTES, AUXILIARY_TIMEOUT, AUXILIARY_TIMEOUT).await
    {
        let reply = handler(&request);
        let keep_open = request.keep_alive && request.framing == h1::Framing::Length(0);
        let connection = if keep_open { "" } else { "Connection: close\r\n" };
        let out = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{connection}\r\n{}",
            reply.status,
            refusal::reason_phrase(reply.status),
            reply.content_type,
            reply.body.len(),
            reply.body
        );
        holder.begin_answer();
        holder.release_request(out.capacity());
        drop(reply);
        // A client that does not read is cut off.
        if !matches!(
            timeout(CALLER_WRITE_TIMEOUT, conn.write_all(out.as_bytes())).await,
            Ok(Ok(()))
        ) {
            return;
        }
        drop(out);
        if !keep_open {
            return conn.close_gracefully().await;
        }
        holder.begin_wait(conn.input.len());
    }
}
