//! Load of one upstream, estimated from requests in flight and aging reports.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use base::clock::millis;

use crate::report::Report;

/// Age at which a report and the mean of all upstreams have equal weight.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Divisor that gives the weight of a new sample in the mean service time.
const SMOOTHING_DIVISOR: u64 = 8;

/// Requests at an upstream and its mean service time.
#[derive(Debug, Default)]
pub struct Load {
    in_flight: AtomicU32,
    reported_requests: AtomicU32,
    other_requests: AtomicU32,
    reported_slots: AtomicU32,
    report_taken_ms: AtomicU64,
    mean_service_us: AtomicU64,
}

impl Load {
    /// Returns the requests of this instance that are in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the running and queued requests of the last report, 0 without one.
    pub fn reported_requests(&self) -> u32 {
        self.reported_requests.load(Ordering::Relaxed)
    }

    /// Returns the slots of the last report, 0 if unknown.
    pub fn reported_slots(&self) -> u32 {
        self.reported_slots.load(Ordering::Relaxed)
    }

    /// Returns the mean service time below saturation, zero if unknown.
    pub fn mean_service_time(&self) -> Duration {
        Duration::from_micros(self.mean_service_us.load(Ordering::Relaxed))
    }

    /// Counts a request that starts; [`Self::record_end`] must follow.
    pub fn record_start(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends the count of a request that [`Self::record_start`] counted.
    pub fn record_end(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Replaces the last report by one that arrived at `now`.
    pub fn record_report(&self, report: &Report, now: Duration) {
        let taken_ms = millis(now.saturating_sub(report.age())).max(1);
        self.reported_requests.store(report.load(), Ordering::Relaxed);
        self.other_requests
            .store(report.load().saturating_sub(self.in_flight()), Ordering::Relaxed);
        self.reported_slots.store(report.slots, Ordering::Relaxed);
        self.report_taken_ms.store(taken_ms, Ordering::Relaxed);
    }

    /// Returns the requests of other instances by the last report, 0 without one.
    pub fn other_requests(&self) -> u32 {
        self.other_requests.load(Ordering::Relaxed)
    }

    /// Returns the weight of the last report, from 1 down with age; 0 without one.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// let load = route::load::Load::default();
    /// let report = route::report::Report { running: 4, ..Default::default() };
    /// load.record_report(&report, Duration::from_secs(5));
    /// assert!(load.report_weight(Duration::from_secs(5)) > 0.99);
    /// assert!(load.report_weight(Duration::from_secs(60)) < 0.01);
    /// ```
    pub fn report_weight(&self, now: Duration) -> f64 {
        let taken_ms = self.report_taken_ms.load(Ordering::Relaxed);
        if taken_ms == 0 {
            return 0.0;
        }
        let age = now.saturating_sub(Duration::from_millis(taken_ms));
        0.5_f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64())
    }

    /// Returns the estimated requests at the upstream.
    ///
    /// As the report ages, `mean_other_load`, the mean over all upstreams, replaces the reported
    /// requests of other instances.
    pub fn estimate(&self, now: Duration, mean_other_load: f64) -> f64 {
        let weight = self.report_weight(now);
        f64::from(self.in_flight())
            + weight * f64::from(self.other_requests())
            + (1.0 - weight) * mean_other_load
    }

    /// Adds the service time of a request to the mean.
    ///
    /// `utilization` is the load at its start divided by the slots. Above 1 the request waited in
    /// the queue, so the time is divided by it.
    pub fn record_service_time(&self, time: Duration, utilization: f64) {
        let unloaded_time = time.div_f64(utilization.max(1.0));
        let sample_us = u64::try_from(unloaded_time.as_micros()).unwrap_or(u64::MAX).max(1);
        let previous_us = self.mean_service_us.load(Ordering::Relaxed);
        let mean = if previous_us == 0 {
            sample_us
        } else {
            previous_us - previous_us / SMOOTHING_DIVISOR + sample_us / SMOOTHING_DIVISOR
        };
        self.mean_service_us.store(mean.max(1), Ordering::Relaxed);
    }
}
