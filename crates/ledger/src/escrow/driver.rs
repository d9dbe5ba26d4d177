//! Runs the shares of an instance against the store.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use base::prelude::*;
use rand::seq::SliceRandom;
use slog::{Logger, debug, info, warn};
use store::{Commit, Table, Txn};
use thiserror::Error;
use tokio::sync::{Mutex, Notify, oneshot};
use tokio::time::{sleep, timeout};

use super::backlog::{Backlog, Waiter};
use super::loan::{Lenders, Peers};
use super::row;
use super::share::{Share, Shortage, Step};

/// Interval at which shares are checked for steps that no request triggers.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between two accounts whose rows an unlisted instance reads after its start.
///
/// It has to return what its previous start left unused, and needs no tokens of its own.
const TAKE_OVER_PAUSE: Duration = Duration::from_millis(50);
/// Most steps per run; the next run continues.
///
/// It is reached if other instances keep changing the rows or many waiting requests are rejected.
const MAX_STEPS_PER_RUN: usize = 8;
/// Pause after a conflict while no request waits, in milliseconds.
///
/// A random value of this range is multiplied by the number of conflicts in the run.
const CONFLICT_PAUSE_MS: std::ops::Range<u32> = 10..60;
/// Most rows read for one account; a fleet has fewer instances than this.
const MAX_SCAN_ROWS: usize = 500;
/// Time after a failed call during which requests that need the store do not wait for it.
const FAIL_FAST_TIME: Duration = Duration::from_millis(700);
/// Longest wait of a request until the spend limit covers it while the store does not answer.
///
/// A caller that is refused instead returns after a longer delay, and may be refused again.
const MAX_OUTAGE_WAIT: Duration = Duration::from_millis(1_500);
/// Wait for the answer of the store after which a request tries to borrow tokens.
const LOAN_PATIENCE: Duration = Duration::from_millis(100);
/// Most holders that are asked to lend tokens for one request.
const MAX_LENDERS: usize = 4;
/// Shortest pause between two checks whether the spend limit covers a waiting request.
const MIN_COVERAGE_WAIT: Duration = Duration::from_millis(2);

/// Reason why a reservation was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Fault {
    /// The request exceeds the unused tokens of the whole budget.
    #[error("the budget does not cover the request")]
    Exhausted,
    /// Other instances hold the unused tokens that the request needs.
    #[error("other instances hold what is left of the budget")]
    HeldElsewhere,
    /// The store did not answer and the share does not cover the request.
    ///
    /// Holds the delay after which a retry is covered, `None` if it is unknown or too long.
    #[error("the store cannot be reached and the share of the budget is used up")]
    Unreachable(Option<Duration>),
}

type Reply = Result<Reservation, Fault>;

#[derive(Debug)]
struct Entry {
    account: AccountId,
    share: RefCell<Share>,
    backlog: RefCell<Backlog<oneshot::Sender<Reply>>>,
    lenders: RefCell<Lenders>,
    wake: Notify,
    /// Held while steps run: a share has one call to the store in flight.
    running: Mutex<()>,
}

/// Identity of an instance and the dependencies of its escrow.
#[derive(Clone)]
pub struct Context {
    /// Store that holds the escrow rows.
    pub table: Rc<dyn Table>,
    /// Name of this instance, which is part of the keys of its rows.
    pub holder: InstanceId,
    /// Random number that distinguishes this start of the instance from others.
    pub incarnation: Incarnation,
    /// Clock of this instance, for timeouts and spending rates.
    pub clock: Arc<dyn Clock>,
    /// When this start of the instance began, by [`Self::clock`].
    pub started_at: Duration,
    /// Whether no earlier start of any instance can have left rows in the store.
    pub is_first_start: bool,
    /// Other instances, which may lend tokens; `None` if they cannot be asked.
    pub peers: Option<Rc<dyn Peers>>,
    /// Logger for changes of budgets and shares, and for store outages.
    pub log: Logger,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context").field("holder", &self.holder).finish_non_exhaustive()
    }
}

#[derive(Debug)]
struct Inner {
    context: Context,
    entries: RefCell<HashMap<AccountId, Rc<Entry>>>,
    budgets: RefCell<HashMap<AccountId, Option<Tokens>>>,
    instance_count: Cell<u64>,
    is_listed: Cell<bool>,
    /// Whether [`Escrow::take_over`] has been started.
    has_taken_over: Cell<bool>,
    store_failed_at: Cell<Option<Duration>>,
}

