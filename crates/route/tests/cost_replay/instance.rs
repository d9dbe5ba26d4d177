//! One instance: what it sees of the upstreams, and how it chooses among them.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use route::cost::{Report, Service, Upstream, Work};
use route::placement::{self, Average, Candidate, Workload};
use route::prefix;

use super::engine::{Engine, Job, SLOTS, STRIDE};

/// Time for which an instance assumes a part to be cached after its last use, in seconds.
const CACHE_TTL: f64 = 30.0;
/// Parts of a shared prompt assumed cached at the first and second rendezvous upstream.
const ASSUMED_CACHED: [f64; 2] = [0.7, 0.4];

/// The same for the choice by constants, as before `route::cost`.
const CONSTANTS_ASSUMED_CACHED: [f64; 2] = [0.95, 0.4];

/// How an instance chooses an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Random,
    /// Fewest own and reported requests.
    FewestRequests,
    /// The one of two random upstreams with fewer own and reported requests.
    TwoChoices,
    /// Expected time by constants for the speed and the step, as before `route::cost`.
    Constants,
    /// Expected time by learned rates.
    Cost,
    /// Least time by the true state of all upstreams at the moment of the choice.
    Hindsight,
}

/// Every policy, with its name in the table.
pub const POLICIES: [(Policy, &str); 6] = [
    (Policy::Random, "random"),
    (Policy::FewestRequests, "fewest requests"),
    (Policy::TwoChoices, "two choices"),
    (Policy::Constants, "constants"),
    (Policy::Cost, "cost"),
    (Policy::Hindsight, "hindsight"),
];

/// What an instance sees of one upstream.
#[derive(Debug)]
struct Sight {
    cost: Upstream,
    in_flight: usize,
    /// Requests of others by the last report, and its time.
    others: (f64, f64),
    slowness: Average,
    queued_tokens: f64,
    cached: HashMap<u64, f64>,
}

/// A request of this instance in flight.
#[derive(Debug, Clone, Copy)]
struct Flight {
    upstream: usize,
    sent_at: f64,
    work: Work,
    shared: u64,
    expected: f64,
    has_begun: bool,
    pauses: (f64, u32),
    last_event_at: f64,
}

#[derive(Debug)]
pub struct Instance {
    policy: Policy,
    has_reports: bool,
    service: Service,
    sights: Vec<Sight>,
    flights: HashMap<usize, Flight>,
}

