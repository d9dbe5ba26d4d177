//! Counters and histograms of this door.

use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Upper bound of the first bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.002;
/// Buckets; each is twice as wide as the one before.
const BUCKET_COUNT: u16 = 13;

/// Labels of requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Route.
    pub route: String,
    /// Cause of a refusal or failure, or `answered`.
    pub outcome: String,
}

/// Labels of times.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AccountLabels {
    /// Client account, empty if there is none.
    pub account: String,
}

/// All metrics of the door.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by route and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Time to the first byte of an answer, in seconds.
    pub first_byte_seconds: Family<AccountLabels, Histogram>,
    /// Time to the end of an answer, in seconds.
    pub whole_answer_seconds: Family<AccountLabels, Histogram>,
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("lacewing");
        let requests = Family::default();
        let first_byte_seconds = Family::new_with_constructor(histogram as fn() -> Histogram);
        let whole_answer_seconds = Family::new_with_constructor(histogram as fn() -> Histogram);
        registry.register("requests", "Requests by route and outcome", requests.clone());
        registry.register(
            "first_byte_seconds",
            "Time to the first byte",
            first_byte_seconds.clone(),
        );
        registry.register("whole_answer_seconds", "Time to the end", whole_answer_seconds.clone());
        Self { registry, requests, first_byte_seconds, whole_answer_seconds }
    }
}

impl Metrics {
    /// Counts a request.
    pub fn count_request(&self, route: &str, outcome: &str) {
        let labels = RequestLabels { route: route.to_owned(), outcome: outcome.to_owned() };
        self.requests.get_or_create(&labels).inc();
    }

    /// Observes a time of an account's request.
    pub fn observe(family: &Family<AccountLabels, Histogram>, account: &str, time: Duration) {
        let labels = AccountLabels { account: account.to_owned() };
        family.get_or_create(&labels).observe(time.as_secs_f64());
    }

    /// Renders all metrics in the text format of Prometheus.
    ///
    /// # Panics
    ///
    /// Panics if a metric cannot be written to a string, which is a bug.
    #[must_use]
    pub fn render(&self) -> String {
        let mut output = String::new();
        text::encode(&mut output, &self.registry).expect("writing to a string cannot fail");
        output
    }
}
