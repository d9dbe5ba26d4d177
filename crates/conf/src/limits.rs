//! Section `[limits]`: sizes, counts and durations that bound the handling of requests.

use std::time::Duration;

use crate::reader::Section;

/// Limits on requests, on connections and on a planned stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time until the whole body of a request has arrived.
    pub body_timeout: Duration,
    /// Most header fields of a request.
    pub max_headers: usize,
    /// Largest head of a request (request line and headers), in bytes.
    pub max_head_bytes: usize,
    /// Most open connections of callers for each worker thread.
    pub max_connections_per_worker: usize,
    /// Longest time until an upstream begins its answer to a request.
    pub upstream_timeout: Duration,
    /// Longest wait of a request for a slot at an upstream.
    pub max_queue_time: Duration,
    /// Longest time from the arrival of a request to the end of its answer.
    pub request_timeout: Duration,
    /// Time for which the claim of an idempotency key is kept.
    pub key_retention: Duration,
    /// Largest answer that is stored in the table for retries, in bytes.
    pub max_answer_row_bytes: usize,
    /// Longest wait of a planned stop for requests in flight; 0 means none.
    pub drain_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 << 20,
            body_timeout: Duration::from_secs(15),
            max_headers: 64,
            max_head_bytes: 32 << 10,
            max_connections_per_worker: 8_192,
            upstream_timeout: Duration::from_mins(2),
            max_queue_time: Duration::from_secs(2),
            request_timeout: Duration::from_mins(30),
            key_retention: Duration::from_hours(24),
            max_answer_row_bytes: 8 << 10,
            drain_timeout: Duration::from_mins(10),
        }
    }
}

impl Limits {
    /// Reads the section; invalid values are added to the reader's faults.
    pub fn read(section: &mut Section<'_>) -> Self {
        let default = Self::default();
        Self {
            max_body_bytes: section.number(
                "body_bytes",
                default.max_body_bytes,
                &(1_024..=1 << 30),
                "bytes",
            ),
            body_timeout: section.millis("body_ms", default.body_timeout, &(100..=600_000)),
            max_headers: section.number("headers", default.max_headers, &(8..=1_024), "headers"),
            max_head_bytes: section.number(
                "header_bytes",
                default.max_head_bytes,
                &(1_024..=1 << 20),
                "bytes",
            ),
            max_connections_per_worker: section.number(
                "connections",
                default.max_connections_per_worker,
                &(1..=1_000_000),
                "connections",
            ),
            upstream_timeout: section.millis(
                "upstream_ms",
                default.upstream_timeout,
                &(100..=3_600_000),
            ),
            max_queue_time: section.millis("queue_ms", default.max_queue_time, &(0..=600_000)),
            request_timeout: section.millis(
                "request_ms",
                default.request_timeout,
                &(100..=86_400_000),
            ),
            key_retention: section.millis(
                "key_keep_ms",
                default.key_retention,
                &(60_000..=2_592_000_000),
            ),
            max_answer_row_bytes: section.number(
                "answer_row_bytes",
                default.max_answer_row_bytes,
                &(0..=64 << 10),
                "bytes",
            ),
            drain_timeout: section.millis("drain_ms", default.drain_timeout, &(0..=7_200_000)),
        }
    }
}
