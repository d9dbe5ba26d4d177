//! Decisions about one instance's share of one account; no I/O.

mod exposure;
mod size;

use base::clock::millis;
use base::prelude::*;
use store::{Commit, Row, Txn};

use super::latency::Latency;
use super::rate::{BURST_TIME_CONSTANT, RATE_TIME_CONSTANT, Rate, to_f64, to_tokens};
use super::row::{self, Grant, Total};

/// Age of the row at which an active holder writes it again.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);
/// The same for an idle holder of tokens, as a multiple.
const IDLE_RENEW_FACTOR: u32 = 3;
/// Renewal time for each instance, so that the writes of a large fleet stay within the store's rate.
const RENEW_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(50);
/// Age of a row from which on the bound on spending grows.
///
/// A row is renewed and a killed process starts again in less, so that its successor finds only
/// the exposure used up, while an instance that is cut from the store can go on after it.
const GROWTH_DELAY: Duration = Duration::from_millis(2_800);
/// Weight of a new request in the usual bound.
const MEAN_BOUND_WEIGHT: f64 = 0.2;
/// Longest time after which a caller is told to come back; most have given up by then.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);
/// Interval at which the account's rows are read while the share is in use.
const READ_INTERVAL: Duration = Duration::from_secs(4);
/// The same while little of the budget is left, so that idle shares go back soon.
const READ_INTERVAL_SCARCE: Duration = Duration::from_millis(1_500);
/// Age at which the knowledge of the account's other rows is too old to refuse a request.
const READ_AGE_MAX: Duration = Duration::from_millis(1_500);

/// How callers come to this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Status {
    /// They are given its address.
    Listed,
    /// They are given other addresses.
    Unlisted,
    /// It stops and gives everything back.
    Closing,
}

/// Rows that are to be written together.
#[derive(Debug, Clone, Copy)]
struct Draft {
    grant: Grant,
    total: Option<Total>,
}

/// What is to be done next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Nothing for now.
    Idle,
    /// Read all rows of the account.
    Read,
    /// Apply this transaction.
    Write(Txn),
}

/// What a request finds out about a budget that is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// The request does not fit into what is left of the budget.
    Exhausted,
    /// Other instances hold tokens that they have not used.
    HeldElsewhere,
}

/// One instance's share of one account's budget.
#[derive(Debug)]
pub struct Share {
    account: AccountId,
    holder: InstanceId,
    incarnation: Incarnation,
    /// Budget by the newest configuration; `None` if the account is not limited.
    budget: Option<Tokens>,
    /// Instances that callers are given.
    instance_count: u64,
    status: Status,
    reserved: Tokens,
    settled: Tokens,
    /// Own row as last known to be in the store.
    stored: Grant,
    stored_revision: u64,
    total: Total,
    total_revision: u64,
    /// Own row that is being written.
    in_flight: Option<Grant>,
    /// Limits of own rows that were written without an answer.
    unconfirmed: Option<Grant>,
    /// Whether this start has written the own row.
    owns_row: bool,
    /// When the account's rows were read last, unless they have to be read again.
    rows_read_at: Option<Duration>,
    row_written_at: Duration,
    /// Requests that were told to come back, by the time that they were told.
    scheduled_retries: Vec<(Duration, Tokens)>,
    /// When a request asked for tokens last.
    last_request_at: Duration,
    /// Unused tokens of other holders, as of `rows_read_at`.
    others_free: Tokens,
    /// Rate of spending of other holders, as of `rows_read_at`.
    others_tokens_per_second: f64,
    /// Bound of a usual request of other holders.
    others_mean_bound: f64,
    /// Tokens that waiting requests ask for.
    demand: Tokens,
    is_active: bool,
    /// Whether the last write came after one of another instance.
    has_conflict: bool,
    mean_rate: Rate,
    burst_rate: Rate,
    latency: Latency,
    /// Bound of a usual request.
    mean_bound: f64,
}

impl Share {
    /// Opens an empty share; the first step reads the account's rows.
    #[must_use]
    pub fn open(account: &AccountId, holder: &InstanceId, incarnation: Incarnation) -> Self {
        Self {
            account: Arc::clone(account),
            holder: Arc::clone(holder),
            incarnation,
            budget: Some(0),
            instance_count: 0,
            status: Status::Listed,
            reserved: 0,
            settled: 0,
            stored: Grant::default(),
            stored_revision: 0,
            total: Total::default(),
            total_revision: 0,
            in_flight: None,
            unconfirmed: None,
            owns_row: false,
            rows_read_at: None,
            row_written_at: Duration::ZERO,
            scheduled_retries: Vec::new(),
            last_request_at: Duration::ZERO,
            others_free: 0,
            others_tokens_per_second: 0.0,
            others_mean_bound: 0.0,
            demand: 0,
            is_active: false,
            has_conflict: false,
            mean_rate: Rate::new(RATE_TIME_CONSTANT),
            burst_rate: Rate::new(BURST_TIME_CONSTANT),
            latency: Latency::default(),
            mean_bound: 0.0,
        }
    }

