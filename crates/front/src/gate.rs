//! Acceptance of callers' connections by what this instance's network link carries.
//!
//! Load pattern: the callers of a large account keep to one instance with a narrow link and send
//! several times what it carries. A request that is refused after it was read has used the link as
//! much as one that is served, so that refusals alone leave the link full: connects to upstreams time
//! out and all answers are late. A refused connect costs the link next to nothing, and the caller
//! learns of it at once. While the bytes that are on their way come close to the bandwidth, the
//! instance therefore refuses connects.
//!
//! The link is watched by a virtual queue for each direction that drains slower than the link. A
//! connection counts from its acceptance with the bytes that a request usually has, since a caller
//! sends its request at once: by the time at which the bytes arrive, too many connections would be
//! open. What the queues miss shows in the time that connects to upstreams take.

use std::time::Duration;

use h1::Traffic;

/// Part of the bandwidth at which the virtual queues drain.
///
/// The rest carries packet headers, acknowledgements, connection setup and bytes for connections
/// that are closed before they are read.
const DRAIN_RATIO: f64 = 0.85;
/// Delay of the link from which connects are refused.
const MAX_DELAY: Duration = Duration::from_millis(60);
/// Delay of the link up to which connects are accepted again.
const REOPEN_DELAY: Duration = Duration::from_millis(30);
/// Longest time for which connects are refused without a pause.
///
/// A ready instance that accepts no connection for some seconds would count as failed.
const MAX_CLOSED: Duration = Duration::from_millis(1_500);
/// Time for which connects are accepted after [`MAX_CLOSED`], however full the link is.
const FORCED_OPEN: Duration = Duration::from_millis(30);
/// Time after a full link in which the time-out of a connect may still be due to it.
const CONGESTION_MEMORY: Duration = Duration::from_millis(500);
/// Time constant of the measured throughput, and of the bytes that connections are expected to bring.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Part of the bandwidth from which slow connects are taken for a queue at the link.
///
/// Below it, a lost path or a slow upstream is the cause.
const MIN_LOADED_RATIO: f64 = 0.25;
/// Number of last connects of which the fastest shows the delay of the link.
const CONNECT_SAMPLES: usize = 3;
/// Time of a connect without a queue at the link.
const USUAL_CONNECT_TIME: Duration = Duration::from_millis(20);
/// Delay that a connect shows which timed out; its end was not observed.
const TIMED_OUT_DELAY: Duration = Duration::from_millis(800);
/// Assumed size of a request before the first one was seen, in bytes.
const INITIAL_REQUEST_BYTES: f64 = 5_000.0;
/// Weight of a new request in the moving mean of request sizes.
const SIZE_WEIGHT: f64 = 0.05;

/// Decides whether connects of callers are accepted.
#[derive(Debug)]
pub struct Gate {
    /// Rate at which the virtual queues drain.
    bytes_per_second: f64,
    /// Bytes in the virtual queue of each direction: received, sent.
    queued: [f64; 2],
    /// Bytes of each direction that are already queued for accepted connections.
    ///
    /// It fades, since some connections bring no request.
    expected: [f64; 2],
    /// Throughput of each direction in bytes per second.
    rates: [f64; 2],
    /// Totals as of `updated_at`.
    counted: Traffic,
    updated_at: Duration,
    mean_request_bytes: f64,
    /// Times of the last connects to upstreams.
    connect_times: [Duration; CONNECT_SAMPLES],
    /// When the last of them ended.
    connected_at: Duration,
    /// When connects began to be refused; `None` while they are accepted.
    closed_at: Option<Duration>,
    /// When the link was last known to be full.
    congested_at: Option<Duration>,
    /// Until when connects are accepted in any case.
    forced_until: Duration,
}

impl Gate {
    /// Opens the gate of a link with this bandwidth in each direction.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use front::gate::Gate;
    /// let mut gate = Gate::open(10e6);
    /// assert!(gate.admits(h1::Traffic::default(), Duration::from_secs(1)));
    /// ```
    #[must_use]
    pub fn open(bits_per_second: f64) -> Self {
        Self {
            bytes_per_second: (bits_per_second / 8.0 * DRAIN_RATIO).max(1.0),
            queued: [0.0; 2],
            expected: [0.0; 2],
            rates: [0.0; 2],
            counted: Traffic::default(),
            updated_at: Duration::ZERO,
            mean_request_bytes: INITIAL_REQUEST_BYTES,
            connect_times: [Duration::ZERO; CONNECT_SAMPLES],
            connected_at: Duration::ZERO,
            closed_at: None,
            congested_at: None,
            forced_until: Duration::ZERO,
        }
    }

