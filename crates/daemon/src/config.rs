//! Controller that puts the newest confirmed configuration in force on this instance.

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

/// Longest wait for a read of the configuration from the table.
const TABLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the answer of a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Most peers that are called in one refresh.
const MAX_PEER_FETCHES: usize = 3;

/// Controller of the configuration, with the sources that it reads.
#[derive(Debug)]
pub struct Controller {
    /// State shared with the worker threads.
    pub shared: Arc<Shared>,
    /// Access to the configuration in the table.
    pub planner: Planner,
    /// Membership agent; `None` without a link to the peers.
    pub agent: Option<Agent>,
    /// Interval between reads of the table.
    pub poll_interval: Duration,
    /// Notified when this instance has confirmed a plan.
    pub on_confirm: Arc<Notify>,
}

impl Controller {
    /// Spawns the controller on the current thread; it runs until the thread ends.
    pub fn spawn(self) {
        ntex::rt::spawn(self.run());
    }

    async fn run(self) {
        loop {
            self.refresh().await;
            self.wait_for_trigger().await;
        }
    }

    /// Waits for the interval's end, a peer's newer version or a confirmation by this instance.
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
        let read = timeout(TABLE_TIMEOUT, self.planner.current()).await;
        match read {
            Ok(Ok(current)) => self.apply(current.doc),
            Ok(Err(error)) => {
                warn!(self.shared.log, "cannot read the configuration"; "error" => %error);
            }
            Err(_) => warn!(self.shared.log, "timed out reading the configuration from the table"),
        }
        let Some(agent) = &self.agent else { return };
        // A read of the table may be stale, so the versions of the peers are compared as well.
        if let Some((_, addresses)) = agent.newest_version() {
            for address in addresses.into_iter().take(MAX_PEER_FETCHES) {
                if self.fetch_from_peer(agent, &address).await {
                    break;
                }
            }
        }
    }

    /// Fetches the configuration of a peer; returns true if it was newer and is applied.
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

    /// Puts a newer document in force and announces its version to the peers.
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

/// Opens access to the configuration in a table.
#[must_use]
pub fn open_planner(table: Rc<dyn Table>, shared: &Shared) -> Planner {
    Planner::open(table, Arc::clone(&shared.clock))
}
