//! Latency of calls to the store, and the timeout of writes that follows from it.

use std::time::Duration;

/// Fraction by which each faster write lowers the remembered slowest latency.
const SLOWEST_WRITE_DECAY: f64 = 0.2;
/// Write timeout as a multiple of the slowest recent latency; two limits clamp the product.
const WRITE_TIMEOUT_FACTOR: u32 = 4;
const MIN_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Duration of a call from which the store counts as unreachable.
///
/// Calls over a saturated link take half as long.
const STALL_THRESHOLD: Duration = Duration::from_millis(800);
/// Longest pause after a conflict while requests wait.
///
/// Several of them fit into the time for which a request waits for the store.
const MAX_CONFLICT_PAUSE: Duration = Duration::from_millis(100);

/// Latency of recent calls to the store.
#[derive(Debug, Default)]
pub struct Latency {
    call_started_at: Duration,
    last_write: Duration,
    slowest_write: Duration,
}

impl Latency {
    /// Records the start of a read or a write.
    pub fn start_call(&mut self, now: Duration) {
        self.call_started_at = now;
    }

    /// Returns when the last call started.
    #[must_use]
    pub fn call_started_at(&self) -> Duration {
        self.call_started_at
    }

    /// Records that the answer to the write arrived.
    pub fn end_write(&mut self, now: Duration) {
        let sample = now.saturating_sub(self.call_started_at);
        self.last_write = sample;
        self.slowest_write = self.slowest_write.mul_f64(1.0 - SLOWEST_WRITE_DECAY).max(sample);
    }

    /// Records that the write got no answer, which lengthens the next timeout.
    pub fn fail_write(&mut self, now: Duration) {
        self.slowest_write = self.slowest_write.max(now.saturating_sub(self.call_started_at));
    }

    /// Returns the slowest recent write latency; zero before the first write ends.
    #[must_use]
    pub fn slowest_write(&self) -> Duration {
        self.slowest_write
    }

    /// Returns how long to wait for the answer to a write.
    ///
    /// The wait is short, since requests may run out of tokens while a lost answer is awaited.
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
        (self.slowest_write * WRITE_TIMEOUT_FACTOR).clamp(MIN_WRITE_TIMEOUT, MAX_WRITE_TIMEOUT)
    }

    /// Returns the longest pause after a number of conflicts in a row.
    ///
    /// Writes that queue at the store make each other's revisions out of date. The longer the queue,
    /// the longer the writers pause, so that only a few of them write at a time.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut latency = ledger::escrow::latency::Latency::default();
    /// latency.start_call(Duration::ZERO);
    /// latency.end_write(Duration::from_millis(20));
    /// assert_eq!(latency.max_conflict_pause(2), Duration::from_millis(40));
    /// ```
    #[must_use]
    pub fn max_conflict_pause(&self, conflicts: u32) -> Duration {
        (self.last_write * conflicts).min(MAX_CONFLICT_PAUSE)
    }

    /// Returns true if the call in progress is slow enough to suggest an outage.
    ///
    /// The result means nothing while no call is in progress.
    #[must_use]
    pub fn is_stalled(&self, now: Duration) -> bool {
        now.saturating_sub(self.call_started_at) >= STALL_THRESHOLD
    }
}
