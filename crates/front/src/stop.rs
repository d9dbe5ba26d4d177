//! Graceful stop of an instance.

use std::cell::Cell;
use std::rc::Rc;

use base::prelude::*;
use slog::info;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::Front;

/// Longest time for which requests are still admitted while callers learn other addresses.
///
/// The users' rule excuses the end of requests that are sent up to 3 s after the signal, which an
/// instance notices a moment late.
const MAX_ADMIT_TIME: Duration = Duration::from_millis(2_900);
/// Fraction of the grace period after which no request is admitted, so that the rest has time to end.
const ADMIT_RATIO: (u32, u32) = (3, 8);
/// Last part of the grace period, reserved for returning tokens to the budgets.
const TOKEN_RETURN_TIME: Duration = Duration::from_millis(900);
/// Longest wait at the end until the requests in flight are answered that have no answer yet.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Time without a request in flight after which the drain ends.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Interval at which the number of requests in flight is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Times of a planned stop, by the clock of the instance.
///
/// It answers requests that arrive while the instance stops: callers keep its address and their
/// connections for seconds. Each admitted request needs time to end before the process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// When the instance stops to admit requests.
    admits_until: Duration,
    /// When the requests that are still in flight are given up.
    ends_at: Duration,
}

impl Schedule {
    /// Returns the times of a stop that begins at `started_at` and has to end within `grace`.
    #[must_use]
    pub fn open(started_at: Duration, grace: Duration) -> Self {
        let (numerator, denominator) = ADMIT_RATIO;
        let admit_time = MAX_ADMIT_TIME.min(grace * numerator / denominator);
        Self {
            admits_until: started_at + admit_time,
            ends_at: started_at + grace.saturating_sub(TOKEN_RETURN_TIME),
        }
    }

    /// Returns true if a request is admitted at `now`.
    ///
    /// `deadline` is that of a request whose outcome must not stay unknown, since it must not run
    /// again; it is admitted only if its deadline is before the end. `None` stands for all others.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// let schedule = front::stop::Schedule::open(Duration::ZERO, Duration::from_secs(8));
    /// let at = Duration::from_secs;
    /// assert!(schedule.admits(at(2), Some(at(7))));
    /// assert!(!schedule.admits(at(2), Some(at(8))));
    /// assert!(schedule.admits(at(2), None) && !schedule.admits(at(3), None));
    /// ```
    #[must_use]
    pub fn admits(&self, now: Duration, deadline: Option<Duration>) -> bool {
        now < self.admits_until && deadline.is_none_or(|deadline| deadline <= self.ends_at)
    }

    /// Returns true once requests in flight are given up.
    #[must_use]
    pub fn has_ended(&self, now: Duration) -> bool {
        now >= self.ends_at
    }
}

/// State of the planned stop of an instance.
#[derive(Debug, Default)]
pub struct Stop {
    /// Times of the stop; `None` while none is planned.
    schedule: Cell<Option<Schedule>>,
    has_ended: Cell<bool>,
    ended: Notify,
}

impl Stop {
    /// Begins the stop.
    pub fn begin(&self, schedule: Schedule) {
        self.schedule.set(Some(schedule));
    }

    /// Returns true once the stop has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.schedule.get().is_some()
    }

    /// Returns true if a request is admitted; see [`Schedule::admits`].
    #[must_use]
    pub fn admits(&self, now: Duration, deadline: Option<Duration>) -> bool {
        !self.has_ended.get()
            && self.schedule.get().is_none_or(|schedule| schedule.admits(now, deadline))
    }

    /// Gives up the requests that are still in flight, and admits none any more.
    pub fn end(&self) {
        self.has_ended.set(true);
        self.ended.notify_waiters();
    }

    /// Waits until the requests in flight are given up.
    pub async fn wait_ended(&self) {
        let ended = self.ended.notified();
        if !self.has_ended.get() {
            ended.await;
        }
    }
}

/// Stops within `grace`: withdraws the address, drains the requests, then returns tokens.
pub async fn stop(front: &Rc<Front>, grace: Duration) {
    let now = || front.clock.now();
    let schedule = Schedule::open(now(), grace);
    front.stop.begin(schedule);
    info!(front.log, "stopping"; "active" => front.in_flight_requests.get(),
        "grace_s" => grace.as_secs());
    front.roster.leave().await;
    let mut quiet_since = now();
    while !schedule.has_ended(now()) {
        if front.in_flight_requests.get() > 0 || front.carried_tunnels() > 0 {
            quiet_since = now();
        }
        let is_draining = !front.stop.admits(now(), None);
        if is_draining && now().saturating_sub(quiet_since) >= QUIET_TIME {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    let cut_requests = front.in_flight_requests.get();
    front.stop.end();
    let answered = async {
        while front.in_flight_requests.get() > 0 {
            sleep(POLL_INTERVAL / 10).await;
        }
    };
    let is_answered = timeout(ANSWER_TIME, answered).await.is_ok();
    front.escrow.close(TOKEN_RETURN_TIME / 2).await;
    info!(front.log, "stopped"; "cut" => cut_requests, "is_answered" => is_answered);
}
