//! The end of a tunnel at the instance that reaches the upstream.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;

use base::prelude::*;
use bytes::BytesMut;
use futures::future::{self, Either};
use h1::{Conn, Socket, frame};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use wire::message::Ticket;

/// Time for which a connection is held until its ticket arrives.
const TICKET_LIFETIME: Duration = Duration::from_secs(1);
/// Most bytes of one frame.
const FRAME_BYTES: usize = 16 << 10;
/// Longest wait for the other instance to close a tunnel whose stream has ended.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Holds connections to upstreams for other instances, and carries their bytes.
#[derive(Debug)]
pub struct Exit {
    held: RefCell<HashMap<Ticket, Socket>>,
    carried: Cell<usize>,
    /// Accepted connections whose ticket has not arrived.
    waiting: Cell<usize>,
    /// Most connections that are held or carried at once, and most that wait for their ticket.
    max_tunnels: usize,
    unacked_timeout: Duration,
}

/// Guard that adds one to a count until the guard is dropped.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn open(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Exit {
    /// Accepts tunnels on a listening socket until the thread ends.
    ///
    /// At most `max_tunnels` connections are held or carried, two descriptors each.
    /// Sent bytes that stay unacknowledged for `unacked_timeout` end a tunnel.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be switched to nonblocking operation.
    pub fn spawn(
        listener: std::net::TcpListener,
        max_tunnels: usize,
        unacked_timeout: Duration,
    ) -> io::Result<Rc<Self>> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let exit = Rc::new(Self {
            held: RefCell::default(),
            carried: Cell::new(0),
            waiting: Cell::new(0),
            max_tunnels,
            unacked_timeout,
        });
        ntex::rt::spawn(Rc::clone(&exit).accept(listener));
        Ok(exit)
    }

    /// Returns true if no further connection can be held.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.held.borrow().len() + self.carried.get() >= self.max_tunnels
    }

    /// Returns how many tunnels are open; each carries one request.
    #[must_use]
    pub fn carried(&self) -> usize {
        self.carried.get()
    }

    /// Holds a connection to an upstream until its ticket arrives, for a second at most.
    pub fn hold(self: &Rc<Self>, upstream: Conn) -> Ticket {
        let ticket: Ticket = rand::random();
        self.held.borrow_mut().insert(ticket, upstream.into_socket());
        let exit = Rc::clone(self);
        ntex::rt::spawn(async move {
            sleep(TICKET_LIFETIME).await;
            exit.held.borrow_mut().remove(&ticket);
        });
        ticket
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if self.waiting.get() >= self.max_tunnels {
                continue;
            }
            let exit = Rc::clone(&self);
            ntex::rt::spawn(async move { exit.serve(stream).await });
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let Ok(conn) = Conn::from_stream(stream, self.unacked_timeout) else { return };
        let caller = conn.into_socket();
        let waiting = Counted::open(&self.waiting);
        let Ok(Ok(ticket)) = timeout(TICKET_LIFETIME, read_ticket(&caller)).await else { return };
        drop(waiting);
        let Some(upstream) = self.held.borrow_mut().remove(&ticket) else { return };
        let _carried = Counted::open(&self.carried);
        carry(&upstream, &caller).await;
    }
}

async fn read_ticket(caller: &Socket) -> io::Result<Ticket> {
    let mut ticket = Ticket::default();
    let mut rest = &mut ticket[..];
    while !rest.is_empty() {
        if caller.read_buf(&mut rest).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(ticket)
}

/// Copies bytes until the upstream has ended its stream, or one side has failed.
///
/// The frame that ends the stream is left out after a failure.
async fn carry(upstream: &Socket, caller: &Socket) {
    let has_ended = {
        let requesting = std::pin::pin!(copy_request(caller, upstream));
        let answering = std::pin::pin!(copy_answer(upstream, caller));
        match future::select(requesting, answering).await {
            Either::Left(((), _)) => false,
            Either::Right((result, _)) => result.is_ok(),
        }
    };
    if has_ended && caller.shutdown_write().is_ok() {
        // A close with unread bytes would reset the connection, and lose the end of the stream.
        let drain = async {
            let mut rest = BytesMut::with_capacity(FRAME_BYTES);
            while matches!(caller.read_buf(&mut rest).await, Ok(1..)) {
                rest.clear();
            }
        };
        // The tunnel is closed in any case.
        drop(timeout(LINGER_TIMEOUT, drain).await);
    }
}

/// Copies bytes to the upstream until the other instance closes the tunnel.
async fn copy_request(caller: &Socket, upstream: &Socket) {
    let mut buffer = BytesMut::with_capacity(FRAME_BYTES);
    let mut is_broken = false;
    while matches!(caller.read_buf(&mut buffer).await, Ok(1..)) {
        // The upstream may have answered before it closed, so the answer is still carried.
        is_broken = is_broken || upstream.write_all(&buffer).await.is_err();
        buffer.clear();
    }
}

/// Copies bytes from the upstream in frames, with one at the end that ends the stream.
async fn copy_answer(upstream: &Socket, caller: &Socket) -> io::Result<()> {
    let mut buffer = BytesMut::with_capacity(frame::HEADER_BYTES + FRAME_BYTES);
    loop {
        buffer.clear();
        buffer.extend_from_slice(&frame::header(0)?);
        let count = upstream.read_buf(&mut buffer).await?;
        buffer[..frame::HEADER_BYTES].copy_from_slice(&frame::header(count)?);
        caller.write_all(&buffer).await?;
        if count == 0 {
            return Ok(());
        }
    }
}
