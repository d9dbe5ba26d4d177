//! Whether an instance reaches the upstreams of a service by connections of its own.
//!
//! A failed connect does not tell an upstream that is down from a lost path. Connects to several
//! upstreams that fail, with none that succeeds in between, put the path in doubt.

use base::prelude::*;

/// Number of upstreams with failed connects from which the path is in doubt.
const MIN_FAILED: usize = 2;
/// Time for which a failed connect counts.
const FAILURE_MEMORY: Duration = Duration::from_secs(5);

/// Evidence of this instance on its path to the upstreams of one service.
#[derive(Debug, Default)]
pub struct Path {
    /// Upstreams to which connects have failed since one succeeded, and when.
    failed: Vec<(UpstreamId, Duration)>,
    is_doubtful: bool,
}

impl Path {
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
    /// assert!(path.record_connected());
    /// assert!(!path.is_doubtful());
    /// ```
    pub fn record_failure(
        &mut self,
        upstream: &UpstreamId,
        upstream_count: usize,
        now: Duration,
    ) -> bool {
        self.failed.retain(|(id, at)| id != upstream && now < *at + FAILURE_MEMORY);
        self.failed.push((Arc::clone(upstream), now));
        let min_failed = MIN_FAILED.min(upstream_count).max(1);
        let is_doubtful = self.is_doubtful || self.failed.len() >= min_failed;
        !std::mem::replace(&mut self.is_doubtful, is_doubtful) && is_doubtful
    }

    /// Records a connect that succeeded; returns true if the path was in doubt.
    pub fn record_connected(&mut self) -> bool {
        self.failed.clear();
        std::mem::take(&mut self.is_doubtful)
    }

    /// Returns true if connects to several upstreams have failed and none has succeeded since.
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        self.is_doubtful
    }

    /// Returns the upstreams to which connects have failed since one succeeded.
    pub fn failed(&self) -> impl Iterator<Item = &UpstreamId> {
        self.failed.iter().map(|(id, _)| id)
    }
}
