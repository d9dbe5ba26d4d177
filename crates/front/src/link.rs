//! Admission control by the load of this instance's network link.
//!
//! It handles one load pattern: all callers of a large account use one instance with a narrow link.
//! Without a limit all requests share the queue of the link, connections to upstreams time out, and
//! nearly every answer is late. The link is modelled as a queue that drains at its bandwidth. A
//! request that would wait too long in it is rejected at once; urgent requests may wait longer.

use std::time::Duration;

use plan::routing::Route;

/// Part of the bandwidth that carries payload; the rest carries acknowledgements and
/// retransmissions.
const USABLE_RATIO: f64 = 0.9;
/// Bytes of the heads and acknowledgements of one request.
const REQUEST_OVERHEAD_BYTES: f64 = 700.0;
/// Typical size of a streamed answer.
const STREAM_ANSWER_BYTES: f64 = 3_000.0;
/// Typical size of an answer that is not streamed.
const WHOLE_ANSWER_BYTES: f64 = 1_000.0;
/// Longest queueing delay at which a stream is admitted, by rank; 0 is the most urgent.
const MAX_STREAM_WAIT_BY_RANK: [Duration; 3] =
    [Duration::from_millis(450), Duration::from_millis(350), Duration::from_millis(200)];
/// Longest queueing delay at which a request with a small, unstreamed answer is admitted.
const MAX_WHOLE_WAIT: Duration = Duration::from_millis(600);

/// Model of the link's queue, which is assumed equal in both directions.
#[derive(Debug)]
pub struct Queue {
    /// Rate at which the queue drains in each direction.
    bytes_per_second: f64,
    /// Bytes of admitted requests and their answers that the link has not passed on yet.
    queued_bytes: f64,
    /// Time up to which the queue has been drained.
    updated_at: Duration,
}

impl Queue {
    /// Opens an empty queue for a link with a bandwidth in bits per second.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut queue = front::link::Queue::open(10e6);
    /// assert_eq!(queue.queueing_delay(Duration::from_secs(1)), Duration::ZERO);
    /// ```
    #[must_use]
    pub fn open(bits_per_second: f64) -> Self {
        let bytes_per_second = (bits_per_second / 8.0 * USABLE_RATIO).max(1.0);
        Self { bytes_per_second, queued_bytes: 0.0, updated_at: Duration::ZERO }
    }

    /// Drains the queue up to `now` and returns how long the next byte would wait.
    pub fn queueing_delay(&mut self, now: Duration) -> Duration {
        let elapsed_seconds = now.saturating_sub(self.updated_at).as_secs_f64();
        self.queued_bytes = (self.queued_bytes - elapsed_seconds * self.bytes_per_second).max(0.0);
        self.updated_at = now;
        Duration::from_secs_f64(self.queued_bytes / self.bytes_per_second)
    }

    /// Lowers the queue to the delay that the link shows, which the model may overestimate.
    pub fn correct(&mut self, delay: Duration, now: Duration) {
        if self.queueing_delay(now) > delay {
            self.queued_bytes = delay.as_secs_f64() * self.bytes_per_second;
        }
    }

    /// Admits a request with a body of `body_len` bytes, or rejects it.
    ///
    /// # Errors
    ///
    /// Returns the time until the queue is short enough to admit such a request.
    #[expect(clippy::cast_precision_loss, reason = "an estimate needs no more than 52 bits")]
    pub fn admit(&mut self, route: &Route, body_len: usize, now: Duration) -> Result<(), Duration> {
        let queueing_delay = self.queueing_delay(now);
        let max_wait = if route.kind.is_stream() {
            MAX_STREAM_WAIT_BY_RANK
                [usize::from(route.priority).min(MAX_STREAM_WAIT_BY_RANK.len() - 1)]
        } else {
            MAX_WHOLE_WAIT
        };
        if queueing_delay > max_wait {
            return Err(queueing_delay.saturating_sub(max_wait));
        }
        let answer_bytes =
            if route.kind.is_stream() { STREAM_ANSWER_BYTES } else { WHOLE_ANSWER_BYTES };
        // The request and its answer each pass the link once in each direction.
        self.queued_bytes += body_len as f64 + REQUEST_OVERHEAD_BYTES + answer_bytes;
        Ok(())
    }
}
