//! Fair sharing of a bounded capacity between client accounts.
//!
//! Start-time fair queueing: each account has a virtual time that grows by the cost of its
//! requests over its weight, and the waiting account with the least virtual time goes first. An
//! account that was idle starts at the present virtual time, so that a small account waits for
//! about one place however long the queue of a big one is. The machine has no clock of its own.

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;

/// Weight of the newest sample in the measured interval between free places.
const INTERVAL_SMOOTHING: f64 = 0.1;
/// Longest interval between free places that is taken for a measurement.
const MAX_RELEASE_INTERVAL: Duration = Duration::from_secs(5);

/// A request that wants a place.
#[derive(Debug, Clone)]
pub struct Request {
    /// Client account.
    pub account: AccountId,
    /// Share of the account in relation to others.
    pub weight: u64,
    /// Cost of the request in relation to others.
    pub cost: u64,
    /// Longest time that the request may wait.
    pub max_wait: Duration,
}

/// Id of a waiting request.
pub type WaiterId = u64;

/// What a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It has a place.
    Granted,
    /// It waits for a place.
    Queued(WaiterId),
    /// It would wait too long; a place is likely after this time.
    Rejected(Duration),
}

#[derive(Debug, Default)]
struct Account {
    queue: VecDeque<(WaiterId, u64)>,
    weight: u64,
    /// Virtual start of the next request.
    virtual_time: u64,
}

/// The state of one bounded capacity.
#[derive(Debug, Default)]
pub struct Scheduler {
    running: usize,
    waiting: usize,
    accounts: BTreeMap<AccountId, Account>,
    virtual_time: u64,
    next_waiter_id: WaiterId,
    /// Interval between places that become free, in seconds.
    release_interval_s: f64,
    released_at: Option<Duration>,
}

/// Scale of virtual time, so that weights divide small costs.
const VIRTUAL_TIME_SCALE: u64 = 1 << 10;

impl Scheduler {
    /// Takes in a request while `capacity` places exist and `max_waiting` requests may wait.
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

    /// Gives a place back.
    pub fn release(&mut self, now: Duration) {
        self.running = self.running.saturating_sub(1);
        let since = self.released_at.replace(now).map(|at| now.saturating_sub(at));
        if self.waiting == 0 {
            // Places that nobody waits for say nothing about the rate under load.
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

    /// Returns the waiting request that gets the next free place, if there is one.
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
            // Shares matter only while requests wait, so the past of a quiet time is forgotten.
            self.accounts.clear();
        }
        Some(waiter_id)
    }

    /// Takes out a request that no longer waits; returns false if it has a place already.
    pub fn cancel(&mut self, account: &AccountId, waiter_id: WaiterId) -> bool {
        let Some(account) = self.accounts.get_mut(account) else { return false };
        let Some(position) = account.queue.iter().position(|(id, _)| *id == waiter_id) else {
            return false;
        };
        account.queue.remove(position);
        self.waiting -= 1;
        true
    }

    /// Returns how many requests run and wait.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        (self.running, self.waiting)
    }

    /// Returns how long a request would wait.
    ///
    /// Each request of its account that waits already is served in turn with those of the other
    /// accounts that wait.
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
