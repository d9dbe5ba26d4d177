//! Controller that polls engines for their load and their cache events.
//!
//! The number of polls per interval is fixed, so the cost does not grow with the fleet.

use std::collections::HashMap;

use base::clock::millis;
use base::prelude::*;
use futures::future::join_all;
use h1::client::{self, Request};
use plan::doc::Kind;
use route::cache::Batch;
use route::report::Report;
use route::{Fleet, Upstream, polling};
use serde::de::DeserializeOwned;
use slog::{Logger, debug};
use tokio::time::{sleep, timeout};

/// Longest time of one poll of one upstream.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer that is read; a larger one fails the poll.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Most cache events that one poll reads; older ones are skipped.
const EVENTS_MAX: u64 = 16;

/// Polls a bounded number of upstreams in each interval.
#[derive(Debug)]
pub struct Poller {
    fleet: Arc<Fleet>,
    clock: Arc<dyn Clock>,
    settings: conf::route::Route,
    log: Logger,
    load_polled_ms: HashMap<UpstreamId, u64>,
    events_polled_ms: HashMap<UpstreamId, u64>,
    next_events_at: Duration,
}

impl Poller {
    /// Opens the controller, which has polled no upstream yet.
    #[must_use]
    pub fn open(
        fleet: Arc<Fleet>,
        clock: Arc<dyn Clock>,
        settings: conf::route::Route,
        log: Logger,
    ) -> Self {
        let (load_polled_ms, events_polled_ms) = (HashMap::new(), HashMap::new());
        let next_events_at = Duration::ZERO;
        Self { fleet, clock, settings, log, load_polled_ms, events_polled_ms, next_events_at }
    }

    /// Polls until the thread ends.
    pub async fn run(mut self) {
        loop {
            self.poll_once().await;
            sleep(self.settings.poll_interval).await;
        }
    }

    async fn poll_once(&mut self) {
        let now = self.clock.now();
        let mut engines = self.fleet.upstreams();
        engines.retain(|upstream| upstream.kind == Kind::Engine);
        let reports = select_upstreams(
            &engines,
            &mut self.load_polled_ms,
            self.settings.reports_per_poll,
            now,
        );
        let event_poll_count = usize::from(now >= self.next_events_at);
        if event_poll_count > 0 {
            self.next_events_at = now + self.settings.events_interval;
        }
        let events = select_upstreams(&engines, &mut self.events_polled_ms, event_poll_count, now);
        let loads = join_all(reports.iter().map(|upstream| self.poll_load(upstream)));
        let caches = join_all(events.iter().map(|upstream| self.poll_events(upstream)));
        futures::join!(loads, caches);
    }

    async fn poll_load(&self, upstream: &Upstream) {
        if let Some(report) = self.get::<Report>(upstream, "/load").await {
            upstream.record_report(report, self.clock.now());
        }
    }

    async fn poll_events(&self, upstream: &Upstream) {
        let newest = upstream.last_report().map_or(0, |report| report.cache_sequence);
        let after = upstream.cache_sequence().max(newest.saturating_sub(EVENTS_MAX));
        let path = format!("/cache-events?after={after}&limit={EVENTS_MAX}");
        if let Some(batch) = self.get::<Batch>(upstream, &path).await {
            upstream.apply_cache_events(&batch);
        }
    }

    async fn get<T: DeserializeOwned>(&self, upstream: &Upstream, path: &str) -> Option<T> {
        let request = Request { method: "GET", target: path, fields: &[], body: &[] };
        // A connection of its own, so that no answer to an earlier poll can be taken for this one.
        let response = timeout(REQUEST_TIMEOUT, async {
            let answer = client::send(upstream.address, &request).await;
            let answer = answer.map_err(|error| error.to_string())?;
            let body = answer.read_whole(MAX_ANSWER_BYTES, None).await;
            let body = body.map_err(|error| error.to_string())?;
            serde_json::from_slice(&body).map_err(|error| error.to_string())
        });
        match response.await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(error)) => {
                debug!(self.log, "cannot poll an upstream"; "upstream" => %upstream.id, "error" => error);
                None
            }
            Err(_elapsed) => None,
        }
    }
}

/// Selects up to `count` upstreams and records the time of their poll in `polled_ms`.
fn select_upstreams(
    engines: &[Arc<Upstream>],
    polled_ms: &mut HashMap<UpstreamId, u64>,
    count: usize,
    now: Duration,
) -> Vec<Arc<Upstream>> {
    let last = |upstream: &Upstream| polled_ms.get(&upstream.id).copied().unwrap_or_default();
    let selected = polling::select(engines, last, count, now, &mut rand::rng());
    for upstream in &selected {
        polled_ms.insert(Arc::clone(&upstream.id), millis(now).max(1));
    }
    // Entries of removed upstreams are dropped once they are more than half of the map.
    if polled_ms.len() > 2 * engines.len() {
        polled_ms.retain(|id, _| engines.iter().any(|upstream| upstream.id == *id));
    }
    selected
}
