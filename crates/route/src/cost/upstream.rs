//! Work at one upstream, and how its speed differs from that of its service.

use base::prelude::*;

use super::{Belief, Prior, Service};

/// Permanent speed: a third faster or slower is usual, and it lasts as long as the incarnation.
///
/// It is forgotten slowly, so that an upstream that was taken to be slow is tried again.
const SPEED: Prior = Prior { variance: 0.2, half_life: Duration::from_secs(30) };
/// Present slowness by other work on the machine, which changes several times a second.
const PRESENT: Prior = Prior { variance: 0.15, half_life: Duration::from_millis(250) };
/// Noise of a first event, whose prompt waited for requests that are unknown here.
const FIRST_EVENT_NOISE: f64 = 0.8;
/// Noise of a mean time between events, which other prompts lengthen.
const PAUSE_NOISE: f64 = 1.5;
/// Noise of a stated slowness.
const STATED_NOISE: f64 = 0.01;
/// Part of a pause's deviation that can show a permanent speed, since pauses follow each other.
const PAUSE_SPEED_PART: f64 = 0.2;
/// Bounds of the logarithm of a ratio of times.
const RATIO_BOUNDS: (f64, f64) = (-1.5, 2.5);
/// Age at which a reported load of other instances counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Part of the request in front that counts as prefilled at most before its first event.
const MAX_PROGRESS: f64 = 0.8;
/// Growth of the time between events per running request, relative to an empty batch.
const SLOWDOWN_PER_REQUEST: f64 = 0.006;

/// What a generation was expected to cost at the upstream that was chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Prompt tokens to prefill that are not known to be cached.
    pub prefill_tokens: Tokens,
    /// Tokens of them that other instances may have caused to be cached.
    pub doubtful_tokens: Tokens,
    /// Tokens of memory: those to prefill and the expected output.
    pub memory_tokens: Tokens,
    /// Prompt tokens that waited there before the request.
    pub queued_tokens: f64,
    /// Factor of the times there relative to the service's rates.
    pub factor: f64,
    /// Standard deviation of the logarithm of `factor`.
    pub uncertainty: f64,
    /// Time to prefill a token that is usual for the service, in seconds.
    pub token_seconds: f64,
}

/// Load that an answer of an upstream states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// Running requests of all instances.
    pub running: u32,
    /// Waiting requests of all instances.
    pub waiting: u32,
    /// Time that work takes there now, relative to its usual time; `None` if not stated.
    pub slowness: Option<f64>,
}

/// What one instance knows about the work at an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Upstream {
    speed: Belief,
    present: Belief,
    /// Requests of other instances by the last report, and its time.
    others: Option<(f64, Duration)>,
    /// Requests of this instance without a first event, and the sum of their prefill tokens.
    queued: (u32, Tokens),
    /// Since when the request in front is prefilled.
    front_since: Duration,
    /// Memory of all requests of this instance there.
    memory_tokens: Tokens,
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            speed: Belief::open(SPEED),
            present: Belief::open(PRESENT),
            others: None,
            queued: (0, 0),
            front_since: Duration::ZERO,
            memory_tokens: 0,
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "an estimate needs no more than 52 bits")]
impl Upstream {
    /// Returns the factor of all times there relative to the service's rates, and its uncertainty.
    ///
    /// The uncertainty is the standard deviation of the factor's logarithm.
    #[must_use]
    pub fn factor(&self, now: Duration) -> (f64, f64) {
        let (speed, speed_variance) = self.speed.at(now);
        let (present, present_variance) = self.present.at(now);
        ((speed + present).exp(), (speed_variance + present_variance).sqrt())
    }

    /// Returns the requests of other instances there.
    ///
    /// With the age of the report, the mean of the service takes its place.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use route::cost::{Report, Service, Upstream};
    /// let (mut service, mut upstream) = (Service::default(), Upstream::default());
    /// let report = Report { running: 9, waiting: 1, slowness: None };
    /// let now = Duration::from_secs(1);
    /// upstream.observe_report(&mut service, report, 2, now);
    /// assert!((upstream.others_load(&service, now) - 8.0).abs() < 0.1);
    /// assert!(upstream.others_load(&service, now + Duration::from_secs(9)) < 1.0);
    /// ```
    #[must_use]
    pub fn others_load(&self, service: &Service, now: Duration) -> f64 {
        let mean = service.others_load();
        let Some((others, at)) = self.others else { return mean };
        let age = now.saturating_sub(at).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        mean + (others - mean) * (-age).exp2()
    }

