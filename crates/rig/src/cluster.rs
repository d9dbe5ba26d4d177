//! A whole system of separate processes on loopback.

mod readings;
mod standin;

use std::fmt::Write;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

use ntex::client::Client;
use ntex::http::Method;
use ntex::time::{Millis, sleep};
use plan::hash::digest;
use rand::Rng;
use serde_json::Value;
use store::Listing;
use thiserror::Error;

pub use self::standin::StandIn;
use crate::client;
use crate::platform::Faults;
use crate::process::Process;
use crate::proxy::{Link, Runtime};

/// Key of the operator of every cluster.
pub const ADMIN_KEY: &str = "cluster-admin";
/// Key of the link between the instances of every cluster.
pub const PEER_KEY: &str = "cluster-peer-key-0123456789";
/// Longest time until all instances are ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which readiness is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a cluster could not be started or asked.
#[derive(Debug, Error)]
pub enum Error {
    /// A process could not be started.
    #[error("cannot start a process: {0}")]
    Process(#[from] io::Error),
    /// A call failed.
    #[error(transparent)]
    Call(#[from] client::Error),
    /// A process printed something unexpected.
    #[error("unexpected output: {0}")]
    Output(#[from] serde_json::Error),
    /// The instances did not become ready in time.
    #[error("the instances did not become ready in time")]
    NotReady,
}

/// What a cluster consists of.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Instances.
    pub routers: usize,
    /// Engines.
    pub engines: usize,
    /// Time to an engine's first token.
    pub first_token_delay: Duration,
    /// Time between an engine's tokens.
    pub token_interval: Duration,
    /// Time of a call of the plain service.
    pub service_delay: Duration,
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Lines added to each instance's settings file.
    pub extra_settings: String,
    /// Whether upstreams write their journals through to files.
    pub journal_files: bool,
    /// Whether fault-injecting proxies stand before platform, peers and upstreams.
    pub proxies: bool,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            routers: 3,
            engines: 2,
            first_token_delay: Duration::from_millis(20),
            token_interval: Duration::from_millis(2),
            service_delay: Duration::from_millis(5),
            slots: 256,
            extra_settings: String::new(),
            journal_files: false,
            proxies: false,
        }
    }
}

/// Where an instance listens and what it reaches.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Address for callers and operators.
    pub address: SocketAddr,
    /// Address on which it listens for peers.
    pub peer_listen: SocketAddr,
    /// Address under which peers reach it.
    pub peer_address: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
}

/// An instance's process and its address.
#[derive(Debug)]
pub struct Router {
    /// Process.
    pub process: Process,
    /// Name of the instance.
    pub name: String,
    /// Address for callers and operators.
    pub address: SocketAddr,
    /// Address for peers.
    pub peer_listen: SocketAddr,
    /// Address that peers are told.
    pub peer_address: SocketAddr,
    /// Address under which the instance reaches the platform.
    pub platform: SocketAddr,
    /// Proxy between the instance and the platform.
    pub platform_link: Option<Link>,
    /// Proxy before the address for peers.
    pub peer_link: Option<Link>,
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// Platform stand-in.
    pub platform: StandIn,
    /// Engines.
    pub engines: Vec<StandIn>,
    /// Plain services.
    pub services: Vec<StandIn>,
    /// Instances.
    pub routers: Vec<Router>,
    /// HTTP client for calls to the cluster.
    pub http: Client,
    /// What the cluster consists of.
    pub shape: Shape,
    folder: PathBuf,
    proxy_runtime: Option<Runtime>,
}

fn engine_args(shape: &Shape, number: usize) -> Vec<String> {
    vec![
        "engine".into(),
        format!("--name=engine-{number}"),
        format!("--first-ms={}", shape.first_token_delay.as_millis()),
        format!("--token-ms={}", shape.token_interval.as_millis()),
        format!("--slots={}", shape.slots),
        "--crashes".into(),
    ]
}

/// Ports that the system does not give to outgoing connections by itself.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;
/// Ports that are tried before giving up.
const PORT_ATTEMPTS: usize = 100;

/// Returns an address of loopback that is free now.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    for _ in 0..PORT_ATTEMPTS {
        let port = rand::rng().random_range(PORT_RANGE);
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
            return listener.local_addr();
        }
    }
    Err(io::Error::other("no port is free"))
}

