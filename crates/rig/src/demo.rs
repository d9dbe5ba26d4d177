//! The whole system in one process: three instances, platform, engine and plain service.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use conf::Settings;
use daemon::Handle;
use ntex::http::Method;
use ntex::time::{Millis, sleep};
use plan::hash::digest;
use serde::Serialize;
use serde_json::{Value, json};
use slog::Logger;
use store::Listing;
use thiserror::Error;

use crate::client;
use crate::cluster::free_address;
use crate::engine::{self, Engine};
use crate::journal::Journal;
use crate::plain::{self, Plain};
use crate::platform::{self, Platform};
use crate::serve;

/// Instances that the demo starts.
const INSTANCES: usize = 3;
/// Key of the demo's operator.
const ADMIN_KEY: &str = "demo-admin";
/// Key of the link between the demo's instances.
const PEER_KEY: &str = "demo-peer-key-0123456789";
/// Tokens of the budget that covers about three short requests.
const POOR: u64 = 120;
/// Longest time until all instances have the configuration.
const START_TIME: Duration = Duration::from_secs(20);
/// Interval at which the demo looks whether the instances are ready.
const TICK: Duration = Duration::from_millis(20);

/// Why the demo could not start.
#[derive(Debug, Error)]
pub enum Error {
    /// A stand-in could not listen.
    #[error("cannot start a stand-in: {0}")]
    StandIn(#[from] io::Error),
    /// An instance could not start.
    #[error(transparent)]
    Instance(#[from] daemon::Error),
    /// The configuration could not be confirmed.
    #[error("cannot configure: {0}")]
    Configure(#[from] client::Error),
    /// The configuration did not come into force in time.
    #[error("the instances did not become ready in time")]
    NotReady,
}

/// What a trial needs to know about the running demo.
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    /// Addresses of the instances.
    pub addresses: Vec<String>,
    /// Key of a caller.
    pub key: String,
    /// Key of a caller of another client account.
    pub other_key: String,
    /// Key of a caller whose budget covers about three short requests.
    pub poor_key: String,
    /// Key of an operator.
    pub admin_key: String,
    /// Address for operators.
    pub admin_address: String,
    /// Model.
    pub model: String,
    /// Plain service.
    pub service: String,
    /// Where the runs of the stand-ins are listed.
    pub journal_url: String,
    /// Where the platform's budgets are listed.
    pub budgets_url: String,
}

/// The running demo.
#[derive(Debug)]
pub struct Demo {
    /// What a trial needs to know.
    pub line: Line,
    instances: Vec<Handle>,
    standins: Vec<serve::Handle>,
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Starts everything and waits until the configuration is in force everywhere.
///
/// # Errors
///
/// Returns an error if a part cannot start.
pub async fn spawn(log: &Logger) -> Result<Demo, Error> {
    let journal = Journal::default();
    let state = Platform::default();
    let platform = platform::spawn(any_port(), state.clone())?;
    let engine = Engine::open(engine::Settings::default(), journal.clone());
    let engine = engine::spawn(any_port(), engine)?;
    let plain = Plain::open("plain-1", Duration::from_millis(5), journal);
    let plain = plain::spawn(any_port(), plain)?;
    let mut instances = Vec::new();
    let mut peers = Vec::new();
    for number in 1..=INSTANCES {
        let peer = free_address()?;
        instances.push(daemon::spawn(settings(number, platform.address, peer), log).await?);
        peers.push(peer);
    }
    let listed = instances.iter().enumerate().map(|(number, handle)| Listing {
        instance: format!("demo-{}", number + 1),
        address: handle.address().to_string(),
        peer_address: peers[number].to_string(),
        domain: domain(number + 1),
        leaving: false,
    });
    state.memory().set_instances(listed.collect());
    configure(instances[0].address(), &intent(engine.address, plain.address)).await?;
    ready(&instances).await?;
    let line = Line {
        addresses: instances.iter().map(|handle| handle.address().to_string()).collect(),
        key: "demo-key".into(),
        other_key: "demo-other".into(),
        poor_key: "demo-poor".into(),
        admin_key: ADMIN_KEY.into(),
        admin_address: instances[0].address().to_string(),
        model: "demo-model".into(),
        service: "delivery".into(),
        journal_url: format!("http://{}/journal", engine.address),
        budgets_url: format!("http://{}/budgets", platform.address),
    };
    Ok(Demo { line, instances, standins: vec![engine, plain, platform] })
}

fn domain(number: usize) -> String {
    format!("domain-{number}")
}

fn settings(number: usize, platform: SocketAddr, peer: SocketAddr) -> Settings {
    let mut settings = Settings::default();
    settings.instance.name = format!("demo-{number}");
    settings.instance.domain = domain(number);
    settings.instance.listen = any_port();
    settings.instance.workers = 1;
    settings.instance.peer_listen = peer;
    settings.peers.key = Some(PEER_KEY.into());
    settings.platform.address = platform;
    settings.platform.poll_interval = Duration::from_millis(100);
    settings.admin.root_digest = Some(digest(ADMIN_KEY));
    settings
}

/// The configuration of the demo, as an operator would state it.
fn intent(engine: SocketAddr, plain: SocketAddr) -> Value {
    json!({
        "accounts": {"courier": {}, "merchant": {}, "kiosk": {}},
        "budgets": {
            "courier": {"account": "courier", "paid": 5_000_000},
            "merchant": {"account": "merchant", "paid": 5_000_000},
            "kiosk": {"account": "kiosk", "paid": POOR},
        },
        "keys": {
            digest("demo-key"): {"account": "courier", "budget": "courier"},
            digest("demo-other"): {"account": "merchant", "budget": "merchant"},
            digest("demo-poor"): {"account": "kiosk", "budget": "kiosk"},
        },
        "models": {"demo-model": {
            "upstreams": ["engine-1"], "max_tokens": 32, "template_tokens": 0,
        }},
        "services": {
            "delivery": {"upstreams": ["plain-1"], "non_idempotent": ["POST /confirm*"]},
        },
        "upstreams": {
            "engine-1": {"kind": "engine", "address": engine, "domain": "domain-1"},
            "plain-1": {"kind": "service", "address": plain, "domain": "domain-1"},
        },
    })
}

/// Plans and confirms an intent.
///
/// # Errors
///
/// Returns an error if the plan is refused.
pub async fn configure(address: SocketAddr, intent: &Value) -> Result<(), client::Error> {
    let http = client::open(4).await;
    let base = format!("http://{address}/admin/v1/plans");
    let plan: Value =
        client::json(&http, Method::POST, base.clone(), Some(ADMIN_KEY), intent).await?;
    let id = plan["id"].as_str().unwrap_or_default();
    let url = format!("{base}/{id}/confirm");
    let _version: Value = client::json(&http, Method::POST, url, Some(ADMIN_KEY), &()).await?;
    Ok(())
}

async fn ready(instances: &[Handle]) -> Result<(), Error> {
    let is_ready = |handle: &Handle| {
        let shared = handle.shared();
        shared.config.load().version > 0 && shared.membership.listed().len() == INSTANCES
    };
    let turns = START_TIME.as_millis() / TICK.as_millis();
    for _ in 0..turns {
        if instances.iter().all(is_ready) {
            return Ok(());
        }
        sleep(Millis::from(TICK)).await;
    }
    Err(Error::NotReady)
}

impl Demo {
    /// Stops the instances gracefully and then the stand-ins.
    pub async fn stop(self) {
        let stops = self.instances.into_iter().map(Handle::stop);
        futures::future::join_all(stops).await;
        for standin in self.standins {
            standin.stop().await;
        }
    }
}
