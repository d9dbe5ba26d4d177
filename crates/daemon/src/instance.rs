//! One running instance.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};

use base::clock::{System, millis};
use base::id;
use base::prelude::*;
use conf::Settings;
use flow::in_flight::Counter;
use flow::queue::Pools;
use flow::request::Limits;
use flow::retry::Budget;
use flow::{Shared, Worker};
use ledger::core;
use ledger::event::{self, Context};
use ledger::size::Policy;
use member::View;
use ntex::SharedCfg;
use ntex::http::{HttpServiceConfig, KeepAlive};
use ntex::rt::Arbiter;
use ntex::server::Server;
use ntex::time::{Seconds, sleep};
use ntex::web::{self, App, HttpServer};
use plan::{Live, keyring};
use route::{Fleet, poison};
use rustix::net::{Shutdown, shutdown};
use slog::{Level, Logger, info, o, warn};
use store::Listing;
use tokio::sync::Notify;
use watch::Metrics;
use watch::logging::Format;

use crate::admin::Admin;
use crate::{Error, admin, claims, control, ops};

/// Time for which callers may keep an address answer.
const KEEP: Duration = Duration::from_secs(10);
/// Time for which an idle connection of a caller stays open.
const KEEP_ALIVE: Seconds = Seconds(75);
/// Time in which a request's head must arrive, or [`HEADERS_RATE`] bytes of it.
const HEADERS_TIME: Seconds = Seconds(5);
/// Longest time in which a request's head must arrive.
const HEADERS_TIME_MAX: Seconds = Seconds(15);
/// Bytes of a head that earn more time.
const HEADERS_RATE: u32 = 512;
/// Time without a request after which a stopping instance takes no more connections.
const QUIET: Duration = Duration::from_secs(1);
/// Interval at which a planned stop looks for requests in flight.
const DRAIN_TICK: Duration = Duration::from_millis(20);

/// Whether the instance is about to stop.
#[derive(Debug, Clone, Default)]
pub struct Leaving {
    flag: Arc<AtomicBool>,
}

impl Leaving {
    /// Marks the instance as leaving.
    pub fn mark(&self) {
        self.flag.store(true, Ordering::Release);
    }

    /// Returns true once the instance is leaving.
    #[must_use]
    pub fn is_marked(&self) -> bool {
        self.flag.load(Ordering::Acquire)
    }
}

/// A running instance.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    shared: Arc<Shared>,
    leaving: Leaving,
    server: Server,
    listener: TcpListener,
    control: Arbiter,
    drain: Duration,
}

/// Starts an instance; must be called on a thread with a running `ntex` system.
///
/// # Errors
///
/// Returns an error if an address cannot be listened on.
pub async fn spawn(settings: Settings, log: &Logger) -> Result<Handle, Error> {
    let listener = listen(settings.instance.listen)?;
    let address = listener.local_addr().unwrap_or(settings.instance.listen);
    let log = log.new(o!("instance" => settings.instance.name.clone()));
    let clock: Arc<dyn Clock> = Arc::new(System::open());
    let incarnation = millis(clock.wall());
    let holder = id::holder(&settings.instance.name, incarnation);
    let (ledger, inbox) = event::open(context(&settings, &holder, &clock, &log));
    let (claims, asks) = claims::open(&settings.limits, &holder, &clock, &log);
    let config = Arc::new(Live::default());
    let (keys, key_inbox) = keyring::open(Arc::clone(&config), Arc::clone(&clock));
    let (crash_records, cases) = poison::client::open(Arc::clone(&clock));
    let shared = Arc::new(Shared {
        crash_records: Arc::new(crash_records),
        config,
        keys,
        upstreams: Arc::new(fleet(&settings, &clock)),
        ledger,
        claims,
        accounts: Arc::default(),
        slot_pools: Arc::new(Pools::open(Arc::clone(&clock))),
        max_queue_time: settings.limits.queue_time,
        retry_budget: Budget::default(),
        membership: Arc::new(View::open(own(&settings, address), KEEP)),
        metrics: Arc::new(Metrics::open()),
        limits: Limits {
            max_body_bytes: settings.limits.body,
            body_timeout: settings.limits.body_time,
            max_headers: settings.limits.headers,
            request_timeout: settings.limits.request_time,
        },
        in_flight: Counter::default(),
        upstream_timeout: settings.limits.upstream_time,
        clock,
        log: log.clone(),
    });
    let control = Arbiter::new();
    let wake = Arc::new(Notify::new());
    let task = control::Task {
        inbox,
        asks,
        key_inbox,
        shared: Arc::clone(&shared),
        settings: settings.clone(),
        incarnation,
        wake: Arc::clone(&wake),
        cases,
    };
    control.handle().spawn(async move { task.spawn() }).detach();
    let leaving = Leaving::default();
    let handle = listener.try_clone().map_err(|source| Error::Listen { address, source })?;
    let server = serve(&settings, listener, &shared, &leaving, wake)?;
    info!(log, "serving"; "address" => %address, "holder" => %holder);
    let drain = settings.limits.drain_time;
    Ok(Handle { address, shared, leaving, server, listener: handle, control, drain })
}

