//! Exponential backoff between attempts to connect to a failing peer.

use base::prelude::*;

/// Backoff after the first failure; each further failure doubles it.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Upper limit of the backoff, which bounds how late a restarted peer is retried.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Consecutive failures of one peer and the time of the next attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
    retry_at: Duration,
}

impl Backoff {
    /// Returns true if a connection may be attempted at `now`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut backoff = wire::backoff::Backoff::default();
    /// backoff.record_failure(Duration::ZERO);
    /// assert!(!backoff.allows_attempt(Duration::from_millis(49)));
    /// assert!(backoff.allows_attempt(Duration::from_millis(50)));
    /// ```
    #[must_use]
    pub fn allows_attempt(&self, now: Duration) -> bool {
        now >= self.retry_at
    }

    /// Records a failure; consecutive ones double the backoff up to its limit.
    pub fn record_failure(&mut self, now: Duration) {
        let factor = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        self.retry_at = now + MIN_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1).min(16);
    }

    /// Resets the backoff after a successful connection.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }
}
