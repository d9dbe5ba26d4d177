//! Section `[route]`: policy for the choice of upstreams, and polling of their load.

use std::time::Duration;

use route::Policy;

use crate::reader::Section;

/// Settings of routing and of polling upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Policy by which a request is routed to an upstream.
    pub policy: Policy,
    /// Interval between two polls of upstreams for their load.
    pub poll_interval: Duration,
    /// Most upstreams polled for their load in one interval; 0 turns load polls off.
    pub reports_per_poll: usize,
    /// Interval at which one upstream is polled for its cache events.
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
    /// Reads the section; invalid values are added to the reader's faults.
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
