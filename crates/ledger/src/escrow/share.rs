//! Decisions about one instance's share of one account, without I/O.

mod exposure;
mod size;

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use base::clock::millis;
use base::prelude::*;
use store::{Commit, Row, Txn};

use super::latency::Latency;
use super::loan;
use super::rate::{BURST_TIME_CONSTANT, RATE_TIME_CONSTANT, Rate, to_f64, to_tokens};
use super::row::{self, Era, Grant, Total};

/// Age at which an active holder renews its row.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);
/// Factor on the renewal interval of a holder that has free tokens but no requests.
const IDLE_RENEW_FACTOR: u32 = 3;
/// Lower limit of the renewal interval, per instance of the fleet.
///
/// It keeps the writes of a large fleet within the write rate of the store.
const RENEW_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(50);
/// Age of a row at which its spend limit starts to grow.
///
/// A renewal, or the restart of a killed process, takes less time, so a successor loses no more
/// than the exposure. An instance that is cut off from the store can spend more after this time.
const GROWTH_DELAY: Duration = Duration::from_millis(2_800);
/// Weight of a new request in the moving mean of request bounds.
const MEAN_BOUND_WEIGHT: f64 = 0.2;
/// Longest retry delay for callers; most of them have given up by then.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Interval between reads of the account's rows while the share is in use.
const READ_INTERVAL: Duration = Duration::from_secs(4);
/// Interval between reads while the share should hold no free tokens.
///
/// That is the case near the end of the budget, when holders soon return idle shares.
const READ_INTERVAL_SCARCE: Duration = Duration::from_millis(1_500);
/// Time from a first start in which a share takes tokens only for requests that wait.
///
/// Instances that start together know the listed ones after two or three heartbeats. Those that
/// are not listed would take tokens, and would return them in conflict with each other.
const FIRST_TAKE_DELAY: Duration = Duration::from_secs(5);
/// Range over which the holders of an account spread their first tokens without a request.
const FIRST_TAKE_SPREAD: Duration = Duration::from_millis(2_500);
/// Age of the known total up to which a write of it rarely conflicts.
const FRESH_TOTAL_AGE: Duration = Duration::from_millis(100);
/// Age above which the known rows are too old to reject a request.
const MAX_READ_AGE: Duration = Duration::from_millis(1_500);
/// Age above which the known rows are too old to reject a request whose tokens others hold.
///
/// Other holders return unused tokens at any moment, while used ones rarely come back.
const MAX_READ_AGE_HELD: Duration = Duration::from_millis(200);

/// Time after the first write of an era in which no holder takes tokens.
///
/// A holder learns of a restore with its next call to the store, at most a heartbeat later, and
/// then writes its share again.
const RESTORE_FENCE: Duration = Duration::from_secs(3);
/// Time before a restore in which a holder may have taken tokens that the store has lost.
const MAX_LOST_TIME: Duration = Duration::from_secs(10);

/// Whether callers are given this instance's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Status {
    /// Callers are given its address.
    Listed,
    /// Callers are given only other addresses.
    Unlisted,
    /// The instance stops and returns its free tokens.
    Closing,
}

/// Rows that one transaction writes; the total only if the size of the share changes.
#[derive(Debug, Clone, Copy)]
struct Draft {
    grant: Grant,
    total: Option<Total>,
    /// Written only by the first write of the account in an era of the store.
    era: Option<Era>,
}

/// Next action that a share requires.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// No action is required now.
    Idle,
    /// Read all rows of the account and pass them to [`Share::handle_rows`].
    Read,
    /// Apply this transaction and pass the result to [`Share::handle_commit`].
    ///
    /// If no answer arrives, call [`Share::handle_no_answer`] instead.
    Write(Txn),
}

/// Reason why a budget cannot cover a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// The request exceeds the unused tokens of the whole budget.
    Exhausted,
    /// Other instances hold unused tokens that the request needs.
    HeldElsewhere,
}

