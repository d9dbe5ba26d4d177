//! Decisions about one instance's share of one account; no I/O.

mod exposure;
mod size;

use base::clock::millis;
use base::prelude::*;
use store::{Commit, Row, Txn};

use super::latency::Latency;
use super::rate::{BURST_TIME, RATE_TIME, Rate, to_number, to_tokens};
use super::row::{self, Held, Total};

/// Age of the row at which an active holder writes it again.
const RENEW: Duration = Duration::from_millis(900);
/// The same for an idle holder of tokens, as a multiple.
const RENEW_IDLE: u32 = 3;
/// Renewal time for each instance, so that the writes of a large fleet stay within the store's rate.
const RENEW_EACH: Duration = Duration::from_millis(50);
/// Age of a row from which on the bound on spending grows.
///
/// A row is renewed and a killed process starts again in less, so that its successor finds only
/// the exposure used up, while an instance that is cut from the store can go on after it.
const STILL: Duration = Duration::from_millis(2_800);
/// Weight of a new request in the usual bound.
const USUAL_WEIGHT: f64 = 0.2;
/// Longest time after which a caller is told to come back; most have given up by then.
const PROMISE_MAX: Duration = Duration::from_secs(10);
/// Interval at which the account's rows are read while the share is in use.
const LOOK: Duration = Duration::from_secs(4);
/// The same while little of the budget is left, so that idle shares go back soon.
const LOOK_SCARCE: Duration = Duration::from_millis(1_500);
/// Age at which the knowledge of the account's other rows is too old to refuse a request.
const KNOWN_TIME: Duration = Duration::from_millis(1_500);

/// How callers come to this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
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
    held: Held,
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
    Elsewhere,
}

/// One instance's share of one account's budget.
#[derive(Debug)]
pub struct Share {
    account: AccountId,
    holder: InstanceId,
    incarnation: Incarnation,
    /// Budget by the newest configuration; `None` if the account is not limited.
    prepaid: Option<Tokens>,
    /// Instances that callers are given.
    instances: u64,
    standing: Standing,
    reserved: Tokens,
    settled: Tokens,
    /// Own row as last known to be in the store.
    held: Held,
    held_revision: u64,
    total: Total,
    total_revision: u64,
    /// Own row that is being written.
    flight: Option<Held>,
    /// Limits of own rows that were written without an answer.
    doubt: Option<Held>,
    /// Whether this start has written the own row.
    is_owner: bool,
    /// When the account's rows were read last, unless they have to be read again.
    loaded_at: Option<Duration>,
    written_at: Duration,
    /// Requests that were told to come back, by the time that they were told.
    promised: Vec<(Duration, Tokens)>,
    /// When a request asked for tokens last.
    asked_at: Duration,
    /// Unused tokens of other holders, as of `loaded_at`.
    elsewhere: Tokens,
    /// Rate of spending of other holders, as of `loaded_at`.
    other_rate: f64,
    /// Bound of a usual request of other holders.
    other_usual: f64,
    /// Tokens that waiting requests ask for.
    wanted: Tokens,
    is_active: bool,
    /// Whether the last write came after one of another instance.
    has_conflict: bool,
    rate: Rate,
    burst: Rate,
    latency: Latency,
    /// Bound of a usual request.
    usual: f64,
}

impl Share {
    /// Opens an empty share; the first step reads the account's rows.
    #[must_use]
    pub fn open(account: &AccountId, holder: &InstanceId, incarnation: Incarnation) -> Self {
        Self {
            account: Arc::clone(account),
            holder: Arc::clone(holder),
            incarnation,
            prepaid: Some(0),
            instances: 0,
            standing: Standing::Listed,
            reserved: 0,
            settled: 0,
            held: Held::default(),
            held_revision: 0,
            total: Total::default(),
            total_revision: 0,
            flight: None,
            doubt: None,
            is_owner: false,
            loaded_at: None,
            written_at: Duration::ZERO,
            promised: Vec::new(),
            asked_at: Duration::ZERO,
            elsewhere: 0,
            other_rate: 0.0,
            other_usual: 0.0,
            wanted: 0,
            is_active: false,
            has_conflict: false,
            rate: Rate::open(RATE_TIME),
            burst: Rate::open(BURST_TIME),
            latency: Latency::default(),
            usual: 0.0,
        }
    }

