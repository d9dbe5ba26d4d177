//! Handle to the records for requests, and the commands to the loop that accesses the table.

use std::cell::RefCell;
use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use futures::channel::{mpsc, oneshot};
use futures::future::LocalBoxFuture;
use futures::{FutureExt, StreamExt};
use slog::{Logger, info, warn};
use store::{Commit, Row, Table, Txn};

use super::board::{Board, MAX_PARTS_PER_CRASH};
use super::record::Record;
use super::{Admission, Crash, Id, Suspects};
use crate::poison::Verdict;

/// Prefix of the keys of records; the id of the part follows.
pub const PARTS: &str = "poison/part-";
/// Attempts to commit a transaction that conflicts with other instances.
const COMMIT_ATTEMPTS: usize = 8;
/// Most records that one transaction writes, and most that it removes.
const MAX_WRITES: usize = MAX_PARTS_PER_CRASH;

/// Command to the loop.
#[derive(Debug)]
enum Command {
    /// Writes the records that the table lacks.
    Publish,
    /// Removes the record of a part that an answer has cleared.
    Clear(Id),
    /// Claims the trial of a part; the reply tells whether this instance has got it.
    Trial(Id, oneshot::Sender<bool>),
}

/// Handle to the records for the thread that serves requests.
#[derive(Debug, Clone)]
pub struct Client {
    board: Rc<RefCell<Board>>,
    clock: SharedClock,
    commands: mpsc::UnboundedSender<Command>,
    log: Logger,
}

/// Receiving end of a [`Client`], for the loop that reads all crash records.
#[derive(Debug)]
pub struct Inbox {
    board: Rc<RefCell<Board>>,
    clock: SharedClock,
    commands: mpsc::UnboundedReceiver<Command>,
}

/// Clock of the table, or the wall clock if the table has none.
#[derive(Clone)]
struct SharedClock {
    table: Rc<dyn Table>,
    clock: Arc<dyn Clock>,
}

impl std::fmt::Debug for SharedClock {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SharedClock").finish_non_exhaustive()
    }
}

impl SharedClock {
    fn now_ms(&self) -> u64 {
        millis(self.table.now().unwrap_or_else(|| self.clock.wall()))
    }
}

/// Creates a client and the inbox of its loop, which share one board.
#[must_use]
pub fn open(table: Rc<dyn Table>, clock: Arc<dyn Clock>, log: Logger) -> (Client, Inbox) {
    let board = Rc::new(RefCell::default());
    let (sender, receiver) = mpsc::unbounded();
    let clock = SharedClock { table, clock };
    let client = Client { board: Rc::clone(&board), clock: clock.clone(), commands: sender, log };
    (client, Inbox { board, clock, commands: receiver })
}

impl Client {
    fn command(&self, command: Command) {
        // The send fails only while the instance stops; the records then stay as they are.
        self.commands.unbounded_send(command).unwrap_or_default();
    }
}

impl Suspects for Client {
    fn admit<'a>(&'a self, parts: &'a [Id]) -> LocalBoxFuture<'a, Admission> {
        async move {
            let (admission, trial) = self.board.borrow().admit(parts, self.clock.now_ms());
            let Some(part) = trial else { return admission };
            let (sender, receiver) = oneshot::channel();
            self.command(Command::Trial(part, sender));
            let is_claimed = receiver.await.unwrap_or(false);
            info!(self.log, "trial of a crashing part"; "part" => format!("{part:x}"),
                "is_claimed" => is_claimed);
            if is_claimed { Admission::Trial } else { Admission::Refused }
        }
        .boxed_local()
    }

    fn is_refused(&self, parts: &[Id]) -> bool {
        !self.board.borrow().guilty(parts, self.clock.now_ms()).is_empty()
    }

    fn record_answer(&self, parts: &[Id]) {
        let cleared = self.board.borrow_mut().record_answer(parts, self.clock.now_ms());
        for part in cleared {
            info!(self.log, "part cleared by an answer"; "part" => format!("{part:x}"));
            self.command(Command::Clear(part));
        }
    }

    fn record_crash(&self, crash: &Crash) {
        let now_ms = self.clock.now_ms();
        if !self.board.borrow_mut().record_crash(crash, now_ms) {
            return;
        }
        for part in &crash.parts {
            let board = self.board.borrow();
            let verdict = board.verdict(*part, now_ms);
            if verdict != Verdict::Clear {
                info!(self.log, "part suspected of a crash"; "part" => format!("{part:x}"),
                    "run" => &crash.run_id, "verdict" => ?verdict,
                    "crashes" => board.entry(*part).map(|entry| entry.record.crashes.len()),
                    "sent_before_ms" => millis(crash.sent_before));
            }
        }
        self.command(Command::Publish);
    }
}

impl Inbox {
    /// Executes commands until all clients are dropped.
    pub(in crate::poison) async fn execute(&mut self, log: &Logger) {
        while let Some(command) = self.commands.next().await {
            self.executor().run(command, log).await;
        }
    }

    /// Returns a handle that reads and writes the rows, beside the commands.
    pub(in crate::poison) fn executor(&self) -> Executor {
        Executor { board: Rc::clone(&self.board), clock: self.clock.clone() }
    }
}

/// Access to the rows of the table.
#[derive(Debug, Clone)]
pub(in crate::poison) struct Executor {
    board: Rc<RefCell<Board>>,
    clock: SharedClock,
}