/// Shares of all accounts that one instance holds, owned by one thread.
#[derive(Debug, Clone)]
pub struct Escrow {
    inner: Rc<Inner>,
}

/// Tokens reserved for one request.
///
/// A reservation dropped without [`Self::settle`] counts as used if the request may have run.
#[derive(Debug)]
pub struct Reservation {
    entry: Rc<Entry>,
    bound: Tokens,
    /// How many of the reserved tokens another holder has lent.
    borrowed: Tokens,
    has_started: bool,
    is_settled: bool,
}

impl Reservation {
    /// Returns the reserved tokens, the most that the request can cost.
    #[must_use]
    pub fn bound(&self) -> Tokens {
        self.bound
    }

    /// Records that the request may run from now on.
    pub fn mark_started(&mut self) {
        self.has_started = true;
    }

    /// Ends the reservation and releases all but the used tokens.
    pub fn settle(mut self, used: Tokens) {
        self.is_settled = true;
        self.end(used);
    }

    fn end(&self, used: Tokens) {
        let mut share = self.entry.share.borrow_mut();
        share.settle_with_loans(self.bound, self.borrowed, used);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.is_settled {
            let used = if self.has_started { self.bound } else { 0 };
            self.end(used);
        }
    }
}

impl Escrow {
    /// Starts without shares, and spawns the task that checks them regularly.
    #[must_use]
    pub fn spawn(context: Context) -> Self {
        let inner = Inner {
            context,
            entries: RefCell::default(),
            budgets: RefCell::default(),
            instance_count: Cell::new(0),
            is_listed: Cell::new(true),
            has_taken_over: Cell::new(false),
            store_failed_at: Cell::new(None),
        };
        let escrow = Self { inner: Rc::new(inner) };
        let poller = escrow.clone();
        ntex::rt::spawn(async move { poller.poll_shares().await });
        escrow
    }

    /// Applies the budgets of the newest configuration.
    ///
    /// `None` is an account without a limit; an account that is missing has a budget of 0.
    pub fn configure(&self, budgets: HashMap<AccountId, Option<Tokens>>) {
        self.log_changes(&budgets);
        *self.inner.budgets.borrow_mut() = budgets;
        self.configure_shares();
        self.open_shares();
        for entry in self.inner.entries.borrow().values() {
            entry.wake.notify_one();
        }
    }

    /// Opens shares before requests need them.
    ///
    /// A listed instance takes tokens of all accounts. Another one only takes over what its previous
    /// start has left, without haste.
    fn open_shares(&self) {
        let accounts: Vec<AccountId> = self.inner.budgets.borrow().keys().map(Arc::clone).collect();
        if self.inner.instance_count.get() == 0 || accounts.is_empty() {
            return;
        }
        if self.inner.is_listed.get() {
            for account in accounts {
                if !self.inner.entries.borrow().contains_key(&account) {
                    self.entry(&account).wake.notify_one();
                }
            }
        } else if !self.inner.context.is_first_start && !self.inner.has_taken_over.replace(true) {
            let escrow = self.clone();
            ntex::rt::spawn(async move { escrow.take_over(accounts).await });
        }
    }

    /// Reads the rows of these accounts one after another, in random order.
    async fn take_over(&self, mut accounts: Vec<AccountId>) {
        accounts.shuffle(&mut rand::rng());
        for account in accounts {
            if !self.inner.entries.borrow().contains_key(&account) {
                self.entry(&account).wake.notify_one();
                sleep(TAKE_OVER_PAUSE).await;
            }
        }
    }

    fn log_changes(&self, budgets: &HashMap<AccountId, Option<Tokens>>) {
        let known = self.inner.budgets.borrow();
        for (account, budget) in budgets {
            let before = known.get(account);
            if before != Some(budget) {
                info!(self.inner.context.log, "budget changed"; "account" => %account,
                    "tokens" => budget, "before" => before.copied().flatten());
            }
        }
    }

