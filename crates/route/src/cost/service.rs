//! Rates that are usual at the upstreams of a service, learned by one instance.

use base::prelude::*;

/// Time to prefill a token before any was observed, in seconds.
const DEFAULT_TOKEN_SECONDS: f64 = 1.0 / 60_000.0;
/// Time between two events of a stream before any was observed, in seconds.
const DEFAULT_EVENT_SECONDS: f64 = 0.02;
/// Duration of a run before any was observed, in seconds.
const DEFAULT_RUN_SECONDS: f64 = 1.0;
/// Observations that a default counts for, so that one outlier does not replace it.
const DEFAULT_WEIGHT: f64 = 1.5;
/// Least weight of an observation of a rate, so that a change of the service is followed.
const MIN_RATE_GAIN: f64 = 0.01;
/// Greatest change of the logarithm of a rate that one observation is taken to show.
const MAX_RATE_STEP: f64 = 2.0;
/// Weight of an observation in the means of load, memory and durations.
const MEAN_GAIN: f64 = 0.05;
/// Queued tokens from which the time of a first event shows the speed of the prefill.
const MIN_OBSERVED_TOKENS: f64 = 256.0;
/// Part of the time to a first event that is prefill at least, if tokens were queued.
const MIN_PREFILL_PART: f64 = 0.2;

/// Usual rates of a service, for an upstream that differs from it by a factor of 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rates {
    /// Time to prefill a token, in seconds.
    pub token_seconds: f64,
    /// Time from one event of a stream to the next, in seconds.
    pub event_seconds: f64,
    /// Duration of a run from its start to its end, in seconds.
    pub run_seconds: f64,
}

impl Rates {
    /// Rates before any were observed.
    pub const DEFAULT: Self = Self {
        token_seconds: DEFAULT_TOKEN_SECONDS,
        event_seconds: DEFAULT_EVENT_SECONDS,
        run_seconds: DEFAULT_RUN_SECONDS,
    };
}

impl Default for Rates {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// What one instance has learned about all upstreams of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Service {
    /// Usual rates.
    pub rates: Rates,
    /// Observations of the prefill and of the pauses between events.
    counts: (f64, f64),
    /// Requests of other instances at one upstream, on average.
    others_load: f64,
    /// Waiting prompt tokens for each request in flight, on average.
    queued_tokens: f64,
    /// Tokens of memory for each request in flight, on average.
    memory_tokens: f64,
    /// Mean logarithm of the present slowness that upstreams state.
    stated_slowness: f64,
}

impl Service {
    /// Returns the expected time to the first event at a factor of 1, in seconds.
    ///
    /// `tokens` wait there to be prefilled, those of the request included.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut service = route::cost::Service::default();
    /// let assumed = service.first_event_seconds(40_000.0);
    /// for _ in 0..50 {
    ///     service.observe_first_event(40_000.0, 2.0);
    /// }
    /// assert!(assumed < 1.0 && service.first_event_seconds(40_000.0) > 1.8);
    /// ```
    #[must_use]
    pub fn first_event_seconds(&self, tokens: f64) -> f64 {
        tokens * self.rates.token_seconds + self.rates.event_seconds
    }

    /// Learns from a first event that arrived `seconds` after the request was sent.
    ///
    /// `tokens` were queued, those of the request included; `seconds` is divided by the present
    /// slowness of the upstream.
    pub fn observe_first_event(&mut self, tokens: f64, seconds: f64) {
        if tokens < MIN_OBSERVED_TOKENS {
            return;
        }
        let prefill = (seconds - self.rates.event_seconds).max(seconds * MIN_PREFILL_PART);
        learn_rate(&mut self.rates.token_seconds, &mut self.counts.0, prefill / tokens);
    }

    /// Learns from the mean time between events, in seconds, divided by the present slowness.
    pub fn observe_pause(&mut self, seconds: f64) {
        learn_rate(&mut self.rates.event_seconds, &mut self.counts.1, seconds);
    }

    /// Learns from the duration of a run.
    pub fn observe_run(&mut self, seconds: f64) {
        self.rates.run_seconds += MEAN_GAIN * (seconds - self.rates.run_seconds);
    }

    /// Learns from the load that all candidates of a placement have.
    ///
    /// These are requests of this instance, and their waiting prompt tokens and memory.
    #[expect(clippy::cast_precision_loss, reason = "an estimate needs no more than 52 bits")]
    pub fn observe_own(&mut self, requests: usize, queued: f64, memory: Tokens) {
        if requests > 0 {
            let requests = requests as f64;
            self.queued_tokens += MEAN_GAIN * (queued / requests - self.queued_tokens);
            self.memory_tokens += MEAN_GAIN * (memory as f64 / requests - self.memory_tokens);
        }
    }

    /// Learns from a report: requests of other instances, and the slowness if it is stated.
    pub fn observe_report(&mut self, others: f64, slowness: Option<f64>) {
        self.others_load += MEAN_GAIN * (others - self.others_load);
        if let Some(slowness) = slowness {
            self.stated_slowness += MEAN_GAIN * (slowness.ln() - self.stated_slowness);
        }
    }

    /// Returns the requests of other instances at one upstream, on average.
    #[must_use]
    pub fn others_load(&self) -> f64 {
        self.others_load
    }

    /// Returns the waiting prompt tokens for each request in flight, on average.
    #[must_use]
    pub fn queued_tokens(&self) -> f64 {
        self.queued_tokens
    }

    /// Returns the tokens of memory for each request in flight, on average.
    #[must_use]
    pub fn memory_tokens(&self) -> f64 {
        self.memory_tokens
    }

    /// Returns the mean logarithm of the slowness that upstreams state.
    #[must_use]
    pub fn stated_slowness(&self) -> f64 {
        self.stated_slowness
    }
}

/// Moves a rate towards an observation, by less the more observations there are.
///
/// The logarithm is averaged, and the step is limited, so that late answers count little.
fn learn_rate(rate: &mut f64, count: &mut f64, observed: f64) {
    if !observed.is_finite() || observed <= 0.0 {
        return;
    }
    *count += 1.0;
    let gain = (1.0 / (*count + DEFAULT_WEIGHT)).max(MIN_RATE_GAIN);
    let step = (observed / *rate).ln().clamp(-MAX_RATE_STEP, MAX_RATE_STEP);
    *rate *= (gain * step).exp();
}
