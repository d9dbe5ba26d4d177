//! Control thread, which runs the controllers.
//!
//! Controllers are loops that keep this instance's state consistent with the platform and peers.

use std::rc::Rc;

use base::prelude::*;
use flow::Shared;
use ledger::event::{self, Inbox};
use member::Agent;
use ntex::time::{Millis, sleep};
use plan::keyring;
use route::poison;
use slog::warn;
use store::remote::Platform;
use store::{Instances, Listing, Table};
use tokio::sync::Notify;

use crate::config::{self, Controller};
use crate::keys::Keys;
use crate::peer;
use crate::recall::{self, Responder};
use crate::recovery;
use crate::upstream_poll::Poller;

/// State with which the control thread starts its loops.
#[derive(Debug)]
pub struct Task {
    /// Commands of the workers for the ledger.
    pub ledger_inbox: Inbox,
    /// Commands of the workers for the claims of idempotency keys.
    pub claims_inbox: idem::event::Inbox,
    /// Requests of the workers to read callers' keys.
    pub key_inbox: keyring::Inbox,
    /// State shared with the worker threads.
    pub shared: Arc<Shared>,
    /// Settings of this instance.
    pub settings: conf::Settings,
    /// Incarnation: when this instance started, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Notified when this instance has confirmed a plan.
    pub on_confirm: Arc<Notify>,
    /// Inbox of the loop that shares crash records through the table.
    pub crash_record_inbox: poison::client::Inbox,
}

impl Task {
    /// Spawns all loops on the current thread; they run until it ends.
    pub fn spawn(self) {
        ntex::rt::spawn(self.start());
    }

    async fn start(self) {
        let Self {
            ledger_inbox,
            claims_inbox,
            key_inbox,
            shared,
            settings,
            incarnation,
            on_confirm,
            crash_record_inbox,
        } = self;
        let platform = &settings.platform;
        let client = Rc::new(Platform::open(platform.address, platform.timeout));
        let table = Rc::clone(&client) as Rc<dyn Table>;
        idem::event::spawn(claims_inbox, Rc::clone(&table));
        ntex::rt::spawn(poison::client::serve(
            crash_record_inbox,
            Rc::clone(&table),
            platform.poll_interval,
            shared.log.clone(),
        ));
        let (fleet, clock) = (Arc::clone(&shared.upstreams), Arc::clone(&shared.clock));
        let poller = Poller::open(fleet, clock, settings.route.clone(), shared.log.clone());
        ntex::rt::spawn(poller.run());
        let donor = Rc::new(Responder { shared: Arc::clone(&shared) });
        let endpoint = peer::try_open(&settings, incarnation, &shared, donor);
        let peers = recall::peers(&shared, endpoint.as_ref().map(|endpoint| endpoint.agent.pool()));
        event::spawn(ledger_inbox, Rc::clone(&table), peers);
        let agent = endpoint.as_ref().map(|endpoint| endpoint.agent.clone());
        ntex::rt::spawn(recovery::run(Arc::clone(&shared), Rc::clone(&table)));
        let source = Keys::open(Rc::clone(&table), agent.clone(), Arc::clone(&shared));
        ntex::rt::spawn(key_inbox.run(Rc::new(source)));
        let planner = config::open_planner(table, &shared);
        let poll_interval = platform.poll_interval;
        Controller {
            shared: Arc::clone(&shared),
            planner,
            agent: agent.clone(),
            poll_interval,
            on_confirm,
        }
        .spawn();
        poll_instances(shared, client, poll_interval, agent).await;
        // The endpoint must live as long as the loop above, which never ends.
        drop(endpoint);
    }
}

async fn poll_instances(
    shared: Arc<Shared>,
    instances: Rc<dyn Instances>,
    poll_interval: Duration,
    agent: Option<Agent>,
) {
    loop {
        match instances.list().await {
            Ok(listed) => {
                let listed = apply_upstream_listings(&shared.upstreams, listed);
                if let Some(agent) = &agent {
                    agent.update_listed(&listed);
                }
                shared.membership.set_listed(listed);
            }
            Err(error) => warn!(shared.log, "cannot read the list of instances"; "error" => %error),
        }
        sleep(Millis::from(poll_interval)).await;
    }
}

/// Applies the entries that are upstreams to the fleet and returns the other entries.
fn apply_upstream_listings(fleet: &route::Fleet, listed: Vec<Listing>) -> Vec<Listing> {
    let mut rest = Vec::new();
    for entry in listed {
        let address = entry.address.parse().ok();
        match address.and_then(|address| fleet.find_by_address(address)) {
            Some(upstream) => upstream.set_listed_leaving(entry.leaving),
            None => rest.push(entry),
        }
    }
    rest
}
