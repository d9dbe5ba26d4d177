//! Comparison of rules for the choice of an upstream, against engine stand-in processes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::clock::System;
use daemon::upstream_poll::Poller;
use futures::future::join_all;
use hdrhistogram::Histogram;
use ntex::client::Client;
use ntex::http::Method;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use route::{Balancer, Criteria, Error, Fleet, Policy, prefix};
use serde::Serialize;
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use tokio::time::{sleep, sleep_until};

use crate::client;
use crate::cluster::{self, StandIn};
use crate::journal::Run;

/// Longest time to the first token that is told apart, in microseconds.
const TIME_MAX_US: u64 = 600_000_000;
/// Model of the comparison.
const MODEL: &str = "model";
/// Pause before a request that found all upstreams full looks again.
const FULL_PAUSE: Duration = Duration::from_millis(3);
/// Further attempts to read a journal.
const JOURNAL_TRIES: usize = 5;
/// Pause before a further attempt.
const JOURNAL_PAUSE: Duration = Duration::from_millis(300);
/// Bytes of the part of a prompt that no other shares.
const OWN_BYTES: usize = 64;
/// Bytes of a prompt that make a token at the stand-in.
const BYTES_PER_TOKEN: usize = 4;

/// What is compared.
#[derive(Debug, Clone)]
pub struct Trial {
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// Load as a share of the capacity with an empty cache.
    pub share: f64,
    /// Time in which requests arrive.
    pub time: Duration,
    /// Time at the start that is not counted.
    pub warmup: Duration,
    /// Instances.
    pub instances: usize,
    /// Engines, of which the first is slow.
    pub engines: usize,
    /// Factor by which the first engine is slower.
    pub slow: u32,
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Prefixes that prompts share.
    pub prefixes: usize,
    /// Bytes of a prefix.
    pub prefix_bytes: usize,
    /// Prefixes that fit into an engine's cache.
    pub cached_prefixes: usize,
    /// Tokens generated for each request.
    pub tokens: u32,
    /// Time by which reports and cache events lag.
    pub lag: Duration,
    /// Share of cache events that are lost.
    pub event_loss: f64,
}

impl Default for Trial {
    fn default() -> Self {
        Self {
            seed: 1,
            share: 0.5,
            time: Duration::from_secs(15),
            warmup: Duration::from_secs(4),
            instances: 3,
            engines: 8,
            slow: 3,
            slots: 8,
            prefixes: 40,
            prefix_bytes: 3_072,
            cached_prefixes: 8,
            tokens: 20,
            lag: Duration::from_millis(500),
            event_loss: 0.1,
        }
    }
}

/// Time to the first token without the prompt's share.
const FIRST: Duration = Duration::from_millis(30);
/// Time for each token of the prompt that is not cached.
const PREFILL: Duration = Duration::from_micros(250);
/// Time between tokens when a request runs alone.
const TOKEN: Duration = Duration::from_millis(15);
/// Share by which the time between tokens grows up to a full batch.
const GROWTH: f64 = 1.0;

/// What one rule achieved.
#[derive(Debug, Clone, Serialize)]
pub struct Score {
    /// Rule.
    pub rule: &'static str,
    /// Load as a share of the capacity.
    pub share: f64,
    /// Requests that were counted.
    pub requests: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Median time to the first token in milliseconds.
    pub ttft_ms_p50: f64,
    /// Time to the first token that 99 in 100 keep, in milliseconds.
    pub ttft_ms_p99: f64,
    /// Share of prompt tokens that were cached.
    pub hit_rate: f64,
    /// Share of requests that the slow engine ran.
    pub slow_share: f64,
}

/// Opens a rule.
pub type Open = fn() -> Box<dyn Balancer>;

/// All rules and their names.
pub const RULES: [(&str, Open); 5] = [
    ("random", || Policy::Random.open()),
    ("round-robin", || Policy::RoundRobin.open()),
    ("least-loaded", || Policy::LeastLoaded.open()),
    ("two-choices", || Policy::TwoChoices.open()),
    ("cost", || Policy::Cost.open()),
];

