//! Start-time fair queueing of requests from several client accounts for a limited number of slots.
//!
//! The grant to a queued request advances the virtual time of its account by its cost divided by
//! the account's weight. A free slot goes to the waiting account with the lowest virtual time. An
//! account that was idle starts at the current virtual time, so that it waits for about one slot,
//! however many requests another account has queued. Methods that need the current time take it as
//! an argument.

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;

/// Weight of the newest sample in the moving average of the release interval.
const INTERVAL_SMOOTHING: f64 = 0.1;
/// Longest interval between two releases that counts as a sample.
const MAX_RELEASE_INTERVAL: Duration = Duration::from_secs(5);

/// A request for one slot.
#[derive(Debug, Clone)]
pub struct Request {
    /// Client account whose queue the request joins.
    pub account: AccountId,
    /// Weight of the account relative to other waiting accounts; 0 counts as 1.
    pub weight: u64,
    /// Cost of the request relative to other requests; 0 counts as 1.
    pub cost: u64,
    /// The request is rejected if its estimated wait is longer.
    pub max_wait: Duration,
}

/// Identifies a queued request within its scheduler.
pub type WaiterId = u64;

/// Decision about a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request has a slot.
    Granted,
    /// The request is queued until `grant_next` returns this id.
    Queued(WaiterId),
    /// The queue is full or the estimated wait, given here, is too long.
    Rejected(Duration),
}

#[derive(Debug, Default)]
struct Account {
    queue: VecDeque<(WaiterId, u64)>,
    weight: u64,
    /// Virtual start time of the next request of the account.
    virtual_time: u64,
}

/// Requests that hold or wait for a slot of one pool.
#[derive(Debug, Default)]
pub struct Scheduler {
    running: usize,
    waiting: usize,
    accounts: BTreeMap<AccountId, Account>,
    virtual_time: u64,
    next_waiter_id: WaiterId,
    /// Moving average of the interval between releases; 0 until the first sample.
    release_interval_s: f64,
    released_at: Option<Duration>,
}

/// Units of virtual time per unit of cost; keeps precision in the division by a weight.
const VIRTUAL_TIME_SCALE: u64 = 1 << 10;

impl Scheduler {
    /// Grants one of `capacity` slots, or queues or rejects the request.
    ///
    /// At most `max_waiting` requests are queued.
    pub fn admit(&mut self, request: &Request, capacity: usize, max_waiting: usize) -> Admission {
        if self.running < capacity && self.waiting == 0 {
            self.running += 1;
            return Admission::Granted;
        }
        let delay = self.estimate_wait(request);
        if self.waiting >= max_waiting || delay > request.max_wait {
            return Admission::Rejected(delay);
        }
        let waiter_id = self.next_waiter_id;
        self.next_waiter_id += 1;
        self.waiting += 1;
        let virtual_time = self.virtual_time;
        let account = self.accounts.entry(Arc::clone(&request.account)).or_default();
        if account.queue.is_empty() {
            account.virtual_time = account.virtual_time.max(virtual_time);
        }
        account.weight = request.weight.max(1);
        account.queue.push_back((waiter_id, request.cost));
        Admission::Queued(waiter_id)
    }

    /// Frees one slot; `now` is the time on the monotonic clock.
    pub fn release(&mut self, now: Duration) {
        self.running = self.running.saturating_sub(1);
        let since = self.released_at.replace(now).map(|at| now.saturating_sub(at));
        if self.waiting == 0 {
            // Without waiting requests, the interval does not show the rate under load.
            self.released_at = None;
        }
        if let Some(since) = since.filter(|since| *since <= MAX_RELEASE_INTERVAL) {
            let sample = since.as_secs_f64();
            let first = self.release_interval_s == 0.0;
            self.release_interval_s += if first {
                sample
            } else {
                INTERVAL_SMOOTHING * (sample - self.release_interval_s)
            };
        }
    }

    /// Grants a slot in fair order; `None` without a free slot or a queued request.
    pub fn grant_next(&mut self, capacity: usize) -> Option<WaiterId> {
        if self.running >= capacity {
            return None;
        }
        let waiting = self.accounts.values_mut().filter(|account| !account.queue.is_empty());
        let account = waiting.min_by_key(|account| account.virtual_time)?;
        let (waiter_id, cost) = account.queue.pop_front()?;
        self.virtual_time = self.virtual_time.max(account.virtual_time);
        account.virtual_time += virtual_cost(cost, account.weight);
        self.waiting -= 1;
        self.running += 1;
        if self.waiting == 0 {
            // Virtual times matter only while requests wait, so they are dropped with the last one.
            self.accounts.clear();
        }
        Some(waiter_id)
    }

    /// Removes a request from the queue; returns false if it already has a slot.
    pub fn cancel(&mut self, account: &AccountId, waiter_id: WaiterId) -> bool {
        let Some(account) = self.accounts.get_mut(account) else { return false };
        let Some(position) = account.queue.iter().position(|(id, _)| *id == waiter_id) else {
            return false;
        };
        account.queue.remove(position);
        self.waiting -= 1;
        true
    }

    /// Returns the number of running and of queued requests.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        (self.running, self.waiting)
    }

    /// Estimates how long a new request would wait for a slot.
    ///
    /// It waits for the queued requests of its own account and, by weight, for those of other
    /// accounts that are served in between.
    fn estimate_wait(&self, request: &Request) -> Duration {
        let own = self.accounts.get(&request.account).map_or(0, |account| account.queue.len());
        let others = self.accounts.iter().filter(|(id, _)| **id != request.account);
        let turns: u64 = others
            .map(|(_, account)| {
                let share = (own as u64 + 1) * account.weight.max(1) / request.weight.max(1);
                share.max(1).min(account.queue.len() as u64)
            })
            .sum();
        let turns = u32::try_from(turns + own as u64 + 1).unwrap_or(u32::MAX);
        Duration::try_from_secs_f64(self.release_interval_s * f64::from(turns))
            .unwrap_or(Duration::MAX)
    }
}

fn virtual_cost(cost: u64, weight: u64) -> u64 {
    cost.max(1).saturating_mul(VIRTUAL_TIME_SCALE) / weight.max(1)
}
