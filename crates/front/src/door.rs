//! Listening sockets and the connections of callers.

use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use bytes::BytesMut;
use h1::{Conn, Request};
use slog::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::Refusal;
use crate::refusal;
use crate::serve::{Front, Next};

/// Pause after a failure to accept, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Limits on callers of the small interfaces.
const SMALL_HEAD: usize = 8 << 10;
const SMALL_TIME: Duration = Duration::from_secs(30);

/// Opens a listening socket.
///
/// # Errors
///
/// Returns an error if the address cannot be listened on.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts callers until the thread ends.
pub async fn accept(front: Rc<Front>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let front = Rc::clone(&front);
                ntex::rt::spawn(async move { connection(&front, stream).await });
            }
            Err(error) => {
                warn!(front.log, "cannot accept"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves the requests of one connection.
async fn connection(front: &Rc<Front>, stream: TcpStream) {
    let Ok(mut conn) = Conn::from_stream(stream, front.silence) else { return };
    loop {
        let limits = front.table.borrow().limits;
        let next = match head(&mut conn, limits.head, limits.idle, limits.head_time).await {
            Ok(Some(head)) => front.serve(&mut conn, head).await,
            Ok(None) => Next::Abort,
            Err(refusal) => {
                info!(front.log, "head refused"; "code" => refusal.code);
                let mut out = BytesMut::new();
                refusal.write(None, false, &mut out);
                // A caller that is gone needs no answer.
                drop(conn.write_all(&out).await);
                Next::Close
            }
        };
        match next {
            Next::Keep => {}
            Next::Close => return conn.close_gracefully().await,
            Next::Abort => return,
        }
    }
}

/// Reads the next head; `None` if the caller is gone or was idle for too long.
async fn head(
    conn: &mut Conn,
    most: usize,
    idle: Duration,
    time: Duration,
) -> Result<Option<Request>, Refusal> {
    if conn.input.is_empty() && !matches!(timeout(idle, conn.fill_input()).await, Ok(Ok(1..))) {
        return Ok(None);
    }
    let reading = async {
        loop {
            match Request::decode(&mut conn.input, most) {
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
    timeout(time, reading).await.unwrap_or(Err(Refusal::not_run(408, "head_timeout")))
}

/// Answer of a small interface.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Content type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: String,
}

/// Serves a small interface: readiness, addresses, metrics.
pub async fn accept_small(listener: TcpListener, handler: Rc<dyn Fn(&Request) -> Reply>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let handler = Rc::clone(&handler);
            ntex::rt::spawn(async move { small(stream, &*handler).await });
        } else {
            sleep(ACCEPT_PAUSE).await;
        }
    }
}

async fn small(stream: TcpStream, handler: &dyn Fn(&Request) -> Reply) {
    let Ok(mut conn) = Conn::from_stream(stream, SMALL_TIME) else { return };
    while let Ok(Some(request)) = head(&mut conn, SMALL_HEAD, SMALL_TIME, SMALL_TIME).await {
        let reply = handler(&request);
        let keep = request.keep_alive && request.framing == h1::Framing::Length(0);
        let connection = if keep { "" } else { "Connection: close\r\n" };
        let out = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{connection}\r\n{}",
            reply.status,
            refusal::reason(reply.status),
            reply.content_type,
            reply.body.len(),
            reply.body
        );
        if conn.write_all(out.as_bytes()).await.is_err() {
            return;
        }
        if !keep {
            return conn.close_gracefully().await;
        }
    }
}
