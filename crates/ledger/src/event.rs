//! The event loop that makes all writes of an instance to the budget rows.

use std::rc::Rc;

use base::prelude::*;
use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use slog::{Logger, warn};
use store::{Pending, Table, Txn};
use tokio::time::{sleep, timeout};

use crate::Error;
use crate::book::{Book, Pieces};
use crate::core::{Ack, Settings, Step};
use crate::gate::Gate;
use crate::peer::{Peers, Recall};
use crate::row::Entry;
use crate::writer::Writer;

/// Longest sleep, which bounds how late lapsed leases and idle pieces are noticed.
const MAX_SLEEP: Duration = Duration::from_millis(50);
/// Shortest interval between two samples of the spending rates.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed read and after the first failure of a commit.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Longest delay between attempts to commit; each failure doubles the delay.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Shortest time between two transactions while an answer waits for its record.
const EXPEDITED_FLUSH_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which messages are handled during a call to the table.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Duration of a call to the table after which waiting requests are refused.
const MAX_CALL_WAIT: Duration = Duration::from_millis(400);

/// Message to the event loop.
#[derive(Debug)]
pub enum Message {
    /// A request needs more tokens than its piece has free.
    Refill {
        /// Budget that pays for the request.
        budget: BudgetId,
        /// Tokens that the request reserves after the refill.
        tokens: Tokens,
        /// Receives the result once the piece is large enough or the refill is refused.
        reply: oneshot::Sender<Result<(), Error>>,
    },
    /// An entry for the journal must be written.
    Record {
        /// Intent or bill of a request.
        entry: Entry,
        /// Urgency of the entry, and whom to notify once it is in the table.
        ack: Ack,
    },
    /// Another holder lacks tokens of a budget.
    Recall(Recall),
    /// An answer is ready, but its record still waits in a batch.
    Expedite,
    /// Return all pieces and close the holder; the sender is notified afterwards.
    Close(oneshot::Sender<()>),
}

/// Settings and resources of the event loop.
#[derive(Debug, Clone)]
pub struct Context {
    /// Id of this incarnation of the instance, as owner of pieces.
    pub holder: HolderId,
    /// Piece sizes, lease and delays of the state machine.
    pub settings: Settings,
    /// Shortest time between two transactions without urgent work.
    pub flush_interval: Duration,
    /// Gap between heartbeats of the event loop above which the process counts as paused.
    pub pause_threshold: Duration,
    /// Monotonic clock for intervals and delays, wall clock for the lease.
    pub clock: Arc<dyn Clock>,
    /// Logger for failed calls to the table and for a fence.
    pub log: Logger,
}

/// Creates a handle together with the inbox from which its event loop is spawned.
#[must_use]
pub fn open(context: Context) -> (Book, Inbox) {
    let (sender, receiver) = mpsc::unbounded();
    let pieces = Arc::new(Pieces::default());
    let gate = Arc::new(Gate::open(context.pause_threshold, Arc::clone(&context.clock)));
    let clock = Arc::clone(&context.clock);
    let book = Book::new(Arc::clone(&pieces), Arc::clone(&gate), clock, sender);
    (book, Inbox { context, pieces, gate, receiver })
}

/// Receiving end of the messages that a [`Book`] sends.
#[derive(Debug)]
pub struct Inbox {
    context: Context,
    pieces: Arc<Pieces>,
    gate: Arc<Gate>,
    receiver: mpsc::UnboundedReceiver<Message>,
}

impl Inbox {
    /// Opens the writer that handles the messages of this inbox.
    #[must_use]
    pub fn writer(self) -> Writer {
        let Self { context, pieces, gate, receiver } = self;
        Writer::open(context, pieces, gate, receiver)
    }
}

/// Spawns the event loop on the current thread.
pub fn spawn(inbox: Inbox, table: Rc<dyn Table>, peers: Rc<dyn Peers>) {
    ntex::rt::spawn(Loop::new(inbox, table, peers).run());
}

struct Loop {
    writer: Writer,
    table: Rc<dyn Table>,
    peers: Rc<dyn Peers>,
    sampled_at: Duration,
    flushed_at: Duration,
}

impl Loop {
    fn new(inbox: Inbox, table: Rc<dyn Table>, peers: Rc<dyn Peers>) -> Self {
        let writer = inbox.writer();
        let now = writer.context.clock.now();
        Self { writer, table, peers, sampled_at: now, flushed_at: now }
    }