    /// Sets how many instances' addresses callers get, and whether this one's is included.
    pub fn set_instances(&self, instance_count: u64, is_listed: bool) {
        self.inner.instance_count.set(instance_count);
        self.inner.is_listed.set(is_listed);
        self.configure_shares();
        self.open_shares();
    }

    fn configure_shares(&self) {
        for (account, entry) in self.inner.entries.borrow().iter() {
            self.configure_share(account, &mut entry.share.borrow_mut());
        }
    }

    fn configure_share(&self, account: &AccountId, share: &mut Share) {
        let budget = self.inner.budgets.borrow().get(account).copied().unwrap_or(Some(0));
        share.configure(budget, self.inner.instance_count.get(), self.inner.is_listed.get());
    }

    /// Reserves the upper bound of a request's cost, waiting up to `max_wait` for the store.
    ///
    /// `rank` is the urgency of the request; 0 is the most urgent. While the store does not answer,
    /// the request waits for its turn if the spend limit covers it soon.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the share does not cover the request within that time.
    pub async fn reserve(
        &self,
        account: &AccountId,
        bound: Tokens,
        rank: u8,
        max_wait: Duration,
    ) -> Result<Reservation, Fault> {
        let entry = self.entry(account);
        let now = self.inner.context.clock.now();
        let failed_at = self.inner.store_failed_at.get();
        let is_down = failed_at.is_some_and(|at| now.saturating_sub(at) < FAIL_FAST_TIME);
        let must_queue = is_down && entry.backlog.borrow_mut().precedes(rank, is_waiting);
        if !must_queue && let Some(reserved) = self.try_reserve(&entry, bound) {
            return Ok(reserved);
        }
        let (reply, mut result) = oneshot::channel();
        let expires_at = now + MAX_OUTAGE_WAIT;
        let ticket = entry.backlog.borrow_mut().push(Waiter { bound, rank, expires_at, reply });
        if !is_down {
            entry.wake.notify_one();
            let patience = max_wait.min(LOAN_PATIENCE);
            if let Ok(result) = timeout(patience, &mut result).await {
                return self.retry_with_loan(&entry, bound, result.ok()).await;
            }
            self.borrow(&entry, bound).await;
            self.admit_waiters(&entry);
            if let Ok(result) = timeout(max_wait.saturating_sub(patience), &mut result).await {
                return self.retry_with_loan(&entry, bound, result.ok()).await;
            }
            if entry.share.borrow().latency().is_stalled(self.inner.context.clock.now()) {
                // The next requests do not wait for the store as long.
                self.note_outage(&store::Error::Unreachable(
                    "no answer while requests wait".into(),
                ));
            }
        }
        self.borrow(&entry, bound).await;
        self.await_coverage(&entry, ticket, bound, result).await
    }

    /// Borrows tokens for a request that the store's rows do not let this instance cover.
    ///
    /// `reply` is that of the run which dealt with the request, `None` if there is none.
    async fn retry_with_loan(
        &self,
        entry: &Rc<Entry>,
        bound: Tokens,
        reply: Option<Reply>,
    ) -> Reply {
        let fault = match reply {
            Some(Err(fault)) if fault != Fault::Exhausted => fault,
            Some(reply) => return reply,
            None => self.unreachable_fault(entry, bound),
        };
        self.borrow(entry, bound).await;
        self.try_reserve(entry, bound).ok_or(fault)
    }

    /// Borrows what the share lacks for a request of this bound, as far as other holders lend it.
    async fn borrow(&self, entry: &Rc<Entry>, bound: Tokens) {
        let Context { clock, table, peers: Some(peers), log, .. } = &self.inner.context else {
            return;
        };
        let mut asked: Vec<InstanceId> = Vec::new();
        while asked.len() < MAX_LENDERS {
            let missing = entry.share.borrow().missing(bound, table.now());
            if missing == 0 {
                return;
            }
            let may_ask = |holder: &InstanceId| !asked.contains(holder) && peers.is_alive(holder);
            let (now, store_now) = (clock.now(), table.now());
            let lender = entry.lenders.borrow().next(may_ask, &peers.listed(), now, store_now);
            let Some(lender) = lender else { return };
            let lent = peers.borrow(&lender, &entry.account, missing).await;
            let lent = lent.map(|tokens| tokens.min(missing));
            entry.lenders.borrow_mut().record(&lender, missing, lent, clock.now());
            entry.share.borrow_mut().receive_loan(lent.unwrap_or_default());
            info!(log, "tokens borrowed"; "account" => %entry.account, "lender" => %lender,
                "missing" => missing, "lent" => lent);
            asked.push(lender);
        }
    }

