//! Pauses between attempts to reach a peer that fails.

use base::prelude::*;

/// Pause after the first failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Failures of one peer in a row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
    retry_at: Duration,
}

impl Backoff {
    /// Returns true if the peer may be tried at `now`.
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

    /// Notes a failure; each one in a row doubles the pause.
    pub fn record_failure(&mut self, now: Duration) {
        let factor = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        self.retry_at = now + MIN_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1).min(16);
    }

    /// Notes a success.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }
}