impl Trial {
    fn prompt_tokens(&self) -> u32 {
        u32::try_from((self.prefix_bytes + OWN_BYTES) / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
    }

    /// Returns the requests a second that all engines carry with full batches and empty caches.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let tokens = TOKEN.mul_f64(1.0 + GROWTH) * self.tokens;
        let run = FIRST + PREFILL * self.prompt_tokens() + tokens;
        let one = f64::from(self.slots) / run.as_secs_f64();
        let fast = u32::try_from(self.engines - 1).unwrap_or(u32::MAX);
        one * (f64::from(fast) + 1.0 / f64::from(self.slow))
    }

    fn engine(&self, number: usize) -> Result<StandIn, cluster::Error> {
        let factor = if number == 0 { self.slow } else { 1 };
        let blocks = self.cached_prefixes * (self.prefix_bytes / prefix::BLOCK_BYTES + 1);
        let args = [
            "engine".to_owned(),
            format!("--name=engine-{number}"),
            format!("--first-ms={}", (FIRST * factor).as_millis()),
            format!("--prefill-us={}", (PREFILL * factor).as_micros()),
            format!("--token-ms={}", (TOKEN * factor).as_millis()),
            format!("--growth={GROWTH}"),
            format!("--slots={}", self.slots),
            format!("--cache-blocks={blocks}"),
            format!("--report-lag-ms={}", self.lag.as_millis()),
            format!("--event-lag-ms={}", self.lag.as_millis()),
            format!("--event-loss={}", self.event_loss),
        ];
        StandIn::spawn(&args, &std::env::temp_dir(), false, None)
    }

    /// Runs the trial with one rule on the current thread, which must run an `ntex` system.
    ///
    /// # Errors
    ///
    /// Returns an error if an engine cannot be started or asked.
    ///
    /// # Panics
    ///
    /// Panics if the configuration of the trial is malformed, which is a bug.
    pub async fn run(&self, name: &'static str, rule: Open) -> Result<Score, cluster::Error> {
        let engines: Result<Vec<StandIn>, _> =
            (0..self.engines).map(|number| self.engine(number)).collect();
        let engines = engines?;
        let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
        let bench = Rc::new(Bench::open(self, rule, &addresses).await);
        let requests = join_all(self.arrivals().into_iter().map(|arrival| {
            let bench = Rc::clone(&bench);
            async move { bench.request(arrival).await }
        }));
        let taken = requests.await;
        let runs = bench.journal(&addresses).await?;
        Ok(self.score(name, &taken, &runs))
    }