    /// Lends tokens of an account to another instance, and returns how many.
    ///
    /// They count as used here. Nothing is lent while own requests wait for tokens.
    #[must_use]
    pub fn lend(&self, account: &AccountId, borrower: &InstanceId, requested: Tokens) -> Tokens {
        let Some(entry) = self.inner.entries.borrow().get(account).map(Rc::clone) else {
            return 0;
        };
        if entry.backlog.borrow_mut().has_waiters(is_waiting) {
            return 0;
        }
        let mut share = entry.share.borrow_mut();
        let lent = share.lend(requested, self.inner.context.table.now());
        info!(self.inner.context.log, "tokens lent"; "account" => %account,
            "borrower" => %borrower, "requested" => requested, "lent" => lent, "free" => share.free());
        lent
    }

    /// Waits until the growing spend limit covers a request and those ahead of it.
    async fn await_coverage(
        &self,
        entry: &Rc<Entry>,
        ticket: u64,
        bound: Tokens,
        mut result: oneshot::Receiver<Reply>,
    ) -> Reply {
        loop {
            self.admit_waiters(entry);
            if let Ok(result) = result.try_recv() {
                return result;
            }
            let Context { clock, table, .. } = &self.inner.context;
            let (now, store_now) = (clock.now(), table.now());
            let wait = {
                let (backlog, share) = (entry.backlog.borrow(), entry.share.borrow());
                backlog.wait_of(ticket, now, |tokens| share.covered_in(tokens, store_now))
            };
            let Some(wait) = wait else {
                result.close();
                self.admit_waiters(entry);
                return Err(self.unreachable_fault(entry, bound));
            };
            match timeout(wait.max(MIN_COVERAGE_WAIT), &mut result).await {
                Ok(Ok(result)) => return result,
                Ok(Err(_)) => return Err(self.unreachable_fault(entry, bound)),
                Err(_elapsed) => {}
            }
        }
    }

    fn unreachable_fault(&self, entry: &Entry, bound: Tokens) -> Fault {
        let Context { clock, table, .. } = &self.inner.context;
        let wait = entry.share.borrow_mut().schedule_retry(bound, clock.now(), table.now());
        Fault::Unreachable(wait)
    }

    /// Wakes all shares to renew their rows after an outage of the store.
    ///
    /// The spend limits have grown meanwhile, and all that they allow counts as used if this
    /// instance crashes.
    pub fn renew(&self) {
        self.inner.store_failed_at.set(None);
        for entry in self.inner.entries.borrow().values() {
            entry.wake.notify_one();
        }
    }

    /// Releases all free tokens to their budgets, waiting up to `max_wait` for the store.
    pub async fn close(&self, max_wait: Duration) {
        let entries: Vec<Rc<Entry>> = self.inner.entries.borrow().values().map(Rc::clone).collect();
        for entry in &entries {
            entry.share.borrow_mut().close();
            // Ends a pause after a conflict.
            entry.wake.notify_one();
        }
        let runs = entries.iter().map(|entry| self.run_steps(entry));
        if timeout(max_wait, futures::future::join_all(runs)).await.is_err() {
            warn!(self.inner.context.log, "not all free tokens were returned in time");
        }
    }

    /// Returns the free tokens of an account's share, and those usable now.
    #[must_use]
    pub fn balance(&self, account: &AccountId) -> (Tokens, Tokens) {
        let entry = self.entry(account);
        let share = entry.share.borrow();
        (share.free(), share.usable(self.inner.context.table.now()))
    }

    fn try_reserve(&self, entry: &Rc<Entry>, bound: Tokens) -> Option<Reservation> {
        let Context { clock, table, .. } = &self.inner.context;
        let borrowed =
            entry.share.borrow_mut().reserve_with_loans(bound, clock.now(), table.now())?;
        let entry = Rc::clone(entry);
        Some(Reservation { entry, bound, borrowed, has_started: false, is_settled: false })
    }