/// One instance's share of one account's budget.
#[derive(Debug)]
pub struct Share {
    account: AccountId,
    holder: InstanceId,
    incarnation: Incarnation,
    /// Tokens by the newest configuration; `None` if the account has no limit.
    budget: Option<Tokens>,
    /// Number of instances whose addresses callers are given; 0 if unknown.
    instance_count: u64,
    status: Status,
    reserved: Tokens,
    settled: Tokens,
    /// Tokens lent by other holders, neither used nor reserved; they count as used there.
    borrowed: Tokens,
    /// Own row as last known to be in the store.
    stored: Grant,
    stored_revision: u64,
    total: Total,
    total_revision: u64,
    era_row: Era,
    era_row_revision: u64,
    /// Own row in the write that is in flight.
    in_flight: Option<Grant>,
    /// Common limits of own rows whose writes got no answer and may still be applied.
    unconfirmed: Option<Grant>,
    /// Whether this incarnation has written the own row.
    owns_row: bool,
    /// When this start of the instance began; its predecessor had ended by then.
    started_at: Option<Duration>,
    /// Era of the store to which the known rows belong; `None` before the first read.
    era: Option<u64>,
    /// Tokens that were granted before a restore of the store, until they are written again.
    lost_grant: Option<Tokens>,
    /// [`Total::out`] as last known before a restore, until it has been written to the era row.
    lost_out: Option<Tokens>,
    /// Tokens that other holders may have taken and not yet written again since a restore.
    others_lost: Tokens,
    /// Time of the store's clock at the last step.
    last_store_now: Duration,
    /// When the account's rows were last read; `None` if they must be read again.
    rows_read_at: Option<Duration>,
    /// When the total was last known to be in the store as it is known here.
    total_known_at: Duration,
    row_written_at: Duration,
    /// When the share may take tokens that no request waits for.
    takes_idle_from: Duration,
    /// Retry times given to callers, each with the bound of its request.
    scheduled_retries: Vec<(Duration, Tokens)>,
    /// When a reservation was last attempted.
    last_request_at: Duration,
    /// Unused tokens in the shares of other holders, as of `rows_read_at`.
    others_free: Tokens,
    /// Rows of other holders, as of `rows_read_at`.
    others: HashMap<InstanceId, Grant>,
    /// Sum of the spending rates of other holders, as of `rows_read_at`.
    others_tokens_per_second: f64,
    /// Largest mean request bound seen in the rows of other holders, in tokens.
    others_mean_bound: f64,
    /// Tokens that the first waiting request needs; 0 if none waits.
    demand: Tokens,
    /// Whether requests have used the share since the last write, or still run.
    is_active: bool,
    /// Whether the last answered write lost against a write of another instance.
    has_conflict: bool,
    mean_rate: Rate,
    burst_rate: Rate,
    latency: Latency,
    /// Moving mean of request bounds, in tokens; 0 before the first request.
    mean_bound: f64,
}

impl Share {
    /// Creates an empty share, whose first step reads the account's rows.
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
            borrowed: 0,
            stored: Grant::default(),
            stored_revision: 0,
            total: Total::default(),
            total_revision: 0,
            era_row: Era::default(),
            era_row_revision: 0,
            in_flight: None,
            unconfirmed: None,
            owns_row: false,
            started_at: None,
            era: None,
            lost_grant: None,
            lost_out: None,
            others_lost: 0,
            last_store_now: Duration::ZERO,
            rows_read_at: None,
            total_known_at: Duration::ZERO,
            row_written_at: Duration::ZERO,
            takes_idle_from: Duration::ZERO,
            scheduled_retries: Vec::new(),
            last_request_at: Duration::ZERO,
            others_free: 0,
            others: HashMap::new(),
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

    /// Sets when this start of the instance began, by the clock of the steps.
    ///
    /// The previous start has spent nothing later, even if its row is read only after an outage of
    /// the store. Without this time, the spend limit of its row counts up to the read.
    #[must_use]
    pub fn started_at(mut self, started_at: Duration) -> Self {
        self.started_at = Some(started_at);
        self
    }

