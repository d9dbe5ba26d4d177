//! Links to many peers, opened on demand.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use tokio::sync::Mutex;

use crate::backoff::Backoff;
use crate::message::{Reply, Request};
use crate::{Context, Error, Link};

/// Time after which an unused link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

#[derive(Debug, Default)]
struct Peer {
    link: RefCell<Option<Rc<Link>>>,
    open_lock: Mutex<()>,
    backoff: Cell<Backoff>,
    last_used_at: Cell<Duration>,
}

/// Links by the address of the peer, owned by one thread.
#[derive(Debug, Clone)]
pub struct Pool {
    context: Context,
    clock: Arc<dyn Clock>,
    peers: Rc<RefCell<HashMap<SocketAddr, Rc<Peer>>>>,
}

impl Pool {
    /// Opens an empty pool.
    #[must_use]
    pub fn open(context: Context, clock: Arc<dyn Clock>) -> Self {
        Self { context, clock, peers: Rc::default() }
    }

    /// Calls a peer, over a link that is opened if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer does not answer in time; only [`Error::Busy`],
    /// [`Error::Backoff`] and [`Error::Refused`] tell that the call had no effect.
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
        if link.is_broken() {
            peer.link.borrow_mut().take_if(|current| Rc::ptr_eq(current, &link));
        }
        answer
    }

    /// Closes links that were not used for a while; call it now and then.
    pub fn close_idle(&self) {
        let now = self.clock.now();
        let is_recent = |peer: &Peer| now.saturating_sub(peer.last_used_at.get()) < IDLE_TIMEOUT;
        self.peers.borrow_mut().retain(|_, peer| is_recent(peer));
    }

    /// Closes the link to an address, so that the next call opens a new one.
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
