//! Runs the shares of an instance against the store.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use base::prelude::*;
use slog::{Logger, debug, info, warn};
use store::{Commit, Table, Txn};
use thiserror::Error;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use super::row;
use super::share::{Share, Shortage, Step};

/// Interval at which shares are looked at without a request.
const TICK: Duration = Duration::from_millis(500);
/// Steps in a row after which a share pauses; more means that others change the rows as fast.
const STEPS_MAX: usize = 8;
/// Pause after a conflict that no request waits for, in milliseconds and times the conflicts.
const PAUSE: std::ops::Range<u32> = 10..60;
/// Rows that are read of one account, more than there are instances.
const ROWS_MAX: usize = 500;
/// Time after a failed call for which requests without tokens are refused at once.
const OUTAGE: Duration = Duration::from_millis(700);

/// Why nothing was reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Fault {
    /// The request does not fit into what is left of the budget.
    #[error("the budget does not cover the request")]
    Exhausted,
    /// Other instances hold what is left.
    #[error("other instances hold what is left of the budget")]
    Elsewhere,
    /// The store did not answer, and the share is used up for the time given, if it is known.
    #[error("the store cannot be reached and the share of the budget is used up")]
    Unreachable(Option<Duration>),
}

#[derive(Debug)]
struct Waiter {
    bound: Tokens,
    reply: oneshot::Sender<Result<Reserved, Fault>>,
}

#[derive(Debug)]
struct Slot {
    account: AccountId,
    share: RefCell<Share>,
    waiters: RefCell<VecDeque<Waiter>>,
    wake: Notify,
}

/// What a keeper needs.
#[derive(Clone)]
pub struct Context {
    /// Store with the rows.
    pub table: Rc<dyn Table>,
    /// Name of this instance.
    pub holder: InstanceId,
    /// Random number of this start.
    pub incarnation: Incarnation,
    /// Clock of this instance.
    pub clock: Arc<dyn Clock>,
    /// Log.
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
    slots: RefCell<HashMap<AccountId, Rc<Slot>>>,
    budgets: RefCell<HashMap<AccountId, Option<Tokens>>>,
    instances: Cell<u64>,
    is_listed: Cell<bool>,
    failed_at: Cell<Option<Duration>>,
}

/// The shares of one instance, owned by one thread.
#[derive(Debug, Clone)]
pub struct Keeper {
    inner: Rc<Inner>,
}

/// Tokens reserved for one request.
///
/// A reservation that is dropped counts as spent if the request may have run.
#[derive(Debug)]
pub struct Reserved {
    slot: Rc<Slot>,
    bound: Tokens,
    has_begun: bool,
    is_settled: bool,
}

impl Reserved {
    /// Returns the reserved tokens.
    #[must_use]
    pub fn bound(&self) -> Tokens {
        self.bound
    }

    /// Notes that the request may run from now on.
    pub fn begin(&mut self) {
        self.has_begun = true;
    }

    /// Ends the reservation; all but the used tokens are free again.
    pub fn settle(mut self, used: Tokens) {
        self.is_settled = true;
        self.slot.share.borrow_mut().settle(self.bound, used);
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        if !self.is_settled {
            let used = if self.has_begun { self.bound } else { 0 };
            self.slot.share.borrow_mut().settle(self.bound, used);
        }
    }
}

impl Keeper {
    /// Opens the shares and starts to look at them regularly.
    #[must_use]
    pub fn spawn(context: Context) -> Self {
        let inner = Inner {
            context,
            slots: RefCell::default(),
            budgets: RefCell::default(),
            instances: Cell::new(0),
            is_listed: Cell::new(true),
            failed_at: Cell::new(None),
        };
        let keeper = Self { inner: Rc::new(inner) };
        let ticker = keeper.clone();
        ntex::rt::spawn(async move { ticker.tick().await });
        keeper
    }