    /// Sets the budget of the account and the fleet of which callers are given addresses.
    ///
    /// `budget` is `None` for an account without a limit. `is_listed` tells whether callers are
    /// given this instance's address. While `instance_count` is 0 (unknown), the share takes
    /// tokens only for requests that wait.
    pub fn configure(&mut self, budget: Option<Tokens>, instance_count: u64, is_listed: bool) {
        self.budget = budget;
        self.instance_count = instance_count;
        if self.status != Status::Closing {
            self.status = if is_listed { Status::Listed } else { Status::Unlisted };
        }
    }

    /// Reserves the upper bound of a request's cost; returns false if the share falls short.
    ///
    /// Borrowed tokens are left alone. `store_now` is a time that the store's clock has certainly
    /// reached, `None` if unknown.
    pub fn reserve(&mut self, bound: Tokens, now: Duration, store_now: Option<Duration>) -> bool {
        self.reserve_parts(bound, 0, now, store_now)
    }

    /// Reserves the upper bound of a request's cost, borrowed tokens first.
    ///
    /// Returns how many of the reserved tokens are borrowed, `None` if borrowed ones and the share
    /// together fall short. [`Self::settle_with_loans`] ends the reservation.
    pub fn reserve_with_loans(
        &mut self,
        bound: Tokens,
        now: Duration,
        store_now: Option<Duration>,
    ) -> Option<Tokens> {
        let borrowed = if self.is_replaced() { 0 } else { self.borrowed.min(bound) };
        let is_reserved = self.reserve_parts(bound - borrowed, borrowed, now, store_now);
        if is_reserved {
            self.borrowed -= borrowed;
        }
        is_reserved.then_some(borrowed)
    }

    /// Reserves tokens of the share for a request that gets `borrowed` tokens besides.
    fn reserve_parts(
        &mut self,
        own: Tokens,
        borrowed: Tokens,
        now: Duration,
        store_now: Option<Duration>,
    ) -> bool {
        self.last_request_at = now;
        if self.budget.is_some() {
            if own > 0 && self.committed() + own > self.spend_limit(store_now) {
                return false;
            }
            self.mean_rate.add(own + borrowed, now);
            self.burst_rate.add(own + borrowed, now);
            self.update_mean_bound(own + borrowed);
        }
        self.reserved += own;
        self.is_active = true;
        true
    }

    fn update_mean_bound(&mut self, bound: Tokens) {
        let bound = to_f64(bound);
        let weight = if self.mean_bound == 0.0 { 1.0 } else { MEAN_BOUND_WEIGHT };
        self.mean_bound += weight * (bound - self.mean_bound);
    }

    /// Ends a reservation of `bound` tokens, of which `used` were spent.
    pub fn settle(&mut self, bound: Tokens, used: Tokens) {
        self.reserved = self.reserved.saturating_sub(bound);
        self.settled += used.min(bound);
        self.is_active = true;
    }

    /// Ends a reservation of `bound` tokens, of which `borrowed` are borrowed and `used` were spent.
    ///
    /// The borrowed ones are spent first; the rest of them serves later requests.
    pub fn settle_with_loans(&mut self, bound: Tokens, borrowed: Tokens, used: Tokens) {
        self.settle(bound - borrowed, used.saturating_sub(borrowed));
        self.borrowed += borrowed.saturating_sub(used);
    }

    /// Lends tokens to another holder, and returns how many.
    ///
    /// They count as used from now on.
    pub fn lend(&mut self, requested: Tokens, store_now: Option<Duration>) -> Tokens {
        if self.budget.is_none() || self.is_replaced() {
            return 0;
        }
        let lent = loan::size(requested, self.borrowed.saturating_add(self.usable(store_now)));
        let passed_on = lent.min(self.borrowed);
        self.borrowed -= passed_on;
        if lent > passed_on {
            self.settled += lent - passed_on;
            self.is_active = true;
        }
        lent
    }