    /// Takes in the budget of the account, the number of instances that callers are given, and
    /// whether this is one of them.
    ///
    /// While no instances are known, tokens are taken only for requests that wait.
    pub fn configure(&mut self, budget: Option<Tokens>, instance_count: u64, is_listed: bool) {
        self.budget = budget;
        self.instance_count = instance_count;
        if self.status != Status::Closing {
            self.status = if is_listed { Status::Listed } else { Status::Unlisted };
        }
    }

    /// Reserves the upper bound of a request's cost, if the share covers it.
    ///
    /// `store_now` is a time that the store's clock has certainly reached.
    pub fn reserve(&mut self, bound: Tokens, now: Duration, store_now: Option<Duration>) -> bool {
        self.last_request_at = now;
        if self.budget.is_some() {
            if self.committed() + bound > self.spend_limit(store_now) {
                return false;
            }
            self.mean_rate.add(bound, now);
            self.burst_rate.add(bound, now);
            self.update_mean_bound(bound);
        }
        self.reserved += bound;
        self.is_active = true;
        true
    }

    fn update_mean_bound(&mut self, bound: Tokens) {
        let bound = to_f64(bound);
        let weight = if self.mean_bound == 0.0 { 1.0 } else { MEAN_BOUND_WEIGHT };
        self.mean_bound += weight * (bound - self.mean_bound);
    }

    /// Ends a reservation of which `used` tokens were spent.
    pub fn settle(&mut self, bound: Tokens, used: Tokens) {
        self.reserved = self.reserved.saturating_sub(bound);
        self.settled += used.min(bound);
        self.is_active = true;
    }

    /// Says how many tokens waiting requests ask for.
    pub fn set_demand(&mut self, tokens: Tokens) {
        self.demand = tokens;
    }

    /// Returns the tokens that were used or are reserved.
    #[must_use]
    pub fn committed(&self) -> Tokens {
        self.settled + self.reserved
    }

    /// Returns the tokens of the share that are free.
    #[must_use]
    pub fn free(&self) -> Tokens {
        self.min_granted().saturating_sub(self.committed())
    }

    /// Returns the tokens that all holders have taken, as last known.
    #[must_use]
    pub fn handed_out(&self) -> Tokens {
        self.total.out
    }

    /// Returns the tokens that may be reserved now.
    #[must_use]
    pub fn usable(&self, store_now: Option<Duration>) -> Tokens {
        self.spend_limit(store_now).saturating_sub(self.committed())
    }

    /// Returns when a request of this bound can be reserved without the store, as a time from now.
    ///
    /// The rows vouch for more as time passes. Each request that is told a time counts before
    /// those that ask after it, so that they neither meet nor overtake when they come back.
    pub fn schedule_retry(
        &mut self,
        bound: Tokens,
        now: Duration,
        store_now: Option<Duration>,
    ) -> Option<Duration> {
        if !self.owns_row || self.is_replaced() {
            return None;
        }
        self.scheduled_retries.retain(|(due, _)| *due > now);
        let scheduled: Tokens = self.scheduled_retries.iter().map(|(_, tokens)| tokens).sum();
        let needed = self.committed() + scheduled + bound;
        let times = self.possible_rows().map(|grant| grant.covers_from_ms(needed));
        let covered_ms = times.collect::<Option<Vec<u64>>>()?.into_iter().max()?;
        let wait = Duration::from_millis(covered_ms.saturating_sub(millis(store_now?)));
        if wait > RETRY_AFTER_MAX {
            return None;
        }
        self.scheduled_retries.push((now + wait, bound));
        Some(wait)
    }

    /// Returns the rows of which any may be in the store now.
    fn possible_rows(&self) -> impl Iterator<Item = Grant> {
        [Some(self.stored), self.in_flight, self.unconfirmed].into_iter().flatten()
    }

    /// Returns how much may be committed in all.
    fn spend_limit(&self, store_now: Option<Duration>) -> Tokens {
        if !self.owns_row || self.is_replaced() {
            return 0;
        }
        let now_ms = store_now.map_or(0, millis);
        self.possible_rows().map(|grant| grant.spend_limit_at(now_ms)).min().unwrap_or_default()
    }