    fn entry(&self, account: &AccountId) -> Rc<Entry> {
        if let Some(entry) = self.inner.entries.borrow().get(account) {
            return Rc::clone(entry);
        }
        let context = &self.inner.context;
        let mut share = Share::open(account, &context.holder, context.incarnation)
            .started_at(context.started_at);
        self.configure_share(account, &mut share);
        let entry = Rc::new(Entry {
            account: Arc::clone(account),
            share: RefCell::new(share),
            backlog: RefCell::default(),
            lenders: RefCell::default(),
            wake: Notify::new(),
            running: Mutex::new(()),
        });
        self.inner.entries.borrow_mut().insert(Arc::clone(account), Rc::clone(&entry));
        let (escrow, own) = (self.clone(), Rc::clone(&entry));
        ntex::rt::spawn(async move {
            loop {
                own.wake.notified().await;
                escrow.run_steps(&own).await;
            }
        });
        entry
    }

    async fn poll_shares(&self) {
        // Instances that start together check their shares at different times.
        sleep(POLL_INTERVAL.mul_f64(rand::random())).await;
        loop {
            sleep(POLL_INTERVAL).await;
            let now = self.inner.context.clock.now();
            for entry in self.inner.entries.borrow().values() {
                let mut share = entry.share.borrow_mut();
                let era = self.inner.context.table.era();
                let is_restored = share.era().is_some() && share.era() < era;
                if is_restored || share.needs_step(now) {
                    if share.is_read_due(now) {
                        share.invalidate_rows();
                    }
                    entry.wake.notify_one();
                }
            }
        }
    }

    /// Runs the steps of one share and answers the requests that wait for it.
    async fn run_steps(&self, entry: &Rc<Entry>) {
        let _running = entry.running.lock().await;
        let mut conflicts = 1;
        for _ in 0..MAX_STEPS_PER_RUN {
            self.admit_waiters(entry);
            let Context { clock, table, .. } = &self.inner.context;
            let (now, store_now) = (clock.now(), table.now());
            self.enter_era(entry);
            let step = entry.share.borrow_mut().step(now, store_now);
            let result = match step {
                Step::Read => self.read_rows(entry).await,
                Step::Write(txn) => {
                    let is_applied = self.write_row(entry, txn).await;
                    if matches!(is_applied, Ok(false)) {
                        self.pause_after_conflict(entry, conflicts).await;
                        conflicts += 1;
                    }
                    is_applied.map(drop)
                }
                Step::Idle if self.reject_first_waiter(entry) => Ok(()),
                Step::Idle => return,
            };
            if matches!(result, Err(store::Error::Restored)) {
                continue;
            }
            if let Err(error) = result {
                self.note_outage(&error);
                self.reject_waiters(entry);
                return;
            }
            self.note_recovery();
        }
        entry.wake.notify_one();
    }

    /// Pauses after a write that lost against one of another instance.
    async fn pause_after_conflict(&self, entry: &Entry, conflicts: u32) {
        if entry.backlog.borrow().is_empty() {
            // A request that arrives ends the pause.
            let pause = rand::random_range(CONFLICT_PAUSE_MS) * conflicts;
            let pause = Duration::from_millis(u64::from(pause));
            drop(timeout(pause, entry.wake.notified()).await);
        } else {
            let longest = entry.share.borrow().latency().max_conflict_pause(conflicts);
            sleep(longest.mul_f64(rand::random())).await;
        }
    }

    /// Passes the era of the store to a share, which is written again if the era has changed.
    fn enter_era(&self, entry: &Entry) {
        let Context { table, log, .. } = &self.inner.context;
        let mut share = entry.share.borrow_mut();
        let era = table.era();
        if share.era().is_some() && share.era() < era {
            warn!(log, "share written again after a restore of the store";
                "account" => %entry.account, "era" => era, "free" => share.free(),
                "committed" => share.committed(), "out" => share.handed_out());
        }
        share.enter_era(era);
    }

    fn note_outage(&self, error: &store::Error) {
        let Context { clock, log, .. } = &self.inner.context;
        if self.inner.store_failed_at.replace(Some(clock.now())).is_none() {
            warn!(log, "store lost"; "dependency" => "budgets", "error" => %error);
        }
    }

    fn note_recovery(&self) {
        if self.inner.store_failed_at.take().is_some() {
            info!(self.inner.context.log, "store regained"; "dependency" => "budgets");
        }
    }

