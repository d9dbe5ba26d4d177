//! Prometheus metrics of the requests that are routed by host and path.

use std::io::ErrorKind;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use tunnel::Obstacle;

use crate::memory::Resource;

/// Upper bound of the first bucket of a histogram.
const FIRST_BUCKET_SECONDS: f64 = 0.002;
/// Number of buckets; the bound of each is twice the one before.
const BUCKET_COUNT: u16 = 13;

/// Labels of the request counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Name of the route; empty if the request ended before dispatch.
    pub route: String,
    /// Code of a refusal, or how the answer ended.
    pub outcome: String,
}

/// Labels of the histograms of times.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AccountLabels {
    /// Client account; empty if the caller sent no known key.
    pub account: String,
}

/// Labels of the counter of connects to upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ConnectLabels {
    /// Service of the upstream.
    pub service: String,
    /// `ok`, or why there is no connection.
    pub result: &'static str,
}

/// Labels of the gauges of what connections hold.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct HeldLabels {
    /// `callers` or `auxiliary`.
    pub address: &'static str,
}

/// Labels of the counter of connections that gave way.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EvictionLabels {
    /// `callers` or `auxiliary`.
    pub address: &'static str,
    /// `memory` or `descriptors`.
    pub resource: &'static str,
}

/// Handles to the metrics of one account of held bytes.
#[derive(Debug, Clone)]
pub struct Held {
    /// Addresses at which the connections arrive: `callers` or `auxiliary`.
    pub address: &'static str,
    bytes: Gauge,
    descriptors: Gauge,
    evictions: Family<EvictionLabels, Counter>,
}

impl Held {
    /// Sets what the connections hold.
    pub fn set(&self, bytes: usize, descriptors: usize) {
        self.bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
        self.descriptors.set(i64::try_from(descriptors).unwrap_or(i64::MAX));
    }

    /// Counts a connection that gave way.
    pub fn count_eviction(&self, resource: Resource) {
        let labels = EvictionLabels { address: self.address, resource: resource.as_str() };
        self.evictions.get_or_create(&labels).inc();
    }
}

/// Labels of the metrics of evacuations.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DomainLabels {
    /// Failure domain.
    pub domain: String,
}

/// Registry of the metrics, and handles to update them.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Number of requests by route and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Connects to upstreams by service and result.
    pub connects: Family<ConnectLabels, Counter>,
    /// Tunnels through other instances by service and result.
    pub tunnels: Family<ConnectLabels, Counter>,
    /// 1 for each evacuated failure domain; other domains have no value.
    pub evacuated_domains: Family<DomainLabels, Gauge>,
    /// Selections that passed over upstreams of a domain, counted once it is taken back.
    pub diverted_selections: Family<DomainLabels, Counter>,
    /// Time from arrival to the first event of a stream.
    pub first_byte_seconds: Family<AccountLabels, Histogram>,
    /// Time from arrival to the end of an answer.
    pub whole_answer_seconds: Family<AccountLabels, Histogram>,
    /// Bytes that connections hold.
    held_bytes: Family<HeldLabels, Gauge>,
    /// Descriptors that connections hold.
    held_descriptors: Family<HeldLabels, Gauge>,
    /// Connections that gave way.
    evictions: Family<EvictionLabels, Counter>,
    /// How often connects of callers began to be refused because the link was full.
    pub gate_closings: Counter,
    /// Time for which connects of callers were refused.
    pub gate_closed_seconds: Counter<f64, AtomicU64>,
    /// Calls and bytes on the links to other instances.
    pub peer: watch::peer::Counters,
    /// Calls to the store and their bytes.
    pub store: watch::store::Counters,
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("lacewing");
        let requests = Family::default();
        let connects = Family::default();
        let tunnels = Family::default();
        let evacuated_domains = Family::default();
        let diverted_selections = Family::default();
        let first_byte_seconds = Family::new_with_constructor(histogram as fn() -> Histogram);
        let whole_answer_seconds = Family::new_with_constructor(histogram as fn() -> Histogram);
        registry.register("requests", "Requests by route and outcome", requests.clone());
        registry.register("connects", "Connects to upstreams", connects.clone());
        registry.register("tunnels", "Tunnels through other instances", tunnels.clone());
        registry.register(
            "evacuated_domains",
            "Failure domains whose upstreams get no requests",
            evacuated_domains.clone(),
        );
        registry.register(
            "diverted_selections",
            "Selections that passed over an evacuated domain, by the end of its evacuation",
            diverted_selections.clone(),
        );
        registry.register(
            "first_byte_seconds",
            "Time from arrival to the first event of a stream",
            first_byte_seconds.clone(),
        );
        registry.register(
            "whole_answer_seconds",
            "Time from arrival to the end of an answer",
            whole_answer_seconds.clone(),
        );
        let held_bytes = Family::default();
        let held_descriptors = Family::default();
        let evictions = Family::default();
        registry.register("held_bytes", "Bytes that connections hold", held_bytes.clone());
        registry.register(
            "held_descriptors",
            "Descriptors of connections and of their requests at upstreams",
            held_descriptors.clone(),
        );
        registry.register("evictions", "Connections that gave way", evictions.clone());
        let gate_closings = Counter::default();
        let gate_closed_seconds = Counter::<f64, AtomicU64>::default();
        registry.register(
            "gate_closings",
            "Times that connects of callers began to be refused",
            gate_closings.clone(),
        );
        registry.register(
            "gate_closed_seconds",
            "Time for which connects of callers were refused",
            gate_closed_seconds.clone(),
        );
        let peer = watch::peer::Counters::default();
        peer.register(&mut registry);
        let store = watch::store::Counters::default();
        store.register(&mut registry);
        Self {
            registry,
            requests,
            connects,
            tunnels,
            evacuated_domains,
            diverted_selections,
            first_byte_seconds,
            whole_answer_seconds,
            held_bytes,
            held_descriptors,
            evictions,
            gate_closings,
            gate_closed_seconds,
            peer,
            store,
        }
    }
}

