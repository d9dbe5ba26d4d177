//! Channel from the threads that serve requests to the loop that accesses the table.

use std::cell::Cell;
use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use futures::channel::{mpsc, oneshot};
use futures::future::LocalBoxFuture;
use futures::{FutureExt, StreamExt};
use slog::{Logger, info, warn};
use tokio::time::{sleep, timeout};

use super::cache::Cache;
use super::record::Record;
use super::table::Table;
use super::{Admission, Crash, Fingerprint, Suspects, Verdict, feed};

/// Longest time for which a request waits for the loop.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Poll intervals after which every reachable instance has read a new record.
const PROPAGATION_POLLS: u32 = 2;

/// Command to the loop, which replies through the `oneshot` sender.
#[derive(Debug)]
enum Command {
    Trial(Fingerprint, UpstreamId, oneshot::Sender<Admission>),
    Report(Crash, oneshot::Sender<Verdict>),
    Clear(Fingerprint, UpstreamId),
}

/// Handle to the records for the threads that serve requests.
#[derive(Debug, Clone)]
pub struct Client {
    cache: Arc<Cache>,
    clock: Arc<dyn Clock>,
    commands: mpsc::UnboundedSender<Command>,
}

/// Receiving end of a [`Client`], for [`serve`].
#[derive(Debug)]
pub struct Inbox {
    cache: Arc<Cache>,
    clock: Arc<dyn Clock>,
    commands: mpsc::UnboundedReceiver<Command>,
}

/// Creates a client and the inbox of its loop, which share one cache of records.
#[must_use]
pub fn open(clock: Arc<dyn Clock>) -> (Client, Inbox) {
    let cache = Arc::new(Cache::default());
    let (sender, receiver) = mpsc::unbounded();
    let client = Client { cache: Arc::clone(&cache), clock: Arc::clone(&clock), commands: sender };
    (client, Inbox { cache, clock, commands: receiver })
}

impl Client {
    /// Sends a command to the loop; `None` if no reply arrives in time.
    async fn call<T>(&self, command: Command, receiver: oneshot::Receiver<T>) -> Option<T> {
        self.commands.unbounded_send(command).ok()?;
        timeout(REPLY_TIMEOUT, receiver).await.ok()?.ok()
    }

    /// Records a crash at this instance only, for use while the table is unreachable.
    fn record_locally(&self, crash: &Crash) {
        let mut record = Record::default();
        record.add_crash(&crash.run_id, self.cache.now_ms(&*self.clock));
        self.cache.add_local(&crash.fingerprint, &record);
    }
}

impl Suspects for Client {
    fn is_empty(&self) -> bool {
        self.cache.is_empty()
    }

    fn lookup(&self, fingerprint: &str) -> Verdict {
        self.cache.verdict(fingerprint, self.cache.now_ms(&*self.clock))
    }

    fn request_trial(
        &self,
        fingerprint: &Fingerprint,
        upstream: &UpstreamId,
    ) -> LocalBoxFuture<'_, Admission> {
        let (sender, receiver) = oneshot::channel();
        let command = Command::Trial(Arc::clone(fingerprint), Arc::clone(upstream), sender);
        let reply = self.call(command, receiver);
        reply.map(|reply| reply.unwrap_or(Admission::Unreachable)).boxed_local()
    }

    fn report_crash(&self, crash: Crash) -> LocalBoxFuture<'_, Verdict> {
        let (sender, receiver) = oneshot::channel();
        async move {
            if let Some(verdict) = self.call(Command::Report(crash.clone(), sender), receiver).await
            {
                return verdict;
            }
            self.record_locally(&crash);
            self.lookup(&crash.fingerprint)
        }
        .boxed_local()
    }

    fn report_completion(&self, fingerprint: &Fingerprint, upstream: &UpstreamId) {
        if self.lookup(fingerprint) == Verdict::Suspect {
            self.cache.remove(fingerprint);
            let command = Command::Clear(Arc::clone(fingerprint), Arc::clone(upstream));
            // The send fails only while the instance stops. The record then stays until it expires.
            self.commands.unbounded_send(command).unwrap_or_default();
        }
    }
}

