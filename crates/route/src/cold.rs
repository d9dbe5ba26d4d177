//! Requests to an upstream that has just started, and handles only a few requests a second.
//!
//! Load patterns: a failure domain that is lost and comes back, or a restart of all upstreams, with
//! every instance sending at once to upstreams that are cold; and instances that are cut off from
//! the store or from each other meanwhile. A cold upstream takes a number of requests in any second,
//! summed over all instances. They are given out in whole requests a second, by a rank of the
//! instances that differs for each upstream, so that the sum holds without communication. Half of
//! the bound is given out, because two lists of the instances are in use while one of them changes.
//! Instances that callers no longer ask for share a small rate and start at random times.
//!
//! A lost connection may be the first sign of a restart, before the entry of the new start is read.
//! From then on the upstream counts as cold for the time that a start takes, unless another
//! connection shows that the process goes on. An upstream that becomes warm, or returns after an
//! evacuation, gets its load back in steps.

use std::time::Duration;

use crate::brittle::Rank;

/// Window in which an upstream counts its requests.
const WINDOW: Duration = Duration::from_secs(1);
/// Time between two requests of one part; the excess absorbs delays that differ on the way.
const PART_INTERVAL: Duration = Duration::from_millis(1_040);
/// Part of the rate of a cold upstream for the listed instances together.
const LISTED_FRACTION: f64 = 0.8;
/// Part of the rate of a cold upstream for all other instances together.
const UNLISTED_FRACTION: f64 = 0.15;
/// Number of lists of instances by which requests may be sent in the same second.
///
/// A list changes at all instances within some seconds, or keeps its state where the store is out of
/// reach.
const CONCURRENT_LISTS: f64 = 2.0;
/// Longest time between two requests, in seconds, however low the rate is.
const MAX_INTERVAL_SECONDS: f64 = 3_600.0;
/// Delay of bytes that an ended process had sent, after the loss of another connection.
const LATE_BYTES: Duration = Duration::from_millis(100);
/// Time of one step in which the load of an upstream grows.
const STEP: Duration = Duration::from_millis(500);
/// Number of steps; the first one allows `1 / 2^STEPS` of the slots, each further one twice as much.
const STEPS: u32 = 3;

/// Bounds on the requests to a cold upstream, as a deployment states them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Multiple of the rate that an upstream can handle.
    pub overrun: f64,
    /// Further requests in any second.
    pub slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { overrun: 1.5, slack: 5.0 }
    }
}

/// What cold upstreams of a service can handle.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Time for which an upstream is cold after its start.
    pub start: Duration,
    /// Requests a second that a cold upstream can handle.
    per_s: f64,
    /// Requests in any second that are given out to the listed instances.
    parts: usize,
}

/// Part of this instance in the requests to one cold upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Part {
    /// It may send a request after each interval, the first one at once.
    Listed(Duration),
    /// It may send a request after each interval, the first one at a random time within it.
    Unlisted(Duration),
    /// It may send none.
    None,
}