    async fn run(mut self) {
        while !self.writer.core.is_finished() {
            self.writer.update_gate();
            self.sample_rates();
            self.receive().await;
            self.writer.drain();
            if self.writer.core.is_urgent() || self.since_flush() >= self.min_interval() {
                self.run_step().await;
            }
            self.send_recalls();
        }
        self.writer.finish();
        if self.writer.core.is_fenced() {
            warn!(self.writer.context.log, "holder fenced, writer stopped");
        }
    }

    /// Sends the pending recalls without waiting for the peers.
    fn send_recalls(&mut self) {
        for recall in self.writer.core.take_recalls() {
            let peers = Rc::clone(&self.peers);
            ntex::rt::spawn(async move { peers.recall(recall).await });
        }
    }

    fn sample_rates(&mut self) {
        let now = self.writer.context.clock.now();
        let interval = now.saturating_sub(self.sampled_at);
        if interval >= SAMPLE_INTERVAL {
            self.writer.core.sample_rates(interval);
            self.sampled_at = now;
        }
    }

    /// Waits for one message, at most [`MAX_SLEEP`].
    async fn receive(&mut self) {
        let max_wait = if self.writer.core.is_urgent() { Duration::ZERO } else { self.max_wait() };
        if max_wait.is_zero() {
            return;
        }
        if let Ok(Some(message)) = timeout(max_wait, self.writer.receiver.next()).await {
            self.writer.handle(message);
        }
    }

    fn max_wait(&self) -> Duration {
        let remaining = self.min_interval().saturating_sub(self.since_flush());
        remaining.clamp(Duration::from_millis(1), MAX_SLEEP)
    }

    /// Returns the shortest time between two transactions without urgent work.
    fn min_interval(&self) -> Duration {
        let flush_interval = self.writer.context.flush_interval;
        if self.writer.core.is_expedited() {
            flush_interval.min(EXPEDITED_FLUSH_INTERVAL)
        } else {
            flush_interval
        }
    }

    fn since_flush(&self) -> Duration {
        self.writer.context.clock.now().saturating_sub(self.flushed_at)
    }

    async fn run_step(&mut self) {
        match self.writer.step() {
            Step::Idle => self.flushed_at = self.writer.context.clock.now(),
            Step::Read(keys) => self.read(keys).await,
            Step::Commit(txn) => self.commit(txn).await,
        }
    }

    async fn read(&mut self, keys: Vec<String>) {
        let table = Rc::clone(&self.table);
        match self.await_table(table.get(keys.clone())).await {
            Ok(rows) => {
                let now = self.writer.context.clock.now();
                self.writer.core.handle_rows(&keys, &rows, now);
            }
            Err(error) => {
                warn!(self.writer.context.log, "failed to read budget rows"; "error" => %error);
                self.writer.core.handle_outage();
                self.back_off(MIN_BACKOFF).await;
            }
        }
    }

    /// Repeats one transaction until the table replies whether it was applied.
    async fn commit(&mut self, txn: Txn) {
        let table = Rc::clone(&self.table);
        let mut backoff = MIN_BACKOFF;
        loop {
            let pause_count = self.writer.gate.pause_count();
            match self.await_table(table.commit(txn.clone())).await {
                Ok(commit) => {
                    self.writer.handle_commit(&commit, pause_count);
                    self.flushed_at = self.writer.context.clock.now();
                    return;
                }
                Err(error) => {
                    warn!(self.writer.context.log, "failed to commit, retrying"; "error" => %error);
                    self.writer.core.handle_outage();
                    self.back_off(backoff).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Waits for the table and handles messages; fails waiting requests after [`MAX_CALL_WAIT`].
    async fn await_table<T>(&mut self, mut call: Pending<'_, T>) -> Result<T, store::Error> {
        let started_at = self.writer.context.clock.now();
        loop {
            self.writer.update_gate();
            if let Ok(result) = timeout(POLL_INTERVAL, &mut call).await {
                return result;
            }
            self.writer.drain();
            if self.writer.context.clock.now().saturating_sub(started_at) >= MAX_CALL_WAIT {
                self.writer.core.handle_outage();
            }
        }
    }

    /// Sleeps before the next attempt; meanwhile fails waiting requests at once.
    async fn back_off(&mut self, duration: Duration) {
        let end = self.writer.context.clock.now() + duration;
        while self.writer.context.clock.now() < end {
            self.writer.update_gate();
            sleep(POLL_INTERVAL.min(duration)).await;
            self.writer.drain();
            self.writer.core.handle_outage();
        }
    }
}
