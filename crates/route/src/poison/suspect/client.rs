//! Handle to the records for requests, and the commands to the loop that accesses the table.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use futures::channel::{mpsc, oneshot};
use futures::future::LocalBoxFuture;
use futures::{FutureExt, StreamExt};
use slog::{Logger, info, warn};
use store::{Change, Commit, Row, Table, Txn};

use super::board::{Board, Clearance, MAX_SUSPECTS_PER_CRASH};
use super::record::Record;
use super::{Admission, Crash, Id, Suspect, Suspects};
use crate::poison::{Verdict, feed};

/// Prefix of the keys of records; the id of the suspect follows.
const ROWS: &str = "poison/suspect-";
/// Attempts to commit a transaction that conflicts with other instances.
const COMMIT_ATTEMPTS: usize = 8;
/// Most rows of one scan.
const PAGE_ROWS: usize = 500;
/// Most records that one transaction writes, and most that it removes.
const MAX_WRITES: usize = MAX_SUSPECTS_PER_CRASH;

/// Command to the loop.
#[derive(Debug)]
enum Command {
    /// Writes the records that the table lacks.
    Publish,
    /// Removes the record of a suspect that an answer has cleared.
    Clear(Id),
    /// Claims the trial of suspects; the reply tells whether this instance has got it.
    Trial(Vec<Id>, oneshot::Sender<bool>),
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
    fn admit<'a>(&'a self, service: &'a ServiceId, ids: &'a [Id]) -> LocalBoxFuture<'a, Admission> {
        async move {
            let (admission, trial) = self.board.borrow().admit(service, ids, self.clock.now_ms());
            if trial.is_empty() {
                return admission;
            }
            let suspects = format!("{trial:x?}");
            let (sender, receiver) = oneshot::channel();
            self.command(Command::Trial(trial, sender));
            let is_claimed = receiver.await.unwrap_or(false);
            info!(self.log, "trial of a crashing request"; "suspects" => suspects,
                "is_claimed" => is_claimed);
            if is_claimed { Admission::Trial } else { Admission::Refused }
        }
        .boxed_local()
    }

    fn is_refused(&self, service: &ServiceId, ids: &[Id]) -> bool {
        !self.board.borrow().guilty(service, ids, self.clock.now_ms()).is_empty()
    }

    fn record_answer(&self, service: &ServiceId, ids: &[Id]) {
        let Clearance { disproved, harmless } =
            self.board.borrow_mut().record_answer(service, ids, self.clock.now_ms());
        for id in disproved {
            info!(self.log, "suspect cleared by an answer"; "suspect" => format!("{id:x}"),
                "service" => service.as_ref());
            self.command(Command::Clear(id));
        }
        if !harmless.is_empty() {
            info!(self.log, "suspect harmless at a service"; "service" => service.as_ref(),
                "suspects" => format!("{harmless:x?}"));
            self.command(Command::Publish);
        }
    }

    fn record_crash(&self, crash: &Crash) {
        let now_ms = self.clock.now_ms();
        if !self.board.borrow_mut().record_crash(crash, now_ms) {
            return;
        }
        for Suspect { id, sent_before } in &crash.suspects {
            let board = self.board.borrow();
            let verdict = board.verdict(&crash.service, *id, now_ms);
            if verdict != Verdict::Clear {
                info!(self.log, "suspected of a crash"; "suspect" => format!("{id:x}"),
                    "service" => crash.service.as_ref(), "run" => &crash.run_id,
                    "verdict" => ?verdict,
                    "crashes" => board.entry(*id).map(|entry| entry.record.crashes.len()),
                    "sent_before_ms" => millis(*sent_before));
            }
        }
        self.command(Command::Publish);
    }
}

/// Executes the commands of a client and follows the records of the table.
///
/// Rows that have changed are read within `poll_interval`, or at once if the table has a feed.
/// Returns once all clients are dropped.
pub async fn serve(inbox: Inbox, poll_interval: Duration, log: Logger) {
    let Inbox { board, clock, mut commands } = inbox;
    let table = Rc::clone(&clock.table);
    let executor = Executor { board, clock, era: Cell::new(None) };
    let executing = async {
        while let Some(command) = commands.next().await {
            executor.run(command, &log).await;
        }
    };
    let apply = async |change| executor.apply(change, &log).await;
    let publish = async || executor.publish(&log).await;
    let following = feed::follow(&*table, poll_interval, &log, apply, publish);
    futures::future::select(following.boxed_local(), executing.boxed_local()).await;
}

/// Access to the rows of the table.
#[derive(Debug)]
struct Executor {
    board: Rc<RefCell<Board>>,
    clock: SharedClock,
    /// Era of the table at the last read.
    era: Cell<Option<u64>>,
}

impl Executor {
    async fn run(&self, command: Command, log: &Logger) {
        match command {
            Command::Publish => {
                if let Err(error) = self.publish(log).await {
                    warn!(log, "crash of a suspect not recorded in the store"; "error" => %error);
                }
            }
            Command::Clear(id) => {
                if let Err(error) = self.clear(id).await {
                    warn!(log, "suspect not cleared in the store"; "error" => %error,
                        "suspect" => format!("{id:x}"));
                }
            }
            Command::Trial(ids, sender) => {
                let is_claimed = self.claim_trial(&ids).await.unwrap_or_else(|error| {
                    warn!(log, "trial not claimed"; "error" => %error,
                        "suspects" => format!("{ids:x?}"));
                    false
                });
                // The receiver is gone if the caller has stopped waiting.
                sender.send(is_claimed).unwrap_or_default();
            }
        }
    }