/// Executes the commands of a client until all its clones are dropped.
///
/// Rows that have changed are read within `poll_interval`, or at once if the table has a feed.
pub async fn serve(inbox: Inbox, rows: Rc<dyn store::Table>, poll_interval: Duration, log: Logger) {
    let Inbox { cache, clock, commands } = inbox;
    let table = Rc::new(Table::open(Rc::clone(&rows), clock));
    let last_era = Cell::new(None);
    // Any change is rare enough here to read all rows.
    let read = async |_change| read(&table, &cache, &last_era, &log).await;
    let publish = async || publish(&table, &cache, &log).await;
    let following = feed::follow(&*rows, poll_interval, &log, read, publish);
    let executing = commands.for_each_concurrent(None, |command| {
        let (table, cache, log) = (Rc::clone(&table), Arc::clone(&cache), log.clone());
        async move { execute(&table, &cache, command, poll_interval, &log).await }
    });
    futures::future::select(following.boxed_local(), executing.boxed_local()).await;
}

/// Replaces the cached records by those of the table.
async fn read(
    table: &Table,
    cache: &Cache,
    last_era: &Cell<Option<u64>>,
    log: &Logger,
) -> Result<(), store::Error> {
    let records = table.read_records().await?;
    let era = table.era();
    let last = last_era.replace(era);
    if last.is_some() && last != era {
        warn!(log, "crash records kept after a restore of the store");
        cache.unshare();
    }
    if let Some(time) = table.time() {
        cache.set_time(time, table.clock());
    }
    cache.replace_shared(records, millis(table.shared_time()));
    Ok(())
}

/// Writes the records to the table that it does not contain.
async fn publish(table: &Table, cache: &Cache, log: &Logger) -> Result<(), store::Error> {
    for (fingerprint, record) in cache.unpublished() {
        let merged = table.merge_record(&fingerprint, &record).await?;
        info!(log, "crash record published"; "fingerprint" => fingerprint.as_ref(),
            "crashes" => merged.crashes.len());
        cache.add_shared(&fingerprint, &merged);
    }
    Ok(())
}

async fn execute(
    table: &Table,
    cache: &Cache,
    command: Command,
    poll_interval: Duration,
    log: &Logger,
) {
    match command {
        Command::Trial(fingerprint, upstream, sender) => {
            // Every instance must have read the first crash before a second one can happen, so
            // that the second is reported without a delay and no copy of the request runs
            // anywhere without a trial.
            let crashed_at = Duration::from_millis(cache.record(&fingerprint).last_crash());
            let propagated_at = crashed_at + poll_interval * PROPAGATION_POLLS;
            sleep(propagated_at.saturating_sub(table.shared_time())).await;
            let admission = table.request_trial(&fingerprint, &upstream).await;
            // The receiver is gone if the caller has stopped waiting.
            sender.send(admission.unwrap_or(Admission::Unreachable)).unwrap_or_default();
        }
        Command::Report(crash, sender) => {
            match table.report_crash(&crash).await {
                Ok(record) => {
                    cache.add_shared(&crash.fingerprint, &record);
                    sender.send(record.verdict(millis(table.shared_time()))).unwrap_or_default();
                }
                // The dropped sender makes the client record the crash at this instance.
                Err(error) => {
                    warn!(log, "crash not recorded in the store"; "error" => %error,
                        "fingerprint" => crash.fingerprint.as_ref(), "run" => &crash.run_id);
                }
            }
        }
        Command::Clear(fingerprint, upstream) => {
            // A record that cannot be removed expires.
            table.remove(&fingerprint, &upstream).await.unwrap_or_default();
        }
    }
}