impl Cluster {
    /// Starts stand-ins and instances and confirms `intent` merged over the default one.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot be started or configured.
    pub async fn spawn(shape: &Shape, intent: &Value) -> Result<Self, Error> {
        let folder = std::env::temp_dir().join(format!("lacewing-{}", uuid::Uuid::new_v4()));
        std::fs::create_dir_all(&folder)?;
        let proxy_runtime = shape.proxies.then(Runtime::open).transpose()?;
        // Each instance has its own proxy to the platform, so the platform itself needs none.
        let platform = StandIn::spawn(&["platform".into()], &folder, false, None)?;
        let mut engines = Vec::new();
        for number in 1..=shape.engines {
            let args = engine_args(shape, number);
            engines.push(StandIn::spawn(
                &args,
                &folder,
                shape.journal_files,
                proxy_runtime.as_ref(),
            )?);
        }
        let answer_delay = format!("--time-ms={}", shape.service_delay.as_millis());
        let args = ["service".into(), "--name=plain-1".into(), answer_delay];
        let services =
            vec![StandIn::spawn(&args, &folder, shape.journal_files, proxy_runtime.as_ref())?];
        let mut cluster = Self {
            platform,
            engines,
            services,
            routers: Vec::new(),
            http: client::open(256).await,
            shape: shape.clone(),
            folder,
            proxy_runtime,
        };
        for number in 1..=shape.routers {
            let router = cluster.start_router(&format!("router-{number}"))?;
            cluster.routers.push(router);
        }
        cluster.publish_instances().await?;
        cluster.wait_until_healthy().await?;
        let mut version = cluster.configure(0, &cluster.default_intent()).await?;
        if !intent.is_null() {
            version = cluster.configure(0, intent).await?;
        }
        cluster.wait_until_ready().await?;
        cluster.wait_for_version(version).await?;
        Ok(cluster)
    }