    /// Applies a change of the table, and clears the records that answers have disproved.
    async fn apply(&self, change: Change, log: &Logger) -> Result<(), store::Error> {
        let cleared = match change {
            Change::Nothing => return Ok(()),
            Change::Rows { written, deleted } => {
                let deleted: Vec<Id> = deleted.iter().filter_map(|key| parse_key(key)).collect();
                let now = self.clock.now_ms();
                self.board.borrow_mut().update(parse_rows(&written), &deleted, now)
            }
            Change::Unknown => {
                let rows = self.read().await?;
                let era = self.clock.table.era();
                let last_era = self.era.replace(era);
                let mut board = self.board.borrow_mut();
                if last_era.is_some() && last_era != era {
                    warn!(log, "crash records kept after a restore of the store");
                    board.unpublish();
                }
                board.replace(parse_rows(&rows), self.clock.now_ms())
            }
        };
        for id in cleared {
            self.clear(id).await?;
        }
        Ok(())
    }

    async fn read(&self) -> Result<Vec<Row>, store::Error> {
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let after = rows.last().map(|row| row.key.clone()).unwrap_or_default();
            let page = self.clock.table.scan(ROWS.into(), after, PAGE_ROWS).await?;
            let is_last = page.len() < PAGE_ROWS;
            rows.extend(page);
            if is_last {
                return Ok(rows);
            }
        }
    }

    /// Writes the records that the table lacks.
    async fn publish(&self, log: &Logger) -> Result<(), store::Error> {
        for _ in 0..COMMIT_ATTEMPTS {
            let mut txn = Txn::default();
            let mut written: Vec<(Id, Record)> = Vec::new();
            {
                let board = self.board.borrow();
                for id in board.unpublished().into_iter().take(MAX_WRITES) {
                    let Some(entry) = board.entry(id) else { continue };
                    txn.check(key(id), entry.revision);
                    txn.put(key(id), &entry.record);
                    written.push((id, entry.record.clone()));
                }
                if written.is_empty() {
                    return Ok(());
                }
                for id in board.surplus(MAX_WRITES) {
                    txn.delete(key(id));
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
                    for (id, record) in &written {
                        board.mark_published(*id, record, revision);
                    }
                    removed.iter().filter_map(|key| parse_key(key)).for_each(|id| board.remove(id));
                    info!(log, "crashes of suspects recorded"; "suspects" => written.len(),
                        "removed" => removed.len());
                }
                Commit::Conflict(rows) => {
                    let mut board = self.board.borrow_mut();
                    for (id, _) in &written {
                        board.merge_row(*id, find(&rows, *id));
                    }
                }
            }
        }
        // The rest is written after the next read.
        Ok(())
    }

    async fn clear(&self, id: Id) -> Result<(), store::Error> {
        let rows = self.clock.table.get(vec![key(id)]).await?;
        let Some((revision, _)) = find(&rows, id) else { return Ok(()) };
        let mut txn = Txn::default();
        txn.check(key(id), revision);
        txn.delete(key(id));
        // On a conflict the row has a newer crash, and the next answer clears it.
        self.clock.table.commit(txn).await.map(drop)
    }

    /// Claims the trial of all these suspects at once, or none of them.
    async fn claim_trial(&self, ids: &[Id]) -> Result<bool, store::Error> {
        let now_ms = self.clock.now_ms();
        let mut txn = Txn::default();
        let mut written: Vec<(Id, Record)> = Vec::new();
        for id in ids {
            let entry = self.board.borrow().entry(*id).cloned();
            let Some(entry) = entry.filter(|entry| entry.record.is_trial_due(now_ms)) else {
                return Ok(false);
            };
            let mut record = entry.record;
            record.start_trial(now_ms);
            txn.check(key(*id), entry.revision);
            txn.put(key(*id), &record);
            written.push((*id, record));
        }
        match self.clock.table.commit(txn).await? {
            Commit::Applied(revision) => {
                let mut board = self.board.borrow_mut();
                for (id, record) in written {
                    board.merge_row(id, Some((revision, record.clone())));
                    board.mark_published(id, &record, revision);
                }
                Ok(true)
            }
            Commit::Conflict(rows) => {
                let mut board = self.board.borrow_mut();
                for id in ids {
                    board.merge_row(*id, find(&rows, *id));
                }
                Ok(false)
            }
        }
    }
}

fn key(id: Id) -> String {
    format!("{ROWS}{id:016x}")
}

fn parse_key(key: &str) -> Option<Id> {
    Id::from_str_radix(key.strip_prefix(ROWS)?, 16).ok()
}

/// Returns the suspect, the revision and the record of each row.
fn parse_rows(rows: &[Row]) -> Vec<(Id, u64, Record)> {
    let parse = |row: &Row| {
        // A malformed row is replaced by the next crash of its suspect.
        let record = serde_json::from_value(row.value.clone()).unwrap_or_default();
        Some((parse_key(&row.key)?, row.revision, record))
    };
    rows.iter().filter_map(parse).collect()
}

/// Returns the revision and the record of a suspect's row.
fn find(rows: &[Row], id: Id) -> Option<(u64, Record)> {
    let key = key(id);
    let row = rows.iter().find(|row| row.key == key)?;
    Some((row.revision, serde_json::from_value(row.value.clone()).unwrap_or_default()))
}
