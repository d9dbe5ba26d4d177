//! Rate of the requests of one instance to an upstream that states a limit for all instances.
//!
//! Load pattern: an upstream in need that every instance wants to use. Without communication, each
//! instance keeps to its part of the limit. The requests are spaced evenly, and instances that
//! learn of the limit at the same moment start at random times, so that their requests do not add
//! up to a burst.

use std::time::Duration;

/// Longest time between two requests, in seconds, however low the limit is.
const MAX_SPACING_SECONDS: f64 = 3_600.0;

/// Limit of one upstream, as this instance applies it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Throttle {
    /// Requests per second that the upstream accepts from all instances; `None` without a limit.
    limit_per_s: Option<f64>,
    /// Time from which the next request may be sent.
    next_at: Duration,
}

impl Throttle {
    /// Applies the limit that an answer of the upstream states; `None` if it states none.
    ///
    /// `share` is the part of the limit that this instance may use, and `random` is from 0 to 1.
    /// Returns true if the limit has changed.
    pub fn observe(
        &mut self,
        limit_per_s: Option<f64>,
        share: f64,
        random: f64,
        now: Duration,
    ) -> bool {
        let last = std::mem::replace(&mut self.limit_per_s, limit_per_s);
        if last.is_none() && limit_per_s.is_some() {
            self.next_at = now + self.spacing(share).mul_f64(random.clamp(0.0, 1.0));
        }
        last != limit_per_s
    }

    /// Returns true if the upstream states a limit.
    #[must_use]
    pub fn has_limit(&self) -> bool {
        self.limit_per_s.is_some()
    }

    /// Returns the time until a request may be sent; zero if it may now.
    #[must_use]
    pub fn wait(&self, now: Duration) -> Duration {
        match self.limit_per_s {
            Some(_) => self.next_at.saturating_sub(now),
            None => Duration::ZERO,
        }
    }

    /// Counts a request that is sent at `now`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use route::throttle::Throttle;
    /// let mut throttle = Throttle::default();
    /// let now = Duration::from_secs(60);
    /// throttle.observe(Some(4.0), 0.1, 0.0, now);
    /// assert!(throttle.wait(now).is_zero());
    /// throttle.record_request(0.1, now);
    /// assert_eq!(throttle.wait(now), Duration::from_millis(2_500));
    /// ```
    pub fn record_request(&mut self, share: f64, now: Duration) {
        if self.limit_per_s.is_some() {
            self.next_at = now + self.spacing(share);
        }
    }

    /// Returns the time between two requests of this instance.
    fn spacing(&self, share: f64) -> Duration {
        let rate_per_s = share.max(0.0) * self.limit_per_s.unwrap_or(f64::INFINITY).max(0.0);
        Duration::from_secs_f64((1.0 / rate_per_s).min(MAX_SPACING_SECONDS))
    }
}