    /// Returns what is granted whatever became of writes without an answer.
    fn min_granted(&self) -> Tokens {
        self.possible_rows().map(|grant| grant.granted).min().unwrap_or_default()
    }

    /// Returns why a request of this bound cannot be served; `None` if the rows must be read.
    #[must_use]
    pub fn shortage(&self, bound: Tokens, now: Duration) -> Option<Shortage> {
        if now.saturating_sub(self.rows_read_at?) > READ_AGE_MAX {
            return None;
        }
        let obtainable = self.available() + self.free() + self.others_free;
        Some(if bound > obtainable { Shortage::Exhausted } else { Shortage::HeldElsewhere })
    }

    /// Forgets how old the knowledge of the other holders is, so that it is read again.
    pub fn invalidate_rows(&mut self) {
        self.rows_read_at = None;
    }

    /// Returns the next step; `store_now` is a time that the store's clock has reached.
    pub fn step(&mut self, now: Duration, store_now: Option<Duration>) -> Step {
        if self.budget.is_none() {
            return Step::Idle;
        }
        if self.rows_read_at.is_none() {
            self.latency.start_call(now);
            return Step::Read;
        }
        // Without the store's time no lease can be written, and every answer brings it.
        let Some(store_now) = store_now else { return Step::Read };
        match self.draft(now, store_now) {
            Some(draft) => Step::Write(self.start_write(draft, now)),
            None => Step::Idle,
        }
    }

    fn draft(&self, now: Duration, store_now: Duration) -> Option<Draft> {
        let now_ms = millis(store_now);
        let half_exposure_used = self.stored.used.saturating_add(self.stored.exposure / 2);
        let is_limit_near = self.committed() + self.demand > half_exposure_used
            && self.stored.granted > self.stored.spend_limit_at(now_ms)
            || (!self.owns_row && self.demand > 0 && self.demand <= self.stored.granted);
        // Others change the total as well. A renewal that is urgent does without it after a
        // conflict, since a slow link would lose several races in a row.
        let skips_total = self.has_conflict && is_limit_near && self.free() >= self.demand;
        let granted = if skips_total { self.stored.granted } else { self.target_granted(now) };
        let changes = granted != self.stored.granted;
        let out = (self.total.out + granted).saturating_sub(self.stored.granted);
        let total = changes.then_some(Total { out });
        // A share that is and was empty needs no row.
        let is_row_own_or_absent = self.owns_row || self.stored_revision == 0;
        if !changes
            && !is_limit_near
            && !self.is_renewal_due(now)
            && is_row_own_or_absent
            && self.unconfirmed.is_none()
        {
            return None;
        }
        let used = self.committed();
        let free = granted.saturating_sub(used);
        let rate = self.mean_rate.tokens_per_second(now);
        let usual = to_tokens(self.mean_bound);
        let exposure = self.exposure(free, now).max(self.demand);
        let grant = Grant {
            incarnation: self.incarnation,
            seq: self.stored.seq + 1,
            granted,
            used,
            exposure: exposure.min(free),
            per_s: self.growth_per_second(free, now),
            still_ms: millis(GROWTH_DELAY),
            rate: to_tokens(rate),
            usual,
            at_ms: now_ms,
        };
        Some(Draft { grant, total })
    }

    /// Returns true if the row is old and says more than what is in use.
    fn is_renewal_due(&self, now: Duration) -> bool {
        let instances = u32::try_from(self.instance_count).unwrap_or(u32::MAX);
        let interval = RENEW_INTERVAL.max(RENEW_INTERVAL_PER_INSTANCE.saturating_mul(instances));
        let interval = if self.is_active { interval } else { interval * IDLE_RENEW_FACTOR };
        let is_in_use = self.is_active || self.free() > 0;
        is_in_use && now.saturating_sub(self.row_written_at) >= interval
    }

    fn start_write(&mut self, draft: Draft, now: Duration) -> Txn {
        self.latency.start_call(now);
        let key = row::holder_key(&self.account, &self.holder);
        let mut txn = Txn::default();
        txn.check(key.clone(), self.stored_revision);
        txn.put(key, &draft.grant);
        if let Some(total) = &draft.total {
            let key = row::total_key(&self.account);
            txn.check(key.clone(), self.total_revision);
            txn.put(key, total);
        }
        self.in_flight = Some(draft.grant);
        txn
    }