fn time(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

impl Instance {
    pub fn open(policy: Policy, upstreams: usize, has_reports: bool) -> Self {
        let sight = |_| Sight {
            cost: Upstream::default(),
            in_flight: 0,
            others: (0.0, 0.0),
            slowness: Average::open(1.0),
            queued_tokens: 0.0,
            cached: HashMap::new(),
        };
        Self {
            policy,
            has_reports,
            service: Service::default(),
            sights: (0..upstreams).map(sight).collect(),
            flights: HashMap::new(),
        }
    }

    /// Returns the leading tokens that are assumed cached at each upstream.
    fn cached_tokens(&self, job: &Job, now: f64) -> Vec<f64> {
        let weight =
            |index: usize| prefix::mix(prefix::extend_hash(job.shared, &index.to_le_bytes()));
        let mut homes = [usize::MAX; 2];
        if job.shared_tokens > 0.0 {
            let all = 0..self.sights.len();
            homes[0] = all.clone().max_by_key(|index| weight(*index)).expect("upstreams");
            homes[1] = all
                .filter(|index| *index != homes[0])
                .max_by_key(|index| weight(*index))
                .expect("two upstreams");
        }
        let cached = |(index, sight): (usize, &Sight)| {
            let is_known = sight.cached.get(&job.shared).is_some_and(|at| now - at < CACHE_TTL);
            if is_known {
                return job.shared_tokens;
            }
            let rank = homes.iter().position(|home| *home == index);
            let assumed = match self.policy {
                Policy::Constants => CONSTANTS_ASSUMED_CACHED,
                _ => ASSUMED_CACHED,
            };
            rank.map_or(0.0, |rank| job.shared_tokens * assumed[rank])
        };
        self.sights.iter().enumerate().map(cached).collect()
    }

    fn stale_load(&self, index: usize) -> f64 {
        self.sights[index].in_flight as f64 + self.sights[index].others.0
    }

    pub fn choose(&mut self, job: &Job, engines: &[Engine], now: f64, rng: &mut StdRng) -> usize {
        let count = self.sights.len();
        let cached = self.cached_tokens(job, now);
        let prompt = job.shared_tokens + job.own_tokens;
        let least = |cost: &dyn Fn(usize) -> f64| {
            (0..count).min_by(|one, other| cost(*one).total_cmp(&cost(*other))).expect("upstreams")
        };
        let shift = rng.random_range(0..count);
        let shifted = |index: usize| (index + shift) % count;
        let mut work = Work { prefill_tokens: prompt as u64, ..Work::default() };
        let mut expected = 1.0;
        let index = match self.policy {
            Policy::Random => shift,
            Policy::FewestRequests => shifted(least(&|index| self.stale_load(shifted(index)))),
            Policy::TwoChoices => {
                let other = rng.random_range(0..count);
                if self.stale_load(shift) <= self.stale_load(other) { shift } else { other }
            }
            Policy::Hindsight => {
                shifted(least(&|index| engines[shifted(index)].true_seconds(job, now)))
            }
            Policy::Constants => {
                let cost = |index: usize| {
                    let sight = &self.sights[index];
                    let load = sight.in_flight as f64
                        + sight.others.0 * 0.5_f64.powf((now - sight.others.1) / 1.5);
                    let tokens = prompt - cached[index] + sight.queued_tokens;
                    let slowness = (sight.slowness.value_at(time(now)) / 2.5).max(1.0);
                    (tokens / 60_000.0 + 0.02 * (1.0 + 0.006 * load)) * slowness
                        + (load + 1.0 - SLOTS as f64).max(0.0) * 0.02
                };
                let best = cost(least(&cost));
                let ties: Vec<usize> =
                    (0..count).filter(|index| cost(*index) <= best + 0.001).collect();
                let index = ties[rng.random_range(0..ties.len())];
                work.prefill_tokens = (prompt - cached[index]) as u64;
                expected = cost(index);
                index
            }
            Policy::Cost => {
                let (index, estimated) = self.choose_by_cost(job, &cached, now, rng);
                work = estimated;
                index
            }
        };
        self.start(job, index, work, expected, now);
        index
    }

    fn choose_by_cost(
        &mut self,
        job: &Job,
        cached: &[f64],
        now: f64,
        rng: &mut StdRng,
    ) -> (usize, Work) {
        let at = time(now);
        let prompt = (job.shared_tokens + job.own_tokens) as u64;
        let output = u64::from(job.events * STRIDE);
        let service = self.service;
        let (mut queued, mut memory) = (0.0, 0);
        for sight in &self.sights {
            queued += sight.cost.queued_tokens(&service, sight.cost.factor(at).0, at);
            memory += sight.cost.memory_tokens();
        }
        self.service.observe_own(self.flights.len(), queued, memory);
        let service = self.service;
        let candidate = |(index, sight): (usize, &Sight)| {
            let (factor, uncertainty) = sight.cost.factor(at);
            let others = sight.cost.others_load(&service, at);
            let cached_tokens = cached[index] as u64;
            let used = sight.cost.memory_tokens() as f64 + others * service.memory_tokens();
            let needed = (prompt - cached_tokens + output) as f64;
            Candidate {
                slots: SLOTS as f64,
                load: sight.in_flight as f64 + others,
                queued_tokens: sight.cost.queued_tokens(&service, factor, at)
                    + others * service.queued_tokens(),
                cached_tokens,
                rates: service.rates,
                factor,
                uncertainty,
                memory_seconds: Upstream::memory_seconds(&service, used, needed, 402_187.0),
                slowness: 1.0,
                failure_ratio: 0.0,
                silent_for: Duration::ZERO,
                is_local: true,
            }
        };
        let candidates: Vec<Candidate> = self.sights.iter().enumerate().map(candidate).collect();
        let seed: u64 = rng.random();
        let tie = |index: usize| prefix::mix(seed ^ prefix::mix(index as u64));
        let index = placement::choose(Workload::Generation(prompt), &candidates, tie);
        let index = index.expect("upstreams");
        let chosen = &candidates[index];
        let is_known =
            self.sights[index].cached.get(&job.shared).is_some_and(|at| now - at < CACHE_TTL);
        let known = if is_known { job.shared_tokens as u64 } else { 0 };
        let prefill_tokens = prompt - known;
        let work = Work {
            prefill_tokens,
            doubtful_tokens: chosen.cached_tokens.saturating_sub(known),
            memory_tokens: prefill_tokens + output,
            queued_tokens: chosen.queued_tokens,
            factor: chosen.factor,
            uncertainty: chosen.uncertainty,
            token_seconds: chosen.rates.token_seconds,
        };
        (index, work)
    }

    fn start(&mut self, job: &Job, index: usize, work: Work, expected: f64, now: f64) {
        let sight = &mut self.sights[index];
        sight.in_flight += 1;
        sight.queued_tokens += work.prefill_tokens as f64;
        sight.cost.start(&work, time(now));
        self.flights.insert(
            job.id,
            Flight {
                upstream: index,
                sent_at: now,
                work,
                shared: job.shared,
                expected,
                has_begun: false,
                pauses: (now, 0),
                last_event_at: now,
            },
        );
    }

    /// Records an event; returns the upstream.
    pub fn event(&mut self, id: usize, engines: &[Engine], states_slowness: bool, now: f64) {
        let flight = self.flights.get_mut(&id).expect("a request in flight");
        let sight = &mut self.sights[flight.upstream];
        flight.last_event_at = now;
        if flight.has_begun {
            flight.pauses.1 += 1;
            let (since, count) = flight.pauses;
            if now - since >= 0.04 {
                flight.pauses = (now, 0);
                let load =
                    sight.in_flight as f64 + sight.cost.others_load(&self.service, time(now));
                let seconds = (now - since) / f64::from(count);
                sight.cost.observe_pause(&mut self.service, seconds, load, time(now));
            }
            return;
        }
        flight.has_begun = true;
        flight.pauses = (now, 0);
        sight.queued_tokens -= flight.work.prefill_tokens as f64;
        sight.cost.end_prefill(&flight.work, time(now));
        let seconds = now - flight.sent_at;
        if self.policy == Policy::Cost {
            sight.cost.observe_first_event(&mut self.service, &flight.work, seconds, time(now));
        }
        let slowness = (seconds / flight.expected.max(0.005)).clamp(0.3, 12.0);
        sight.slowness.observe(slowness, time(now));
        sight.cached.insert(flight.shared, now);
        if self.has_reports {
            let engine = &engines[flight.upstream];
            let (running, waiting) = engine.load();
            let slowness = states_slowness.then(|| engine.slowness(now));
            let report = Report { running, waiting, slowness };
            let own = sight.in_flight;
            sight.cost.observe_report(&mut self.service, report, own, time(now));
            sight.others = ((f64::from(running + waiting) - own as f64).max(0.0), now);
        }
    }

    pub fn end(&mut self, id: usize) {
        let flight = self.flights.remove(&id).expect("a request in flight");
        let sight = &mut self.sights[flight.upstream];
        sight.in_flight -= 1;
        sight.cost.end(&flight.work);
        self.service.observe_run(flight.last_event_at - flight.sent_at);
    }

    /// Describes what was learned, for the output of the replay.
    pub fn learned(&self, now: f64) -> String {
        let rates = self.service.rates;
        let factors: Vec<String> = (0..6.min(self.sights.len()))
            .map(|index| format!("{:.2}", self.sights[index].cost.factor(time(now)).0))
            .collect();
        format!(
            "{:.1} tokens/ms, {:.1} ms per event, run {:.2} s, factors {}",
            1e-3 / rates.token_seconds,
            rates.event_seconds * 1e3,
            rates.run_seconds,
            factors.join(" ")
        )
    }
}
