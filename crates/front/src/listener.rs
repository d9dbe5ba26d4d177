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
use crate::serve::{Disposition, Front};

/// Pause after a failure to accept, for example for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Limits on callers of the small interfaces.
const AUXILIARY_HEAD_BYTES_MAX: usize = 8 << 10;
const AUXILIARY_TIMEOUT: Duration = Duration::from_secs(30);

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
                ntex::rt::spawn(async move { serve_connection(&front, stream).await });
            }
            Err(error) => {
                warn!(front.log, "cannot accept"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the requests of one connection.
async fn serve_connection(front: &Rc<Front>, stream: TcpStream) {
    let Ok(mut conn) = Conn::accepted(stream, front.unacked_timeout) else { return };
    loop {
        let limits = front.routing.borrow().limits;
        let disposition = match read_head(
            &mut conn,
            limits.max_head_bytes,
            limits.idle_timeout,
            limits.head_timeout,
        )
        .await
        {
            Ok(Some(head)) => front.serve(&mut conn, head).await,
            Ok(None) => Disposition::Abort,
            Err(refusal) => {
                info!(front.log, "head refused"; "code" => refusal.code);
                let mut out = BytesMut::new();
                refusal.write(None, false, &mut out);
                // A caller that is gone needs no answer.
                drop(conn.write(&out).await);
                Disposition::Close
            }
        };
        match disposition {
            Disposition::Keep => {}
            Disposition::Close => return conn.finish().await,
            Disposition::Abort => return,
        }
    }
}

/// Reads the next head; `None` if the caller is gone or was idle for too long.
async fn read_head(
    conn: &mut Conn,
    head_bytes_max: usize,
    idle_timeout: Duration,
    head_timeout: Duration,
) -> Result<Option<Request>, Refusal> {
    if conn.input.is_empty() && !matches!(timeout(idle_timeout, conn.fill()).await, Ok(Ok(1..))) {
        return Ok(None);
    }
    let read = async {
        loop {
            match Request::take(&mut conn.input, head_bytes_max) {
                Ok(Some(head)) => return Ok(Some(head)),
                Ok(None) => {}
                Err(h1::Error::HeadTooLarge(_)) => {
                    return Err(Refusal::not_run(431, "head_too_large"));
                }
                Err(_) => return Err(Refusal::not_run(400, "malformed_head")),
            }
            if !matches!(conn.fill().await, Ok(1..)) {
                return Ok(None);
            }
        }
    };
    timeout(head_timeout, read).await.unwrap_or(Err(Refusal::not_run(408, "head_timeout")))
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
pub async fn accept_auxiliary(listener: TcpListener, handler: Rc<dyn Fn(&Request) -> Reply>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let handler = Rc::clone(&handler);
            ntex::rt::spawn(async move { serve_auxiliary(stream, &*handler).await });
        } else {
            sleep(ACCEPT_RETRY_DELAY).await;
        }
    }
}

async fn serve_auxiliary(stream: TcpStream, handler: &dyn Fn(&Request) -> Reply) {
    let Ok(mut conn) = Conn::accepted(stream, AUXILIARY_TIMEOUT) else { return };
    while let Ok(Some(request)) =
        read_head(&mut conn, AUXILIARY_HEAD_BYTES_MAX, AUXILIARY_TIMEOUT, AUXILIARY_TIMEOUT).await
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
        if conn.write(out.as_bytes()).await.is_err() {
            return;
        }
        if !keep_open {
            return conn.finish().await;
        }
    }
}
