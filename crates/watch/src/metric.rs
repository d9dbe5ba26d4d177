//! Counters and histograms of requests, by client account and priority class.

use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::peer::Counters;

/// Upper bound of the first histogram bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Number of histogram buckets; each upper bound is twice the one before.
const BUCKET_COUNT: u16 = 18;

/// Labels of metrics about requests whose client account is known.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Id of the client account that pays for the request.
    pub account: String,
    /// Priority class in lower case: `high`, `normal` or `low`.
    pub class: String,
}

/// Labels of refused and failed requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// Id of the client account, empty if the request has no valid key.
    pub account: String,
    /// Error code in the body of the answer.
    pub code: String,
}

/// All metrics of one instance, from its start on.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests whose answer was complete.
    pub completed: Family<RequestLabels, Counter>,
    /// Requests refused or failed, by error code.
    pub refused: Family<RefusalLabels, Counter>,
    /// Tokens billed to client accounts for completed requests.
    pub billed_tokens: Family<RequestLabels, Counter>,
    /// Time in the queue for a slot at an upstream.
    pub queued_seconds: Family<RequestLabels, Histogram>,
    /// Time from arrival to the first byte of the answer.
    pub first_byte_seconds: Family<RequestLabels, Histogram>,
    /// Time from arrival to the end of the answer.
    pub whole_answer_seconds: Family<RequestLabels, Histogram>,
    /// Counters of the links to other instances.
    pub peer: Counters,
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}

impl Default for Metrics {
    fn default() -> Self {
        Self::open()
    }
}

impl Metrics {
    /// Registers all metrics, each at zero, under names that start with `lacewing`.
    #[must_use]
    pub fn open() -> Self {
        let mut registry = Registry::with_prefix("lacewing");
        let completed = Family::default();
        let refused = Family::default();
        let billed_tokens = Family::default();
        let queued_seconds = Family::new_with_constructor(histogram as fn() -> Histogram);
        let first_byte_seconds = Family::new_with_constructor(histogram as fn() -> Histogram);
        let whole_answer_seconds = Family::new_with_constructor(histogram as fn() -> Histogram);
        registry.register("completed", "Requests whose answer was complete", completed.clone());
        registry.register("refused", "Requests refused or failed", refused.clone());
        registry.register(
            "billed_tokens",
            "Tokens billed for completed requests",
            billed_tokens.clone(),
        );
        registry.register(
            "queued_seconds",
            "Time in the queue for a slot at an upstream",
            queued_seconds.clone(),
        );
        registry.register(
            "first_byte_seconds",
            "Time to the first byte of the answer",
            first_byte_seconds.clone(),
        );
        registry.register(
            "whole_answer_seconds",
            "Time to the end of the answer",
            whole_answer_seconds.clone(),
        );
        let peer = Counters::default();
        peer.register(&mut registry);
        Self {
            registry,
            completed,
            refused,
            billed_tokens,
            queued_seconds,
            first_byte_seconds,
            whole_answer_seconds,
            peer,
        }
    }

    /// Renders all metrics in the text format of Prometheus.
    ///
    /// # Examples
    ///
    /// ```
    /// let metrics = watch::Metrics::open();
    /// use watch::metric::RequestLabels;
    /// let labels = RequestLabels { account: "shop".into(), class: "normal".into() };
    /// metrics.completed.get_or_create(&labels).inc();
    /// assert!(metrics.render().contains("lacewing_completed"));
    /// ```
    ///
    /// # Panics
    ///
    /// Panics if a metric cannot be written to a string, which is a bug.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text_format = String::new();
        text::encode(&mut text_format, &self.registry).expect("writing to a string cannot fail");
        text_format
    }

    /// Adds a duration, in seconds, to the histogram with these labels.
    pub fn observe(
        family: &Family<RequestLabels, Histogram>,
        labels: &RequestLabels,
        elapsed: Duration,
    ) {
        family.get_or_create(labels).observe(elapsed.as_secs_f64());
    }
}
