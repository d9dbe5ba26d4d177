//! Controller: keeps the newest confirmed configuration in force.

use std::rc::Rc;

use base::prelude::*;
use flow::Shared;
use futures::future::{Either, select};
use member::Agent;
use plan::Doc;
use plan::planner::Planner;
use slog::{info, warn};
use store::Table;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use wire::message::{Fetch, Reply, Request};

/// Longest time to wait for the table before the peers are asked.
const TABLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for the answer of a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Peers that are asked in one round.
const MAX_PEER_FETCHES: usize = 3;

/// What the controller works with.
#[derive(Debug)]
pub struct Controller {
    /// State shared with the workers.
    pub shared: Arc<Shared>,
    /// Reads the configuration from the table.
    pub desk: Planner,
    /// The peers, if there is a link to them.
    pub agent: Option<Agent>,
    /// Interval between readings of the table.
    pub poll_interval: Duration,
    /// Notified when this instance has confirmed something.
    pub on_confirm: Arc<Notify>,
}

impl Controller {
    /// Spawns the controller on the current thread.
    pub fn spawn(self) {
        ntex::rt::spawn(self.run());
    }

    async fn run(self) {
        loop {
            self.refresh().await;
            self.wait_for_trigger().await;
        }
    }

    /// Waits for the interval, for news of a peer or for a confirmation here.
    async fn wait_for_trigger(&self) {
        let newer_version = async {
            match &self.agent {
                Some(agent) => agent.wait_for_newer_version().await,
                None => std::future::pending().await,
            }
        };
        let woken = select(Box::pin(newer_version), Box::pin(self.on_confirm.notified()));
        match select(woken, Box::pin(sleep(self.poll_interval))).await {
            Either::Left(_) | Either::Right(_) => {}
        }
    }

    async fn refresh(&self) {
        let read = timeout(TABLE_TIMEOUT, self.desk.current()).await;
        match read {
            Ok(Ok(current)) => self.apply(current.doc),
            Ok(Err(error)) => {
                warn!(self.shared.log, "cannot read the configuration"; "error" => %error);
            }
            Err(_) => warn!(self.shared.log, "the table is slow to give the configuration"),
        }
        let Some(agent) = &self.agent else { return };
        // A reading of the table may be stale, so what peers run counts as well.
        if let Some((_, addresses)) = agent.newest_version() {
            for address in addresses.into_iter().take(MAX_PEER_FETCHES) {
                if self.fetch_from_peer(agent, &address).await {
                    break;
                }
            }
        }
    }

    /// Reads the configuration of a peer and returns true if it was newer.
    async fn fetch_from_peer(&self, agent: &Agent, address: &str) -> bool {
        let Ok(address) = address.parse() else { return false };
        let newer_than = self.shared.config.load().version;
        let fetch = Request::Fetch(Fetch { newer_than, key: String::new() });
        let reply = agent.pool().call(address, &fetch, PEER_TIMEOUT).await;
        let Ok(Reply::Document(document)) = reply else { return false };
        match serde_json::from_slice::<Doc>(&document.body) {
            Ok(doc) => {
                self.apply(doc);
                self.shared.config.load().version > newer_than
            }
            Err(_) => false,
        }
    }

    /// Puts a document in force if it is newer than the one in force, and tells the peers.
    fn apply(&self, doc: Doc) {
        let version = doc.version;
        if self.shared.config.replace_if_newer(doc) {
            self.shared.upstreams.apply(&self.shared.config.load());
            info!(self.shared.log, "configuration in force"; "version" => version);
            if let Some(agent) = &self.agent {
                agent.set_version(version);
            }
        }
    }
}

/// Opens the reader of the configuration over a table.
#[must_use]
pub fn desk(table: Rc<dyn Table>, shared: &Shared) -> Planner {
    Planner::open(table, Arc::clone(&shared.clock))
}