    async fn read_rows(&self, entry: &Entry) -> Result<(), store::Error> {
        let Context { clock, table, log, .. } = &self.inner.context;
        let rows =
            table.scan(row::key_prefix(&entry.account), String::new(), MAX_SCAN_ROWS).await?;
        let now = clock.now();
        let store_now =
            table.now().ok_or_else(|| store::Error::Malformed("no store time".into()))?;
        self.enter_era(entry);
        let mut share = entry.share.borrow_mut();
        share.handle_rows(&rows, now, store_now);
        entry.lenders.borrow_mut().set_rows(share.others().clone());
        debug!(log, "share read"; "account" => %entry.account, "free" => share.free());
        Ok(())
    }

    /// Writes the share's row; returns false if it conflicts with another write.
    async fn write_row(&self, entry: &Entry, txn: Txn) -> Result<bool, store::Error> {
        let Context { clock, table, log, .. } = &self.inner.context;
        let write_timeout = entry.share.borrow().latency().write_timeout();
        let result = timeout(write_timeout, table.commit(txn.clone()))
            .await
            .unwrap_or_else(|_elapsed| Err(store::Error::Unreachable("write timed out".into())));
        let mut share = entry.share.borrow_mut();
        match result {
            Ok(result) => {
                share.handle_commit(&txn, &result, clock.now());
                let applied = matches!(result, Commit::Applied(_));
                info!(log, "share written"; "account" => %entry.account, "applied" => applied,
                    "free" => share.free(), "committed" => share.committed(),
                    "out" => share.handed_out());
                Ok(applied)
            }
            Err(error) => {
                share.handle_no_answer(clock.now());
                Err(error)
            }
        }
    }

    /// Reserves tokens for waiting requests, the most urgent first.
    fn admit_waiters(&self, entry: &Rc<Entry>) {
        let mut backlog = entry.backlog.borrow_mut();
        backlog.retain(is_waiting);
        while let Some(first) = backlog.first() {
            let Some(reserved) = self.try_reserve(entry, first.bound) else { break };
            let Some(waiter) = backlog.pop() else { break };
            // If the request no longer waits, the drop releases its tokens.
            drop(waiter.reply.send(Ok(reserved)));
        }
        let demand = backlog.first().map_or(0, |waiter| waiter.bound);
        entry.share.borrow_mut().set_demand(demand);
    }

    /// Rejects the first waiting request; returns false if none waits.
    ///
    /// If the rows are too old for that, the next step reads them first.
    fn reject_first_waiter(&self, entry: &Entry) -> bool {
        let mut backlog = entry.backlog.borrow_mut();
        let Some(first) = backlog.first() else { return false };
        let now = self.inner.context.clock.now();
        let mut share = entry.share.borrow_mut();
        let Some(shortage) = share.shortage(first.bound, now) else {
            share.invalidate_rows();
            return true;
        };
        let fault = match shortage {
            Shortage::Exhausted => Fault::Exhausted,
            Shortage::HeldElsewhere => Fault::HeldElsewhere,
        };
        if let Some(waiter) = backlog.pop() {
            // The receiver is gone if the request no longer waits.
            drop(waiter.reply.send(Err(fault)));
        }
        true
    }

    /// Rejects the waiting requests that the spend limit does not cover in time.
    fn reject_waiters(&self, entry: &Rc<Entry>) {
        self.admit_waiters(entry);
        let Context { clock, table, .. } = &self.inner.context;
        let (now, store_now) = (clock.now(), table.now());
        let rejected = {
            let share = entry.share.borrow();
            let mut backlog = entry.backlog.borrow_mut();
            backlog.remove_uncovered(now, |tokens| share.covered_in(tokens, store_now))
        };
        for waiter in rejected {
            let fault = self.unreachable_fault(entry, waiter.bound);
            // The receiver is gone if the request no longer waits.
            drop(waiter.reply.send(Err(fault)));
        }
        let demand = entry.backlog.borrow().first().map_or(0, |waiter| waiter.bound);
        entry.share.borrow_mut().set_demand(demand);
    }
}

/// Returns true if the request of a reply still waits for it.
fn is_waiting(reply: &oneshot::Sender<Reply>) -> bool {
    !reply.is_closed()
}