    /// Takes in the budgets of the newest configuration; `None` is an account without a limit.
    pub fn configure(&self, budgets: HashMap<AccountId, Option<Tokens>>) {
        self.log_changes(&budgets);
        *self.inner.budgets.borrow_mut() = budgets;
        let accounts: Vec<AccountId> = self.inner.budgets.borrow().keys().map(Arc::clone).collect();
        for account in accounts {
            self.slot(&account).wake.notify_one();
        }
        self.refresh();
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

    /// Takes in how many instances callers are given, and whether this is one of them.
    pub fn set_instances(&self, instances: u64, is_listed: bool) {
        self.inner.instances.set(instances);
        self.inner.is_listed.set(is_listed);
        self.refresh();
    }

    fn refresh(&self) {
        for (account, slot) in self.inner.slots.borrow().iter() {
            self.configure_share(account, &mut slot.share.borrow_mut());
        }
    }

    fn configure_share(&self, account: &AccountId, share: &mut Share) {
        let prepaid = self.inner.budgets.borrow().get(account).copied().unwrap_or(Some(0));
        share.configure(prepaid, self.inner.instances.get(), self.inner.is_listed.get());
    }

    /// Reserves the upper bound of a request's cost, waiting up to `patience` for the store.
    ///
    /// # Errors
    ///
    /// Returns why nothing was reserved.
    pub async fn reserve(
        &self,
        account: &AccountId,
        bound: Tokens,
        patience: Duration,
    ) -> Result<Reserved, Fault> {
        let slot = self.slot(account);
        if let Some(reserved) = self.try_reserve(&slot, bound) {
            return Ok(reserved);
        }
        let now = self.inner.context.clock.now();
        let failed_at = self.inner.failed_at.get();
        if failed_at.is_some_and(|at| now.saturating_sub(at) < OUTAGE) {
            return Err(self.unreachable(&slot, bound));
        }
        let (reply, answer) = oneshot::channel();
        slot.waiters.borrow_mut().push_back(Waiter { bound, reply });
        slot.wake.notify_one();
        match timeout(patience, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(self.unreachable(&slot, bound)),
            Err(_elapsed) => {
                if slot.share.borrow().latency().is_stalled(self.inner.context.clock.now()) {
                    // Those that come next need not wait as long to learn the same.
                    self.lose(&store::Error::Unreachable("no answer while requests wait".into()));
                }
                Err(self.unreachable(&slot, bound))
            }
        }
    }

    fn unreachable(&self, slot: &Slot, bound: Tokens) -> Fault {
        let Context { clock, table, .. } = &self.inner.context;
        let wait = slot.share.borrow_mut().promise(bound, clock.now(), table.now());
        Fault::Unreachable(wait)
    }

    /// Brings the rows of all shares up to date, because the store is back.
    ///
    /// The rows vouch for much after an outage, which would be lost with this instance.
    pub fn renew(&self) {
        self.inner.failed_at.set(None);
        for slot in self.inner.slots.borrow().values() {
            slot.wake.notify_one();
        }
    }

    /// Gives all free tokens back, waiting up to `patience` for the store.
    pub async fn close(&self, patience: Duration) {
        let slots: Vec<Rc<Slot>> = self.inner.slots.borrow().values().map(Rc::clone).collect();
        for slot in &slots {
            slot.share.borrow_mut().close();
        }
        let turns = slots.iter().map(|slot| self.turn(slot));
        if timeout(patience, futures::future::join_all(turns)).await.is_err() {
            warn!(self.inner.context.log, "not all tokens could be given back");
        }
    }

    /// Returns the free and the presently usable tokens of an account's share.
    #[must_use]
    pub fn free(&self, account: &AccountId) -> (Tokens, Tokens) {
        let slot = self.slot(account);
        let share = slot.share.borrow();
        (share.free(), share.usable(self.inner.context.table.now()))
    }

    fn try_reserve(&self, slot: &Rc<Slot>, bound: Tokens) -> Option<Reserved> {
        let Context { clock, table, .. } = &self.inner.context;
        let is_reserved = slot.share.borrow_mut().reserve(bound, clock.now(), table.now());
        let slot = Rc::clone(slot);
        // Only a reservation that was made may be dropped, as that gives its tokens back.
        is_reserved.then(|| Reserved { slot, bound, has_begun: false, is_settled: false })
    }

    fn slot(&self, account: &AccountId) -> Rc<Slot> {
        if let Some(slot) = self.inner.slots.borrow().get(account) {
            return Rc::clone(slot);
        }
        let context = &self.inner.context;
        let mut share = Share::open(account, &context.holder, context.incarnation);
        self.configure_share(account, &mut share);
        let slot = Rc::new(Slot {
            account: Arc::clone(account),
            share: RefCell::new(share),
            waiters: RefCell::default(),
            wake: Notify::new(),
        });
        self.inner.slots.borrow_mut().insert(Arc::clone(account), Rc::clone(&slot));
        let (keeper, own) = (self.clone(), Rc::clone(&slot));
        ntex::rt::spawn(async move {
            loop {
                own.wake.notified().await;
                keeper.turn(&own).await;
            }
        });
        slot
    }

    async fn tick(&self) {
        loop {
            sleep(TICK).await;
            let now = self.inner.context.clock.now();
            for slot in self.inner.slots.borrow().values() {
                let mut share = slot.share.borrow_mut();
                if share.is_due(now) {
                    if share.is_unread(now) {
                        share.look_again();
                    }
                    slot.wake.notify_one();
                }
            }
        }
    }

    /// Brings one share up to date and answers the requests that wait for it.
    async fn turn(&self, slot: &Rc<Slot>) {
        let mut conflicts = 1;
        for _ in 0..STEPS_MAX {
            self.serve(slot);
            let Context { clock, table, .. } = &self.inner.context;
            let (now, store_now) = (clock.now(), table.now());
            let step = slot.share.borrow_mut().step(now, store_now);
            let result = match step {
                Step::Read => self.read(slot).await,
                Step::Write(txn) => {
                    let is_applied = self.write(slot, txn).await;
                    if matches!(is_applied, Ok(false)) && slot.waiters.borrow().is_empty() {
                        // Others change the rows at this moment, and nobody waits here.
                        let pause = rand::random_range(PAUSE) * conflicts;
                        sleep(Duration::from_millis(u64::from(pause))).await;
                        conflicts += 1;
                    }
                    is_applied.map(drop)
                }
                Step::Idle if self.refuse(slot) => Ok(()),
                Step::Idle => return,
            };
            if let Err(error) = result {
                self.lose(&error);
                self.fail(slot);
                return;
            }
            self.regain();
        }
        slot.wake.notify_one();
    }

    fn lose(&self, error: &store::Error) {
        let Context { clock, log, .. } = &self.inner.context;
        if self.inner.failed_at.replace(Some(clock.now())).is_none() {
            warn!(log, "store lost"; "dependency" => "budgets", "error" => %error);
        }
    }

    fn regain(&self) {
        if self.inner.failed_at.take().is_some() {
            info!(self.inner.context.log, "store regained"; "dependency" => "budgets");
        }
    }

    async fn read(&self, slot: &Slot) -> Result<(), store::Error> {
        let Context { clock, table, log, .. } = &self.inner.context;
        let rows = table.scan(row::prefix(&slot.account), String::new(), ROWS_MAX).await?;
        let now = clock.now();
        let store_now = table.now().ok_or_else(|| store::Error::Malformed("no time".into()))?;
        let mut share = slot.share.borrow_mut();
        share.loaded(&rows, now, store_now);
        debug!(log, "share read"; "account" => %slot.account, "free" => share.free());
        Ok(())
    }

    /// Writes the share's row; returns false if other writes came before.
    async fn write(&self, slot: &Slot, txn: Txn) -> Result<bool, store::Error> {
        let Context { clock, table, log, .. } = &self.inner.context;
        let patience = slot.share.borrow().latency().patience();
        let result = timeout(patience, table.commit(txn.clone()))
            .await
            .unwrap_or_else(|_elapsed| Err(store::Error::Unreachable("no answer in time".into())));
        let mut share = slot.share.borrow_mut();
        match result {
            Ok(result) => {
                share.written(&txn, &result, clock.now());
                let applied = matches!(result, Commit::Applied(_));
                info!(log, "share written"; "account" => %slot.account, "applied" => applied,
                    "free" => share.free(), "committed" => share.committed(),
                    "out" => share.out());
                Ok(applied)
            }
            Err(error) => {
                share.unanswered(clock.now());
                Err(error)
            }
        }
    }

    /// Hands the share to waiting requests in the order in which they came.
    fn serve(&self, slot: &Rc<Slot>) {
        let mut waiters = slot.waiters.borrow_mut();
        waiters.retain(|waiter| !waiter.reply.is_closed());
        while let Some(first) = waiters.front() {
            let Some(reserved) = self.try_reserve(slot, first.bound) else { break };
            let Some(waiter) = waiters.pop_front() else { break };
            // What a request no longer waits for is released by the drop.
            drop(waiter.reply.send(Ok(reserved)));
        }
        let wanted = waiters.front().map_or(0, |waiter| waiter.bound);
        slot.share.borrow_mut().want(wanted);
    }

    /// Refuses the first waiting request; returns true if more is to be done for the others.
    fn refuse(&self, slot: &Slot) -> bool {
        let mut waiters = slot.waiters.borrow_mut();
        let Some(first) = waiters.front() else { return false };
        let now = self.inner.context.clock.now();
        let mut share = slot.share.borrow_mut();
        let Some(shortage) = share.shortage(first.bound, now) else {
            share.look_again();
            return true;
        };
        let fault = match shortage {
            Shortage::Exhausted => Fault::Exhausted,
            Shortage::Elsewhere => Fault::Elsewhere,
        };
        if let Some(waiter) = waiters.pop_front() {
            // A request that no longer waits has its answer.
            drop(waiter.reply.send(Err(fault)));
        }
        true
    }

    fn fail(&self, slot: &Rc<Slot>) {
        self.serve(slot);
        for waiter in slot.waiters.borrow_mut().drain(..) {
            let fault = self.unreachable(slot, waiter.bound);
            // A request that no longer waits has its answer.
            drop(waiter.reply.send(Err(fault)));
        }
        slot.share.borrow_mut().want(0);
    }
}