impl Executor {
    async fn run(&self, command: Command, log: &Logger) {
        match command {
            Command::Publish => {
                if let Err(error) = self.publish(log).await {
                    warn!(log, "crash of a part not recorded in the store"; "error" => %error);
                }
            }
            Command::Clear(part) => {
                if let Err(error) = self.clear(part).await {
                    warn!(log, "part not cleared in the store"; "error" => %error,
                        "part" => format!("{part:x}"));
                }
            }
            Command::Trial(part, sender) => {
                let is_claimed = self.claim_trial(part).await.unwrap_or_else(|error| {
                    warn!(log, "trial not claimed"; "error" => %error,
                        "part" => format!("{part:x}"));
                    false
                });
                // The receiver is gone if the caller has stopped waiting.
                sender.send(is_claimed).unwrap_or_default();
            }
        }
    }

    /// Takes in the rows of all parts.
    pub fn replace(&self, rows: &[Row], was_restored: bool) -> Vec<Id> {
        let rows = rows.iter().filter_map(|row| {
            let part = Id::from_str_radix(row.key.strip_prefix(PARTS)?, 16).ok()?;
            // A malformed row is skipped, and replaced by the next crash of its part.
            let record = serde_json::from_value(row.value.clone()).unwrap_or_default();
            Some((part, row.revision, record))
        });
        let mut board = self.board.borrow_mut();
        if was_restored {
            board.unpublish();
        }
        board.replace(rows.collect(), self.clock.now_ms())
    }

    /// Writes the records that the table lacks.
    pub async fn publish(&self, log: &Logger) -> Result<(), store::Error> {
        for _ in 0..COMMIT_ATTEMPTS {
            let mut txn = Txn::default();
            let mut written: Vec<(Id, Record)> = Vec::new();
            {
                let board = self.board.borrow();
                for part in board.unpublished().into_iter().take(MAX_WRITES) {
                    let Some(entry) = board.entry(part) else { continue };
                    txn.check(key(part), entry.revision);
                    txn.put(key(part), &entry.record);
                    written.push((part, entry.record.clone()));
                }
                if written.is_empty() {
                    return Ok(());
                }
                for part in board.surplus(MAX_WRITES) {
                    txn.delete(key(part));
                }
            }
            let removed: Vec<String> = txn
                .writes
                .iter()
                .filter(|write| write.value.is_none())
                .map(|w| w.key.clone())
                .collect();
            match self.clock.table.commit(txn).await? {
                Commit::Applied(revision) => {
                    let mut board = self.board.borrow_mut();
                    for (part, record) in &written {
                        board.mark_published(*part, record, revision);
                    }
                    removed
                        .iter()
                        .filter_map(|key| parse_key(key))
                        .for_each(|part| board.remove(part));
                    info!(log, "crashes of parts recorded"; "parts" => written.len(),
                        "removed" => removed.len());
                }
                Commit::Conflict(rows) => {
                    let mut board = self.board.borrow_mut();
                    for (part, _) in &written {
                        board.merge_row(*part, find(&rows, *part));
                    }
                }
            }
        }
        // The rest is written after the next read.
        Ok(())
    }

    async fn clear(&self, part: Id) -> Result<(), store::Error> {
        let rows = self.clock.table.get(vec![key(part)]).await?;
        let Some((revision, _)) = find(&rows, part) else { return Ok(()) };
        let mut txn = Txn::default();
        txn.check(key(part), revision);
        txn.delete(key(part));
        // On a conflict the row has a newer crash, and the next answer clears it.
        self.clock.table.commit(txn).await.map(drop)
    }

    /// Clears parts that answers have cleared at this instance only.
    pub async fn clear_all(&self, parts: Vec<Id>) -> Result<(), store::Error> {
        for part in parts {
            self.clear(part).await?;
        }
        Ok(())
    }

    async fn claim_trial(&self, part: Id) -> Result<bool, store::Error> {
        let now_ms = self.clock.now_ms();
        let entry = self.board.borrow().entry(part).cloned();
        let Some(entry) = entry.filter(|entry| entry.record.is_trial_due(now_ms)) else {
            return Ok(false);
        };
        let mut record = entry.record;
        record.start_trial(now_ms);
        let mut txn = Txn::default();
        txn.check(key(part), entry.revision);
        txn.put(key(part), &record);
        match self.clock.table.commit(txn).await? {
            Commit::Applied(revision) => {
                let mut board = self.board.borrow_mut();
                board.merge_row(part, Some((revision, record.clone())));
                board.mark_published(part, &record, revision);
                Ok(true)
            }
            Commit::Conflict(rows) => {
                self.board.borrow_mut().merge_row(part, find(&rows, part));
                Ok(false)
            }
        }
    }
}

fn key(part: Id) -> String {
    format!("{PARTS}{part:016x}")
}

fn parse_key(key: &str) -> Option<Id> {
    Id::from_str_radix(key.strip_prefix(PARTS)?, 16).ok()
}

/// Returns the revision and the record of a part's row.
fn find(rows: &[Row], part: Id) -> Option<(u64, Record)> {
    let key = key(part);
    let row = rows.iter().find(|row| row.key == key)?;
    Some((row.revision, serde_json::from_value(row.value.clone()).unwrap_or_default()))
}
