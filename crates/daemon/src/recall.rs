//! Recalls of free tokens between instances, over the link to the peers.

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

/// Peers that are asked for one recall.
const ASKED: usize = 8;
/// Longest time for which an answer to a recall is awaited.
const TIME: Duration = Duration::from_millis(200);

/// Asks other instances to give back free tokens.
#[derive(Debug)]
pub struct Asker {
    shared: Arc<Shared>,
    pool: Pool,
    next: AtomicUsize,
}

impl Asker {
    /// Opens the way to the peers over a pool of links.
    #[must_use]
    pub fn open(shared: Arc<Shared>, pool: Pool) -> Self {
        Self { shared, pool, next: AtomicUsize::new(0) }
    }

    /// Returns the peers to ask, starting with another one each time.
    fn targets(&self) -> Vec<SocketAddr> {
        let listed = self.shared.membership.listed();
        let own = &self.shared.membership.own().instance;
        let others = listed.iter().filter(|listing| listing.instance != *own);
        let addresses: Vec<SocketAddr> =
            others.filter_map(|listing| listing.peer_address.parse().ok()).collect();
        let skipped = self.next.fetch_add(ASKED, Ordering::Relaxed) % addresses.len().max(1);
        addresses.iter().cycle().skip(skipped).take(ASKED.min(addresses.len())).copied().collect()
    }

    async fn ask(&self, recall: Recall) {
        let transfer = uuid::Uuid::now_v7().simple().to_string();
        let Recall { budget, tokens } = recall;
        let take = Request::Take(Take { budget: budget.to_string(), tokens, transfer });
        let calls = self.targets().into_iter().map(|peer| self.pool.call(peer, &take, TIME));
        // A peer that does not answer leaves the request to the others and to the table.
        drop(join_all(calls).await);
    }
}

impl Peers for Asker {
    fn recall(&self, recall: Recall) -> LocalBoxFuture<'_, ()> {
        self.ask(recall).boxed_local()
    }
}

/// Gives free tokens back to the table when a peer is short of them.
#[derive(Debug)]
pub struct Giver {
    /// State with the budgets of this instance.
    pub shared: Arc<Shared>,
}

impl Donor for Giver {
    /// Hands nothing over directly: what is given back can be taken from the table.
    fn take(&self, _from: Identity, take: Take) -> Pending<'_, Tokens> {
        let Take { budget, tokens, .. } = take;
        self.shared.ledger.recall(Recall { budget: budget.into(), tokens });
        ready(Ok(0)).boxed_local()
    }
}

/// Returns the way to the peers, or none without a link.
#[must_use]
pub fn peers(shared: &Arc<Shared>, pool: Option<&Pool>) -> Rc<dyn Peers> {
    match pool {
        Some(pool) => Rc::new(Asker::open(Arc::clone(shared), pool.clone())),
        None => Rc::new(ledger::peer::NoPeers),
    }
}