    /// Takes in the budget of the account, the number of instances that callers are given, and
    /// whether this is one of them.
    ///
    /// While no instances are known, tokens are taken only for requests that wait.
    pub fn configure(&mut self, prepaid: Option<Tokens>, instances: u64, is_listed: bool) {
        self.prepaid = prepaid;
        self.instances = instances;
        if self.standing != Standing::Closing {
            self.standing = if is_listed { Standing::Listed } else { Standing::Unlisted };
        }
    }

    /// Reserves the upper bound of a request's cost, if the share covers it.
    ///
    /// `store_now` is a time that the store's clock has certainly reached.
    pub fn reserve(&mut self, bound: Tokens, now: Duration, store_now: Option<Duration>) -> bool {
        self.asked_at = now;
        if self.prepaid.is_some() {
            if self.committed() + bound > self.limit(store_now) {
                return false;
            }
            self.rate.add(bound, now);
            self.burst.add(bound, now);
            self.note(bound);
        }
        self.reserved += bound;
        self.is_active = true;
        true
    }

    fn note(&mut self, bound: Tokens) {
        let bound = to_number(bound);
        let weight = if self.usual == 0.0 { 1.0 } else { USUAL_WEIGHT };
        self.usual += weight * (bound - self.usual);
    }

    /// Ends a reservation of which `used` tokens were spent.
    pub fn settle(&mut self, bound: Tokens, used: Tokens) {
        self.reserved = self.reserved.saturating_sub(bound);
        self.settled += used.min(bound);
        self.is_active = true;
    }

    /// Says how many tokens waiting requests ask for.
    pub fn want(&mut self, tokens: Tokens) {
        self.wanted = tokens;
    }

    /// Returns the tokens that were used or are reserved.
    #[must_use]
    pub fn committed(&self) -> Tokens {
        self.settled + self.reserved
    }

    /// Returns the tokens of the share that are free.
    #[must_use]
    pub fn free(&self) -> Tokens {
        self.sure_grant().saturating_sub(self.committed())
    }

    /// Returns the tokens that all holders have taken, as last known.
    #[must_use]
    pub fn out(&self) -> Tokens {
        self.total.out
    }

    /// Returns the tokens that may be reserved now.
    #[must_use]
    pub fn usable(&self, store_now: Option<Duration>) -> Tokens {
        self.limit(store_now).saturating_sub(self.committed())
    }

    /// Returns when a request of this bound can be reserved without the store, as a time from now.
    ///
    /// The rows vouch for more as time passes. Each request that is told a time counts before
    /// those that ask after it, so that they neither meet nor overtake when they come back.
    pub fn promise(
        &mut self,
        bound: Tokens,
        now: Duration,
        store_now: Option<Duration>,
    ) -> Option<Duration> {
        if !self.is_owner || self.is_replaced() {
            return None;
        }
        self.promised.retain(|(due, _)| *due > now);
        let before: Tokens = self.promised.iter().map(|(_, tokens)| tokens).sum();
        let wanted = self.committed() + before + bound;
        let times = self.rows().map(|held| held.reached_ms(wanted));
        let at_ms = times.collect::<Option<Vec<u64>>>()?.into_iter().max()?;
        let wait = Duration::from_millis(at_ms.saturating_sub(millis(store_now?)));
        if wait > PROMISE_MAX {
            return None;
        }
        self.promised.push((now + wait, bound));
        Some(wait)
    }

    /// Returns the rows of which any may be in the store now.
    fn rows(&self) -> impl Iterator<Item = Held> {
        [Some(self.held), self.flight, self.doubt].into_iter().flatten()
    }

