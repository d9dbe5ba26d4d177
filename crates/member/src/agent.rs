//! Runs the membership protocol over the links to the peers.

use std::cell::RefCell;
use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use slog::{Logger, debug};
use store::Listing;
use tokio::sync::Notify;
use tokio::time::sleep;
use wire::Pool;
use wire::message::{Gossip, Member, Record, Reply, Request, State};

use crate::protocol::{Action, Settings};
use crate::{Protocol, View};

/// Longest wait for the reply to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for a helper's reply; covers the helper's own heartbeat timeout.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);

/// Dependencies and settings of an [`Agent`].
#[derive(Debug)]
pub struct Context {
    /// This instance as it is gossiped to the peers.
    pub own: Member,
    /// Intervals and timeouts of the protocol.
    pub settings: Settings,
    /// Peer addresses through which this instance joins the fleet.
    pub seeds: Vec<String>,
    /// Connection pool for calls to the peers.
    pub pool: Pool,
    /// View that the agent updates with the members.
    pub view: Arc<View>,
    /// Source of monotonic and wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Logger for failed heartbeats.
    pub log: Logger,
}

/// Handle to the running membership protocol, bound to one thread.
#[derive(Debug, Clone)]
pub struct Agent {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    protocol: RefCell<Protocol>,
    settings: Settings,
    pool: Pool,
    view: Arc<View>,
    clock: Arc<dyn Clock>,
    log: Logger,
    /// Notified when a configuration version newer than the one in force here is seen.
    newer_version: Rc<Notify>,
}

impl Agent {
    /// Spawns the heartbeat loop on the current thread.
    ///
    /// `load` returns the number of requests in flight at this instance.
    #[must_use]
    pub fn spawn(context: Context, load: impl Fn() -> u32 + 'static) -> Self {
        let Context { own, settings, seeds, pool, view, clock, log } = context;
        let newer_version = Rc::new(Notify::new());
        let protocol = RefCell::new(Protocol::open(own, settings, seeds));
        let agent = Self {
            inner: Rc::new(Inner { protocol, settings, pool, view, clock, log, newer_version }),
        };
        ntex::rt::spawn(agent.clone().run(load));
        agent
    }

    async fn run(self, load: impl Fn() -> u32) {
        loop {
            let (now, wall_ms) = self.read_clocks();
            let is_leaving = self.inner.view.is_leaving();
            let actions = {
                let mut protocol = self.inner.protocol.borrow_mut();
                protocol.set_load(load());
                let starts_leaving = is_leaving && protocol.own().state == State::Alive;
                if starts_leaving {
                    protocol.leave();
                }
                let mut actions = protocol.tick(now, wall_ms, &mut rand::rng());
                actions.extend(
                    starts_leaving
                        .then(|| protocol.notify_neighbours(wall_ms))
                        .into_iter()
                        .flatten(),
                );
                actions
            };
            self.spawn_actions(actions);
            self.publish();
            self.inner.pool.close_idle();
            sleep(self.inner.settings.heartbeat_interval).await;
        }
    }

    fn read_clocks(&self) -> (Duration, u64) {
        (self.inner.clock.now(), millis(self.inner.clock.wall()))
    }

    /// Copies the members to the view and signals a newer configuration version.
    fn publish(&self) {
        let protocol = self.inner.protocol.borrow();
        self.inner.view.set_members(protocol.members().cloned().collect());
        if protocol.newest_version().is_some() {
            self.inner.newer_version.notify_one();
        }
    }

    /// Waits until a configuration version newer than the one in force is seen.
    pub async fn wait_for_newer_version(&self) {
        self.inner.newer_version.notified().await;
    }

    fn spawn_actions(&self, actions: Vec<Action>) {
        for action in actions {
            ntex::rt::spawn(self.clone().execute(action));
        }
    }

    /// Executes one action, and spawns the actions that its failure requires.
    fn execute(self, action: Action) -> LocalBoxFuture<'static, ()> {
        async move {
            match action {
                Action::Heartbeat { target, address, gossip } => {
                    self.heartbeat(target, &address, gossip).await;
                }
                Action::Probe { helper_address, target, target_address } => {
                    let reply = self
                        .call(&helper_address, Request::Probe(target_address), PROBE_TIMEOUT)
                        .await;
                    let reached = matches!(reply, Some(Reply::Reached(true)));
                    let now = self.inner.clock.now();
                    self.inner.protocol.borrow_mut().probe_finished(&target, reached, now);
                }
            }
            self.publish();
        }
        .boxed_local()
    }

    async fn heartbeat(&self, target: String, address: &str, gossip: Gossip) {
        let reply = self.call(address, Request::Gossip(gossip), HEARTBEAT_TIMEOUT).await;
        let (now, wall_ms) = self.read_clocks();
        if let Some(Reply::Gossip(gossip)) = reply {
            self.inner.protocol.borrow_mut().merge_gossip(gossip, now, wall_ms);
            return;
        }
        debug!(self.inner.log, "heartbeat not answered"; "peer" => &target);
        let actions =
            self.inner.protocol.borrow_mut().heartbeat_failed(&target, now, &mut rand::rng());
        self.spawn_actions(actions);
    }

    async fn call(&self, address: &str, request: Request, timeout: Duration) -> Option<Reply> {
        let address = address.parse().ok()?;
        self.inner.pool.call(address, &request, timeout).await.ok()
    }

    /// Merges the platform's instance list into the members.
    pub fn update_listed(&self, listed: &[Listing]) {
        let now = self.inner.clock.now();
        self.inner.protocol.borrow_mut().update_listed(listed, now);
        self.publish();
    }

    /// Merges a peer's heartbeat and returns the gossip to reply with.
    #[must_use]
    pub fn receive_heartbeat(&self, gossip: Gossip) -> Gossip {
        let (now, wall_ms) = self.read_clocks();
        let answer = self.inner.protocol.borrow_mut().receive_heartbeat(gossip, now, wall_ms);
        self.publish();
        answer
    }

    /// Returns true if an instance answers a heartbeat; serves a peer's indirect probe.
    pub async fn probe(&self, peer_address: &str) -> bool {
        let empty = Request::Gossip(Gossip::default());
        self.call(peer_address, empty, HEARTBEAT_TIMEOUT).await.is_some()
    }

    /// Records the configuration version in force and notifies the neighbours if it is newer.
    pub fn set_version(&self, version: Version) {
        let wall_ms = millis(self.inner.clock.wall());
        let actions = {
            let mut protocol = self.inner.protocol.borrow_mut();
            if !protocol.set_version(version, wall_ms) {
                return;
            }
            protocol.notify_neighbours(wall_ms)
        };
        self.spawn_actions(actions);
        self.publish();
    }

    /// Returns the newest configuration version and the addresses of peers to fetch from.
    ///
    /// These peers have newer versions than the one in force here. `None` means that no newer
    /// version is known.
    #[must_use]
    pub fn newest_version(&self) -> Option<(Version, Vec<String>)> {
        self.inner.protocol.borrow().newest_version()
    }

    /// Adds a record to be gossiped to all instances.
    pub fn add_record(&self, record: Record) {
        let wall_ms = millis(self.inner.clock.wall());
        self.inner.protocol.borrow_mut().add_record(record, wall_ms);
    }

    /// Returns the records received from peers since the last call.
    #[must_use]
    pub fn take_received_records(&self) -> Vec<Record> {
        self.inner.protocol.borrow_mut().take_received_records()
    }

    /// Returns the connection pool for calls to the peers.
    #[must_use]
    pub fn pool(&self) -> &Pool {
        &self.inner.pool
    }
}
