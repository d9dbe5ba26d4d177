//! Load of one upstream: own requests, the last report and its age, and the speed observed.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use base::clock::millis;

use crate::report::Report;

/// Age at which a report says as much as the mean of all others.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Share of a new observation in the mean time of a run, as a divisor.
const SMOOTHING_DIVISOR: u64 = 8;

/// What is known about the load of an upstream.
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
    /// Returns the requests of this instance that run there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the load of the last report as it was reported.
    pub fn reported_requests(&self) -> u32 {
        self.reported_requests.load(Ordering::Relaxed)
    }

    /// Returns the reported slots, 0 if unknown.
    pub fn reported_slots(&self) -> u32 {
        self.reported_slots.load(Ordering::Relaxed)
    }

    /// Returns the mean time of a run at an engine that is not full, zero if unknown.
    pub fn mean_service_time(&self) -> Duration {
        Duration::from_micros(self.mean_service_us.load(Ordering::Relaxed))
    }

    /// Counts a request that is sent.
    pub fn record_start(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that has ended.
    pub fn record_end(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Takes in a report that arrived at `now`.
    pub fn record_report(&self, report: &Report, now: Duration) {
        let taken_ms = millis(now.saturating_sub(report.age())).max(1);
        self.reported_requests.store(report.load(), Ordering::Relaxed);
        self.other_requests
            .store(report.load().saturating_sub(self.in_flight()), Ordering::Relaxed);
        self.reported_slots.store(report.slots, Ordering::Relaxed);
        self.report_taken_ms.store(taken_ms, Ordering::Relaxed);
    }

    /// Returns the load that other instances cause, as last reported.
    pub fn other_requests(&self) -> u32 {
        self.other_requests.load(Ordering::Relaxed)
    }

    /// Returns the weight of the last report by its age, 0 if there was none.
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

    /// Returns the estimated load, given the mean load that others cause at any upstream.
    pub fn estimate(&self, now: Duration, mean_other_load: f64) -> f64 {
        let weight = self.report_weight(now);
        f64::from(self.in_flight())
            + weight * f64::from(self.other_requests())
            + (1.0 - weight) * mean_other_load
    }

    /// Takes in the time of a run that began when the upstream was full `fill` times over.
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