impl Metrics {
    /// Counts a request under its route and outcome.
    pub fn count_request(&self, route: &str, outcome: &str) {
        let labels = RequestLabels { route: route.to_owned(), outcome: outcome.to_owned() };
        self.requests.get_or_create(&labels).inc();
    }

    /// Returns the handles for the connections at `address`: `callers` or `auxiliary`.
    #[must_use]
    pub fn held(&self, address: &'static str) -> Held {
        let labels = HeldLabels { address };
        Held {
            address,
            bytes: self.held_bytes.get_or_create(&labels).clone(),
            descriptors: self.held_descriptors.get_or_create(&labels).clone(),
            evictions: self.evictions.clone(),
        }
    }

    /// Counts a connect to an upstream of a service.
    pub fn count_connect<T>(&self, service: &str, connected: &std::io::Result<T>) {
        let result = match connected {
            Ok(_) => "ok",
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => "refused",
            Err(error) if error.kind() == ErrorKind::TimedOut => "timeout",
            Err(_) => "failed",
        };
        self.connects.get_or_create(&ConnectLabels { service: service.to_owned(), result }).inc();
    }

    /// Counts a tunnel to an upstream of a service.
    pub fn count_tunnel<T>(&self, service: &str, connected: &Result<T, Obstacle>) {
        let result = match connected {
            Ok(_) => "ok",
            Err(Obstacle::Upstream | Obstacle::Unlisted) => "upstream",
            Err(Obstacle::Path | Obstacle::Busy) => "path",
        };
        self.tunnels.get_or_create(&ConnectLabels { service: service.to_owned(), result }).inc();
    }

    /// Notes that a failure domain is evacuated.
    pub fn record_evacuated(&self, domain: &str) {
        let labels = DomainLabels { domain: domain.to_owned() };
        self.evacuated_domains.get_or_create(&labels).set(1);
    }

    /// Notes that a failure domain takes requests again, and how many selections passed it over.
    pub fn record_taken_back(&self, domain: &str, diverted_count: u64) {
        let labels = DomainLabels { domain: domain.to_owned() };
        self.evacuated_domains.remove(&labels);
        self.diverted_selections.get_or_create(&labels).inc_by(diverted_count);
    }

    /// Adds the time of an account's request to a histogram.
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