    /// Adds tokens that another holder has lent.
    pub fn receive_loan(&mut self, tokens: Tokens) {
        self.borrowed = self.borrowed.saturating_add(tokens);
    }

    /// Returns how many tokens have to be borrowed to cover a request of this bound now.
    #[must_use]
    pub fn missing(&self, bound: Tokens, store_now: Option<Duration>) -> Tokens {
        bound.saturating_sub(self.borrowed).saturating_sub(self.usable(store_now))
    }

    /// Returns the rows of the other holders, as last read.
    #[must_use]
    pub fn others(&self) -> &HashMap<InstanceId, Grant> {
        &self.others
    }

    /// Sets how many tokens the first waiting request needs; 0 if none waits.
    pub fn set_demand(&mut self, tokens: Tokens) {
        self.demand = tokens.saturating_sub(self.borrowed);
    }

    /// Returns the tokens that this incarnation has used, reserved or lent.
    #[must_use]
    pub fn committed(&self) -> Tokens {
        self.settled + self.reserved
    }

    /// Returns the tokens of the share that are neither used nor reserved.
    #[must_use]
    pub fn free(&self) -> Tokens {
        self.min_granted().saturating_sub(self.committed())
    }

    /// Returns [`Total::out`] as last read or written.
    #[must_use]
    pub fn handed_out(&self) -> Tokens {
        self.total.out
    }

    /// Returns the tokens that can be reserved now without a write to the store.
    #[must_use]
    pub fn usable(&self, store_now: Option<Duration>) -> Tokens {
        self.spend_limit(store_now).saturating_sub(self.committed())
    }

    /// Returns the delay after which the spend limit covers a request of this bound.
    ///
    /// The spend limit grows with time. Each scheduled request counts ahead of those scheduled
    /// later, so that the callers retry at different times and in order. `None` means that the
    /// share never covers the request, or only after most callers have given up.
    pub fn schedule_retry(
        &mut self,
        bound: Tokens,
        now: Duration,
        store_now: Option<Duration>,
    ) -> Option<Duration> {
        self.scheduled_retries.retain(|(due, _)| *due > now);
        let scheduled: Tokens = self.scheduled_retries.iter().map(|(_, tokens)| tokens).sum();
        let wait = self.covered_in(scheduled + bound, store_now)?;
        if wait > MAX_RETRY_DELAY {
            return None;
        }
        self.scheduled_retries.push((now + wait, bound));
        Some(wait)
    }

    /// Returns the delay after which the spend limit covers this many more tokens.
    ///
    /// `None` if it never does without a write to the store.
    #[must_use]
    pub fn covered_in(&self, tokens: Tokens, store_now: Option<Duration>) -> Option<Duration> {
        if !self.owns_row || self.is_replaced() {
            return None;
        }
        let needed = self.committed() + tokens.saturating_sub(self.borrowed);
        let times = self.possible_rows().map(|grant| grant.covers_from_ms(needed));
        let covered_ms = times.collect::<Option<Vec<u64>>>()?.into_iter().max()?;
        Some(Duration::from_millis(covered_ms.saturating_sub(millis(store_now?))))
    }

    /// Returns the versions of the own row of which any may be in the store.
    fn possible_rows(&self) -> impl Iterator<Item = Grant> {
        [Some(self.stored), self.in_flight, self.unconfirmed].into_iter().flatten()
    }

    /// Returns the most tokens that [`Self::committed`] may reach now.
    fn spend_limit(&self, store_now: Option<Duration>) -> Tokens {
        if !self.owns_row || self.is_replaced() {
            return 0;
        }
        let now_ms = store_now.map_or(0, millis);
        self.possible_rows().map(|grant| grant.spend_limit_at(now_ms)).min().unwrap_or_default()
    }

    /// Returns the tokens that every possible version of the own row grants.
    fn min_granted(&self) -> Tokens {
        self.possible_rows().map(|grant| grant.granted).min().unwrap_or_default()
    }

