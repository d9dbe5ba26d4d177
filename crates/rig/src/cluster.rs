//! A whole system on loopback: instances and stand-ins, each a process of its own.

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

/// Key with which the operator of every cluster authenticates.
pub const ADMIN_KEY: &str = "cluster-admin";
/// Key with which the instances of every cluster authenticate to each other.
pub const PEER_KEY: &str = "cluster-peer-key-0123456789";
/// Longest wait until one instance passes one check.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks of readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reasons why a cluster cannot be started or called.
#[derive(Debug, Error)]
pub enum Error {
    /// A process cannot be started, or a file or port cannot be opened.
    #[error("cannot start a process: {0}")]
    Process(#[from] io::Error),
    /// An HTTP call to the cluster failed.
    #[error(transparent)]
    Call(#[from] client::Error),
    /// A process printed a line that is not the expected JSON.
    #[error("unexpected output: {0}")]
    Output(#[from] serde_json::Error),
    /// The instances are not ready in time.
    #[error("the instances are not ready in time")]
    NotReady,
}

/// Size, speed and settings of a cluster.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Number of instances; their names are `router-1`, `router-2`, ….
    pub routers: usize,
    /// Number of engines; their names are `engine-1`, `engine-2`, ….
    pub engines: usize,
    /// Time to the first token at an engine.
    pub first_token_delay: Duration,
    /// Time between two tokens at an engine.
    pub token_interval: Duration,
    /// Time that the plain service takes for a call.
    pub service_delay: Duration,
    /// Most requests that an engine runs at once; others wait.
    pub slots: u32,
    /// Lines appended to the settings file of each instance.
    pub extra_settings: String,
    /// Whether upstreams also write their journals to files, which survive a crash.
    pub journal_files: bool,
    /// Whether fault proxies are in front of platform, peers and upstreams.
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

/// Addresses on which an instance listens and which it connects to.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Address on which the instance serves callers and operators.
    pub address: SocketAddr,
    /// Address on which the instance listens for peers.
    pub peer_listen: SocketAddr,
    /// Address that peers connect to: that of the proxy, if there is one.
    pub peer_address: SocketAddr,
    /// Address under which the instance reaches the platform.
    pub platform: SocketAddr,
}

/// A running instance; its process is killed on drop.
#[derive(Debug)]
pub struct Router {
    /// Handle of the process, for signals and its exit status.
    pub process: Process,
    /// Name of the instance, unique in the cluster.
    pub name: String,
    /// Address on which the instance serves callers and operators.
    pub address: SocketAddr,
    /// Address on which the instance listens for peers.
    pub peer_listen: SocketAddr,
    /// Address that peers connect to: that of the proxy, if there is one.
    pub peer_address: SocketAddr,
    /// Address under which the instance reaches the platform.
    pub platform: SocketAddr,
    /// Proxy between the instance and the platform; `None` without fault injection.
    pub platform_link: Option<Link>,
    /// Proxy in front of the address for peers; `None` without fault injection.
    pub peer_link: Option<Link>,
}

/// A running cluster; drop kills its processes and removes its files.
#[derive(Debug)]
pub struct Cluster {
    /// Platform stand-in, without a proxy of its own.
    pub platform: StandIn,
    /// Engine stand-ins, named `engine-1`, `engine-2`, ….
    pub engines: Vec<StandIn>,
    /// Stand-ins of plain services; there is one, `plain-1`.
    pub services: Vec<StandIn>,
    /// Instances, named `router-1`, `router-2`, ….
    pub routers: Vec<Router>,
    /// HTTP client for calls to all parts.
    pub http: Client,
    /// Shape with which the cluster was started.
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

/// Ports below the range that the system uses for outgoing connections.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;
/// Most ports that are tried in the search for a free one.
const PORT_ATTEMPTS: usize = 100;

/// Returns a loopback address with a random port that is free now.
///
/// # Errors
///
/// Returns an error if none of the tried ports is free.
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
    /// Starts stand-ins and instances and waits until they are configured.
    ///
    /// Confirms the default configuration and then `intent` as a change of it, unless it is null.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot be started or configured in time.
    pub async fn spawn(shape: &Shape, intent: &Value) -> Result<Self, Error> {
        let folder = std::env::temp_dir().join(format!("lacewing-{}", uuid::Uuid::new_v4()));
        std::fs::create_dir_all(&folder)?;
        let proxy_runtime = shape.proxies.then(Runtime::open).transpose()?;
        // Each instance gets its own proxy to the platform, so the platform needs none.
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

    /// Starts one instance on free addresses, with proxies if the shape has them.
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

    /// Starts an instance again with its old name and addresses after it has ended.
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

    /// Starts one instance on the given addresses, without proxies.
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

    /// Starts one instance on the given addresses; opens no proxy itself.
    ///
    /// `peers` is appended to the section `[peers]` of its settings; empty adds nothing.
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

    /// Replaces the platform's list of instances by all instances of the cluster.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached.
    pub async fn publish_instances(&self) -> Result<(), Error> {
        self.publish_listings(self.routers.iter().map(listing).collect()).await
    }

    /// Replaces the platform's list of instances by `listed`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached.
    pub async fn publish_listings(&self, listed: Vec<Listing>) -> Result<(), Error> {
        self.put_to_platform("instances", &serde_json::to_value(listed)?).await
    }

    /// Replaces the faults of the platform stand-in.
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

    /// Plans and confirms `intent` at one instance; returns the new version.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance refuses the plan or its confirmation.
    pub async fn configure(&self, router: usize, intent: &Value) -> Result<u64, Error> {
        let base = format!("http://{}/admin/v1/plans", self.routers[router].address);
        let key = Some(ADMIN_KEY);
        let plan: Value = client::json(&self.http, Method::POST, base.clone(), key, intent).await?;
        let url = format!("{base}/{}/confirm", plan["id"].as_str().unwrap_or_default());
        let answer: Value = client::json(&self.http, Method::POST, url, key, &()).await?;
        Ok(answer["version"].as_u64().unwrap_or_default())
    }

    /// Waits until the health check of all instances succeeds.
    async fn wait_until_healthy(&self) -> Result<(), Error> {
        self.wait_until_ok("healthz").await
    }

    /// Waits until all instances have a configuration and serve callers.
    ///
    /// # Errors
    ///
    /// Returns an error if the wait takes longer than 20 seconds for one instance.
    pub async fn wait_until_ready(&self) -> Result<(), Error> {
        self.wait_until_ok("readyz").await
    }

    /// Waits until all instances run `version` of the configuration or a newer one.
    ///
    /// # Errors
    ///
    /// Returns an error if the wait takes longer than 20 seconds for one instance.
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
        // The connection returns to the pool only after the whole body is read.
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
        // A failure leaves temporary files behind, which harms nothing.
        std::fs::remove_dir_all(&self.folder).unwrap_or_default();
    }
}

/// Polls `is_done` until it returns true or the start timeout passes.
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

/// Returns the failure domain of an instance, one of three by its number.
fn domain_name(name: &str) -> String {
    let number: usize =
        name.rsplit_once('-').and_then(|(_, number)| number.parse().ok()).unwrap_or_default();
    format!("domain-{}", number % 3 + 1)
}

/// Returns the entry of an instance for the platform's list.
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
