//! Ejection of failing upstreams, with exponential backoff and probing.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use base::clock::millis;

/// Number of consecutive failures at which an upstream is ejected.
pub const FAILURES_TO_EJECT: u32 = 3;
/// Time of the first ejection; each further failure doubles it.
pub const MIN_BACKOFF: Duration = Duration::from_secs(1);
/// Longest time of one ejection.
pub const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Doublings after which the backoff exceeds [`MAX_BACKOFF`]; avoids an overflow.
const MAX_DOUBLINGS: u32 = 5;

/// Consecutive failures of an upstream and the end of its ejection.
///
/// Times are those of the monotonic clock of this instance.
#[derive(Debug, Default)]
pub struct Health {
    consecutive_failures: AtomicU32,
    ejected_until_ms: AtomicU64,
}

impl Health {
    /// Resets the failures and the ejection, since a response has begun.
    pub fn record_success(&self) {
        self.consecutive_failures.store(0, Ordering::Relaxed);
        self.ejected_until_ms.store(0, Ordering::Relaxed);
    }

    /// Counts a failed request and ejects the upstream after [`FAILURES_TO_EJECT`].
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// let health = route::health::Health::default();
    /// let now = Duration::from_secs(9);
    /// for _ in 0..route::health::FAILURES_TO_EJECT {
    ///     assert!(health.is_available(now));
    ///     health.record_failure(now);
    /// }
    /// assert!(!health.is_available(now));
    /// assert!(health.is_available(now + route::health::MIN_BACKOFF));
    /// ```
    pub fn record_failure(&self, now: Duration) {
        let failures = self.consecutive_failures.fetch_add(1, Ordering::Relaxed).saturating_add(1);
        if failures >= FAILURES_TO_EJECT {
            self.ejected_until_ms.store(millis(now + backoff(failures)), Ordering::Relaxed);
        }
    }

    /// Returns true if the upstream is not ejected at time `now`.
    #[must_use]
    pub fn is_available(&self, now: Duration) -> bool {
        millis(now) >= self.ejected_until_ms.load(Ordering::Relaxed)
    }

    /// Marks that a request is sent to the upstream.
    ///
    /// After an ejection the request is a probe: the upstream is ejected for another backoff, so
    /// that no other request goes there unless the probe succeeds.
    pub fn record_attempt(&self, now: Duration) {
        let failures = self.consecutive_failures.load(Ordering::Relaxed);
        if failures >= FAILURES_TO_EJECT {
            self.ejected_until_ms.store(millis(now + backoff(failures)), Ordering::Relaxed);
        }
    }
}

fn backoff(failures: u32) -> Duration {
    let doublings = (failures - FAILURES_TO_EJECT).min(MAX_DOUBLINGS);
    (MIN_BACKOFF * (1 << doublings)).min(MAX_BACKOFF)
}
