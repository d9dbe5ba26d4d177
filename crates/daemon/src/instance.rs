//! Start and planned stop of an instance.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};

use base::clock::{System, millis};
use base::id;
use base::prelude::*;
use conf::Settings;
use flow::held::Held;
use flow::in_flight::Counter;
use flow::queue::Pools;
use flow::request::Limits;
use flow::retry::Budget;
use flow::stop::Stop;
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
use plan::{ActiveDoc, keyring};
use route::{Fleet, poison};
use rustix::net::{Shutdown, shutdown};
use slog::{Level, Logger, info, o, warn};
use store::Listing;
use tokio::sync::Notify;
use watch::Metrics;
use watch::logging::Format;

use crate::admin::Admin;
use crate::{Error, admin, claims, control, monitoring};

/// Time for which callers may cache the list of addresses.
const ADDRESS_LIST_TTL: Duration = Duration::from_secs(10);
/// Time after which an idle connection of a caller is closed.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(75);
/// Time in which a request's head must arrive.
///
/// Every [`HEAD_EXTENSION_BYTES`] that arrive extend it by the same time.
const HEAD_TIMEOUT: Seconds = Seconds(5);
/// Longest time for a request's head, all extensions included.
const MAX_HEAD_TIMEOUT: Seconds = Seconds(15);
/// Bytes of a head that extend its time by [`HEAD_TIMEOUT`].
const HEAD_EXTENSION_BYTES: u32 = 512;
/// Time without a request after which a stopping instance refuses connections.
const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// Interval at which a planned stop checks arrivals and requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Flag that a planned stop sets; all clones share it.
#[derive(Debug, Clone, Default)]
pub struct StopFlag {
    flag: Arc<AtomicBool>,
}

impl StopFlag {
    /// Sets the flag: the instance is leaving from now on.
    pub fn set(&self) {
        self.flag.store(true, Ordering::Release);
    }

    /// Returns true once a planned stop has begun.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.flag.load(Ordering::Acquire)
    }
}

/// A running instance with its server and its control thread.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    shared: Arc<Shared>,
    leaving: StopFlag,
    server: Server,
    listener: TcpListener,
    control_thread: Arbiter,
    drain_timeout: Duration,
}

/// Starts an instance.
///
/// Must be called on a thread with a running `ntex` system.
///
/// # Errors
///
/// Returns an error if the instance cannot listen on its address for callers.
pub async fn spawn(settings: Settings, log: &Logger) -> Result<Handle, Error> {
    let listener = listen(settings.instance.listen)?;
    let address = listener.local_addr().unwrap_or(settings.instance.listen);
    let log = log.new(o!("instance" => settings.instance.name.clone()));
    let clock: Arc<dyn Clock> = Arc::new(System::open());
    let incarnation = millis(clock.wall());
    let holder = id::holder(&settings.instance.name, incarnation);
    let (ledger, ledger_inbox) = event::open(ledger_context(&settings, &holder, &clock, &log));
    let (claims, claims_inbox) = claims::open(&settings.limits, &holder, &clock, &log);
    let config = Arc::new(ActiveDoc::default());
    let (keys, key_inbox) = keyring::open(Arc::clone(&config), Arc::clone(&clock));
    let (crash_records, crash_record_inbox) = poison::client::open(Arc::clone(&clock));
    let shared = Arc::new(Shared {
        crash_records: Arc::new(crash_records),
        config,
        keys,
        upstreams: Arc::new(open_fleet(&settings, &clock)),
        ledger,
        claims,
        accounts: Arc::default(),
        slot_pools: Arc::new(Pools::open(Arc::clone(&clock))),
        max_queue_time: settings.limits.max_queue_time,
        retry_budget: Budget::default(),
        membership: Arc::new(View::open(own_listing(&settings, address), ADDRESS_LIST_TTL)),
        metrics: Arc::new(Metrics::open()),
        limits: Limits {
            max_body_bytes: settings.limits.max_body_bytes,
            body_timeout: settings.limits.body_timeout,
            max_headers: settings.limits.max_headers,
            request_timeout: settings.limits.request_timeout,
        },
        in_flight: Counter::default(),
        stop: Stop::default(),
        held: Held::default(),
        upstream_timeout: settings.limits.upstream_timeout,
        clock,
        log: log.clone(),
    });
    let control_thread = Arbiter::new();
    let on_confirm = Arc::new(Notify::new());
    let task = control::Task {
        ledger_inbox,
        claims_inbox,
        key_inbox,
        shared: Arc::clone(&shared),
        settings: settings.clone(),
        incarnation,
        on_confirm: Arc::clone(&on_confirm),
        crash_record_inbox,
    };
    control_thread.handle().spawn(async move { task.spawn() }).detach();
    let leaving = StopFlag::default();
    let listener_clone =
        listener.try_clone().map_err(|source| Error::Listen { address, source })?;
    let server = spawn_server(&settings, listener, &shared, &leaving, on_confirm)?;
    info!(log, "serving"; "address" => %address, "holder" => %holder);
    let drain_timeout = settings.limits.drain_timeout;
    Ok(Handle {
        address,
        shared,
        leaving,
        server,
        listener: listener_clone,
        control_thread,
        drain_timeout,
    })
}

/// Opens a logger with the level and the format of the settings.
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

