//! The way from the threads that serve requests to the loop that owns the table.

use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use futures::channel::{mpsc, oneshot};
use futures::future::{LocalBoxFuture, ready};
use futures::{FutureExt, StreamExt};
use tokio::time::{sleep, timeout};

use super::cache::Cache;
use super::record::Record;
use super::table::Table;
use super::{Admission, Crash, Fingerprint, Suspects, Verdict};

/// Longest time for which a request waits for the shared record.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Polls in which every reachable instance has read a new record for sure.
const PROPAGATION_POLLS: u32 = 2;

/// What the loop is asked to do.
#[derive(Debug)]
enum Command {
    Trial(Fingerprint, UpstreamId, oneshot::Sender<Admission>),
    Report(Crash, oneshot::Sender<Verdict>),
    Clear(Fingerprint, UpstreamId),
}

/// Knowledge about suspects for the threads that serve requests.
#[derive(Debug, Clone)]
pub struct Client {
    cache: Arc<Cache>,
    clock: Arc<dyn Clock>,
    commands: mpsc::UnboundedSender<Command>,
}

/// The other end of a client, for the loop.
#[derive(Debug)]
pub struct Inbox {
    cache: Arc<Cache>,
    clock: Arc<dyn Clock>,
    commands: mpsc::UnboundedReceiver<Command>,
}

/// Opens a client and the inbox of its loop.
#[must_use]
pub fn open(clock: Arc<dyn Clock>) -> (Client, Inbox) {
    let cache = Arc::new(Cache::default());
    let (sender, receiver) = mpsc::unbounded();
    let client = Client { cache: Arc::clone(&cache), clock: Arc::clone(&clock), commands: sender };
    (client, Inbox { cache, clock, commands: receiver })
}

impl Client {
    /// Asks the loop; `None` if no answer comes in time.
    async fn call<T>(&self, command: Command, receiver: oneshot::Receiver<T>) -> Option<T> {
        self.commands.unbounded_send(command).ok()?;
        timeout(REPLY_TIMEOUT, receiver).await.ok()?.ok()
    }

    /// Notes a crash here, so that this instance knows it even if the table is out.
    fn record_locally(&self, crash: &Crash) {
        let mut record = Record::default();
        record.add_crash(&crash.run_id, millis(self.clock.wall()));
        self.cache.add_local(&crash.fingerprint, &record);
    }
}

impl Suspects for Client {
    fn is_empty(&self) -> bool {
        self.cache.is_empty()
    }

    fn lookup(&self, fingerprint: &str) -> Verdict {
        self.cache.verdict(fingerprint, millis(self.clock.wall()))
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
            // With the loop gone the instance stops, and the record expires.
            self.commands.unbounded_send(command).unwrap_or_default();
        }
    }
}

/// Serves a client from the table until the client is gone.
///
/// `poll_interval` is the interval at which the records are read.
pub async fn serve(inbox: Inbox, rows: Rc<dyn store::Table>, poll_interval: Duration) {
    let Inbox { cache, clock, commands } = inbox;
    let table = Rc::new(Table::open(rows, clock));
    let refreshing = refresh(Rc::clone(&table), Arc::clone(&cache), poll_interval);
    let executing = commands.for_each_concurrent(None, |command| {
        let (table, cache) = (Rc::clone(&table), Arc::clone(&cache));
        async move { execute(&table, &cache, command, poll_interval).await }
    });
    futures::future::select(refreshing.boxed_local(), executing.boxed_local())
        .then(|_| ready(()))
        .await;
}

async fn refresh(table: Rc<Table>, cache: Arc<Cache>, poll_interval: Duration) {
    loop {
        // With the table out the records known so far stay in force.
        if let Ok(records) = table.read_records().await {
            cache.replace_shared(records, millis(table.wall()));
        }
        sleep(poll_interval).await;
    }
}

async fn execute(table: &Table, cache: &Cache, command: Command, poll_interval: Duration) {
    match command {
        Command::Trial(fingerprint, upstream, sender) => {
            // A second crash must find every instance with the record of the first, so that its
            // answer can go out at once and no copy runs anywhere without a trial.
            let crashed_at = Duration::from_millis(cache.record(&fingerprint).last_crash());
            let propagated_at = crashed_at + poll_interval * PROPAGATION_POLLS;
            sleep(propagated_at.saturating_sub(table.wall())).await;
            let admission = table.request_trial(&fingerprint, &upstream).await;
            // A request that was given up needs no answer.
            sender.send(admission.unwrap_or(Admission::Unreachable)).unwrap_or_default();
        }
        Command::Report(crash, sender) => {
            let Ok(record) = table.report_crash(&crash).await else { return };
            cache.add_shared(&crash.fingerprint, &record);
            sender.send(record.verdict(millis(table.wall()))).unwrap_or_default();
        }
        Command::Clear(fingerprint, upstream) => {
            // A record that could not be removed expires.
            table.remove(&fingerprint, &upstream).await.unwrap_or_default();
        }
    }
}
