//! Section `[route]`: how upstreams are chosen and asked for their load.

use std::time::Duration;

use route::Policy;

use crate::reader::Section;

/// Settings of the choice of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Rule.
    pub choice: Policy,
    /// Interval at which upstreams are asked.
    pub poll: Duration,
    /// Upstreams asked for their load in each interval.
    pub reports: usize,
    /// Interval at which one upstream is asked for its cache events.
    pub events: Duration,
}

impl Default for Route {
    fn default() -> Self {
        Self {
            choice: Policy::Cost,
            poll: Duration::from_millis(500),
            reports: 4,
            events: Duration::from_secs(5),
        }
    }
}

impl Route {
    /// Reads the section.
    pub fn read(section: &mut Section<'_>) -> Self {
        let default = Self::default();
        let rules = [
            ("random", Policy::Random),
            ("round-robin", Policy::RoundRobin),
            ("least-loaded", Policy::LeastLoaded),
            ("two-choices", Policy::TwoChoices),
            ("cost", Policy::Cost),
        ];
        Self {
            choice: section.word("choice", default.choice, &rules),
            poll: section.millis("poll_ms", default.poll, &(10..=60_000)),
            reports: section.number("reports", default.reports, &(0..=1_000), "upstreams"),
            events: section.millis("events_ms", default.events, &(10..=3_600_000)),
        }
    }
}
