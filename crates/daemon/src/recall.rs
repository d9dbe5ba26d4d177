//! Recalls: an instance that is short of tokens has its peers return free tokens.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};

use base::prelude::*;
use flow::Shared;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, join_all, ready};
use ledger::peer::{Peers, Recall};
use wire::Pool;
use wire::handler::Pending;
use wire::message::{Identity, Request, Take};

use crate::peer::Donor;

/// Most peers that one recall is sent to.
const MAX_PEERS_PER_RECALL: usize = 8;
/// Longest wait for the answer to a recall.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Sends recalls to other instances.
#[derive(Debug)]
pub struct Requester {
    shared: Arc<Shared>,
    pool: Pool,
    next_peer: AtomicUsize,
}

impl Requester {
    /// Opens a requester that sends through a connection pool.
    #[must_use]
    pub fn open(shared: Arc<Shared>, pool: Pool) -> Self {
        Self { shared, pool, next_peer: AtomicUsize::new(0) }
    }

    /// Returns the peers for one recall; successive recalls rotate through all peers.
    fn select_peers(&self) -> Vec<SocketAddr> {
        let listed = self.shared.membership.listed();
        let own = &self.shared.membership.own().instance;
        let others = listed.iter().filter(|listing| listing.instance != *own);
        let addresses: Vec<SocketAddr> =
            others.filter_map(|listing| listing.peer_address.parse().ok()).collect();
        let skipped = self.next_peer.fetch_add(MAX_PEERS_PER_RECALL, Ordering::Relaxed)
            % addresses.len().max(1);
        addresses
            .iter()
            .cycle()
            .skip(skipped)
            .take(MAX_PEERS_PER_RECALL.min(addresses.len()))
            .copied()
            .collect()
    }

    async fn send(&self, recall: Recall) {
        let transfer = uuid::Uuid::now_v7().simple().to_string();
        let Recall { budget, tokens } = recall;
        let take = Request::Take(Take { budget: budget.to_string(), tokens, transfer });
        let calls =
            self.select_peers().into_iter().map(|peer| self.pool.call(peer, &take, CALL_TIMEOUT));
        // Failed calls are ignored: returned tokens are found in the table, whichever peer
        // returned them.
        drop(join_all(calls).await);
    }
}

impl Peers for Requester {
    fn recall(&self, recall: Recall) -> LocalBoxFuture<'_, ()> {
        self.send(recall).boxed_local()
    }
}

/// Returns free tokens to the table on a recall of a peer.
#[derive(Debug)]
pub struct Responder {
    /// State with the ledger that holds the pieces of this instance.
    pub shared: Arc<Shared>,
}

impl Donor for Responder {
    /// Starts the return and answers 0: the peer takes the tokens from the table.
    fn take(&self, _from: Identity, take: Take) -> Pending<'_, Tokens> {
        let Take { budget, tokens, .. } = take;
        self.shared.ledger.recall(Recall { budget: budget.into(), tokens });
        ready(Ok(0)).boxed_local()
    }
}

/// Returns a sender of recalls; without a `pool` it sends none.
#[must_use]
pub fn peers(shared: &Arc<Shared>, pool: Option<&Pool>) -> Rc<dyn Peers> {
    match pool {
        Some(pool) => Rc::new(Requester::open(Arc::clone(shared), pool.clone())),
        None => Rc::new(ledger::peer::NoPeers),
    }
}
