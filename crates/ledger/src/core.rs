//! State machine that composes the transactions of an instance.
//!
//! The machine has no I/O and no clock of its own. The [`event`](crate::event) loop passes it
//! messages and replies of the table; property tests pass it generated histories.

mod compose;
mod reply;

use std::collections::BTreeMap;

use base::prelude::*;
use futures::channel::oneshot;
use store::{Commit, Row, Txn};

use crate::Error;
use crate::allocation::{Allocation, Delta, Reply, Waiter};
use crate::book::Pieces;
use crate::peer::Recall;
use crate::row::{self, Entry};
use crate::schedule::Schedule;
use crate::size::Policy;

/// Piece sizes, lease and delays of the state machine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Rule that sets the target size of a piece.
    pub policy: Policy,
    /// Most tokens of a piece that requests without a durable record may use.
    pub max_exposure: Tokens,
    /// Length of the lease, which is renewed after a third of it.
    pub lease: Duration,
    /// Time without reservations after which a piece is returned.
    pub idle_timeout: Duration,
    /// Longest time before bills are folded into the budget row.
    pub fold_delay: Duration,
    /// Longest time for which a request waits for tokens that other holders return.
    pub recall_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            max_exposure: 20_000,
            lease: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(5),
            fold_delay: Duration::from_secs(1),
            recall_timeout: Duration::from_millis(300),
        }
    }
}

/// Next action that the machine needs from its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read the rows with these keys and call [`Core::handle_rows`].
    Read(Vec<String>),
    /// Repeat this transaction until the table replies, then call [`Core::handle_commit`].
    Commit(Txn),
    /// Nothing needs the table now.
    Idle,
}

/// Age up to which a cached budget row may justify a refusal.
const MAX_ROW_AGE: Duration = Duration::from_millis(20);
/// Interval at which a budget is handled again while a recall is pending.
const RECALL_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Urgency of a record, and whom to notify once it is durable.
#[derive(Debug)]
pub enum Ack {
    /// Nobody waits for the record.
    None,
    /// The receiver accepts the delay of a batch.
    Batched(oneshot::Sender<()>),
    /// The receiver needs the record in the next possible transaction.
    Immediate(oneshot::Sender<()>),
}

/// Budget row as last read or written.
#[derive(Debug, Clone)]
struct Cached {
    /// Revision of the row, 0 if the budget does not exist.
    revision: u64,
    budget: row::Budget,
    read_at: Duration,
}

/// Content of the transaction in flight.
#[derive(Debug, Default)]
struct Batch {
    deltas: BTreeMap<BudgetId, Delta>,
    acks: Vec<oneshot::Sender<()>>,
    /// Budget rows after the transaction.
    rows: BTreeMap<BudgetId, row::Budget>,
    entries: Vec<Entry>,
    closes_holder: bool,
}

/// State machine that owns a holder's row, pieces and journal.
#[derive(Debug)]
pub struct Core {
    holder: HolderId,
    settings: Settings,
    pieces: Arc<Pieces>,
    allocations: BTreeMap<BudgetId, Allocation>,
    rows: BTreeMap<BudgetId, Cached>,
    schedule: Schedule,
    recalls: Vec<Recall>,
    entries: Vec<Entry>,
    acks: Vec<oneshot::Sender<()>>,
    urgent: bool,
    expedited: bool,
    /// Whether, after a conflict, the next transaction leaves out budget rows.
    journal_first: bool,
    in_flight: Option<Batch>,
    seq: u64,
    holder_revision: u64,
    /// When the newest renewal of the lease was composed; `None` requests another.
    renewed_at: Option<Duration>,
    /// When the newest transaction was composed; its lease counts from then.
    composed_at: Option<Duration>,
    phase: Phase,
}

/// Lifecycle of the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The holder takes pieces and spends them.
    Open,
    /// The holder returns all pieces.
    Closing,
    /// The holder has closed itself.
    Closed,
    /// Another instance fenced the holder, or a budget row broke its invariant.
    Fenced,
}

