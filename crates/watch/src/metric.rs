//! Counters and histograms, per client account and class.

use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::peer::Counters;

/// Upper bound of the first histogram bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Number of histogram buckets; each is twice as wide as the one before.
const BUCKET_COUNT: u16 = 18;

/// Labels of request metrics.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Client account.
    pub account: String,
    /// Priority class.
    pub class: String,
}

/// Labels of refusals.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// Client account, empty if unknown.
    pub account: String,
    /// Error code in the answer.
    pub code: String,
}

/// All metrics of an instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests answered completely.
    pub completed: Family<RequestLabels, Counter>,
    /// Requests refused or failed, by cause.
    pub refused: Family<RefusalLabels, Counter>,
    /// Tokens billed.
    pub billed_tokens: Family<RequestLabels, Counter>,
    /// Time of the wait for a place at the upstreams, in seconds.
    pub queued_seconds: Family<RequestLabels, Histogram>,
    /// Time to the first byte of the answer, in seconds.
    pub first_byte_seconds: Family<RequestLabels, Histogram>,
    /// Time to the end of the answer, in seconds.
    pub whole_answer_seconds: Family<RequestLabels, Histogram>,
    /// Counters of the link between instances.
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
    /// Registers all metrics.
    #[must_use]
    pub fn open() -> Self {
        let mut registry = Registry::with_prefix("lacewing");
        let completed = Family::default();
        let refused = Family::default();
        let billed_tokens = Family::default();
        let queued_seconds = Family::new_with_constructor(histogram as fn() -> Histogram);
        let first_byte_seconds = Family::new_with_constructor(histogram as fn() -> Histogram);
        let whole_answer_seconds = Family::new_with_constructor(histogram as fn() -> Histogram);
        registry.register("completed", "Requests answered completely", completed.clone());
        registry.register("refused", "Requests refused or failed", refused.clone());
        registry.register("billed_tokens", "Tokens billed", billed_tokens.clone());
        registry.register("queued_seconds", "Time of the wait for a place", queued_seconds.clone());
        registry.register(
            "first_byte_seconds",
            "Time to the first byte",
            first_byte_seconds.clone(),
        );
        registry.register("whole_answer_seconds", "Time to the end", whole_answer_seconds.clone());
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
    /// let labels = watch::metric::RequestLabels { account: "shop".into(), class: "normal".into() };
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

    /// Observes a duration in a histogram family.
    pub fn observe(
        family: &Family<RequestLabels, Histogram>,
        labels: &RequestLabels,
        elapsed: Duration,
    ) {
        family.get_or_create(labels).observe(elapsed.as_secs_f64());
    }
}
