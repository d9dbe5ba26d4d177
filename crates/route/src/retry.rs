//! Allowance of retries for one service over a sliding window.
//!
//! Answers the load pattern of a retry storm: many requests fail at once, and repeating each of
//! them would multiply the load on a service that is already in trouble. All instances together
//! must stay within a share of the requests and a fixed number; an instance uses its part of both
//! without asking the others.

use std::collections::VecDeque;
use std::time::Duration;

/// Part of the allowance that is used, so that windows that are cut differently hold it too.
const SAFETY_FACTOR: f64 = 0.7;

/// Limits on retries of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Retries for each request.
    pub retries_per_request: f64,
    /// Retries beside these, over all instances.
    pub extra_retries: f64,
    /// Window in which both hold.
    pub window: Duration,
}

/// Requests and retries of one service at one instance.
#[derive(Debug, Default)]
pub struct Limiter {
    request_times: VecDeque<Duration>,
    retry_times: VecDeque<Duration>,
}

impl Limiter {
    /// Counts a request that is sent for the first time.
    pub fn record_request(&mut self, limits: &Limits, now: Duration) {
        self.expire(limits, now);
        self.request_times.push_back(now);
    }

    /// Takes a retry if the window allows one more.
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
