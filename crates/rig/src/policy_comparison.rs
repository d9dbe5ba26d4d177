//! Comparison of balancing policies, against engine stand-ins in processes of their own.

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

/// Upper bound of the histogram of times to the first token, in microseconds.
const MAX_TIME_US: u64 = 600_000_000;
/// Model that all requests name.
const MODEL: &str = "model";
/// Delay before the retry of a request that found all upstreams full.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(3);
/// Most retries of reading a journal.
const JOURNAL_RETRIES: usize = 5;
/// Delay before each retry of reading a journal.
const JOURNAL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Bytes of the part of a prompt that is unique to it.
const UNIQUE_BYTES: usize = 64;
/// Bytes of a prompt that the engine stand-in counts as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Parameters of one comparison, the same for all policies.
#[derive(Debug, Clone)]
pub struct Trial {
    /// Seed of the arrival times and prompts.
    pub seed: u64,
    /// Request rate relative to the capacity with empty caches; 1 is full load.
    pub load: f64,
    /// Time over which requests arrive.
    pub duration: Duration,
    /// Time at the start whose arrivals count only for `hit_rate` and `slow_share`.
    pub warmup: Duration,
    /// Number of instances, each with its own view of the engines.
    pub instances: usize,
    /// Number of engines; the first is slower than the others.
    pub engines: usize,
    /// Factor on all times of the first engine.
    pub slowdown: u32,
    /// Most requests that one engine runs at once.
    pub slots: u32,
    /// Number of different prefixes, each drawn for many prompts.
    pub prefixes: usize,
    /// Length of a prefix in bytes.
    pub prefix_bytes: usize,
    /// Number of prefixes that fit into the cache of one engine.
    pub cached_prefixes: usize,
    /// Number of tokens generated for each request.
    pub completion_tokens: u32,
    /// Lag of load reports and cache events.
    pub lag: Duration,
    /// Share of cache events that are lost, from 0 to 1.
    pub event_loss: f64,
}

impl Default for Trial {
    fn default() -> Self {
        Self {
            seed: 1,
            load: 0.5,
            duration: Duration::from_secs(15),
            warmup: Duration::from_secs(4),
            instances: 3,
            engines: 8,
            slowdown: 3,
            slots: 8,
            prefixes: 40,
            prefix_bytes: 3_072,
            cached_prefixes: 8,
            completion_tokens: 20,
            lag: Duration::from_millis(500),
            event_loss: 0.1,
        }
    }
}

/// Time to the first token of an empty prompt.
const FIRST_TOKEN_DELAY: Duration = Duration::from_millis(30);
/// Time that each uncached prompt token adds to the first token.
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(250);
/// Time between two tokens of a request that runs alone.
const TOKEN_INTERVAL: Duration = Duration::from_millis(15);
/// Relative growth of the token interval in a full batch; 1 about doubles it.
const GROWTH: f64 = 1.0;

/// Result of one policy.
#[derive(Debug, Clone, Serialize)]
pub struct Score {
    /// Name of the policy.
    pub rule: &'static str,
    /// Request rate relative to the capacity; 1 is full load.
    pub share: f64,
    /// Number of counted requests that got a first token.
    pub requests: u64,
    /// Number of counted requests that failed.
    pub failed: u64,
    /// Median of the time to the first token, in milliseconds.
    pub ttft_ms_p50: f64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub ttft_ms_p99: f64,
    /// Share of prompt tokens that were in the cache, from 0 to 1.
    pub hit_rate: f64,
    /// Share of runs at the slow engine, from 0 to 1.
    pub slow_share: f64,
}

/// Function that opens a balancer with a fresh state.
pub type OpenPolicy = fn() -> Box<dyn Balancer>;

/// All policies with the names under which their scores are printed.
pub const POLICIES: [(&str, OpenPolicy); 5] = [
    ("random", || Policy::Random.open()),
    ("round-robin", || Policy::RoundRobin.open()),
    ("least-loaded", || Policy::LeastLoaded.open()),
    ("two-choices", || Policy::TwoChoices.open()),
    ("cost", || Policy::Cost.open()),
];

