//! Placement of a request on one of several upstreams, by expected time.
//!
//! Answers two load patterns. One hot prefix: requests that share the first parts of their prompt
//! go to the upstream that all instances derive from these parts, so that they are read once, and
//! spill to the next one only when the queue there costs more than reading them again. Slow or
//! failing upstreams: what an upstream did of late makes it dearer, and it becomes cheaper again
//! with time, so that it is tried again without a special rule.

use base::prelude::*;

/// Prompt tokens that an engine reads in a second; a start value, as reports do not tell.
pub const PREFILL_TOKENS_PER_SECOND: f64 = 60_000.0;
/// Growth of the time of a step with each request in the batch, in relation to an empty batch.
const SLOWDOWN_PER_REQUEST: f64 = 0.006;
/// Time that one event takes in an empty batch, in seconds.
const STEP_SECONDS: f64 = 0.02;
/// Advantage of an upstream in the own failure domain, in seconds.
const REMOTE_PENALTY_SECONDS: f64 = 0.002;
/// Time that a failure costs a caller, in seconds, by which failing upstreams become dear.
const FAILURE_COST_SECONDS: f64 = 2.0;
/// Pace up to which a run counts as usual.
const SLOWNESS_TOLERANCE: f64 = 2.5;
/// Time without a sign of life at which an upstream becomes dearer second by second.
const STALL_THRESHOLD: Duration = Duration::from_millis(1_200);

/// An upstream that could take the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests that it runs at once.
    pub slots: f64,
    /// Requests that it runs or keeps waiting, own and others'.
    pub load: f64,
    /// Prompt tokens of own requests that it has not begun to answer.
    pub backlog_tokens: Tokens,
    /// Leading tokens of the prompt that it probably has cached.
    pub cached_tokens: Tokens,
    /// Observed time of a run in relation to the expected one, or in seconds for plain calls.
    pub slowness: f64,
    /// Share of recent requests that failed there, 0 to 1.
    pub failure_ratio: f64,
    /// Time for which its oldest own request has had no sign of life.
    pub silent_for: Duration,
    /// Whether it is in the failure domain of this instance.
    pub is_local: bool,
}

/// What is to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// A generation with this many prompt tokens.
    Generation(Tokens),
    /// A plain call.
    Plain,
}

impl Candidate {
    /// Returns the expected time to the answer or to the first token, in seconds.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// use route::placement::{Candidate, Workload};
    /// # let idle = Candidate { slots: 64.0, load: 0.0, backlog_tokens: 0, cached_tokens: 0,
    /// #     slowness: 1.0, failure_ratio: 0.0, silent_for: Duration::ZERO, is_local: true };
    /// let warm = Candidate { cached_tokens: 9_000, ..idle };
    /// let workload = Workload::Generation(10_000);
    /// assert!(warm.expected_seconds(workload) < idle.expected_seconds(workload));
    /// ```
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "an estimate needs no more than 52 bits")]
    pub fn expected_seconds(&self, workload: Workload) -> f64 {
        let slots = self.slots.max(1.0);
        let queue = (self.load + 1.0 - slots).max(0.0);
        let seconds = match workload {
            Workload::Generation(prompt) => {
                let prefill_tokens =
                    prompt.saturating_sub(self.cached_tokens) + self.backlog_tokens;
                let step_seconds = STEP_SECONDS * (1.0 + SLOWDOWN_PER_REQUEST * self.load);
                // The time of one run varies with what is read beside it; only much slower ones say
                // something about the engine.
                let slowness = (self.slowness / SLOWNESS_TOLERANCE).max(1.0);
                (prefill_tokens as f64 / PREFILL_TOKENS_PER_SECOND + step_seconds) * slowness
                    + queue * STEP_SECONDS
            }
            Workload::Plain => self.slowness * (1.0 + (self.load / slots).min(1.0) + queue / slots),
        };
        let stalled_seconds = self.silent_for.saturating_sub(STALL_THRESHOLD).as_secs_f64();
        let remote_seconds = if self.is_local { 0.0 } else { REMOTE_PENALTY_SECONDS };
        seconds + stalled_seconds + remote_seconds + FAILURE_COST_SECONDS * self.failure_ratio
    }
}

/// Returns the place of the best offer; `tie` decides between nearly equal ones.
#[must_use]
pub fn choose(
    workload: Workload,
    candidates: &[Candidate],
    tie_break: impl Fn(usize) -> u64,
) -> Option<usize> {
    /// Differences below this are noise, in seconds.
    const TIE_SECONDS: f64 = 0.001;
    let cost = |index: usize| candidates[index].expected_seconds(workload);
    let best = (0..candidates.len()).map(cost).min_by(f64::total_cmp)?;
    let tied = (0..candidates.len()).filter(|index| cost(*index) <= best + TIE_SECONDS);
    tied.max_by_key(|index| tie_break(*index))
}

/// Mean of recent observations that returns to a resting value with time.
#[derive(Debug, Clone, Copy)]
pub struct Average {
    value: f64,
    baseline: f64,
    updated_at: Duration,
}

impl Average {
    /// Weight of a new observation.
    const SAMPLE_WEIGHT: f64 = 0.25;
    /// Time in which half of the deviation from the resting value is forgotten.
    const HALF_LIFE: Duration = Duration::from_secs(5);

    /// Opens a trend at its resting value.
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

    /// Takes in an observation.
    pub fn observe(&mut self, sample: f64, now: Duration) {
        let value = self.value_at(now);
        self.value = value + Self::SAMPLE_WEIGHT * (sample - value);
        self.updated_at = now;
    }

    /// Returns the present value.
    #[must_use]
    pub fn value_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64() / Self::HALF_LIFE.as_secs_f64();
        self.baseline + (self.value - self.baseline) * 0.5_f64.powf(age)
    }
}
