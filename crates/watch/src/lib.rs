//! Structured logs, and metrics in the format of Prometheus.

pub mod buffered;
pub mod logging;
pub mod metric;
pub mod peer;
pub mod store;

pub use crate::metric::Metrics;
