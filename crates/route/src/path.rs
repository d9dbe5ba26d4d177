//! Whether an instance reaches the upstreams of a service by connections of its own.
//!
//! Load pattern: an instance that is cut off from upstreams while callers and other instances reach
//! it. A failed connect does not tell an upstream that is down from a lost path. Connects to several
//! upstreams that fail, with none that succeeds in between, put the path in doubt. It is lost once
//! another instance has connected to an upstream that this one could not reach.

use std::collections::HashMap;

use base::prelude::*;

/// Number of upstreams with failed connects from which the path is in doubt.
const MIN_FAILED: usize = 2;
/// Time for which a failed connect counts.
const FAILURE_MEMORY: Duration = Duration::from_secs(5);
/// Wait for a connect after which a tunnel is opened as well.
const PATIENCE: Duration = Duration::from_millis(150);
/// The same wait while the path is in doubt.
const DOUBTFUL_PATIENCE: Duration = Duration::from_millis(30);
/// Interval between two connects that probe a lost path.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which an upstream that was reached by a tunnel is not connected to directly.
const DETOUR_MEMORY: Duration = Duration::from_secs(1);
/// Time for which requests are refused after no instance that was asked had a path.
const REFUSAL_TIME: Duration = Duration::from_millis(250);

/// How to open a connection to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// Connect, and open a tunnel too if that takes longer than `patience`.
    Direct {
        /// Wait for the connect.
        patience: Duration,
    },
    /// Open a tunnel.
    Tunnel {
        /// Whether to connect as well, to learn whether the path works again.
        probes: bool,
    },
    /// Refuse: no instance that was asked a moment ago had a path.
    Refuse,
}

/// Knowledge of the path.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum State {
    /// Nothing speaks against it.
    #[default]
    Works,
    /// Connects to several upstreams have failed, which may be down.
    Doubtful,
    /// Other instances reach upstreams to which this one cannot connect.
    Lost,
}

/// Path of this instance to the upstreams of one service.
#[derive(Debug, Default)]
pub struct Path {
    state: State,
    /// Upstreams to which connects have failed since one succeeded, and when.
    failed: Vec<(UpstreamId, Duration)>,
    /// Upstreams that were reached by a tunnel only, and until when that is remembered.
    detoured: HashMap<UpstreamId, Duration>,
    probed_at: Option<Duration>,
    refuses_until: Duration,
}

impl Path {
    /// Returns what is known of the path.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the upstreams to which connects have failed since one succeeded.
    pub fn failed(&self) -> impl Iterator<Item = &UpstreamId> {
        self.failed.iter().map(|(id, _)| id)
    }

    /// Decides how to open a connection to `upstream` at `now`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use route::path::{Path, Plan};
    ///
    /// let mut path = Path::default();
    /// let (first, second) = ("i-1".into(), "i-2".into());
    /// let now = Duration::from_secs(60);
    /// path.record_failure(&first, 8, now);
    /// path.record_failure(&second, 8, now);
    /// path.record_detour(&second, 8, now);
    /// // The path is lost, and probed at times.
    /// assert_eq!(path.plan(&first, now), Plan::Tunnel { probes: true });
    /// assert_eq!(path.plan(&first, now), Plan::Tunnel { probes: false });
    /// path.record_connected(&first);
    /// assert!(matches!(path.plan(&first, now), Plan::Direct { .. }));
    /// ```
    pub fn plan(&mut self, upstream: &UpstreamId, now: Duration) -> Plan {
        match self.state {
            State::Doubtful | State::Lost if now < self.refuses_until => Plan::Refuse,
            State::Lost => Plan::Tunnel { probes: self.is_probe_due(now) },
            State::Works if self.detoured.get(upstream).is_some_and(|until| now < *until) => {
                Plan::Tunnel { probes: false }
            }
            State::Works if !self.detoured.contains_key(upstream) => {
                Plan::Direct { patience: PATIENCE }
            }
            State::Works | State::Doubtful => Plan::Direct { patience: DOUBTFUL_PATIENCE },
        }
    }

    /// Returns true, and notes a probe, if the last one is long enough ago.
    pub fn is_probe_due(&mut self, now: Duration) -> bool {
        let is_due = self.probed_at.is_none_or(|at| now >= at + PROBE_INTERVAL);
        if is_due {
            self.probed_at = Some(now);
        }
        is_due
    }

    /// Records a connect to `upstream` that failed at `now`.
    ///
    /// `upstream_count` is the number of upstreams of the service. Returns true if the failure puts
    /// the path in doubt.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use route::path::Path;
    ///
    /// let mut path = Path::default();
    /// let now = Duration::from_secs(60);
    /// assert!(!path.record_failure(&"i-1".into(), 8, now));
    /// assert!(!path.record_failure(&"i-1".into(), 8, now));
    /// assert!(path.record_failure(&"i-2".into(), 8, now));
    /// ```
    pub fn record_failure(
        &mut self,
        upstream: &UpstreamId,
        upstream_count: usize,
        now: Duration,
    ) -> bool {
        self.failed.retain(|(id, at)| id != upstream && now < *at + FAILURE_MEMORY);
        self.failed.push((Arc::clone(upstream), now));
        let is_new = self.state == State::Works && self.failed.len() >= min_failed(upstream_count);
        if is_new {
            self.state = State::Doubtful;
        }
        is_new
    }

    /// Records a connect that succeeded; returns true if the path did not seem to work before.
    pub fn record_connected(&mut self, upstream: &UpstreamId) -> bool {
        self.failed.clear();
        self.detoured.remove(upstream);
        std::mem::take(&mut self.state) != State::Works
    }

    /// Records that another instance has connected to `upstream`, but this one has not at `now`.
    ///
    /// Returns true if that shows that the path is lost.
    pub fn record_detour(
        &mut self,
        upstream: &UpstreamId,
        upstream_count: usize,
        now: Duration,
    ) -> bool {
        self.detoured.retain(|_, until| now < *until + DETOUR_MEMORY);
        self.detoured.insert(Arc::clone(upstream), now + DETOUR_MEMORY);
        if self.state == State::Lost {
            return false;
        }
        self.record_failure(upstream, upstream_count, now);
        let is_lost = self.state == State::Doubtful;
        if is_lost {
            self.state = State::Lost;
            self.probed_at = None;
        }
        is_lost
    }

    /// Records that an instance with a path cannot connect to `upstream` either.
    ///
    /// Its failed connects say nothing about the path of this instance.
    pub fn record_down(&mut self, upstream: &UpstreamId, upstream_count: usize) {
        self.failed.retain(|(id, _)| id != upstream);
        if self.state == State::Doubtful && self.failed.len() < min_failed(upstream_count) {
            self.state = State::Works;
        }
    }

    /// Records that no instance that was asked had a path at `now`.
    pub fn record_no_exit(&mut self, now: Duration) {
        self.refuses_until = now + REFUSAL_TIME;
    }
}

fn min_failed(upstream_count: usize) -> usize {
    MIN_FAILED.min(upstream_count).max(1)
}
