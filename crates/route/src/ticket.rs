//! Accounting of one request at its upstream.

use std::sync::atomic::{AtomicBool, Ordering};

use base::prelude::*;

use crate::upstream::Upstream;

/// Counts one request as in flight at its upstream until dropped.
///
/// The drop records the service time if the upstream has responded and not failed.
#[derive(Debug)]
pub struct Ticket {
    upstream: Arc<Upstream>,
    clock: Arc<dyn Clock>,
    started_at: Duration,
    utilization: f64,
    has_answered: AtomicBool,
    has_failed: AtomicBool,
}

impl Ticket {
    pub(crate) fn open(upstream: Arc<Upstream>, clock: Arc<dyn Clock>, utilization: f64) -> Self {
        upstream.load.record_start();
        let started_at = clock.now();
        let (has_answered, has_failed) = (AtomicBool::new(false), AtomicBool::new(false));
        Self { upstream, clock, started_at, utilization, has_answered, has_failed }
    }

    /// Returns the upstream that was chosen for the request.
    #[must_use]
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Records that the response has begun, which ends an ejection.
    pub fn record_answer_start(&self) {
        self.has_answered.store(true, Ordering::Relaxed);
        self.upstream.health.record_success();
    }

    /// Records that the upstream failed the request.
    pub fn record_failure(&self) {
        self.has_failed.store(true, Ordering::Relaxed);
        self.upstream.health.record_failure(self.clock.now());
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.upstream.load.record_end();
        if self.has_answered.load(Ordering::Relaxed) && !self.has_failed.load(Ordering::Relaxed) {
            let service_time = self.clock.now().saturating_sub(self.started_at);
            self.upstream.load.record_service_time(service_time, self.utilization);
        }
    }
}
