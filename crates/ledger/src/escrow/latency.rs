//! How long the store takes to answer.

use std::time::Duration;

/// Part of the slowest write that is forgotten with each faster one.
const SLOWEST_WRITE_DECAY: f64 = 0.2;
/// Wait for the answer to a write, in relation to the slowest of the last ones, and its limits.
const WRITE_TIMEOUT_FACTOR: u32 = 4;
const WRITE_TIMEOUT_MIN: Duration = Duration::from_millis(500);
const WRITE_TIMEOUT_MAX: Duration = Duration::from_secs(2);
/// Time of a call after which the store counts as out; a full link makes calls half as long.
const STALL_THRESHOLD: Duration = Duration::from_millis(800);

/// Times of the last calls to the store.
#[derive(Debug, Default)]
pub struct Latency {
    call_started_at: Duration,
    slowest_write: Duration,
}

impl Latency {
    /// Notes that a call begins.
    pub fn start_call(&mut self, now: Duration) {
        self.call_started_at = now;
    }

    /// Notes that a write has its answer.
    pub fn end_write(&mut self, now: Duration) {
        let sample = now.saturating_sub(self.call_started_at);
        self.slowest_write = self.slowest_write.mul_f64(1.0 - SLOWEST_WRITE_DECAY).max(sample);
    }

    /// Notes that a write got no answer; the next one is given more time.
    pub fn fail_write(&mut self, now: Duration) {
        self.slowest_write = self.slowest_write.max(now.saturating_sub(self.call_started_at));
    }

    /// Returns the time of the slowest of the last writes.
    #[must_use]
    pub fn slowest_write(&self) -> Duration {
        self.slowest_write
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
    /// assert_eq!(latency.write_timeout(), Duration::from_millis(500));
    /// latency.start_call(Duration::ZERO);
    /// latency.fail_write(Duration::from_millis(450));
    /// assert_eq!(latency.write_timeout(), Duration::from_millis(1_800));
    /// ```
    #[must_use]
    pub fn write_timeout(&self) -> Duration {
        (self.slowest_write * WRITE_TIMEOUT_FACTOR).clamp(WRITE_TIMEOUT_MIN, WRITE_TIMEOUT_MAX)
    }

    /// Returns true if the present call has no answer for so long that the store may be out.
    #[must_use]
    pub fn is_stalled(&self, now: Duration) -> bool {
        now.saturating_sub(self.call_started_at) >= STALL_THRESHOLD
    }
}