    /// Returns the prompt tokens of this instance that still wait there.
    ///
    /// What the request in front has been prefilled by now is subtracted.
    #[must_use]
    pub fn queued_tokens(&self, service: &Service, factor: f64, now: Duration) -> f64 {
        let (count, tokens) = self.queued;
        if count == 0 {
            return 0.0;
        }
        let seconds = now.saturating_sub(self.front_since).as_secs_f64();
        let progress = seconds / (factor * service.rates.token_seconds);
        let front = tokens as f64 / f64::from(count);
        tokens as f64 - progress.min(front * MAX_PROGRESS)
    }

    /// Returns the memory of the requests of this instance there, in tokens.
    #[must_use]
    pub fn memory_tokens(&self) -> Tokens {
        self.memory_tokens
    }

    /// Returns the time until the memory suffices for `needed` more tokens, in seconds.
    ///
    /// The requests there hold `used` of `limit` tokens, and release them within a run.
    #[must_use]
    pub fn memory_seconds(service: &Service, used: f64, needed: f64, limit: f64) -> f64 {
        let missing = used + needed - limit;
        if missing <= 0.0 || used <= 0.0 {
            return 0.0;
        }
        service.rates.run_seconds * (missing / used).min(1.0)
    }

    /// Counts a request that is sent.
    pub fn start(&mut self, work: &Work, now: Duration) {
        if self.queued.0 == 0 {
            self.front_since = now;
        }
        self.queued.0 += 1;
        self.queued.1 += work.prefill_tokens;
        self.memory_tokens += work.memory_tokens;
    }

    /// Ends the prefill of a request, because its first event has arrived or it has ended.
    pub fn end_prefill(&mut self, work: &Work, now: Duration) {
        self.queued.0 = self.queued.0.saturating_sub(1);
        self.queued.1 = self.queued.1.saturating_sub(work.prefill_tokens);
        self.front_since = now;
    }

    /// Releases the memory of a request that has ended.
    pub fn end(&mut self, work: &Work) {
        self.memory_tokens = self.memory_tokens.saturating_sub(work.memory_tokens);
    }

    /// Learns from a load report, while this instance has `own` requests there.
    pub fn observe_report(
        &mut self,
        service: &mut Service,
        report: Report,
        own: usize,
        now: Duration,
    ) {
        let all = f64::from(report.running) + f64::from(report.waiting);
        let others = (all - own as f64).max(0.0);
        let slowness = report.slowness.filter(|slowness| *slowness > 0.0);
        service.observe_report(others, slowness);
        self.others = Some((others, now));
        if let Some(slowness) = slowness {
            let deviation = slowness.ln() - service.stated_slowness();
            self.present.observe(deviation, STATED_NOISE, now);
        }
    }

    /// Learns from the first event of a request.
    ///
    /// `seconds` passed since it was sent. If it is in doubt what was cached, the time says nothing
    /// about the speed, and is ignored.
    pub fn observe_first_event(
        &mut self,
        service: &mut Service,
        work: &Work,
        seconds: f64,
        now: Duration,
    ) {
        if work.doubtful_tokens > 0 {
            return;
        }
        let (current, _) = self.factor(now);
        // The factor has changed while the request waited; the mean of both applied to it.
        let factor = (work.factor * current).sqrt();
        let tokens = work.prefill_tokens as f64 + work.queued_tokens;
        // The service learns the mean of its upstreams, to which their speeds are relative.
        let (speed, _) = self.speed.at(now);
        service.observe_first_event(tokens, seconds / (factor / speed.exp()));
        let expected = service.first_event_seconds(tokens) * factor;
        self.correct((seconds / expected).ln(), FIRST_EVENT_NOISE, 1.0, now);
    }

    /// Learns from the mean time between events of a stream, in seconds.
    ///
    /// `load` counts the requests that run beside it. While a prompt of this instance is
    /// prefilled there, the time says nothing about the speed, and is ignored.
    pub fn observe_pause(&mut self, service: &mut Service, seconds: f64, load: f64, now: Duration) {
        if self.queued.0 > 0 || seconds <= 0.0 {
            return;
        }
        let (speed, _) = self.speed.at(now);
        let (present, _) = self.present.at(now);
        let batch = 1.0 + SLOWDOWN_PER_REQUEST * load;
        service.observe_pause(seconds / (present.exp() * batch));
        let expected = service.rates.event_seconds * (speed + present).exp() * batch;
        self.correct((seconds / expected).ln(), PAUSE_NOISE, PAUSE_SPEED_PART, now);
    }

    /// Splits a deviation of the logarithm between the permanent speed and the present slowness.
    fn correct(&mut self, deviation: f64, noise: f64, speed_part: f64, now: Duration) {
        let deviation = deviation.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let (_, speed) = self.speed.at(now);
        let (_, present) = self.present.at(now);
        let total = speed + present + noise;
        self.speed.correct(deviation, total / speed_part, now);
        self.present.correct(deviation, total, now);
    }
}