impl Terms {
    /// Opens the terms of a service; `None` if its upstreams are never cold.
    ///
    /// `per_s` is the number of requests a second that a cold upstream can handle. In any second it
    /// must get at most `per_s * bounds.overrun + bounds.slack` requests.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use route::cold::{Bounds, Terms};
    /// let (start, bounds) = (Duration::from_secs(3), Bounds::default());
    /// assert!(Terms::open(start, 0.0, bounds).is_none());
    /// assert!(Terms::open(Duration::ZERO, 8.1, bounds).is_none());
    /// assert_eq!(Terms::open(start, 8.1, bounds).map(|terms| terms.parts()), Some(6));
    /// ```
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is positive, and larger ones than the type holds become its largest"
    )]
    pub fn open(start: Duration, per_s: f64, bounds: Bounds) -> Option<Self> {
        if per_s.is_nan() || per_s <= 0.0 || start.is_zero() {
            return None;
        }
        let bound = per_s * bounds.overrun.max(0.0) + bounds.slack.max(0.0);
        let parts = (per_s * LISTED_FRACTION).min(bound / CONCURRENT_LISTS).floor();
        Some(Self { start, per_s, parts: (parts as usize).max(1) })
    }

    /// Returns how many requests in any second are given out to the listed instances.
    #[must_use]
    pub fn parts(&self) -> usize {
        self.parts
    }

    /// Returns the part of an instance.
    ///
    /// `unlisted_count` is the number of instances that have no position in `rank`. Unless the
    /// instance knows the others (`is_settled`), it has no part.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use route::brittle::Rank;
    /// use route::cold::{Bounds, Part, Terms};
    /// let terms = Terms::open(Duration::from_secs(3), 8.1, Bounds::default());
    /// let terms = terms.expect("cold for a time");
    /// let rank = |position| Rank { position, instances: 4 };
    /// let two_a_second = Part::Listed(Duration::from_millis(520));
    /// assert_eq!(terms.part(rank(Some(0)), 9, true), two_a_second);
    /// assert_eq!(terms.part(rank(Some(0)), 9, false), Part::None);
    /// assert!(matches!(terms.part(rank(None), 9, true), Part::Unlisted(_)));
    /// ```
    #[must_use]
    pub fn part(&self, rank: Rank, unlisted_count: u64, is_settled: bool) -> Part {
        if !is_settled {
            return Part::None;
        }
        if rank.position.is_none() {
            let count = f64::from(u32::try_from(unlisted_count.max(1)).unwrap_or(u32::MAX));
            let seconds = count / (self.per_s * UNLISTED_FRACTION);
            return Part::Unlisted(interval(seconds.max(WINDOW.as_secs_f64())));
        }
        let own = rank.part(self.parts);
        if own == 0 {
            return Part::None;
        }
        let to_f64 = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        // A rate below one a second makes a single part, with a longer interval.
        let whole = to_f64(self.parts) / (self.per_s * LISTED_FRACTION);
        Part::Listed(interval(whole.max(PART_INTERVAL.as_secs_f64()) / to_f64(own)))
    }
}

fn interval(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.min(MAX_INTERVAL_SECONDS))
}

/// What an instance knows of the coldness of one incarnation of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Cold {
    /// End of the time for which the upstream has stated that it is cold.
    until: Duration,
    /// When a connection was lost, which may be the sign of a restart.
    lost_at: Option<Duration>,
    /// When the current time as a cold upstream began, as far as it is known.
    since: Duration,
    /// Random number from 0 to 1 for the first request of an unlisted instance.
    phase: f64,
    /// When this instance last sent a request.
    sent_at: Option<Duration>,
    /// When the upstream last returned from an evacuation.
    returned_at: Option<Duration>,
}

impl Cold {
    /// Records for how long the upstream stays cold, as it states; zero if it is warm.
    ///
    /// A statement may be some seconds old and from before a restart, so that it ends no time that
    /// is known already. Returns true if the upstream was warm before and is cold now.
    pub fn observe(
        &mut self,
        start: Duration,
        remaining: Duration,
        random: f64,
        now: Duration,
    ) -> bool {
        let was_cold = self.is_cold(start, now);
        if remaining.is_zero() {
            return false;
        }
        self.until = self.until.max(now + remaining);
        self.enter(was_cold, random, now)
    }

    /// Records that a connection was lost, and no other one shows that the upstream goes on.
    ///
    /// Returns true if the upstream was warm before.
    pub fn record_loss(&mut self, start: Duration, random: f64, now: Duration) -> bool {
        let was_cold = self.is_cold(start, now);
        self.lost_at = Some(now);
        self.enter(was_cold, random, now)
    }

    fn enter(&mut self, was_cold: bool, random: f64, now: Duration) -> bool {
        if !was_cold {
            self.since = now;
            self.phase = random.clamp(0.0, 1.0);
        }
        !was_cold
    }

    /// Records bytes on a connection whose request was sent at `sent_at`.
    ///
    /// A connection from before a loss shows that the process goes on.
    pub fn record_bytes(&mut self, sent_at: Duration, now: Duration) {
        if self.lost_at.is_some_and(|at| sent_at < at && now > at + LATE_BYTES) {
            self.lost_at = None;
        }
    }

    /// Records that the upstream may get requests again after an evacuation.
    pub fn record_return(&mut self, now: Duration) {
        self.returned_at = Some(now);
    }

    /// Returns the end of the time for which the upstream counts as cold.
    #[must_use]
    pub fn end(&self, start: Duration) -> Duration {
        self.until.max(self.lost_at.map_or(Duration::ZERO, |at| at + start))
    }

    /// Returns true if the upstream counts as cold; `start` is that of [`Terms`].
    #[must_use]
    pub fn is_cold(&self, start: Duration, now: Duration) -> bool {
        now < self.end(start)
    }

