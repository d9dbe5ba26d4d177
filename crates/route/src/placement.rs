//! Placement of a request on the upstream with the least expected time.
//!
//! Handles two load patterns. Hot prefix: requests that share the first parts of their prompt go to
//! the upstream that all instances derive from these parts, so that the prefix is prefilled once.
//! They spill over to another upstream only when queueing costs more than a second prefill. Slow or
//! failing upstreams: recent slowness and failures raise the expected time and decay, so that the
//! upstream is tried again without a separate rule. Times and queues are estimates of
//! [`crate::cost`].

use base::prelude::*;

use crate::cost::Rates;

/// Growth of the step time per request in the batch, relative to an empty batch.
const SLOWDOWN_PER_REQUEST: f64 = 0.006;
/// Added time of an upstream in another failure domain, in seconds.
const REMOTE_PENALTY_SECONDS: f64 = 0.002;
/// Time that a failed request costs the caller, in seconds.
const FAILURE_COST_SECONDS: f64 = 2.0;
/// Weight of the uncertainty of a time, since a late answer costs more than an early one gains.
const RISK_WEIGHT: f64 = 0.3;
/// Weight of the prefill that a request causes, since it delays those that come after it.
const WORK_WEIGHT: f64 = 0.3;
/// Difference from the best up to which candidates tie, in seconds.
const TIE_SECONDS: f64 = 0.001;
/// Difference from the best up to which candidates tie, relative to the best.
///
/// Instances that know the same do not all choose the same upstream.
const TIE_RATIO: f64 = 0.03;
/// Silence after which each further second adds a second to the expected time.
const STALL_THRESHOLD: Duration = Duration::from_millis(1_200);

/// An upstream that can serve the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Most requests that the upstream runs concurrently; below 1 counts as 1.
    pub slots: f64,
    /// Running and queued requests there, of this and other instances.
    pub load: f64,
    /// Prompt tokens that wait there, of this and other instances.
    pub queued_tokens: f64,
    /// Leading tokens of the prompt that are probably cached there.
    pub cached_tokens: Tokens,
    /// Rates that are usual for the service.
    pub rates: Rates,
    /// Times there relative to the usual ones, for generations.
    pub factor: f64,
    /// Standard deviation of the logarithm of `factor`.
    pub uncertainty: f64,
    /// Time until the memory suffices for the request, in seconds.
    pub memory_seconds: f64,
    /// Observed time of plain calls divided by the expected one, in seconds.
    pub slowness: f64,
    /// Fraction of recent requests that failed there, 0 to 1.
    pub failure_ratio: f64,
    /// Longest time for which a request of this instance has received no data.
    pub silent_for: Duration,
    /// Whether the upstream is in the failure domain of this instance.
    pub is_local: bool,
}

/// Kind and size of the request to place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// A generation with this many prompt tokens.
    Generation(Tokens),
    /// A call without a generation.
    Plain,
}

impl Candidate {
    /// Returns the expected time to the first token or, for plain calls, to the response.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// use route::placement::{Candidate, Workload};
    /// # let idle = Candidate { slots: 64.0, load: 0.0, queued_tokens: 0.0, cached_tokens: 0,
    /// #     rates: Default::default(), factor: 1.0, uncertainty: 0.0, memory_seconds: 0.0,
    /// #     slowness: 1.0, failure_ratio: 0.0, silent_for: Duration::ZERO, is_local: true };
    /// let warm = Candidate { cached_tokens: 9_000, ..idle };
    /// let workload = Workload::Generation(10_000);
    /// assert!(warm.expected_seconds(workload) < idle.expected_seconds(workload));
    /// ```
    #[must_use]
    pub fn expected_seconds(&self, workload: Workload) -> f64 {
        let slots = self.slots.max(1.0);
        let queue = (self.load + 1.0 - slots).max(0.0);
        let seconds = match workload {
            Workload::Generation(prompt) => {
                self.first_event_seconds(prompt)
                    + queue * self.rates.run_seconds / slots
                    + self.memory_seconds
            }
            Workload::Plain => self.slowness * (1.0 + (self.load / slots).min(1.0) + queue / slots),
        };
        let stalled_seconds = self.silent_for.saturating_sub(STALL_THRESHOLD).as_secs_f64();
        let remote_seconds = if self.is_local { 0.0 } else { REMOTE_PENALTY_SECONDS };
        seconds + stalled_seconds + remote_seconds + FAILURE_COST_SECONDS * self.failure_ratio
    }

