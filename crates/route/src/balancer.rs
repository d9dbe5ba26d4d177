//! Load balancing policies that choose one of several candidates.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};

use rand::RngCore;
use rand::seq::{IndexedRandom, index};

/// One request may queue per this many slots, at least one in any case.
const SLOTS_PER_QUEUED_REQUEST: f64 = 4.0;

/// An upstream that can serve the request, with the values that policies compare.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Most requests that the upstream runs concurrently.
    pub slots: u32,
    /// Requests of this instance that are in flight there.
    pub in_flight: u32,
    /// Running and queued requests by the last report, regardless of its age.
    pub reported_requests: u32,
    /// Estimated requests there; those of other instances are weighted by the report's age.
    pub estimated_load: f64,
    /// Mean observed service time; the mean of all usable upstreams if unknown.
    pub service_seconds: f64,
    /// Fraction of the leading blocks of the prompt that is probably cached, 0 to 1.
    pub hit_ratio: f64,
    /// Whether all instances prefer the upstream for this prompt while it is cached nowhere.
    pub is_home: bool,
    /// Whether the upstream is in the failure domain of this instance.
    pub is_local: bool,
}

impl Candidate {
    /// Returns true if the queue there has reached its limit.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let slots = f64::from(self.slots);
        self.estimated_load >= slots + (slots / SLOTS_PER_QUEUED_REQUEST).max(1.0)
    }

    /// Returns the estimated load with one more request, divided by the slots.
    #[must_use]
    pub fn utilization(&self) -> f64 {
        (self.estimated_load + 1.0) / f64::from(self.slots.max(1))
    }
}

/// A policy that chooses one of several candidates.
pub trait Balancer: fmt::Debug + Send + Sync {
    /// Returns the index of the chosen candidate; `None` if no candidate may get the request.
    fn choose(&self, candidates: &[Candidate], rng: &mut dyn RngCore) -> Option<usize>;
}

/// Load balancing policy, as named in the settings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Policy {
    /// Any candidate, with equal probability.
    Random,
    /// Each candidate in turn.
    RoundRobin,
    /// The candidate with the least load by the last reports.
    LeastLoaded,
    /// The less loaded of two random candidates, by requests of this instance.
    TwoChoices,
    /// The candidate with the least expected time to the first token.
    #[default]
    Cost,
}

impl Policy {
    /// Creates the balancer of the policy.
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

/// Chooses any candidate with equal probability.
#[derive(Debug, Clone, Copy, Default)]
pub struct Random;

impl Balancer for Random {
    fn choose(&self, candidates: &[Candidate], rng: &mut dyn RngCore) -> Option<usize> {
        (!candidates.is_empty()).then(|| index::sample(rng, candidates.len(), 1).index(0))
    }
}

/// Chooses the candidates in turn.
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

/// Chooses the least reported load per slot, regardless of the age of the reports.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoaded;

impl Balancer for LeastLoaded {
    fn choose(&self, candidates: &[Candidate], rng: &mut dyn RngCore) -> Option<usize> {
        argmin(candidates, rng, |it| f64::from(it.reported_requests) / f64::from(it.slots.max(1)))
    }
}

/// Draws two at random; chooses the one with fewer requests of this instance per slot.
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

/// Chooses the least expected time to the first token; skips full candidates.
///
/// Each weight is a factor of [`Candidate::service_seconds`].
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// Added time of a prompt of which nothing is cached.
    pub cache_miss_weight: f64,
    /// Added time at a full batch; grows linearly up to there.
    pub batch_weight: f64,
    /// Added time of an upstream in another failure domain.
    pub remote_weight: f64,
}

impl Default for Cost {
    fn default() -> Self {
        Self { cache_miss_weight: 0.3, batch_weight: 0.4, remote_weight: 0.02 }
    }
}

impl Cost {
    /// Returns the expected time to the first token, without what all candidates share.
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

/// Returns the index of the least score; a random one of equal scores.
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
