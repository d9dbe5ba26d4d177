//! Section `[route]`: how upstreams are chosen and asked for their load.

use std::time::Duration;

use route::Policy;

use crate::reader::Section;

/// Settings of the choice of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Rule.
    pub policy: Policy,
    /// Interval at which upstreams are asked.
    pub poll_interval: Duration,
    /// Upstreams asked for their load in each interval.
    pub reports_per_poll: usize,
    /// Interval at which one upstream is asked for its cache events.
    pub events_interval: Duration,
}

impl Default for Route {
    fn default() -> Self {
        Self {
            policy: Policy::Cost,
            poll_interval: Duration::from_millis(500),
            reports_per_poll: 4,
            events_interval: Duration::from_secs(5),
        }
    }
}

impl Route {
    /// Reads the section.
    pub fn read(section: &mut Section<'_>) -> Self {
        let default = Self::default();
        let policies = [
            ("random", Policy::Random),
            ("round-robin", Policy::RoundRobin),
            ("least-loaded", Policy::LeastLoaded),
            ("two-choices", Policy::TwoChoices),
            ("cost", Policy::Cost),
        ];
        Self {
            policy: section.choice("choice", default.policy, &policies),
            poll_interval: section.millis("poll_ms", default.poll_interval, &(10..=60_000)),
            reports_per_poll: section.number(
                "reports",
                default.reports_per_poll,
                &(0..=1_000),
                "upstreams",
            ),
            events_interval: section.millis(
                "events_ms",
                default.events_interval,
                &(10..=3_600_000),
            ),
        }
    }
}
