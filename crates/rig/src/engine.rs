//! Stand-in of a model engine with the published chat format.

pub mod batch;
pub mod cache;
pub mod generation;
pub mod order;
pub mod reports;
pub mod settings;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use ntex::web::types::{Query, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use route::prefix::Hash;
use route::report::Report;
use serde::Deserialize;

use self::batch::Batch;
use self::cache::Cache;
use self::order::Orders;
use self::reports::Reports;
pub use self::settings::Settings;
use crate::journal::Journal;
use crate::server::{self, Handle};

/// An engine stand-in; clones share its state.
#[derive(Debug, Clone)]
pub struct Engine {
    settings: Arc<Settings>,
    journal: Journal,
    batch: Batch,
    cache: Arc<Mutex<Cache>>,
    reports: Arc<Reports>,
    orders: Arc<Orders>,
}

impl Engine {
    /// Opens an idle engine that records its runs in `journal`.
    #[must_use]
    pub fn open(settings: Settings, journal: Journal) -> Self {
        let cache = Cache::open(settings.cache_blocks, settings.event_lag, settings.event_loss);
        let engine = Self {
            batch: Batch::open(settings.slots),
            cache: Arc::new(Mutex::new(cache)),
            reports: Arc::new(Reports::open(settings.report_lag)),
            orders: Arc::new(Orders::open(settings.models.clone())),
            settings: Arc::new(settings),
            journal,
        };
        engine.record_report();
        engine
    }

    /// Records the current load for readers, who see it after the report lag.
    fn record_report(&self) {
        self.reports.record(self.report());
    }

    fn report(&self) -> Report {
        let occupancy = self.batch.occupancy();
        let order_state = self.orders.get();
        Report {
            running: occupancy.running,
            waiting: occupancy.waiting,
            slots: self.settings.slots,
            free_kv_tokens: self.settings.kv_tokens.saturating_sub(occupancy.kv_tokens),
            role: order_state.role,
            models: order_state.models,
            leaving: order_state.leaving,
            cache_sequence: self.cache().sequence(),
            ..Report::default()
        }
    }

    /// Looks up and stores a prompt's blocks; returns how many leading ones were cached.
    fn touch(&self, blocks: &[Hash]) -> usize {
        self.cache().touch(blocks)
    }

    fn cache(&self) -> std::sync::MutexGuard<'_, Cache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the HTTP server of the engine on `address`; port 0 picks a free port.
///
/// # Errors
///
/// Returns an error if `address` cannot be bound.
pub fn spawn(address: SocketAddr, engine: Engine) -> io::Result<Handle> {
    server::spawn(address, 2, engine, configure)
}

fn configure(config: &mut ServiceConfig) {
    config
        .state(web::types::JsonConfig::default().limit(64 << 20))
        .route("/v1/chat/completions", web::post().to(generation::chat))
        .route("/load", web::get().to(load_report))
        .route("/cache-events", web::get().to(cache_events))
        .route("/orders", web::get().to(order::list_state))
        .route("/orders", web::post().to(order::handle_order))
        .route("/leave", web::post().to(order::mark_leaving))
        .route("/journal", web::get().to(journal));
}

async fn load_report(engine: State<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(&engine.reports.visible().unwrap_or_default())
}

/// Query string of a request for cache events.
#[derive(Debug, Deserialize)]
struct EventQuery {
    #[serde(default)]
    after: u64,
    #[serde(default = "cache::answer_max")]
    limit: usize,
}

async fn cache_events(engine: State<Engine>, query: Query<EventQuery>) -> HttpResponse {
    HttpResponse::Ok().json(&engine.cache().events(query.after, query.limit))
}

async fn journal(engine: State<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(&engine.journal.runs())
}

/// Returns the value of a header; empty if it is absent or not text.
pub(crate) fn header(http: &HttpRequest, name: &str) -> String {
    http.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
#[must_use]
pub fn wall_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    base::clock::millis(now)
}

/// Returns the rest of the first word that starts with `prefix`.
pub(crate) fn value_after(text: &str, prefix: &str) -> Option<String> {
    text.split_whitespace().find_map(|word| word.strip_prefix(prefix)).map(str::to_owned)
}