    /// Returns true if connects are accepted now; `total` is what the link has carried so far.
    pub fn admits(&mut self, total: Traffic, now: Duration) -> bool {
        let delay = self.delay(total, now);
        let is_open = match self.closed_at {
            None => delay <= MAX_DELAY || now < self.forced_until,
            Some(_) if delay <= REOPEN_DELAY => true,
            Some(at) if now >= at + MAX_CLOSED => {
                self.forced_until = now + FORCED_OPEN;
                true
            }
            Some(_) => false,
        };
        if is_open {
            self.closed_at = None;
        } else {
            self.closed_at.get_or_insert(now);
            self.congested_at = Some(now);
        }
        is_open
    }

    /// Returns the expected or measured delay of the link, whichever is longer.
    #[expect(clippy::cast_precision_loss, reason = "an estimate needs no more than 52 bits")]
    pub fn delay(&mut self, total: Traffic, now: Duration) -> Duration {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let time_constant = RATE_TIME_CONSTANT.as_secs_f64();
        let passed = [
            total.received.saturating_sub(self.counted.received),
            total.sent.saturating_sub(self.counted.sent),
        ];
        for (direction, passed) in passed.into_iter().enumerate() {
            let passed = passed as f64;
            let expected = self.expected[direction] * (-elapsed / time_constant).exp();
            let covered = passed.min(expected);
            self.expected[direction] = expected - covered;
            let drained = self.queued[direction] - elapsed * self.bytes_per_second;
            self.queued[direction] = drained.max(0.0) + passed - covered;
            let rate = &mut self.rates[direction];
            *rate = *rate * (-elapsed / time_constant).exp() + passed / time_constant;
        }
        self.updated_at = now;
        self.counted = total;
        let [received, sent] = self.queued;
        let expected = Duration::from_secs_f64(received.max(sent) / self.bytes_per_second);
        expected.max(self.measured_delay(now))
    }

    /// Returns the delay that connects have met, less the time in which it can have drained.
    fn measured_delay(&self, now: Duration) -> Duration {
        let [received, sent] = self.rates;
        if received.max(sent) < MIN_LOADED_RATIO / DRAIN_RATIO * self.bytes_per_second {
            return Duration::ZERO;
        }
        let fastest = self.connect_times.iter().min().copied().unwrap_or_default();
        fastest.saturating_sub(USUAL_CONNECT_TIME + now.saturating_sub(self.connected_at))
    }

    /// Returns true if connects are refused at this moment.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed_at.is_some()
    }

    /// Returns true if the link is full, or was a moment ago.
    pub fn is_congested(&mut self, total: Traffic, now: Duration) -> bool {
        if self.closed_at.is_some() || self.delay(total, now) > MAX_DELAY {
            self.congested_at = Some(now);
        }
        self.congested_at.is_some_and(|at| now < at + CONGESTION_MEMORY)
    }

    /// Counts an accepted connection with the bytes of the request that it will bring.
    ///
    /// The request is received, and sent on to an upstream.
    pub fn record_accepted(&mut self) {
        for direction in 0..2 {
            self.queued[direction] += self.mean_request_bytes;
            self.expected[direction] += self.mean_request_bytes;
        }
    }

    /// Records the size of a request with its head.
    #[expect(clippy::cast_precision_loss, reason = "an estimate needs no more than 52 bits")]
    pub fn record_request(&mut self, bytes: usize) {
        self.mean_request_bytes += SIZE_WEIGHT * (bytes as f64 - self.mean_request_bytes);
    }

    /// Records how long a connect to an upstream took; `None` if it timed out.
    pub fn record_connect(&mut self, time: Option<Duration>, now: Duration) {
        self.connect_times.rotate_left(1);
        self.connect_times[CONNECT_SAMPLES - 1] = time.unwrap_or(TIMED_OUT_DELAY);
        self.connected_at = now;
    }
}