impl Core {
    /// Opens the machine for a holder that has no row in the table yet.
    #[must_use]
    pub fn open(holder: HolderId, settings: Settings, pieces: Arc<Pieces>) -> Self {
        Self {
            holder,
            settings,
            pieces,
            allocations: BTreeMap::new(),
            rows: BTreeMap::new(),
            schedule: Schedule::default(),
            recalls: Vec::new(),
            entries: Vec::new(),
            acks: Vec::new(),
            urgent: false,
            expedited: false,
            journal_first: false,
            in_flight: None,
            seq: 0,
            holder_revision: 0,
            renewed_at: None,
            composed_at: None,
            phase: Phase::Open,
        }
    }

    /// Requests a piece from which a request can reserve `tokens`.
    pub fn request_refill(
        &mut self,
        budget: &BudgetId,
        tokens: Tokens,
        reply: Reply,
        now: Duration,
    ) {
        if self.is_finished() {
            // The receiver is gone if the request was cancelled.
            reply.send(Err(Error::Fenced)).unwrap_or_default();
            return;
        }
        self.allocation(budget).waiters.push(Waiter { tokens, waiting_since: now, reply });
        self.schedule.mark_waiting(budget);
        self.urgent = true;
    }

    /// Queues an entry for the journal.
    pub fn record(&mut self, entry: Entry, ack: Ack, now: Duration) {
        let budget: BudgetId = entry.budget().into();
        let allocation = self.allocation(&budget);
        if let Entry::Bill(bill) = &entry {
            allocation.unfolded += bill.tokens;
            if bill.tokens > 0 {
                allocation.unfolded_since.get_or_insert(now);
            }
        }
        self.schedule.mark_due(&budget);
        self.schedule.mark_active(&budget);
        self.entries.push(entry);
        match ack {
            Ack::None => {}
            Ack::Batched(waiter) => self.acks.push(waiter),
            Ack::Immediate(waiter) => {
                self.acks.push(waiter);
                self.urgent = true;
            }
        }
    }

    /// Withdraws free tokens for the next transaction, since another holder lacks them.
    ///
    /// That transaction returns them to the table, so that a recall which is lost, duplicated or
    /// late does no harm. `recall` names a budget or a parent of budgets.
    pub fn recall(&mut self, recall: &Recall) {
        let mut left = recall.tokens;
        for (budget, allocation) in &mut self.allocations {
            let parent = self.rows.get(budget).and_then(|row| row.budget.parent.as_deref());
            if *budget != recall.budget && parent != Some(&*recall.budget) {
                continue;
            }
            let withdrawn = allocation.piece.withdraw(left);
            allocation.to_return += withdrawn;
            left -= withdrawn;
            if withdrawn > 0 {
                self.schedule.mark_due(budget);
                self.urgent = true;
            }
        }
    }

    /// Requests an earlier transaction, since an answer waits only for its record.
    pub fn expedite(&mut self) {
        self.expedited = !self.acks.is_empty();
    }

    /// Returns true if an answer waits only for its record.
    #[must_use]
    pub fn is_expedited(&self) -> bool {
        self.expedited
    }

    /// Removes and returns the recalls that must be sent to other holders.
    pub fn take_recalls(&mut self) -> Vec<Recall> {
        std::mem::take(&mut self.recalls)
    }

    /// Makes the next transaction renew the lease.
    pub fn request_renewal(&mut self) {
        self.renewed_at = None;
    }

    /// Starts to return all pieces and to close the holder.
    pub fn close(&mut self) {
        if self.phase == Phase::Open {
            self.phase = Phase::Closing;
            for budget in self.allocations.keys() {
                self.schedule.mark_due(budget);
            }
            self.urgent = true;
        }
    }

