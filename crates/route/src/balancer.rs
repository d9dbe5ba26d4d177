//! Rules that pick one of several usable upstreams.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};

use rand::RngCore;
use rand::seq::{IndexedRandom, index};

/// Requests that may wait at an upstream, as a divisor of its slots.
const SLOTS_PER_QUEUED_REQUEST: f64 = 4.0;

/// What a rule knows about an upstream that can take the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests of this instance there.
    pub in_flight: u32,
    /// Load as last reported, whatever the age of the report.
    pub reported_requests: u32,
    /// Estimated load: own requests and those of others by report and age.
    pub estimated_load: f64,
    /// Mean seconds of a run there, as observed; the mean of all if unknown.
    pub service_seconds: f64,
    /// Share of the prompt's leading blocks that is probably cached there, 0 to 1.
    pub hit_ratio: f64,
    /// Whether all instances prefer it for this prompt while nobody has it cached.
    pub is_home: bool,
    /// Whether it is in the failure domain of this instance.
    pub is_local: bool,
}

impl Candidate {
    /// Returns true if so many wait there that one more is better kept back.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let slots = f64::from(self.slots);
        self.estimated_load >= slots + (slots / SLOTS_PER_QUEUED_REQUEST).max(1.0)
    }

    /// Returns the estimated load after one more request as a share of the slots.
    #[must_use]
    pub fn utilization(&self) -> f64 {
        (self.estimated_load + 1.0) / f64::from(self.slots.max(1))
    }
}

/// A rule that picks one of several usable upstreams.
pub trait Balancer: fmt::Debug + Send + Sync {
    /// Picks the place of one, or `None` if there is none to pick from.
    fn choose(&self, candidates: &[Candidate], rng: &mut dyn RngCore) -> Option<usize>;
}

/// Names of the rules, for settings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Policy {
    /// Any, at random.
    Random,
    /// One after the other.
    RoundRobin,
    /// The least loaded by the last reports.
    LeastLoaded,
    /// The better of two drawn at random, by own requests.
    TwoChoices,
    /// The least expected time to the first token.
    #[default]
    Cost,
}

impl Policy {
    /// Opens the rule.
    ///
    /// # Examples
    ///
    /// ```
    /// let balancer = route::Policy::Cost.open();
    /// assert_eq!(balancer.choose(&[], &mut rand::rng()), None);
    /// ```
    #[must_use]
    pub fn open(self) -> Box<dyn Balancer> {
        match self {
            Self::Random => Box::new(Random),
            Self::RoundRobin => Box::new(RoundRobin::default()),
            Self::LeastLoaded => Box::new(LeastLoaded),
            Self::TwoChoices => Box::new(TwoChoices),
            Self::Cost => Box::new(Cost::default()),
        }
    }
}

/// Takes any, at random.
#[derive(Debug, Clone, Copy, Default)]
pub struct Random;

impl Balancer for Random {
    fn choose(&self, candidates: &[Candidate], rng: &mut dyn RngCore) -> Option<usize> {
        (!candidates.is_empty()).then(|| index::sample(rng, candidates.len(), 1).index(0))
    }
}

/// Takes one after the other.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

impl Balancer for RoundRobin {
    fn choose(&self, candidates: &[Candidate], _: &mut dyn RngCore) -> Option<usize> {
        (!candidates.is_empty())
            .then(|| self.next.fetch_add(1, Ordering::Relaxed) % candidates.len())
    }
}

/// Takes the least loaded by the last reports, whatever their age.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoaded;

impl Balancer for LeastLoaded {
    fn choose(&self, candidates: &[Candidate], rng: &mut dyn RngCore) -> Option<usize> {
        argmin(candidates, rng, |it| f64::from(it.reported_requests) / f64::from(it.slots.max(1)))
    }
}

/// Draws two at random and takes the one with fewer own requests for its slots.
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoices;

impl Balancer for TwoChoices {
    fn choose(&self, candidates: &[Candidate], rng: &mut dyn RngCore) -> Option<usize> {
        let drawn = index::sample(rng, candidates.len(), candidates.len().min(2));
        let fill =
            |at: &usize| f64::from(candidates[*at].in_flight) / f64::from(candidates[*at].slots);
        drawn.into_iter().min_by(|a, b| fill(a).total_cmp(&fill(b)))
    }
}

/// Takes the one with the least expected time to the first token.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// Time of a prompt that is not cached, as a share of the time of a run.
    pub cache_miss_weight: f64,
    /// Growth of the time up to a full batch, as a share of the time of a run.
    pub batch_weight: f64,
    /// Advantage of an upstream in the own failure domain, as a share of the time of a run.
    pub remote_weight: f64,
}

impl Default for Cost {
    fn default() -> Self {
        Self { cache_miss_weight: 0.3, batch_weight: 0.4, remote_weight: 0.02 }
    }
}

impl Cost {
    /// Returns the expected time to the first token, up to a common part.
    ///
    /// # Examples
    ///
    /// ```
    /// use route::balancer::{Candidate, Cost};
    /// let idle = Candidate {
    ///     slots: 8, in_flight: 0, reported_requests: 0, estimated_load: 0.0, service_seconds: 1.0,
    ///     hit_ratio: 0.0, is_home: false, is_local: true,
    /// };
    /// let full = Candidate { estimated_load: 20.0, hit_ratio: 1.0, ..idle };
    /// let cost = Cost::default();
    /// assert!(cost.expected_seconds(&idle) < cost.expected_seconds(&full));
    /// ```
    #[must_use]
    pub fn expected_seconds(&self, candidate: &Candidate) -> f64 {
        let utilization = candidate.utilization();
        let queueing = (utilization - 1.0).max(0.0);
        let batching = self.batch_weight * utilization.min(1.0);
        let hit_ratio =
            if candidate.is_home { candidate.hit_ratio.max(0.5) } else { candidate.hit_ratio };
        let uncached = self.cache_miss_weight * (1.0 - hit_ratio);
        let remote = if candidate.is_local { 0.0 } else { self.remote_weight };
        candidate.service_seconds * (queueing + batching + uncached + remote)
    }
}

impl Balancer for Cost {
    fn choose(&self, candidates: &[Candidate], rng: &mut dyn RngCore) -> Option<usize> {
        let score =
            |one: &Candidate| if one.is_full() { f64::MAX } else { self.expected_seconds(one) };
        argmin(candidates, rng, score).filter(|index| !candidates[*index].is_full())
    }
}

/// Returns the place of the least by `key`; equal ones are drawn at random.
fn argmin(
    candidates: &[Candidate],
    rng: &mut dyn RngCore,
    score: impl Fn(&Candidate) -> f64,
) -> Option<usize> {
    let scores: Vec<f64> = candidates.iter().map(score).collect();
    let best = scores.iter().copied().min_by(f64::total_cmp)?;
    let indices: Vec<usize> =
        (0..scores.len()).filter(|index| scores[*index].total_cmp(&best).is_eq()).collect();
    indices.choose(rng).copied()
}