    /// Takes in the result of the transaction that the last step asked for.
    pub fn handle_commit(&mut self, txn: &Txn, result: &Commit, now: Duration) {
        let Some(written) = self.in_flight.take() else { return };
        self.latency.end_write(now);
        match result {
            Commit::Applied(revision) => {
                self.stored = written;
                self.stored_revision = *revision;
                self.owns_row = true;
                self.unconfirmed = None;
                self.row_written_at = now;
                self.has_conflict = false;
                self.is_active = self.reserved > 0;
                let total = txn.writes.get(1).and_then(|write| write.value.clone());
                if let Some(Ok(total)) = total.map(serde_json::from_value) {
                    self.total = total;
                    self.total_revision = *revision;
                }
            }
            Commit::Conflict(rows) => {
                self.has_conflict = true;
                for check in &txn.checks {
                    match rows.iter().find(|row| row.key == check.key) {
                        Some(row) => self.record_row(row),
                        None => self.record_missing_row(&check.key),
                    }
                }
                // Another start's row has to be read together with the store's time.
                if self.stored.incarnation != self.incarnation && self.stored.seq > 0 {
                    self.rows_read_at = None;
                }
            }
        }
    }

    /// Returns how long the store takes to answer.
    #[must_use]
    pub fn latency(&self) -> &Latency {
        &self.latency
    }

    /// Notes that the transaction that the last step asked for got no answer.
    ///
    /// It may be applied later, until another write of the row goes before it.
    pub fn handle_no_answer(&mut self, now: Duration) {
        self.latency.fail_write(now);
        if let Some(written) = self.in_flight.take() {
            self.unconfirmed =
                Some(self.unconfirmed.map_or(written, |earlier| earlier.intersect(written)));
        }
        self.rows_read_at = None;
    }

    /// Takes in all rows of the account, read at a time of the store's clock.
    pub fn handle_rows(&mut self, rows: &[Row], now: Duration, store_now: Duration) {
        let own = row::holder_key(&self.account, &self.holder);
        self.others_free = 0;
        self.others_tokens_per_second = 0.0;
        for row in rows {
            if row.key == own || row.key == row::total_key(&self.account) {
                self.record_row(row);
            } else if let Ok(grant) = serde_json::from_value::<Grant>(row.value.clone()) {
                self.others_free += grant.free();
                self.others_tokens_per_second += grant.decayed_rate(store_now);
                self.others_mean_bound = self.others_mean_bound.max(to_f64(grant.usual));
            }
        }
        if !self.owns_row && self.stored_revision > 0 && self.stored.incarnation != self.incarnation
        {
            self.take_over_row(store_now);
        }
        self.rows_read_at = Some(now);
    }

    /// Turns the predecessor's row into an empty share and frees what it cannot have used.
    fn take_over_row(&mut self, store_now: Duration) {
        let unused = self.stored.granted - self.stored.spend_limit_at(millis(store_now));
        // The share keeps what was not used; the rest of the old grant stays counted as out.
        self.stored = Grant {
            incarnation: 0,
            seq: self.stored.seq,
            granted: unused,
            used: 0,
            exposure: 0,
            per_s: 0,
            still_ms: 0,
            rate: 0,
            usual: 0,
            at_ms: 0,
        };
    }

    /// Takes in a row of the store.
    fn record_row(&mut self, row: &Row) {
        if row.key == row::total_key(&self.account) {
            if let Ok(total) = serde_json::from_value(row.value.clone()) {
                self.total = total;
                self.total_revision = row.revision;
            }
            return;
        }
        let Ok(grant) = serde_json::from_value::<Grant>(row.value.clone()) else { return };
        if row.revision == self.stored_revision {
            return;
        }
        self.stored = grant;
        self.stored_revision = row.revision;
    }

    fn record_missing_row(&mut self, key: &str) {
        if key == row::total_key(&self.account) {
            self.total_revision = 0;
        } else {
            self.stored_revision = 0;
        }
    }

    /// Returns true if a later start of this instance has taken the share over.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.owns_row && self.stored.incarnation != self.incarnation
    }

    /// Asks for the return of all that is free.
    pub fn close(&mut self) {
        self.status = Status::Closing;
    }

    /// Returns true if the share should be looked at although no request asks for it.
    #[must_use]
    pub fn needs_step(&self, now: Duration) -> bool {
        if self.budget.is_none() || self.is_replaced() {
            return false;
        }
        let is_in_use = self.free() > 0 || self.is_active;
        let returns_tokens = self.owns_row && self.target_granted(now) < self.stored.granted;
        returns_tokens
            || self.is_renewal_due(now)
            || self.rows_read_at.is_none()
            || (is_in_use && self.is_read_due(now))
    }

    /// Returns true if the other rows of the account should be read.
    #[must_use]
    pub fn is_read_due(&self, now: Duration) -> bool {
        let interval =
            if self.target_free(now) == 0 { READ_INTERVAL_SCARCE } else { READ_INTERVAL };
        self.rows_read_at.is_none_or(|at| now.saturating_sub(at) >= interval)
    }
}
