//! The loop that performs all writes of an instance to claim rows.

use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use slog::{Logger, warn};
use store::{Pending, Table, Txn};
use tokio::time::{sleep, timeout};

use crate::claim::{Claims, Decision, End, Ownership, Request};
use crate::core::{Core, Settings, Step};
use crate::sweep;

/// Longest time the loop sleeps; it bounds the delay of periodic work.
const MAX_SLEEP: Duration = Duration::from_millis(50);
/// Interval at which messages are handled during a call to the table.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time for which requests wait for one call to the table.
const MAX_CALL_WAIT: Duration = Duration::from_millis(400);
/// Delay after the first failed call to the table.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Longest delay between failed calls to the table.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Interval between scans for expired rows; each scan reads one page.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// A message to the loop.
#[derive(Debug)]
pub enum Message {
    /// A request claims its key.
    Claim {
        /// Request, with the key of its row.
        request: Request,
        /// Receives the decision.
        reply: oneshot::Sender<Decision>,
    },
    /// A claim has ended.
    End {
        /// Key of the claim row.
        row_key: Arc<str>,
        /// End that the row should record.
        end: End,
        /// Answered once it is known whether this holder kept the key.
        ack: oneshot::Sender<Ownership>,
    },
    /// The loop must write all pending rows, stop, and then reply.
    Close(oneshot::Sender<()>),
}

/// Identity, settings and environment of the loop.
#[derive(Debug, Clone)]
pub struct Context {
    /// Holder (incarnation of this instance) that owns the claims.
    pub holder: HolderId,
    /// Lifetimes and size limits of the state machine.
    pub settings: Settings,
    /// Shortest time between transactions that no request waits for.
    pub flush_interval: Duration,
    /// Source of monotonic and wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Logger for failed calls to the table.
    pub log: Logger,
}

/// Creates a handle and the inbox of its loop, which [`spawn`] starts.
#[must_use]
pub fn open(context: Context) -> (Claims, Inbox) {
    let (sender, receiver) = mpsc::unbounded();
    let holder = Arc::clone(&context.holder);
    let core = Core::open(holder, context.settings, sender.clone());
    (Claims::new(sender), Inbox { context, core, receiver })
}

/// The receiving end of [`Claims`], before its loop runs.
#[derive(Debug)]
pub struct Inbox {
    context: Context,
    core: Core,
    receiver: mpsc::UnboundedReceiver<Message>,
}

/// Spawns the loop of an inbox on the current thread; it ends after [`Claims::close`].
pub fn spawn(inbox: Inbox, table: Rc<dyn Table>) {
    let Inbox { context, core, receiver } = inbox;
    let now = context.clock.now();
    let running = Loop {
        core,
        context,
        receiver,
        table,
        close_replies: Vec::new(),
        flushed_at: now,
        swept_at: now,
        sweep_cursor: String::new(),
    };
    ntex::rt::spawn(running.run());
}

struct Loop {
    core: Core,
    context: Context,
    receiver: mpsc::UnboundedReceiver<Message>,
    table: Rc<dyn Table>,
    close_replies: Vec<oneshot::Sender<()>>,
    flushed_at: Duration,
    swept_at: Duration,
    sweep_cursor: String,
}

impl Loop {
    async fn run(mut self) {
        while self.close_replies.is_empty() || self.core.has_work() {
            self.receive().await;
            self.drain();
            let is_flush_due = self.elapsed_since(self.flushed_at) >= self.context.flush_interval;
            if self.core.is_urgent() || is_flush_due {
                self.run_step().await;
            }
            if self.elapsed_since(self.swept_at) >= SWEEP_INTERVAL {
                self.sweep().await;
            }
        }
        for reply in self.close_replies.drain(..) {
            reply.send(()).unwrap_or_default();
        }
    }

    fn elapsed_since(&self, start: Duration) -> Duration {
        self.context.clock.now().saturating_sub(start)
    }

    async fn receive(&mut self) {
        if self.core.is_urgent() {
            return;
        }
        let until_flush =
            self.context.flush_interval.saturating_sub(self.elapsed_since(self.flushed_at));
        let wait = if self.core.has_work() { until_flush } else { MAX_SLEEP };
        if let Ok(Some(message)) = timeout(wait.min(MAX_SLEEP), self.receiver.next()).await {
            self.handle(message);
        }
    }

    fn drain(&mut self) {
        while let Ok(message) = self.receiver.try_recv() {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Close(reply) => self.close_replies.push(reply),
            message => self.core.handle(message),
        }
    }

    async fn run_step(&mut self) {
        let (now, wall) = (self.context.clock.now(), self.context.clock.wall());
        match self.core.step(now, wall) {
            Step::Idle => self.flushed_at = now,
            Step::Read(keys) => self.read(keys).await,
            Step::Commit(txn) => self.commit(txn).await,
        }
    }

    async fn read(&mut self, keys: Vec<String>) {
        let table = Rc::clone(&self.table);
        match self.await_table(table.get(keys)).await {
            Ok(rows) => {
                let (now, wall) = (self.context.clock.now(), self.context.clock.wall());
                self.core.handle_rows(&rows, now, wall);
            }
            Err(error) => {
                warn!(self.context.log, "cannot read holder rows"; "error" => %error);
                self.core.handle_outage();
                self.back_off(MIN_BACKOFF).await;
            }
        }
    }

    /// Repeats one transaction until the table replies whether it was applied.
    async fn commit(&mut self, txn: Txn) {
        let table = Rc::clone(&self.table);
        let mut backoff = MIN_BACKOFF;
        loop {
            match self.await_table(table.commit(txn.clone())).await {
                Ok(commit) => {
                    let (now, wall) = (self.context.clock.now(), self.context.clock.wall());
                    self.core.handle_commit(&commit, now, wall);
                    self.flushed_at = now;
                    return;
                }
                Err(error) => {
                    warn!(self.context.log, "cannot write claim rows"; "error" => %error);
                    self.core.handle_outage();
                    self.back_off(backoff).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Awaits a call to the table and handles messages meanwhile.
    ///
    /// After [`MAX_CALL_WAIT`], waiting requests are decided without the table.
    async fn await_table<T>(&mut self, mut call: Pending<'_, T>) -> Result<T, store::Error> {
        let called_at = self.context.clock.now();
        loop {
            if let Ok(result) = timeout(POLL_INTERVAL, &mut call).await {
                return result;
            }
            self.drain();
            if self.elapsed_since(called_at) >= MAX_CALL_WAIT {
                self.core.handle_outage();
            }
        }
    }

    /// Sleeps after a failed call; meanwhile decides waiting requests without the table.
    async fn back_off(&mut self, duration: Duration) {
        let end = self.context.clock.now() + duration;
        while self.context.clock.now() < end {
            sleep(POLL_INTERVAL.min(duration)).await;
            self.drain();
            self.core.handle_outage();
        }
    }

    /// Reads the next page of claim rows and deletes the expired ones.
    async fn sweep(&mut self) {
        self.swept_at = self.context.clock.now();
        let table = Rc::clone(&self.table);
        let after = std::mem::take(&mut self.sweep_cursor);
        let Ok(rows) = self.await_table(sweep::read_page(&*table, after)).await else { return };
        self.sweep_cursor = sweep::next_cursor(&rows);
        let wall = millis(self.context.clock.wall());
        if let Some(txn) = sweep::compose_deletion(&rows, wall) {
            // If a row changed meanwhile, this page stays until the next round over all pages.
            drop(self.await_table(table.commit(txn)).await);
        }
    }
}
