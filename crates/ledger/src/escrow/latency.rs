//! How long the store takes to answer.

use std::time::Duration;

/// Part of the slowest write that is forgotten with each faster one.
const FORGET: f64 = 0.2;
/// Wait for the answer to a write, in relation to the slowest of the last ones, and its limits.
const PATIENCE: u32 = 4;
const PATIENCE_MIN: Duration = Duration::from_millis(500);
const PATIENCE_MAX: Duration = Duration::from_secs(2);
/// Time of a call after which the store counts as out; a full link makes calls half as long.
const STALL: Duration = Duration::from_millis(800);

/// Times of the last calls to the store.
#[derive(Debug, Default)]
pub struct Latency {
    begun_at: Duration,
    slowest: Duration,
}

impl Latency {
    /// Notes that a call begins.
    pub fn begin(&mut self, now: Duration) {
        self.begun_at = now;
    }

    /// Notes that a write has its answer.
    pub fn end(&mut self, now: Duration) {
        let sample = now.saturating_sub(self.begun_at);
        self.slowest = self.slowest.mul_f64(1.0 - FORGET).max(sample);
    }

    /// Notes that a write got no answer; the next one is given more time.
    pub fn fail(&mut self, now: Duration) {
        self.slowest = self.slowest.max(now.saturating_sub(self.begun_at));
    }

    /// Returns the time of the slowest of the last writes.
    #[must_use]
    pub fn slowest(&self) -> Duration {
        self.slowest
    }

    /// Returns how long the answer to a write should be waited for.
    ///
    /// An answer that is lost never comes, and requests run short while it is waited for.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut latency = ledger::escrow::latency::Latency::default();
    /// assert_eq!(latency.patience(), Duration::from_millis(500));
    /// latency.begin(Duration::ZERO);
    /// latency.fail(Duration::from_millis(450));
    /// assert_eq!(latency.patience(), Duration::from_millis(1_800));
    /// ```
    #[must_use]
    pub fn patience(&self) -> Duration {
        (self.slowest * PATIENCE).clamp(PATIENCE_MIN, PATIENCE_MAX)
    }

    /// Returns true if the present call has no answer for so long that the store may be out.
    #[must_use]
    pub fn is_stalled(&self, now: Duration) -> bool {
        now.saturating_sub(self.begun_at) >= STALL
    }
}
