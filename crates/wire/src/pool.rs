//! Connection pool: one link for each peer, opened on demand.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use tokio::sync::Mutex;

use crate::backoff::Backoff;
use crate::message::{Reply, Request};
use crate::{Context, Error, Link};

/// Time without calls after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

#[derive(Debug, Default)]
struct Peer {
    /// Open link; `None` before the first call and after a failure.
    link: RefCell<Option<Rc<Link>>>,
    /// Held while a link is opened, so that concurrent calls share it.
    open_lock: Mutex<()>,
    backoff: Cell<Backoff>,
    /// Monotonic time of the latest call.
    last_used_at: Cell<Duration>,
}

/// Pool of links, keyed by the peer's address and bound to one thread.
#[derive(Debug, Clone)]
pub struct Pool {
    context: Context,
    clock: Arc<dyn Clock>,
    peers: Rc<RefCell<HashMap<SocketAddr, Rc<Peer>>>>,
}

impl Pool {
    /// Opens a pool without links.
    ///
    /// `context` is used for every handshake.
    #[must_use]
    pub fn open(context: Context, clock: Arc<dyn Clock>) -> Self {
        Self { context, clock, peers: Rc::default() }
    }

    /// Calls a peer; opens a link if there is none.
    ///
    /// `timeout` bounds the call, not the opening of the link.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid reply arrives in time. Only [`Error::Busy`],
    /// [`Error::Backoff`] and [`Error::Refused`] mean that the call had no effect.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, Error> {
        let peer = self.peer(address);
        peer.last_used_at.set(self.clock.now());
        let link = self.get_or_open_link(address, &peer).await?;
        let answer = link.call(request, timeout).await;
        // A connection that has gone silent shows itself only by calls without an answer.
        if link.is_broken() || answer == Err(Error::Timeout) {
            peer.link.borrow_mut().take_if(|current| Rc::ptr_eq(current, &link));
        }
        answer
    }

    /// Closes links that had no call in the last minute; must be called periodically.
    pub fn close_idle(&self) {
        let now = self.clock.now();
        let is_recent = |peer: &Peer| now.saturating_sub(peer.last_used_at.get()) < IDLE_TIMEOUT;
        self.peers.borrow_mut().retain(|_, peer| is_recent(peer));
    }

    /// Closes the link to an address and resets its backoff.
    ///
    /// The next call opens a new link.
    pub fn close(&self, address: SocketAddr) {
        self.peers.borrow_mut().remove(&address);
    }

    fn peer(&self, address: SocketAddr) -> Rc<Peer> {
        let mut peers = self.peers.borrow_mut();
        Rc::clone(peers.entry(address).or_default())
    }

    async fn get_or_open_link(&self, address: SocketAddr, peer: &Peer) -> Result<Rc<Link>, Error> {
        let _open_guard = peer.open_lock.lock().await;
        if let Some(link) = peer.link.borrow().as_ref().filter(|link| !link.is_broken()) {
            return Ok(Rc::clone(link));
        }
        let mut backoff = peer.backoff.get();
        if !backoff.allows_attempt(self.clock.now()) {
            return Err(Error::Backoff);
        }
        let opened = Link::open(address, &self.context).await;
        match &opened {
            Ok(_) => backoff.record_success(),
            Err(_) => backoff.record_failure(self.clock.now()),
        }
        peer.backoff.set(backoff);
        let link = Rc::new(opened?);
        peer.link.replace(Some(Rc::clone(&link)));
        Ok(link)
    }
}