    fn arrivals(&self) -> Vec<Arrival> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let rate = self.capacity() * self.share;
        let mut arrivals = Vec::new();
        let mut at = Duration::ZERO;
        let texts: Vec<String> = (0..self.prefixes)
            .map(|number| format!("prefix {number} ").repeat(self.prefix_bytes / 9 + 1))
            .collect();
        while at < self.time {
            let gap = -rng.random_range(f64::EPSILON..1.0_f64).ln() / rate;
            at += Duration::from_secs_f64(gap);
            let text = texts.choose(&mut rng).map_or("", |text| &text[..self.prefix_bytes]);
            let own = format!("tokens={} own={:032x}", self.tokens, rng.random::<u128>());
            let instance = rng.random_range(0..self.instances);
            arrivals.push(Arrival { at, instance, prefix: text.to_owned(), own });
        }
        arrivals
    }

    fn score(&self, name: &'static str, taken: &[Taken], runs: &[Run]) -> Score {
        let counted = taken.iter().filter(|taken| taken.at >= self.warmup);
        let mut times =
            Histogram::<u64>::new_with_bounds(1, TIME_MAX_US, 3).expect("the bounds are valid");
        let mut failed = 0;
        for taken in counted {
            match taken.first {
                Some(first) => times.saturating_record(micros(first)),
                None => failed += 1,
            }
        }
        let ratio = |part: u64, whole: u64| to_f64(part) / to_f64(whole.max(1));
        let cached = runs.iter().map(|run| run.cached_tokens).sum();
        let prompt = runs.iter().map(|run| run.prompt_tokens).sum();
        let slow = runs.iter().filter(|run| run.upstream == "engine-0").count();
        Score {
            rule: name,
            share: self.share,
            requests: times.len(),
            failed,
            ttft_ms_p50: to_f64(times.value_at_quantile(0.5)) / 1e3,
            ttft_ms_p99: to_f64(times.value_at_quantile(0.99)) / 1e3,
            hit_rate: ratio(cached, prompt),
            slow_share: ratio(slow as u64, runs.len() as u64),
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn to_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// One request to come.
#[derive(Debug)]
struct Arrival {
    at: Duration,
    instance: usize,
    prefix: String,
    own: String,
}

/// What became of a request.
#[derive(Debug)]
struct Taken {
    at: Duration,
    first: Option<Duration>,
}

/// Instances that share the engines.
struct Bench {
    started: Instant,
    fleets: Vec<Arc<Fleet>>,
    http: Client,
    candidates: Vec<base::id::UpstreamId>,
}

impl Bench {
    async fn open(trial: &Trial, rule: Open, addresses: &[SocketAddr]) -> Self {
        let upstreams: serde_json::Map<String, Value> = addresses
            .iter()
            .enumerate()
            .map(|(number, address)| {
                let row = json!({"kind": "engine", "address": address, "slots": 4 * trial.slots,
                    "domain": format!("domain-{}", number % 3)});
                (format!("engine-{number}"), row)
            })
            .collect();
        let doc: plan::Doc = serde_json::from_value(json!({"upstreams": upstreams}))
            .expect("the document is well-formed");
        let log = Logger::root(Discard, o!());
        let mut fleets = Vec::new();
        for number in 0..trial.instances {
            let clock = Arc::new(System::open());
            let domain = format!("domain-{number}").as_str().into();
            let fleet = Arc::new(Fleet::open(rule(), domain, Arc::clone(&clock) as _));
            fleet.apply(&doc);
            let settings = conf::route::Route::default();
            let poller = Poller::open(Arc::clone(&fleet), clock, settings, log.clone()).await;
            ntex::rt::spawn(poller.run());
            fleets.push(fleet);
        }
        let candidates = doc.upstreams.keys().map(Arc::clone).collect();
        Self { started: Instant::now(), fleets, http: client::open(4_096).await, candidates }
    }

    async fn request(&self, arrival: Arrival) -> Taken {
        let start = self.started + arrival.at;
        sleep_until(start.into()).await;
        let first = self.serve(&arrival, start).await;
        Taken { at: arrival.at, first }
    }

    async fn serve(&self, arrival: &Arrival, start: Instant) -> Option<Duration> {
        let messages = json!([
            {"role": "system", "content": arrival.prefix},
            {"role": "user", "content": arrival.own},
        ]);
        let blocks = prefix::hash_messages(&messages);
        let want = Criteria {
            candidates: &self.candidates,
            block_hashes: &blocks,
            model: Some(MODEL),
            tried: &[],
        };
        let ticket = loop {
            match self.fleets[arrival.instance].choose(&want) {
                Ok(ticket) => break ticket,
                Err(Error::Overloaded) => sleep(FULL_PAUSE).await,
                Err(_) => return None,
            }
        };
        let url = format!("http://{}/v1/chat/completions", ticket.upstream().address);
        let body = json!({"model": MODEL, "stream": true, "messages": messages});
        let answer = self.http.post(url).send_json(&body).await.ok()?;
        ticket.record_answer_start();
        let mut payload = answer.take_payload();
        let first = payload.recv().await?.ok().map(|_| start.elapsed());
        while let Some(chunk) = payload.recv().await {
            chunk.ok()?;
        }
        first
    }

    async fn journal(&self, addresses: &[SocketAddr]) -> Result<Vec<Run>, cluster::Error> {
        let mut runs = Vec::new();
        for address in addresses {
            let url = format!("http://{address}/journal");
            let ask = || client::json(&self.http, Method::GET, url.clone(), None, &());
            let mut part: Result<Vec<Run>, client::Error> = ask().await;
            // Pooled connections may have ended since their last use.
            for _ in 0..JOURNAL_TRIES {
                if part.is_err() {
                    sleep(JOURNAL_PAUSE).await;
                    part = ask().await;
                }
            }
            let part = part?;
            runs.extend(part);
        }
        Ok(runs)
    }
}
