//! Request metrics: latencies, completed requests and billed tokens.

use base::prelude::*;
use watch::metric::RequestLabels;

use crate::Exchange;
use crate::exchange::Caller;
use crate::server::Shared;

/// Observes the latencies and the bill of one request.
#[derive(Debug)]
pub struct Observer {
    shared: Arc<Shared>,
    labels: RequestLabels,
    started_at: Duration,
}

impl Observer {
    /// Creates the observer of a request that arrived at `started_at` (monotonic clock).
    #[must_use]
    pub fn open(shared: &Arc<Shared>, caller: &Caller, started_at: Duration) -> Self {
        Self { shared: Arc::clone(shared), labels: labels(caller), started_at }
    }

    /// Returns the state that the workers share.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the time until the request's deadline; 0 once it has passed.
    #[must_use]
    pub fn time_left(&self, exchange: &Exchange) -> Duration {
        exchange.deadline.saturating_sub(self.shared.clock.now())
    }

    /// Observes the time from arrival to the first byte of the answer.
    pub fn observe_first_byte(&self) {
        let family = &self.shared.metrics.first_byte_seconds;
        watch::Metrics::observe(family, &self.labels, self.elapsed());
    }

    /// Counts a completed answer, its duration and its billed tokens.
    pub fn observe_completion(&self, tokens: Tokens) {
        let metrics = &self.shared.metrics;
        metrics.completed.get_or_create(&self.labels).inc();
        metrics.billed_tokens.get_or_create(&self.labels).inc_by(tokens);
        watch::Metrics::observe(&metrics.whole_answer_seconds, &self.labels, self.elapsed());
    }

    fn elapsed(&self) -> Duration {
        self.shared.clock.now().saturating_sub(self.started_at)
    }
}

/// Returns the metric labels of a caller: its account and its lower-case class.
#[must_use]
pub fn labels(caller: &Caller) -> RequestLabels {
    let class = format!("{:?}", caller.class).to_lowercase();
    RequestLabels { account: caller.account.to_string(), class }
}