    /// Returns why a request cannot be covered; `None` if rows must be read first.
    #[must_use]
    pub fn shortage(&self, bound: Tokens, now: Duration) -> Option<Shortage> {
        let is_fenced = self.is_fenced(self.last_store_now);
        let obtainable = self.available() + self.free() + self.others_free + self.borrowed;
        let is_exhausted = bound > obtainable && !is_fenced;
        let max_age = if is_exhausted || is_fenced { MAX_READ_AGE } else { MAX_READ_AGE_HELD };
        if now.saturating_sub(self.rows_read_at?) > max_age {
            return None;
        }
        Some(if is_exhausted { Shortage::Exhausted } else { Shortage::HeldElsewhere })
    }

    /// Notes the era of the store; a later one than before makes the known rows invalid.
    ///
    /// The tokens of the share can be used again once its row has been written in the new era.
    pub fn enter_era(&mut self, era: Option<u64>) {
        if era <= self.era {
            return;
        }
        if self.era.is_some() {
            if self.owns_row {
                self.lost_grant.get_or_insert(self.min_granted());
            }
            if self.total_revision > 0 {
                self.lost_out = self.lost_out.max(Some(self.total.out));
            }
            self.stored = Grant {
                incarnation: self.stored.incarnation,
                seq: self.stored.seq,
                ..Grant::default()
            };
            self.stored_revision = 0;
            self.total = Total::default();
            self.total_revision = 0;
            self.era_row = Era::default();
            self.era_row_revision = 0;
            self.rows_read_at = None;
        }
        self.era = era;
    }

    /// Returns the era of the store to which the known rows belong.
    #[must_use]
    pub fn era(&self) -> Option<u64> {
        self.era
    }

    /// Returns true if tokens must not be taken yet, because holders still write their shares again.
    fn is_fenced(&self, store_now: Duration) -> bool {
        let start = Duration::from_millis(self.era_row.start_ms);
        self.starts_era() || (!start.is_zero() && store_now.saturating_sub(start) < RESTORE_FENCE)
    }

    /// Returns true if the next write is the first one of the account since a restore.
    fn starts_era(&self) -> bool {
        if self.era_row_revision == 0 {
            return self.lost_grant.is_some();
        }
        Some(self.era_row.number) < self.era
    }

    /// Makes the next step read the account's rows again.
    pub fn invalidate_rows(&mut self) {
        self.rows_read_at = None;
    }

    /// Returns the next step; `store_now` is a time that the store's clock has reached.
    ///
    /// `None` for `store_now` means that no answer of the store has carried its time yet.
    pub fn step(&mut self, now: Duration, store_now: Option<Duration>) -> Step {
        if self.budget.is_none() {
            return Step::Idle;
        }
        if self.rows_read_at.is_none() {
            self.latency.start_call(now);
            return Step::Read;
        }
        if self.returns_all(now) && !self.may_resize(now) {
            // The total may have changed since it was read, and the write would conflict.
            self.latency.start_call(now);
            return Step::Read;
        }
        // No row can be written without the store's time, which every answer carries.
        let Some(store_now) = store_now else { return Step::Read };
        self.last_store_now = store_now;
        let Some(draft) = self.draft(now, store_now) else { return Step::Idle };
        if draft.total.is_some() && self.is_total_doubtful(now) {
            self.latency.start_call(now);
            return Step::Read;
        }
        Step::Write(self.start_write(draft, now))
    }

    /// Returns true if another holder may have written the total since it was last known.
    fn is_total_doubtful(&self, now: Duration) -> bool {
        !self.others.is_empty() && !self.is_total_fresh(now)
    }