impl Trial {
    fn prompt_tokens(&self) -> u32 {
        u32::try_from((self.prefix_bytes + UNIQUE_BYTES) / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
    }

    /// Returns the requests per second of all engines at full load.
    ///
    /// The figure assumes full batches and empty caches.
    #[must_use]
    pub fn capacity_per_second(&self) -> f64 {
        let tokens = TOKEN_INTERVAL.mul_f64(1.0 + GROWTH) * self.completion_tokens;
        let run = FIRST_TOKEN_DELAY + PREFILL_PER_TOKEN * self.prompt_tokens() + tokens;
        let engine_capacity = f64::from(self.slots) / run.as_secs_f64();
        let fast = u32::try_from(self.engines - 1).unwrap_or(u32::MAX);
        engine_capacity * (f64::from(fast) + 1.0 / f64::from(self.slowdown))
    }

    fn spawn_engine(&self, number: usize) -> Result<StandIn, cluster::Error> {
        let factor = if number == 0 { self.slowdown } else { 1 };
        let blocks = self.cached_prefixes * (self.prefix_bytes / prefix::BLOCK_BYTES + 1);
        let args = [
            "engine".to_owned(),
            format!("--name=engine-{number}"),
            format!("--first-ms={}", (FIRST_TOKEN_DELAY * factor).as_millis()),
            format!("--prefill-us={}", (PREFILL_PER_TOKEN * factor).as_micros()),
            format!("--token-ms={}", (TOKEN_INTERVAL * factor).as_millis()),
            format!("--growth={GROWTH}"),
            format!("--slots={}", self.slots),
            format!("--cache-blocks={blocks}"),
            format!("--report-lag-ms={}", self.lag.as_millis()),
            format!("--event-lag-ms={}", self.lag.as_millis()),
            format!("--event-loss={}", self.event_loss),
        ];
        StandIn::spawn(&args, &std::env::temp_dir(), false, None)
    }

    /// Runs the trial with one policy on the current thread.
    ///
    /// The thread must run an `ntex` system.
    ///
    /// # Errors
    ///
    /// Returns an error if an engine cannot be started or its journal cannot be read.
    ///
    /// # Panics
    ///
    /// Panics if the configuration of the trial is malformed, which is a bug.
    pub async fn run(
        &self,
        name: &'static str,
        policy: OpenPolicy,
    ) -> Result<Score, cluster::Error> {
        let engines: Result<Vec<StandIn>, _> =
            (0..self.engines).map(|number| self.spawn_engine(number)).collect();
        let engines = engines?;
        let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
        let bench = Rc::new(Bench::open(self, policy, &addresses).await);
        let requests = join_all(self.arrivals().into_iter().map(|arrival| {
            let bench = Rc::clone(&bench);
            async move { bench.send_at_offset(arrival).await }
        }));
        let timings = requests.await;
        let runs = bench.runs(&addresses).await?;
        Ok(self.score(name, &timings, &runs))
    }

    fn arrivals(&self) -> Vec<Arrival> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let requests_per_second = self.capacity_per_second() * self.load;
        let mut arrivals = Vec::new();
        let mut offset = Duration::ZERO;
        let texts: Vec<String> = (0..self.prefixes)
            .map(|number| format!("prefix {number} ").repeat(self.prefix_bytes / 9 + 1))
            .collect();
        while offset < self.duration {
            let gap_seconds = -rng.random_range(f64::EPSILON..1.0_f64).ln() / requests_per_second;
            offset += Duration::from_secs_f64(gap_seconds);
            let text = texts.choose(&mut rng).map_or("", |text| &text[..self.prefix_bytes]);
            let unique =
                format!("tokens={} own={:032x}", self.completion_tokens, rng.random::<u128>());
            let instance = rng.random_range(0..self.instances);
            arrivals.push(Arrival { offset, instance, prefix: text.to_owned(), unique });
        }
        arrivals
    }