fn open_fleet(settings: &Settings, clock: &Arc<dyn Clock>) -> Fleet {
    let domain = settings.instance.domain.as_str().into();
    Fleet::open(settings.route.policy.open(), domain, Arc::clone(clock))
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|source| Error::Listen { address, source })
}

fn own_listing(settings: &Settings, address: SocketAddr) -> Listing {
    Listing {
        instance: settings.instance.name.clone(),
        address: address.to_string(),
        peer_address: settings.peers.address.unwrap_or(settings.instance.peer_listen).to_string(),
        domain: settings.instance.domain.clone(),
        leaving: false,
    }
}

fn ledger_context(
    settings: &Settings,
    holder: &HolderId,
    clock: &Arc<dyn Clock>,
    log: &Logger,
) -> Context {
    let ledger = &settings.ledger;
    let policy =
        Policy { horizon: ledger.horizon, floor: ledger.floor_tokens, divisor: ledger.divisor };
    Context {
        holder: Arc::clone(holder),
        settings: core::Settings {
            policy,
            max_exposure: ledger.max_exposure_tokens,
            lease: ledger.lease,
            idle_timeout: ledger.idle_timeout,
            fold_delay: ledger.fold_delay,
            recall_timeout: ledger.recall_timeout,
        },
        flush_interval: ledger.flush_interval,
        pause_threshold: ledger.pause_threshold,
        clock: Arc::clone(clock),
        log: log.clone(),
    }
}

fn spawn_server(
    settings: &Settings,
    listener: TcpListener,
    shared: &Arc<Shared>,
    leaving: &StopFlag,
    on_confirm: Arc<Notify>,
) -> Result<Server, Error> {
    let address = settings.instance.listen;
    let shared = Arc::clone(shared);
    let leaving = leaving.clone();
    let platform = settings.platform.clone();
    let root = settings.admin.root_digest.clone();
    let http_config = http_config(&settings.limits);
    let server = HttpServer::new(async move || {
        let worker = Worker::open(Arc::clone(&shared));
        let on_confirm = Arc::clone(&on_confirm);
        let admin = Admin::open(Arc::clone(&shared), &platform, root.clone(), on_confirm);
        let monitoring =
            monitoring::State { shared: Arc::clone(&shared), leaving: leaving.clone() };
        App::new()
            .state(worker)
            .state(admin)
            .state(monitoring)
            .configure(flow::server::configure)
            .configure(admin::configure)
            .configure(monitoring::configure)
            .default_service(web::route().to(async || flow::server::not_found()))
    });
    let server = server
        .workers(settings.instance.workers)
        .maxconn(settings.limits.max_connections_per_worker)
        .disable_signals()
        .shutdown_timeout(Seconds(1))
        .config(SharedCfg::new("callers").add(http_config))
        .listen(listener)
        .map_err(|source| Error::Listen { address, source })?;
    Ok(server.run())
}

/// Returns the limits on connections and heads, which the HTTP server enforces.
fn http_config(limits: &conf::limits::Limits) -> HttpServiceConfig {
    HttpServiceConfig::new()
        .set_keepalive(KeepAlive::Timeout(KEEP_ALIVE_TIMEOUT))
        .set_max_headers(limits.max_headers)
        .set_max_buf_size(limits.max_head_bytes)
        .set_headers_read_rate(HEAD_TIMEOUT, MAX_HEAD_TIMEOUT, HEAD_EXTENSION_BYTES)
}

impl Handle {
    /// Returns the address for callers and operators, with the port in use.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the state that all worker threads share.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops the instance: waits for the requests in flight and returns all pieces.
    ///
    /// Requests that arrive on kept connections once callers have left are refused. Requests that are
    /// still in flight after the drain timeout are cut off.
    pub async fn stop(self) {
        self.leaving.set();
        self.shared.membership.leave();
        self.serve_until_quiet().await;
        self.shared.stop.drain();
        self.refuse_connections().await;
        let end = self.shared.clock.now() + self.drain_timeout;
        while self.shared.in_flight.count() > 0 && self.shared.clock.now() < end {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        claims::close(&self.shared.claims).await;
        self.shared.ledger.close().await;
        self.server.stop(true).await;
        self.control_thread.stop();
        info!(self.shared.log, "stopped");
    }

    /// Closes the listening socket, so that new connections are refused and not reset.
    async fn refuse_connections(&self) {
        if let Err(error) = shutdown(&self.listener, Shutdown::Both) {
            warn!(self.shared.log, "cannot close the listening socket"; "error" => %error);
        }
        self.server.pause().await;
    }

    /// Keeps serving until callers have left.
    ///
    /// Waits until [`QUIET_PERIOD`] passes without a request, but at most until that period after
    /// all cached lists of addresses have expired.
    async fn serve_until_quiet(&self) {
        let now = || self.shared.clock.now();
        let end = now() + ADDRESS_LIST_TTL + QUIET_PERIOD;
        let mut arrivals = self.shared.in_flight.arrivals();
        let mut quiet_since = now();
        while now() < end && now().saturating_sub(quiet_since) < QUIET_PERIOD {
            sleep(DRAIN_POLL_INTERVAL).await;
            if self.shared.in_flight.arrivals() != arrivals {
                arrivals = self.shared.in_flight.arrivals();
                quiet_since = now();
            }
        }
    }
}