    /// Starts one instance on free addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_router(&self, name: &str) -> Result<Router, Error> {
        let peer_listen = free_address()?;
        let runtime = self.proxy_runtime.as_ref();
        let platform_link =
            runtime.map(|runtime| runtime.link(self.platform.address)).transpose()?;
        let peer_link = runtime.map(|runtime| runtime.link(peer_listen)).transpose()?;
        let platform = platform_link.as_ref().map_or(self.platform.address, |link| link.address);
        let peer_address = peer_link.as_ref().map_or(peer_listen, |link| link.address);
        let addresses = Addresses { address: free_address()?, peer_listen, peer_address, platform };
        let mut router = self.start_router_with(name, addresses, "")?;
        router.platform_link = platform_link;
        router.peer_link = peer_link;
        Ok(router)
    }

    /// Starts an instance again under its old name and addresses, after its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_router(&mut self, router: usize) -> Result<(), Error> {
        let old = &self.routers[router];
        let addresses = Addresses {
            address: old.address,
            peer_listen: old.peer_listen,
            peer_address: old.peer_address,
            platform: old.platform,
        };
        let started = self.start_router_with(&old.name, addresses, "")?;
        self.routers[router].process = started.process;
        Ok(())
    }

    /// Starts one instance on given addresses, with a given way to the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_router_at(
        &self,
        name: &str,
        address: SocketAddr,
        peer_listen: SocketAddr,
        platform: SocketAddr,
    ) -> Result<Router, Error> {
        self.start_router_with(
            name,
            Addresses { address, peer_listen, peer_address: peer_listen, platform },
            "",
        )
    }

    /// Starts one instance with lines added to the section `[peers]` of its settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_router_with(
        &self,
        name: &str,
        addresses: Addresses,
        peers: &str,
    ) -> Result<Router, Error> {
        let Addresses { address, peer_listen, peer_address, platform } = addresses;
        let mut text = String::new();
        let root = digest(ADMIN_KEY);
        writeln!(
            text,
            "[instance]\nname = {name}\ndomain = {}\nlisten = {address}\npeer_listen = {peer_listen}\n\
             [platform]\naddress = {platform}\npoll_ms = 100\n[peers]\nkey = {PEER_KEY}\naddress = {peer_address}\n{peers}\n\
             [admin]\nroot_digest = {root}\n{}",
            domain_name(name),
            self.shape.extra_settings,
        )
        .map_err(io::Error::other)?;
        let path = self.folder.join(format!("{name}.ini"));
        std::fs::write(&path, text)?;
        let config = format!("--config={}", path.display());
        let log = self.folder.join(format!("{name}.log"));
        let process = Process::spawn("lacewingd", &[&config], &log)?;
        Ok(Router {
            process,
            name: name.to_owned(),
            address,
            peer_listen,
            peer_address,
            platform,
            platform_link: None,
            peer_link: None,
        })
    }

    /// Tells the platform which instances there are.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached.
    pub async fn publish_instances(&self) -> Result<(), Error> {
        self.publish_listings(self.routers.iter().map(listing).collect()).await
    }

    /// Replaces the platform's list of instances.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached.
    pub async fn publish_listings(&self, listed: Vec<Listing>) -> Result<(), Error> {
        self.put_to_platform("instances", &serde_json::to_value(listed)?).await
    }

    /// Sets the faults of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached.
    pub async fn set_faults(&self, faults: Faults) -> Result<(), Error> {
        self.put_to_platform("faults", &serde_json::to_value(faults)?).await
    }

    async fn put_to_platform(&self, path: &str, body: &Value) -> Result<(), Error> {
        let url = format!("http://{}/{path}", self.platform.address);
        Ok(client::json(&self.http, Method::PUT, url, None, body).await?)
    }

    /// Plans and confirms an intent at one instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the plan is refused.
    pub async fn configure(&self, router: usize, intent: &Value) -> Result<u64, Error> {
        let base = format!("http://{}/admin/v1/plans", self.routers[router].address);
        let key = Some(ADMIN_KEY);
        let plan: Value = client::json(&self.http, Method::POST, base.clone(), key, intent).await?;
        let url = format!("{base}/{}/confirm", plan["id"].as_str().unwrap_or_default());
        let answer: Value = client::json(&self.http, Method::POST, url, key, &()).await?;
        Ok(answer["version"].as_u64().unwrap_or_default())
    }

    /// Waits until all instances answer.
    async fn wait_until_healthy(&self) -> Result<(), Error> {
        self.wait_until_ok("healthz").await
    }

    /// Waits until all instances have the configuration and serve callers.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub async fn wait_until_ready(&self) -> Result<(), Error> {
        self.wait_until_ok("readyz").await
    }

    /// Waits until all instances run at least a version of the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub async fn wait_for_version(&self, version: u64) -> Result<(), Error> {
        for router in &self.routers {
            let url = format!("http://{}/admin/v1/config", router.address);
            let is_in_force =
                async || self.version(&url).await.is_some_and(|found| found >= version);
            poll_until(is_in_force).await?;
        }
        Ok(())
    }

    async fn version(&self, url: &str) -> Option<u64> {
        let key = Some(ADMIN_KEY);
        let config: Result<Value, _> =
            client::json(&self.http, Method::GET, url.to_owned(), key, &()).await;
        config.ok()?["version"].as_u64()
    }

    async fn wait_until_ok(&self, path: &str) -> Result<(), Error> {
        for router in &self.routers {
            let url = format!("http://{}/{path}", router.address);
            poll_until(async || self.is_ok(&url).await).await?;
        }
        Ok(())
    }

    async fn is_ok(&self, url: &str) -> bool {
        let Ok(answer) = self.http.get(url).send().await else { return false };
        // An answer that is not read to its end would leave its connection unusable.
        answer.body().await.is_ok() && answer.status().is_success()
    }

    /// Returns the folder with settings and logs.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // Files of a trial are not needed after it; what cannot be removed stays.
        std::fs::remove_dir_all(&self.folder).unwrap_or_default();
    }
}

/// Asks again and again until the answer is yes.
async fn poll_until(is_done: impl AsyncFn() -> bool) -> Result<(), Error> {
    let polls = START_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
    for _ in 0..polls {
        if is_done().await {
            return Ok(());
        }
        sleep(Millis::from(POLL_INTERVAL)).await;
    }
    Err(Error::NotReady)
}

/// Returns the failure domain of an instance by its number.
fn domain_name(name: &str) -> String {
    let number: usize =
        name.rsplit_once('-').and_then(|(_, number)| number.parse().ok()).unwrap_or_default();
    format!("domain-{}", number % 3 + 1)
}

/// Returns the entry of an instance in the platform's list.
#[must_use]
pub fn listing(router: &Router) -> Listing {
    Listing {
        instance: router.name.clone(),
        address: router.address.to_string(),
        peer_address: router.peer_address.to_string(),
        domain: domain_name(&router.name),
        leaving: false,
    }
}