    /// Returns true once the holder is fenced and its writes are refused.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.phase == Phase::Fenced
    }

    /// Returns true once the holder has closed itself.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.phase == Phase::Closed
    }

    /// Returns true once the holder is closed or fenced and writes no more.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.is_closed() || self.is_fenced()
    }

    fn is_closing(&self) -> bool {
        self.phase == Phase::Closing
    }

    /// Returns true if the lease of the newest transaction has lapsed.
    #[must_use]
    pub fn is_lease_lapsed(&self, now: Duration) -> bool {
        self.composed_at.is_some_and(|at| now.saturating_sub(at) > self.settings.lease)
    }

    /// Returns true if some work must not wait for the next batch.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Returns the number of budgets whose state is kept.
    #[must_use]
    pub fn budget_count(&self) -> usize {
        self.allocations.len()
    }

    /// Updates the spending rates; `interval` is the time since the last call.
    pub fn sample_rates(&mut self, interval: Duration) {
        for budget in self.schedule.take_active() {
            let Some(allocation) = self.allocations.get_mut(&budget) else { continue };
            if allocation.update_rate(interval) {
                self.schedule.mark_active(&budget);
                self.schedule.mark_due(&budget);
            }
        }
    }

    /// Fails the requests that still lack tokens, since the table does not answer.
    pub fn handle_outage(&mut self) {
        self.notify_satisfied();
        self.fail_waiters(&Error::Unreachable);
    }

    /// Returns the next action; idle while a transaction is in flight.
    pub fn step(&mut self, now: Duration, wall: Duration) -> Step {
        if self.is_finished() || self.in_flight.is_some() {
            return Step::Idle;
        }
        self.notify_satisfied();
        if std::mem::take(&mut self.journal_first) {
            let step = self.compose(&[], now, wall);
            self.urgent = true;
            return step;
        }
        let due = self.due_budgets(now);
        let keys = self.keys_to_read(&due, now);
        if !keys.is_empty() {
            for budget in &due {
                self.schedule.mark_due(budget);
            }
            self.urgent = true;
            return Step::Read(keys);
        }
        self.compose(&due, now, wall)
    }

    /// Caches the rows that were read for [`Step::Read`].
    pub fn handle_rows(&mut self, keys: &[String], rows: &[Row], now: Duration) {
        for key in keys {
            if let Some(name) = key.strip_prefix(row::BUDGETS) {
                self.refresh(&name.into(), rows, now);
            }
        }
    }

    /// Handles the table's reply to the transaction in flight.
    pub fn handle_commit(&mut self, commit: &Commit, now: Duration) {
        let Some(batch) = self.in_flight.take() else { return };
        match commit {
            Commit::Applied(revision) => self.handle_applied(batch, *revision, now),
            Commit::Conflict(rows) => self.handle_conflict(batch, rows, now),
        }
    }

    fn allocation(&mut self, budget: &BudgetId) -> &mut Allocation {
        let pieces = &self.pieces;
        let open = || Allocation::open(pieces.get_or_insert(budget));
        self.allocations.entry(Arc::clone(budget)).or_insert_with(open)
    }

    /// Notifies the waiting requests for which enough tokens are free.
    fn notify_satisfied(&mut self) {
        for budget in self.schedule.waiting() {
            let Some(allocation) = self.allocations.get_mut(&budget) else { continue };
            allocation.notify_satisfied();
            if allocation.waiters.is_empty() {
                self.schedule.clear_waiting(&budget);
            }
        }
    }

    fn fail_waiters(&mut self, error: &Error) {
        for budget in self.schedule.waiting() {
            if let Some(allocation) = self.allocations.get_mut(&budget) {
                allocation.fail_waiters(error);
            }
            self.schedule.clear_waiting(&budget);
        }
    }

    /// Returns the budgets that the next transaction must include.
    fn due_budgets(&mut self, now: Duration) -> Vec<BudgetId> {
        let closing = self.is_closing();
        let mut due = Vec::new();
        for budget in self.schedule.take_due(now) {
            let available = self.rows.get(&budget).map(|cached| cached.budget.available());
            let Some(allocation) = self.allocations.get_mut(&budget) else { continue };
            if allocation.is_due(&self.settings, available, now, closing) {
                due.push(budget);
            } else if allocation.is_empty() {
                self.remove(&budget);
            } else {
                self.set_timer(&budget, now);
            }
        }
        due
    }

    /// Sets the timer that makes a budget due without a further message.
    fn set_timer(&mut self, budget: &BudgetId, now: Duration) {
        let Some(allocation) = self.allocations.get_mut(budget) else { return };
        let next = allocation.next_due_at(&self.settings, now);
        let pending = allocation.timer_at.filter(|at| *at > now);
        if let Some(at) = next
            && pending.is_none_or(|pending| at < pending)
        {
            allocation.timer_at = Some(at);
            self.schedule.add_timer(budget, at);
        }
    }

    /// Drops the state of a budget of which nothing is held.
    fn remove(&mut self, budget: &BudgetId) {
        self.allocations.remove(budget);
        self.rows.remove(budget);
        self.pieces.remove(budget);
    }
}