/// Opens the log that the settings describe.
pub fn logger(settings: &conf::log::Log) -> Logger {
    let level = match settings.level {
        conf::log::Level::Error => Level::Error,
        conf::log::Level::Warning => Level::Warning,
        conf::log::Level::Info => Level::Info,
        conf::log::Level::Debug => Level::Debug,
    };
    let format = match settings.format {
        conf::log::Format::Text => Format::Text,
        conf::log::Format::Json => Format::Json,
    };
    watch::logging::open(format, level)
}

fn fleet(settings: &Settings, clock: &Arc<dyn Clock>) -> Fleet {
    let domain = settings.instance.domain.as_str().into();
    Fleet::open(settings.route.choice.open(), domain, Arc::clone(clock))
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|source| Error::Listen { address, source })
}

fn own(settings: &Settings, address: SocketAddr) -> Listing {
    Listing {
        instance: settings.instance.name.clone(),
        address: address.to_string(),
        peer_address: settings.peers.address.unwrap_or(settings.instance.peer_listen).to_string(),
        domain: settings.instance.domain.clone(),
        leaving: false,
    }
}

fn context(
    settings: &Settings,
    holder: &HolderId,
    clock: &Arc<dyn Clock>,
    log: &Logger,
) -> Context {
    let ledger = &settings.ledger;
    let policy = Policy { horizon: ledger.horizon, floor: ledger.floor, divisor: ledger.divisor };
    Context {
        holder: Arc::clone(holder),
        settings: core::Settings {
            policy,
            max_exposure: ledger.exposed,
            lease: ledger.lease,
            idle_timeout: ledger.idle,
            fold_delay: ledger.fold,
            recall_timeout: ledger.recall,
        },
        flush_interval: ledger.flush,
        pause_threshold: ledger.pause,
        clock: Arc::clone(clock),
        log: log.clone(),
    }
}

fn serve(
    settings: &Settings,
    listener: TcpListener,
    shared: &Arc<Shared>,
    leaving: &Leaving,
    wake: Arc<Notify>,
) -> Result<Server, Error> {
    let address = settings.instance.listen;
    let shared = Arc::clone(shared);
    let leaving = leaving.clone();
    let platform = settings.platform.clone();
    let root = settings.admin.root_digest.clone();
    let http = http(&settings.limits);
    let server = HttpServer::new(async move || {
        let worker = Worker::open(Arc::clone(&shared)).await;
        let wake = Arc::clone(&wake);
        let admin = Admin::open(Arc::clone(&shared), &platform, root.clone(), wake).await;
        let ops = ops::State { shared: Arc::clone(&shared), leaving: leaving.clone() };
        App::new()
            .state(worker)
            .state(admin)
            .state(ops)
            .configure(flow::server::configure)
            .configure(admin::configure)
            .configure(ops::configure)
            .default_service(web::route().to(async || flow::server::not_found()))
    });
    let server = server
        .workers(settings.instance.workers)
        .maxconn(settings.limits.connections)
        .disable_signals()
        .shutdown_timeout(Seconds(1))
        .config(SharedCfg::new("callers").add(http))
        .listen(listener)
        .map_err(|source| Error::Listen { address, source })?;
    Ok(server.run())
}

/// Returns the limits on what callers send before a request is understood.
fn http(limits: &conf::limits::Limits) -> HttpServiceConfig {
    HttpServiceConfig::new()
        .set_keepalive(KeepAlive::Timeout(KEEP_ALIVE))
        .set_max_headers(limits.headers)
        .set_max_buf_size(limits.header_bytes)
        .set_headers_read_rate(HEADERS_TIME, HEADERS_TIME_MAX, HEADERS_RATE)
}

impl Handle {
    /// Returns the address for callers and operators.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the state that the workers share.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops gracefully: no request in flight is cut off, and all pieces go back.
    pub async fn stop(self) {
        self.leaving.mark();
        self.shared.membership.leave();
        self.linger().await;
        self.refuse_connections().await;
        let end = self.shared.clock.now() + self.drain;
        while self.shared.in_flight.count() > 0 && self.shared.clock.now() < end {
            sleep(DRAIN_TICK).await;
        }
        claims::close(&self.shared.claims).await;
        self.shared.ledger.close().await;
        self.server.stop(true).await;
        self.control.stop();
        info!(self.shared.log, "stopped");
    }

    /// Closes the listening socket, so that callers who still come are refused and not reset.
    async fn refuse_connections(&self) {
        if let Err(error) = shutdown(&self.listener, Shutdown::Both) {
            warn!(self.shared.log, "cannot close the listening socket"; "error" => %error);
        }
        self.server.pause().await;
    }

    /// Serves on until callers have had time to ask for new addresses, or none calls any more.
    async fn linger(&self) {
        let now = || self.shared.clock.now();
        let end = now() + KEEP + QUIET;
        let mut arrivals = self.shared.in_flight.arrivals();
        let mut quiet_since = now();
        while now() < end && now().saturating_sub(quiet_since) < QUIET {
            sleep(DRAIN_TICK).await;
            if self.shared.in_flight.arrivals() != arrivals {
                arrivals = self.shared.in_flight.arrivals();
                quiet_since = now();
            }
        }
    }
}
