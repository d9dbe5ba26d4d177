//! Limit on the retries of one service within a sliding window.
//!
//! Prevents a retry storm: many requests fail at once, and retrying all of them would multiply the
//! load on a service that is already failing. The retries of all instances together must stay
//! within a fraction of the requests plus a fixed number. Each instance applies its part of both
//! without communication.

use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the limit that is used, so that differently aligned windows stay within it.
const SAFETY_FACTOR: f64 = 0.7;

/// Limits on the retries of a service, equal on all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Retries allowed for each first attempt within the window.
    pub retries_per_request: f64,
    /// Further retries within the window, shared by all instances.
    pub extra_retries: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Recent requests and retries of one service at this instance.
#[derive(Debug, Default)]
pub struct Limiter {
    request_times: VecDeque<Duration>,
    retry_times: VecDeque<Duration>,
}

impl Limiter {
    /// Counts the first attempt of a request at time `now`.
    pub fn record_request(&mut self, limits: &Limits, now: Duration) {
        self.expire(limits, now);
        self.request_times.push_back(now);
    }

    /// Returns true and counts a retry if the window allows one more.
    ///
    /// `instances` share [`Limits::extra_retries`]; 0 counts as 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use route::retry::{Limiter, Limits};
    /// let window = Duration::from_secs(10);
    /// let limits = Limits { retries_per_request: 0.2, extra_retries: 10.0, window };
    /// let mut limiter = Limiter::default();
    /// let now = Duration::from_secs(60);
    /// let admitted = (0..100).filter(|_| limiter.try_retry(&limits, 2, now)).count();
    /// assert_eq!(admitted, 3);
    /// assert!(limiter.try_retry(&limits, 2, now + Duration::from_secs(11)));
    /// ```
    pub fn try_retry(&mut self, limits: &Limits, instances: u64, now: Duration) -> bool {
        self.expire(limits, now);
        let count =
            |times: &VecDeque<Duration>| f64::from(u32::try_from(times.len()).unwrap_or(u32::MAX));
        let instances = f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
        let allowed = limits.retries_per_request * count(&self.request_times)
            + limits.extra_retries / instances;
        if count(&self.retry_times) + 1.0 > allowed * SAFETY_FACTOR {
            return false;
        }
        self.retry_times.push_back(now);
        true
    }

    fn expire(&mut self, limits: &Limits, now: Duration) {
        for times in [&mut self.request_times, &mut self.retry_times] {
            while times.front().is_some_and(|time| now.saturating_sub(*time) > limits.window) {
                times.pop_front();
            }
        }
    }
}
