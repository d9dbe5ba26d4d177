//! State of one upstream that this instance keeps.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use arc_swap::ArcSwapOption;
use base::clock::millis;
use base::prelude::*;
use plan::doc::{self, Kind};

use crate::cache::{Batch, Cache};
use crate::health::Health;
use crate::load::Load;
use crate::prefix::Hash;
use crate::report::Report;

/// A configured upstream with its load, health and estimated cache.
#[derive(Debug)]
pub struct Upstream {
    /// Id, unique in the configuration.
    pub id: UpstreamId,
    /// Kind, which decides whether the upstream is polled for load.
    pub kind: Kind,
    /// Address of the HTTP interface of the upstream.
    pub address: SocketAddr,
    /// Failure domain, as configured.
    pub domain: DomainId,
    /// Most requests that the upstream runs concurrently, as configured.
    pub slots: u32,
    /// Bearer token of the upstream; `None` if it checks none.
    pub token: Option<String>,
    /// Load by requests in flight and by reports.
    pub load: Load,
    /// Recent failures, which may eject the upstream.
    pub health: Health,
    cache: Mutex<Cache>,
    last_report: ArcSwapOption<Report>,
    listed_leaving: AtomicBool,
    reported_leaving: AtomicBool,
    last_used_ms: AtomicU64,
}

impl Upstream {
    /// Creates the state of a configured upstream that tracks up to `max_blocks` blocks.
    pub(crate) fn open(id: &UpstreamId, config: &doc::Upstream, max_blocks: usize) -> Self {
        Self {
            id: Arc::clone(id),
            kind: config.kind,
            address: config.address,
            domain: Arc::clone(&config.domain),
            slots: config.slots,
            token: config.token.clone(),
            load: Load::default(),
            health: Health::default(),
            cache: Mutex::new(Cache::open(max_blocks)),
            last_report: ArcSwapOption::empty(),
            listed_leaving: AtomicBool::new(false),
            reported_leaving: AtomicBool::new(false),
            last_used_ms: AtomicU64::new(0),
        }
    }

    /// Returns true if no configured value differs, so that the state may be kept.
    pub(crate) fn matches_config(&self, config: &doc::Upstream) -> bool {
        self.kind == config.kind
            && self.address == config.address
            && self.slots == config.slots
            && self.domain == config.domain
            && self.token == config.token
    }

    /// Returns the requests of this instance that are in flight there.
    pub fn in_flight(&self) -> u32 {
        self.load.in_flight()
    }

    /// Returns the reported slots, limited to the configured ones.
    ///
    /// If no slots are reported, these are the configured ones.
    pub fn capacity(&self) -> u32 {
        match self.load.reported_slots() {
            0 => self.slots,
            reported_slots => reported_slots.min(self.slots),
        }
    }

    /// Replaces the last load report by one that arrived at `now`.
    pub fn record_report(&self, report: Report, now: Duration) {
        self.load.record_report(&report, now);
        self.reported_leaving.store(report.leaving, Ordering::Relaxed);
        self.last_report.store(Some(Arc::new(report)));
    }

    /// Returns the last load report; `None` before the first.
    pub fn last_report(&self) -> Option<Arc<Report>> {
        self.last_report.load_full()
    }

    /// Returns true unless the last report shows that the model is not loaded.
    pub fn serves(&self, model: &str) -> bool {
        self.last_report.load().as_ref().is_none_or(|report| report.serves(model))
    }

    /// Applies cache events that the upstream reported.
    pub fn apply_cache_events(&self, batch: &Batch) {
        self.with_cache(|cache| cache.apply(batch));
    }

    /// Returns the number of the last applied cache event, 0 before the first.
    pub fn cache_sequence(&self) -> u64 {
        self.with_cache(|cache| cache.sequence())
    }

    /// Returns the fraction of leading blocks that is probably cached, 0 to 1.
    pub fn hit_ratio(&self, block_hashes: &[Hash]) -> f64 {
        if block_hashes.is_empty() {
            return 0.0;
        }
        let hits = self.with_cache(|cache| cache.count_leading_hits(block_hashes));
        ratio(hits, block_hashes.len())
    }

    /// Records that a request with these leading blocks is sent.
    pub(crate) fn record_request(&self, block_hashes: &[Hash], now: Duration) {
        self.last_used_ms.store(millis(now).max(1), Ordering::Relaxed);
        self.health.record_attempt(now);
        self.with_cache(|cache| cache.insert(block_hashes));
    }

    /// Returns the time of the last request in milliseconds, 0 for never.
    pub fn last_used_ms(&self) -> u64 {
        self.last_used_ms.load(Ordering::Relaxed)
    }

    /// Sets whether the platform lists the upstream as leaving.
    pub fn set_listed_leaving(&self, leaving: bool) {
        self.listed_leaving.store(leaving, Ordering::Relaxed);
    }

    /// Returns true if the platform or the last report marks the upstream as leaving.
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving.load(Ordering::Relaxed) || self.reported_leaving.load(Ordering::Relaxed)
    }

    fn with_cache<T>(&self, f: impl FnOnce(&mut Cache) -> T) -> T {
        f(&mut self.cache.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    let to_f64 = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    to_f64(part) / to_f64(whole.max(1))
}