    /// Returns how much may be committed in all.
    fn limit(&self, store_now: Option<Duration>) -> Tokens {
        if !self.is_owner || self.is_replaced() {
            return 0;
        }
        let now_ms = store_now.map_or(0, millis);
        self.rows().map(|held| held.vouched(now_ms)).min().unwrap_or_default()
    }

    /// Returns what is granted whatever became of writes without an answer.
    fn sure_grant(&self) -> Tokens {
        self.rows().map(|held| held.granted).min().unwrap_or_default()
    }

    /// Returns why a request of this bound cannot be served; `None` if the rows must be read.
    #[must_use]
    pub fn shortage(&self, bound: Tokens, now: Duration) -> Option<Shortage> {
        if now.saturating_sub(self.loaded_at?) > KNOWN_TIME {
            return None;
        }
        let anywhere = self.available() + self.free() + self.elsewhere;
        Some(if bound > anywhere { Shortage::Exhausted } else { Shortage::Elsewhere })
    }

    /// Forgets how old the knowledge of the other holders is, so that it is read again.
    pub fn look_again(&mut self) {
        self.loaded_at = None;
    }

    /// Returns the next step; `store_now` is a time that the store's clock has reached.
    pub fn step(&mut self, now: Duration, store_now: Option<Duration>) -> Step {
        if self.prepaid.is_none() {
            return Step::Idle;
        }
        if self.loaded_at.is_none() {
            self.latency.begin(now);
            return Step::Read;
        }
        // Without the store's time no lease can be written, and every answer brings it.
        let Some(store_now) = store_now else { return Step::Read };
        match self.draft(now, store_now) {
            Some(draft) => Step::Write(self.begin(draft, now)),
            None => Step::Idle,
        }
    }

    fn draft(&self, now: Duration, store_now: Duration) -> Option<Draft> {
        let now_ms = millis(store_now);
        let half_used = self.held.used.saturating_add(self.held.exposure / 2);
        let is_tight = self.committed() + self.wanted > half_used
            && self.held.granted > self.held.vouched(now_ms)
            || (!self.is_owner && self.wanted > 0 && self.wanted <= self.held.granted);
        // Others change the total as well. A renewal that is urgent does without it after a
        // conflict, since a slow link would lose several races in a row.
        let is_apart = self.has_conflict && is_tight && self.free() >= self.wanted;
        let granted = if is_apart { self.held.granted } else { self.wanted_grant(now) };
        let changes = granted != self.held.granted;
        let out = (self.total.out + granted).saturating_sub(self.held.granted);
        let total = changes.then_some(Total { out });
        // A share that is and was empty needs no row.
        let is_claimed = self.is_owner || self.held_revision == 0;
        if !changes && !is_tight && !self.is_old(now) && is_claimed && self.doubt.is_none() {
            return None;
        }
        let used = self.committed();
        let free = granted.saturating_sub(used);
        let rate = self.rate.get(now);
        let usual = to_tokens(self.usual);
        let exposure = self.exposure(free, now).max(self.wanted);
        let held = Held {
            incarnation: self.incarnation,
            seq: self.held.seq + 1,
            granted,
            used,
            exposure: exposure.min(free),
            per_s: self.growth(free, now),
            still_ms: millis(STILL),
            rate: to_tokens(rate),
            usual,
            at_ms: now_ms,
        };
        Some(Draft { held, total })
    }

    /// Returns true if the row is old and says more than what is in use.
    fn is_old(&self, now: Duration) -> bool {
        let instances = u32::try_from(self.instances).unwrap_or(u32::MAX);
        let renew = RENEW.max(RENEW_EACH.saturating_mul(instances));
        let renew = if self.is_active { renew } else { renew * RENEW_IDLE };
        let says_more = self.is_active || self.free() > 0;
        says_more && now.saturating_sub(self.written_at) >= renew
    }

    fn begin(&mut self, draft: Draft, now: Duration) -> Txn {
        self.latency.begin(now);
        let key = row::holder_key(&self.account, &self.holder);
        let mut txn = Txn::default();
        txn.check(key.clone(), self.held_revision);
        txn.put(key, &draft.held);
        if let Some(total) = &draft.total {
            let key = row::total_key(&self.account);
            txn.check(key.clone(), self.total_revision);
            txn.put(key, total);
        }
        self.flight = Some(draft.held);
        txn
    }