    /// Returns the time until a request may be sent to the upstream; zero if it may now.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use route::cold::{Cold, Part};
    /// let (start, now) = (Duration::from_secs(3), Duration::from_secs(60));
    /// let part = Part::Listed(Duration::from_millis(520));
    /// let mut cold = Cold::default();
    /// cold.observe(start, Duration::from_secs(2), 0.0, now);
    /// assert!(cold.wait(start, part, now).is_zero());
    /// cold.record_sent(now);
    /// assert_eq!(cold.wait(start, part, now), Duration::from_millis(520));
    /// assert_eq!(cold.wait(start, Part::None, now), Duration::from_secs(2));
    /// ```
    #[must_use]
    pub fn wait(&self, start: Duration, part: Part, now: Duration) -> Duration {
        let warm_in = self.end(start).saturating_sub(now);
        let next_at = match part {
            Part::Listed(interval) => self.sent_at.map_or(Duration::ZERO, |at| at + interval),
            Part::Unlisted(interval) => {
                let first_at = self.since + interval.mul_f64(self.phase);
                self.sent_at.map_or(first_at, |at| first_at.max(at + interval))
            }
            Part::None => return warm_in,
        };
        next_at.saturating_sub(now).min(warm_in)
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Duration) {
        self.sent_at = Some(now);
    }

    /// Returns true if the load of the upstream is growing in steps.
    #[must_use]
    pub fn is_growing(&self, start: Duration, now: Duration) -> bool {
        self.step(start, now).is_some()
    }

    fn step(&self, start: Duration, now: Duration) -> Option<u32> {
        let end = Some(self.end(start)).filter(|end| !end.is_zero());
        let grows_since = end.max(self.returned_at).filter(|at| *at <= now)?;
        let elapsed = now.saturating_sub(grows_since);
        let step = u32::try_from(elapsed.as_millis() / STEP.as_millis()).unwrap_or(u32::MAX);
        (step < STEPS).then_some(step)
    }

    /// Returns the most requests of this instance in flight while the load of the upstream grows.
    ///
    /// `None` if it has grown, or if the upstream is still cold. `slots` are those of the upstream, of which the instance of `rank`
    /// may use its part; one without a position may use a single one.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use route::brittle::Rank;
    /// use route::cold::Cold;
    /// let (start, now) = (Duration::from_secs(3), Duration::from_secs(60));
    /// let rank = Rank { position: Some(0), instances: 2 };
    /// let mut cold = Cold::default();
    /// assert_eq!(cold.step_limit(start, 32, rank, now), None);
    /// cold.record_return(now);
    /// let limit = |ms| cold.step_limit(start, 32, rank, now + Duration::from_millis(ms));
    /// assert_eq!([0, 500, 1_000, 1_500].map(limit), [Some(2), Some(4), Some(8), None]);
    /// ```
    #[must_use]
    pub fn step_limit(
        &self,
        start: Duration,
        slots: usize,
        rank: Rank,
        now: Duration,
    ) -> Option<usize> {
        let step = self.step(start, now)?;
        let allowed = slots >> (STEPS - step);
        // One for each instance is no overload while there are fewer of them than slots.
        Some(rank.position.map_or(1, |at| rank.part(allowed).max(usize::from(at < slots))))
    }
}

/// Times at which refused requests of a service can be sent, each of them named to one caller.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Turns {
    next_at: Duration,
}

impl Turns {
    /// Returns the delay after which a refused request can be sent.
    ///
    /// The first one can be sent after `wait`, the following ones after each `interval`, and all of
    /// them once an upstream is warm, after `warm_in`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use route::cold::Turns;
    /// let ms = Duration::from_millis;
    /// let mut turns = Turns::default();
    /// let now = Duration::from_secs(60);
    /// let next = [(); 4].map(|()| turns.next(ms(200), ms(500), ms(1_000), now));
    /// assert_eq!(next, [ms(200), ms(700), ms(1_000), ms(1_000)]);
    /// ```
    pub fn next(
        &mut self,
        wait: Duration,
        interval: Duration,
        warm_in: Duration,
        now: Duration,
    ) -> Duration {
        let at = self.next_at.max(now + wait).min(now + warm_in.max(wait));
        self.next_at = at + interval;
        at.saturating_sub(now)
    }
}