    fn is_total_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.total_known_at) <= FRESH_TOTAL_AGE
    }

    fn draft(&self, now: Duration, store_now: Duration) -> Option<Draft> {
        let now_ms = millis(store_now);
        let half_exposure_used = self.stored.used.saturating_add(self.stored.exposure / 2);
        let is_limit_near = self.committed() + self.demand > half_exposure_used
            && self.stored.granted > self.stored.spend_limit_at(now_ms)
            || (!self.owns_row && self.demand > 0 && self.demand <= self.stored.granted);
        // Other holders write the total too. An urgent renewal leaves it out after a conflict, since
        // over a slow link the write would lose several races in a row, and where it needs a read.
        let skips_total = (self.has_conflict || self.is_total_doubtful(now))
            && is_limit_near
            && self.free() >= self.demand;
        let granted = match self.lost_grant {
            Some(lost) => lost.max(self.committed()),
            None if skips_total || !self.may_resize(now) => self.stored.granted,
            None if self.is_fenced(store_now) => self.target_granted(now).min(self.stored.granted),
            None => self.target_granted(now),
        };
        let changes = granted != self.stored.granted;
        let out = (self.total.out + granted).saturating_sub(self.stored.granted);
        let total = changes.then_some(Total { out });
        let must_start_era = self.starts_era() && self.demand > 0;
        // The row of an earlier start must be replaced; an empty share without a row needs none.
        let is_row_own_or_absent = self.owns_row || self.stored_revision == 0;
        if !changes
            && !must_start_era
            && self.lost_grant.is_none()
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
            era: self.era,
        };
        let era = self.draft_era(granted, now_ms);
        let must_write_era = self.era_row_revision == 0 || era != self.era_row;
        Some(Draft { grant, total, era: must_write_era.then_some(era) })
    }

    /// Returns true if the share may take or return tokens now.
    ///
    /// Each write of the total makes the revision that other holders know out of date. Without need,
    /// a share therefore changes its size only just after it has read the total.
    fn may_resize(&self, now: Duration) -> bool {
        self.demand > 0
            || self.status == Status::Closing
            || self.is_total_fresh(now)
            || self.needs_refill(now)
    }

    /// Returns true if the share should hold no free tokens, and holds enough to return them.
    fn returns_all(&self, now: Duration) -> bool {
        self.owns_row
            && self.target_free(now) == 0
            && self.target_granted(now) < self.stored.granted
    }

    /// Returns the era row after a write that changes the size of the share to `granted`.
    fn draft_era(&self, granted: Tokens, now_ms: u64) -> Era {
        let mut era = if self.era_row_revision == 0 || self.starts_era() {
            Era {
                number: self.era.unwrap_or_default(),
                start_ms: if self.starts_era() { now_ms } else { 0 },
                restored_out: self.total.out,
                lost_out: self.total.out,
                // What an earlier restore has lost is still missing after this one.
                rewritten: -i64::try_from(self.era_row.missing()).unwrap_or(i64::MAX),
            }
        } else {
            self.era_row
        };
        era.lost_out = era.lost_out.max(self.lost_out.unwrap_or_default());
        if self.lost_grant.is_some() {
            era.rewritten = era
                .rewritten
                .saturating_add_unsigned(granted)
                .saturating_sub_unsigned(self.stored.granted);
        }
        era
    }

    /// Returns true if the row is due for renewal and the share is in use.
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
        let key = row::era_key(&self.account);
        txn.check(key.clone(), self.era_row_revision);
        if let Some(era) = &draft.era {
            txn.put(key, era);
        }
        self.in_flight = Some(draft.grant);
        txn
    }

    /// Handles the result of the transaction that the last step returned.
    pub fn handle_commit(&mut self, txn: &Txn, result: &Commit, now: Duration) {
        let Some(written) = self.in_flight.take() else { return };
        self.latency.end_write(now);
        match result {
            Commit::Applied(revision) => {
                self.stored = written;
                self.stored_revision = *revision;
                self.owns_row = true;
                self.unconfirmed = None;
                if written.era == self.era {
                    self.lost_grant = None;
                    self.lost_out = None;
                }
                self.row_written_at = now;
                self.has_conflict = false;
                self.is_active = self.reserved > 0;
                for write in &txn.writes {
                    let Some(value) = &write.value else { continue };
                    let row =
                        Row { key: write.key.clone(), revision: *revision, value: value.clone() };
                    self.record_shared_row(&row);
                }
            }
            Commit::Conflict(rows) => {
                self.has_conflict = true;
                let total_key = row::total_key(&self.account);
                if txn.checks.iter().any(|check| check.key == total_key) {
                    self.total_known_at = now;
                }
                for check in &txn.checks {
                    match rows.iter().find(|row| row.key == check.key) {
                        Some(row) => self.record_row(row),
                        None => self.record_missing_row(&check.key),
                    }
                }
                // The row of another start must be read together with the store's time.
                if self.stored.incarnation != self.incarnation && self.stored.seq > 0 {
                    self.rows_read_at = None;
                }
            }
        }
    }

    /// Returns the latency of recent calls to the store.
    #[must_use]
    pub fn latency(&self) -> &Latency {
        &self.latency
    }

    /// Handles the lack of an answer to the transaction that the last step returned.
    ///
    /// The store may still apply it, until it applies another write of the same row.
    pub fn handle_no_answer(&mut self, now: Duration) {
        self.latency.fail_write(now);
        if let Some(written) = self.in_flight.take() {
            self.unconfirmed =
                Some(self.unconfirmed.map_or(written, |earlier| earlier.intersect(written)));
        }
        self.rows_read_at = None;
    }

    /// Handles all rows of the account, read when the store's clock showed `store_now`.
    pub fn handle_rows(&mut self, rows: &[Row], now: Duration, store_now: Duration) {
        let own = row::holder_key(&self.account, &self.holder);
        let holder_prefix = row::holder_key(&self.account, "");
        self.others.clear();
        self.others_free = 0;
        self.others_lost = 0;
        self.others_tokens_per_second = 0.0;
        for row in rows {
            if row.key == own || self.is_shared_row(&row.key) {
                self.record_row(row);
            } else if let Ok(grant) = serde_json::from_value::<Grant>(row.value.clone()) {
                self.others_free += grant.free();
                self.others_lost += self.possibly_lost(&grant);
                self.others_tokens_per_second += grant.decayed_rate(store_now);
                self.others_mean_bound = self.others_mean_bound.max(to_f64(grant.usual));
                if let Some(holder) = row.key.strip_prefix(&holder_prefix) {
                    self.others.insert(holder.into(), grant);
                }
            }
        }
        if self.stored_revision == 0
            && let Some(started_at) = self.started_at
        {
            self.takes_idle_from = started_at + FIRST_TAKE_DELAY + self.first_take_spread();
        }
        if self.stored_revision > 0 && self.stored.incarnation != self.incarnation {
            if !self.owns_row {
                self.take_over_row(self.predecessor_end(store_now));
            } else if self.is_row_of_earlier_era() {
                self.replace_restored_row();
            }
        }
        self.rows_read_at = Some(now);
        self.total_known_at = now;
    }

    /// Returns a part of [`FIRST_TAKE_SPREAD`] that differs between holders and accounts.
    fn first_take_spread(&self) -> Duration {
        let mut hasher = DefaultHasher::new();
        (&self.account, &self.holder).hash(&mut hasher);
        let fraction = f64::from(u32::try_from(hasher.finish() >> 32).unwrap_or_default());
        FIRST_TAKE_SPREAD.mul_f64(fraction / f64::from(u32::MAX))
    }

    /// Returns the tokens that a holder may have taken in rows that a restore has lost.
    ///
    /// A holder that has not written its row again may be cut off from the store and still spend
    /// them. They are estimated by its free tokens and its rate of spending.
    fn possibly_lost(&self, grant: &Grant) -> Tokens {
        let was_alive = grant.at_ms.saturating_add(millis(MAX_LOST_TIME)) >= self.era_row.start_ms;
        if grant.era.is_none_or(|era| Some(era) >= self.era) || !was_alive {
            return 0;
        }
        grant.free().max(to_tokens(to_f64(grant.rate) * MAX_LOST_TIME.as_secs_f64()))
    }

    fn is_row_of_earlier_era(&self) -> bool {
        self.stored.era.is_some_and(|era| Some(era) < self.era)
    }

    /// Discards the row of the previous start, which a restore has put back.
    ///
    /// All of its tokens stay counted in `Total::out`.
    fn replace_restored_row(&mut self) {
        self.stored =
            Grant { incarnation: self.incarnation, seq: self.stored.seq, ..Grant::default() };
    }

    /// Returns a time of the store's clock by which the previous start had ended.
    ///
    /// The store gave its time after the call had started, so that the time from the start of the
    /// instance to the call cannot be too long.
    fn predecessor_end(&self, store_now: Duration) -> Duration {
        let uptime = self
            .started_at
            .map(|started_at| self.latency.call_started_at().saturating_sub(started_at));
        store_now.saturating_sub(uptime.unwrap_or_default())
    }

    /// Starts the share with the tokens that the previous start cannot have used by its end.
    fn take_over_row(&mut self, predecessor_end: Duration) {
        // The newest row of the previous start may be lost, so the spend limit of this one does
        // not bound its use.
        let limit = if self.is_row_of_earlier_era() {
            self.stored.granted
        } else {
            self.stored.spend_limit_at(millis(predecessor_end))
        };
        let unused = self.stored.granted - limit;
        // The rest of the old grant may have been used and stays counted in `Total::out`.
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
            era: None,
        };
    }

    /// Returns true for the rows that all holders of the account write.
    fn is_shared_row(&self, key: &str) -> bool {
        key == row::total_key(&self.account) || key == row::era_key(&self.account)
    }

    /// Records the total or the era as it is in the store; ignores other rows.
    fn record_shared_row(&mut self, row: &Row) {
        if row.key == row::total_key(&self.account) {
            if let Ok(total) = serde_json::from_value(row.value.clone()) {
                self.total = total;
                self.total_revision = row.revision;
            }
        } else if row.key == row::era_key(&self.account)
            && let Ok(era) = serde_json::from_value(row.value.clone())
        {
            self.era_row = era;
            self.era_row_revision = row.revision;
        }
    }

    /// Records a row that all holders write, or the own row, as it is in the store.
    fn record_row(&mut self, row: &Row) {
        if self.is_shared_row(&row.key) {
            self.record_shared_row(row);
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
        } else if key == row::era_key(&self.account) {
            self.era_row_revision = 0;
        } else {
            self.stored_revision = 0;
        }
    }

    /// Returns true if a later start of this instance has taken over the share.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.owns_row && self.stored.incarnation != self.incarnation
    }

    /// Makes the next steps return all free tokens; no later call reopens the share.
    pub fn close(&mut self) {
        self.status = Status::Closing;
    }

    /// Returns true if the share needs a step although no request waits.
    #[must_use]
    pub fn needs_step(&self, now: Duration) -> bool {
        if self.budget.is_none() || self.is_replaced() {
            return false;
        }
        let is_in_use = self.free() > 0 || self.is_active;
        // A read lets the share change its size.
        let can_resize = self.may_resize(now) || self.is_read_due(now);
        let returns_tokens = self.returns_all(now)
            || (can_resize && self.owns_row && self.target_granted(now) < self.stored.granted);
        let takes_first_tokens = self.stored_revision == 0
            && now >= self.takes_idle_from
            && !self.takes_idle_from.is_zero()
            && self.target_free(now) > 0;
        returns_tokens
            || takes_first_tokens
            || self.lost_grant.is_some()
            || self.is_renewal_due(now)
            || self.rows_read_at.is_none()
            || (is_in_use && self.is_read_due(now))
    }

    /// Returns true if the account's rows are due for another read.
    #[must_use]
    pub fn is_read_due(&self, now: Duration) -> bool {
        let interval = if self.target_free(now) == 0 || self.others_lost > 0 {
            READ_INTERVAL_SCARCE
        } else {
            READ_INTERVAL
        };
        self.rows_read_at.is_none_or(|at| now.saturating_sub(at) >= interval)
    }
}