    /// Returns the time from the start of the prefill to the first event.
    fn first_event_seconds(&self, prompt: Tokens) -> f64 {
        let tokens = self.prefill_tokens(prompt) + self.queued_tokens;
        let event_seconds = self.rates.event_seconds * (1.0 + SLOWDOWN_PER_REQUEST * self.load);
        (tokens * self.rates.token_seconds + event_seconds) * self.factor
    }

    #[expect(clippy::cast_precision_loss, reason = "an estimate needs no more than 52 bits")]
    fn prefill_tokens(&self, prompt: Tokens) -> f64 {
        prompt.saturating_sub(self.cached_tokens) as f64
    }

    /// Returns what the request costs there in seconds: the expected time, the risk that it takes
    /// longer, and the delay of other requests.
    fn cost(&self, workload: Workload) -> f64 {
        let added = match workload {
            Workload::Generation(prompt) => {
                let risk = self.first_event_seconds(prompt) * self.uncertainty;
                let work = self.prefill_tokens(prompt) * self.rates.token_seconds * self.factor;
                RISK_WEIGHT * risk + WORK_WEIGHT * work
            }
            Workload::Plain => 0.0,
        };
        self.expected_seconds(workload) + added
    }
}

/// Returns the index of the least cost; `None` without candidates.
///
/// Among nearly equal candidates, the one with the greatest `tie_break` wins.
#[must_use]
pub fn choose(
    workload: Workload,
    candidates: &[Candidate],
    tie_break: impl Fn(usize) -> u64,
) -> Option<usize> {
    let cost = |index: usize| candidates[index].cost(workload);
    let best = (0..candidates.len()).map(cost).min_by(f64::total_cmp)?;
    let limit = best + TIE_SECONDS + TIE_RATIO * best;
    let tied = (0..candidates.len()).filter(|index| cost(*index) <= limit);
    tied.max_by_key(|index| tie_break(*index))
}

/// Exponentially weighted average that decays to a baseline over time.
#[derive(Debug, Clone, Copy)]
pub struct Average {
    value: f64,
    baseline: f64,
    updated_at: Duration,
}

impl Average {
    /// Weight of a new sample in the average.
    const SAMPLE_WEIGHT: f64 = 0.25;
    /// Time in which the deviation from the baseline halves.
    const HALF_LIFE: Duration = Duration::from_secs(5);

    /// Creates an average at its baseline.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut average = route::placement::Average::open(0.0);
    /// average.observe(1.0, Duration::from_secs(1));
    /// assert!(average.value_at(Duration::from_secs(1)) > 0.2);
    /// assert!(average.value_at(Duration::from_secs(60)) < 0.01);
    /// ```
    #[must_use]
    pub fn open(baseline: f64) -> Self {
        Self { value: baseline, baseline, updated_at: Duration::ZERO }
    }

    /// Adds a sample taken at time `now`.
    pub fn observe(&mut self, sample: f64, now: Duration) {
        let value = self.value_at(now);
        self.value = value + Self::SAMPLE_WEIGHT * (sample - value);
        self.updated_at = now;
    }

    /// Returns the decayed average at time `now`.
    #[must_use]
    pub fn value_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64() / Self::HALF_LIFE.as_secs_f64();
        self.baseline + (self.value - self.baseline) * 0.5_f64.powf(age)
    }
}
