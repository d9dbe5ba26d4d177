//! Controller that asks upstreams for their load and their cache events at a fixed cost.

use std::collections::HashMap;

use base::clock::millis;
use base::prelude::*;
use futures::future::join_all;
use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::time::Millis;
use plan::doc::Kind;
use route::cache::Batch;
use route::report::Report;
use route::{Fleet, Upstream, polling};
use serde::de::DeserializeOwned;
use slog::{Logger, debug};
use tokio::time::sleep;

/// Longest time of one question.
const TIMEOUT: Millis = Millis(1_000);
/// Connections kept to the upstreams.
const CONNECTIONS: usize = 64;
/// Largest answer that is read, in bytes.
const ANSWER_MAX: usize = 1 << 20;

/// Cache events read at once; older ones are passed over.
const EVENTS_MAX: u64 = 16;

/// Asks a bounded number of upstreams in each interval.
#[derive(Debug)]
pub struct Poller {
    fleet: Arc<Fleet>,
    clock: Arc<dyn Clock>,
    settings: conf::route::Route,
    client: Client,
    log: Logger,
    reported: HashMap<UpstreamId, u64>,
    listened: HashMap<UpstreamId, u64>,
    next_events: Duration,
}

impl Poller {
    /// Opens the controller on the current thread.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client cannot be built, which is a bug.
    pub async fn open(
        fleet: Arc<Fleet>,
        clock: Arc<dyn Clock>,
        settings: conf::route::Route,
        log: Logger,
    ) -> Self {
        let client = Client::builder()
            .connector::<()>(Connector::default().limit(CONNECTIONS))
            .response_timeout(TIMEOUT)
            .response_payload_limit(ANSWER_MAX)
            .disable_redirects()
            .build(SharedCfg::default())
            .await
            .expect("a client without TLS can be built");
        let (reported, listened) = (HashMap::new(), HashMap::new());
        let next_events = Duration::ZERO;
        Self { fleet, clock, settings, client, log, reported, listened, next_events }
    }

    /// Asks until the thread ends.
    pub async fn run(mut self) {
        loop {
            self.turn().await;
            sleep(self.settings.poll).await;
        }
    }

    async fn turn(&mut self) {
        let now = self.clock.now();
        let mut engines = self.fleet.upstreams();
        engines.retain(|upstream| upstream.kind == Kind::Engine);
        let reports = pick(&engines, &mut self.reported, self.settings.reports, now);
        let due = usize::from(now >= self.next_events);
        if due > 0 {
            self.next_events = now + self.settings.events;
        }
        let events = pick(&engines, &mut self.listened, due, now);
        let loads = join_all(reports.iter().map(|upstream| self.report(upstream)));
        let caches = join_all(events.iter().map(|upstream| self.events(upstream)));
        futures::join!(loads, caches);
    }

    async fn report(&self, upstream: &Upstream) {
        if let Some(report) = self.get::<Report>(upstream, "/load").await {
            upstream.record_report(report, self.clock.now());
        }
    }

    async fn events(&self, upstream: &Upstream) {
        let newest = upstream.last_report().map_or(0, |report| report.cache_sequence);
        let after = upstream.cache_sequence().max(newest.saturating_sub(EVENTS_MAX));
        let path = format!("/cache-events?after={after}&limit={EVENTS_MAX}");
        if let Some(batch) = self.get::<Batch>(upstream, &path).await {
            upstream.apply_cache_events(&batch);
        }
    }

    async fn get<T: DeserializeOwned>(&self, upstream: &Upstream, path: &str) -> Option<T> {
        let url = format!("http://{}{path}", upstream.address);
        let asked = ntex::time::timeout(TIMEOUT, async {
            let answer = self.client.get(url).send().await.map_err(|error| error.to_string())?;
            let body = answer.body().await.map_err(|error| error.to_string())?;
            serde_json::from_slice(&body).map_err(|error| error.to_string())
        });
        match asked.await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(error)) => {
                debug!(self.log, "no report"; "upstream" => %upstream.id, "error" => error);
                None
            }
            Err(()) => None,
        }
    }
}

/// Picks upstreams and notes when they were asked.
fn pick(
    engines: &[Arc<Upstream>],
    asked: &mut HashMap<UpstreamId, u64>,
    count: usize,
    now: Duration,
) -> Vec<Arc<Upstream>> {
    let last = |upstream: &Upstream| asked.get(&upstream.id).copied().unwrap_or_default();
    let picked = polling::select(engines, last, count, now, &mut rand::rng());
    for upstream in &picked {
        asked.insert(Arc::clone(&upstream.id), millis(now).max(1));
    }
    // Upstreams that are gone are forgotten once they are the larger part.
    if asked.len() > 2 * engines.len() {
        asked.retain(|id, _| engines.iter().any(|upstream| upstream.id == *id));
    }
    picked
}