    /// Takes in the result of the transaction that the last step asked for.
    pub fn written(&mut self, txn: &Txn, result: &Commit, now: Duration) {
        let Some(flight) = self.flight.take() else { return };
        self.latency.end(now);
        match result {
            Commit::Applied(revision) => {
                self.held = flight;
                self.held_revision = *revision;
                self.is_owner = true;
                self.doubt = None;
                self.written_at = now;
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
                        Some(row) => self.adopt(row),
                        None => self.forget(&check.key),
                    }
                }
                // Another start's row has to be read together with the store's time.
                if self.held.incarnation != self.incarnation && self.held.seq > 0 {
                    self.loaded_at = None;
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
    pub fn unanswered(&mut self, now: Duration) {
        self.latency.fail(now);
        if let Some(flight) = self.flight.take() {
            self.doubt = Some(self.doubt.map_or(flight, |doubt| doubt.narrower(flight)));
        }
        self.loaded_at = None;
    }

    /// Takes in all rows of the account, read at a time of the store's clock.
    pub fn loaded(&mut self, rows: &[Row], now: Duration, store_now: Duration) {
        let own = row::holder_key(&self.account, &self.holder);
        self.elsewhere = 0;
        self.other_rate = 0.0;
        for row in rows {
            if row.key == own || row.key == row::total_key(&self.account) {
                self.adopt(row);
            } else if let Ok(held) = serde_json::from_value::<Held>(row.value.clone()) {
                self.elsewhere += held.free();
                self.other_rate += held.rate_at(store_now);
                self.other_usual = self.other_usual.max(to_number(held.usual));
            }
        }
        if !self.is_owner && self.held_revision > 0 && self.held.incarnation != self.incarnation {
            self.inherit(store_now);
        }
        self.loaded_at = Some(now);
    }

    /// Turns the predecessor's row into an empty share and frees what it cannot have used.
    fn inherit(&mut self, store_now: Duration) {
        let unused = self.held.granted - self.held.vouched(millis(store_now));
        // The share keeps what was not used; the rest of the old grant stays counted as out.
        self.held = Held {
            incarnation: 0,
            seq: self.held.seq,
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
    fn adopt(&mut self, row: &Row) {
        if row.key == row::total_key(&self.account) {
            if let Ok(total) = serde_json::from_value(row.value.clone()) {
                self.total = total;
                self.total_revision = row.revision;
            }
            return;
        }
        let Ok(held) = serde_json::from_value::<Held>(row.value.clone()) else { return };
        if row.revision == self.held_revision {
            return;
        }
        self.held = held;
        self.held_revision = row.revision;
    }

    fn forget(&mut self, key: &str) {
        if key == row::total_key(&self.account) {
            self.total_revision = 0;
        } else {
            self.held_revision = 0;
        }
    }

    /// Returns true if a later start of this instance has taken the share over.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.is_owner && self.held.incarnation != self.incarnation
    }

    /// Asks for the return of all that is free.
    pub fn close(&mut self) {
        self.standing = Standing::Closing;
    }

    /// Returns true if the share should be looked at although no request asks for it.
    #[must_use]
    pub fn is_due(&self, now: Duration) -> bool {
        if self.prepaid.is_none() || self.is_replaced() {
            return false;
        }
        let is_used = self.free() > 0 || self.is_active;
        let is_idle = self.is_owner && self.wanted_grant(now) < self.held.granted;
        is_idle || self.is_old(now) || self.loaded_at.is_none() || (is_used && self.is_unread(now))
    }

    /// Returns true if the other rows of the account should be read.
    #[must_use]
    pub fn is_unread(&self, now: Duration) -> bool {
        let look = if self.target(now) == 0 { LOOK_SCARCE } else { LOOK };
        self.loaded_at.is_none_or(|at| now.saturating_sub(at) >= look)
    }
}
