//! Load reports that readers see only after a lag.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::clock::millis;
use route::report::Report;

/// Recent load reports, kept until a newer one is visible.
#[derive(Debug)]
pub struct Reports {
    lag: Duration,
    reports: Mutex<VecDeque<(Instant, Report)>>,
}

impl Reports {
    /// Opens an empty list whose reports become visible after `lag`.
    #[must_use]
    pub fn open(lag: Duration) -> Self {
        Self { lag, reports: Mutex::default() }
    }

    /// Records `report` and sets its sequence number.
    pub fn record(&self, mut report: Report) {
        let mut reports = self.lock();
        report.sequence = reports.back().map_or(1, |(_, last)| last.sequence + 1);
        reports.push_back((Instant::now(), report));
        self.trim(&mut reports);
    }

    /// Returns the visible report with the lag as its age; `None` without reports.
    #[must_use]
    pub fn visible(&self) -> Option<Report> {
        let mut reports = self.lock();
        self.trim(&mut reports);
        let (_, report) = reports.front()?;
        let mut report = report.clone();
        report.age_ms = millis(self.lag);
        Some(report)
    }

    /// Drops reports that are older than the visible one.
    fn trim(&self, reports: &mut VecDeque<(Instant, Report)>) {
        while reports.get(1).is_some_and(|(recorded_at, _)| recorded_at.elapsed() >= self.lag) {
            reports.pop_front();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<(Instant, Report)>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