    fn score(&self, name: &'static str, timings: &[Timing], runs: &[Run]) -> Score {
        let counted = timings.iter().filter(|timing| timing.offset >= self.warmup);
        let mut times =
            Histogram::<u64>::new_with_bounds(1, MAX_TIME_US, 3).expect("the bounds are valid");
        let mut failed = 0;
        for timing in counted {
            match timing.first_token {
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
            share: self.load,
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

/// A request and the time at which the trial sends it.
#[derive(Debug)]
struct Arrival {
    offset: Duration,
    instance: usize,
    prefix: String,
    unique: String,
}

/// Measured result of a request; `first_token` is `None` if it failed.
#[derive(Debug)]
struct Timing {
    offset: Duration,
    first_token: Option<Duration>,
}

/// Instances that send requests to the same engines.
struct Bench {
    started: Instant,
    fleets: Vec<Arc<Fleet>>,
    http: Client,
    candidates: Vec<base::id::UpstreamId>,
}

impl Bench {
    async fn open(trial: &Trial, policy: OpenPolicy, addresses: &[SocketAddr]) -> Self {
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
            .expect("the configuration document is well-formed");
        let log = Logger::root(Discard, o!());
        let mut fleets = Vec::new();
        for number in 0..trial.instances {
            let clock = Arc::new(System::open());
            let domain = format!("domain-{number}").as_str().into();
            let fleet = Arc::new(Fleet::open(policy(), domain, Arc::clone(&clock) as _));
            fleet.apply(&doc);
            let settings = conf::route::Route::default();
            let poller = Poller::open(Arc::clone(&fleet), clock, settings, log.clone());
            ntex::rt::spawn(poller.run());
            fleets.push(fleet);
        }
        let candidates = doc.upstreams.keys().map(Arc::clone).collect();
        Self { started: Instant::now(), fleets, http: client::open(4_096).await, candidates }
    }

    async fn send_at_offset(&self, arrival: Arrival) -> Timing {
        let start = self.started + arrival.offset;
        sleep_until(start.into()).await;
        let first_token = self.send(&arrival, start).await;
        Timing { offset: arrival.offset, first_token }
    }

    async fn send(&self, arrival: &Arrival, start: Instant) -> Option<Duration> {
        let messages = json!([
            {"role": "system", "content": arrival.prefix},
            {"role": "user", "content": arrival.unique},
        ]);
        let blocks = prefix::hash_messages(&messages);
        let criteria = Criteria {
            candidates: &self.candidates,
            block_hashes: &blocks,
            model: Some(MODEL),
            tried: &[],
        };
        let ticket = loop {
            match self.fleets[arrival.instance].choose(&criteria) {
                Ok(ticket) => break ticket,
                Err(Error::Overloaded) => sleep(FULL_RETRY_DELAY).await,
                Err(_) => return None,
            }
        };
        let url = format!("http://{}/v1/chat/completions", ticket.upstream().address);
        let body = json!({"model": MODEL, "stream": true, "messages": messages});
        let answer = self.http.post(url).send_json(&body).await.ok()?;
        ticket.record_answer_start();
        let mut payload = answer.take_payload();
        let first_token = payload.recv().await?.ok().map(|_| start.elapsed());
        while let Some(chunk) = payload.recv().await {
            chunk.ok()?;
        }
        first_token
    }

    async fn runs(&self, addresses: &[SocketAddr]) -> Result<Vec<Run>, cluster::Error> {
        let mut runs = Vec::new();
        for address in addresses {
            let url = format!("http://{address}/journal");
            let fetch = || client::json(&self.http, Method::GET, url.clone(), None, &());
            let mut part: Result<Vec<Run>, client::Error> = fetch().await;
            // The first call fails if the server closed an idle pooled connection.
            for _ in 0..JOURNAL_RETRIES {
                if part.is_err() {
                    sleep(JOURNAL_RETRY_DELAY).await;
                    part = fetch().await;
                }
            }
            let part = part?;
            runs.extend(part);
        }
        Ok(runs)
    }
}
