//! Demo: three instances and the stand-ins that they need, all in one process.

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
use crate::platform::{self, Platform};
use crate::server;
use crate::service::{self, Service};

/// Number of instances that the demo starts.
const INSTANCE_COUNT: usize = 3;
/// Key with which the operator of the demo authenticates.
const ADMIN_KEY: &str = "demo-admin";
/// Key with which the instances of the demo authenticate to each other.
const PEER_KEY: &str = "demo-peer-key-0123456789";
/// Tokens paid for the small budget, enough for about three short requests.
const POOR_BUDGET_TOKENS: u64 = 120;
/// Longest wait until all instances have the configuration.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks whether the instances are ready.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reasons why the demo cannot start.
#[derive(Debug, Error)]
pub enum Error {
    /// A stand-in cannot bind its address.
    #[error("cannot start a stand-in: {0}")]
    StandIn(#[from] io::Error),
    /// An instance cannot start.
    #[error(transparent)]
    Instance(#[from] daemon::Error),
    /// The first configuration cannot be planned or confirmed.
    #[error("cannot configure the instances: {0}")]
    Configure(#[from] client::Error),
    /// The configuration is not in force on all instances in time.
    #[error("the instances are not ready in time")]
    NotReady,
}

/// Addresses and keys of a running demo, printed as one JSON line.
#[derive(Debug, Clone, Serialize)]
pub struct Access {
    /// Addresses of the instances for callers, as `IP:PORT`.
    pub addresses: Vec<String>,
    /// API key of a caller of the first client account.
    pub key: String,
    /// API key of a caller of another client account.
    pub other_key: String,
    /// API key of a caller whose budget covers about three short requests.
    pub poor_key: String,
    /// Key of an operator with all rights.
    pub admin_key: String,
    /// Address of the instance that serves operators, as `IP:PORT`.
    pub admin_address: String,
    /// Name of the only model.
    pub model: String,
    /// Name of the only plain service, which is an upstream without a model.
    pub service: String,
    /// URL of the list of the runs at the upstreams.
    pub journal_url: String,
    /// URL of the platform stand-in's list of budgets.
    pub budgets_url: String,
}

/// A running demo; its parts run until [`Demo::stop`].
#[derive(Debug)]
pub struct Demo {
    /// Addresses and keys for callers and operators.
    pub access: Access,
    instances: Vec<Handle>,
    standins: Vec<server::Handle>,
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Starts all parts and waits until every instance runs the configuration.
///
/// # Errors
///
/// Returns an error if a part cannot start or be configured in time.
pub async fn spawn(log: &Logger) -> Result<Demo, Error> {
    let journal = Journal::default();
    let state = Platform::default();
    let platform = platform::spawn(any_port(), state.clone())?;
    let engine = Engine::open(engine::Settings::default(), journal.clone());
    let engine = engine::spawn(any_port(), engine)?;
    let service = Service::open("plain-1", Duration::from_millis(5), journal);
    let service = service::spawn(any_port(), service)?;
    let mut instances = Vec::new();
    let mut peers = Vec::new();
    for number in 1..=INSTANCE_COUNT {
        let peer = free_address()?;
        instances.push(daemon::spawn(settings(number, platform.address, peer), log).await?);
        peers.push(peer);
    }
    let listed = instances.iter().enumerate().map(|(number, handle)| Listing {
        instance: format!("demo-{}", number + 1),
        address: handle.address().to_string(),
        peer_address: peers[number].to_string(),
        domain: domain_name(number + 1),
        leaving: false,
    });
    state.memory().set_instances(listed.collect());
    configure(instances[0].address(), &intent(engine.address, service.address)).await?;
    wait_until_ready(&instances).await?;
    let access = Access {
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
    Ok(Demo { access, instances, standins: vec![engine, service, platform] })
}

fn domain_name(number: usize) -> String {
    format!("domain-{number}")
}

fn settings(number: usize, platform: SocketAddr, peer: SocketAddr) -> Settings {
    let mut settings = Settings::default();
    settings.instance.name = format!("demo-{number}");
    settings.instance.domain = domain_name(number);
    settings.instance.listen = any_port();
    settings.instance.workers = 1;
    settings.instance.peer_listen = peer;
    settings.peers.key = Some(PEER_KEY.into());
    settings.platform.address = platform;
    settings.platform.poll_interval = Duration::from_millis(100);
    settings.admin.root_digest = Some(digest(ADMIN_KEY));
    settings
}

/// Returns the change with which an operator configures the demo.
fn intent(engine: SocketAddr, service: SocketAddr) -> Value {
    json!({
        "accounts": {"courier": {}, "merchant": {}, "kiosk": {}},
        "budgets": {
            "courier": {"account": "courier", "paid": 5_000_000},
            "merchant": {"account": "merchant", "paid": 5_000_000},
            "kiosk": {"account": "kiosk", "paid": POOR_BUDGET_TOKENS},
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
            "plain-1": {"kind": "service", "address": service, "domain": "domain-1"},
        },
    })
}

/// Plans and confirms `intent`, a change of the configuration, at one instance.
///
/// # Errors
///
/// Returns an error if the instance refuses the plan or its confirmation.
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

async fn wait_until_ready(instances: &[Handle]) -> Result<(), Error> {
    let is_ready = |handle: &Handle| {
        let shared = handle.shared();
        shared.config.load().version > 0 && shared.membership.listed().len() == INSTANCE_COUNT
    };
    let polls = START_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
    for _ in 0..polls {
        if instances.iter().all(is_ready) {
            return Ok(());
        }
        sleep(Millis::from(POLL_INTERVAL)).await;
    }
    Err(Error::NotReady)
}

impl Demo {
    /// Stops the instances gracefully, and then the stand-ins.
    pub async fn stop(self) {
        let stops = self.instances.into_iter().map(Handle::stop);
        futures::future::join_all(stops).await;
        for standin in self.standins {
            standin.stop().await;
        }
    }
}
