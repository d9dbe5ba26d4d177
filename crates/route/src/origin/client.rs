//! Handle to the versions of streams for requests, and the tasks that access the table.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, join};
use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};
use store::{Commit, Error, Row, Table, Txn};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::Origins;
use super::journal::{Journal, Key, STREAM_TTL, stream_key};

/// Prefix of the keys of announced versions; a digest of service and version follows.
const VERSIONS: &str = "stream/origins/version-";
/// Prefix of the keys of streams; the key of the stream follows.
const STREAMS: &str = "stream/origins/stream-";
/// Most rows of one read.
const PAGE_ROWS: usize = 500;
/// Most streams that one transaction writes, and most that it removes; the platform allows 100.
const MAX_WRITES: usize = 45;
/// Shortest time between two transactions of an instance.
///
/// Streams whose first event is younger are lost to other instances if this one dies.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two transactions, for each instance that shares the load.
///
/// All instances together make at most half of the transactions that one part takes.
const WRITE_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(10);
/// Margin for the transaction that writes a stream while another instance looks for it.
const WRITE_TIME: Duration = Duration::from_millis(60);
/// Pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Interval at which the announced versions are read again and old rows are removed.
const MAINTENANCE_INTERVAL: Duration = Duration::from_mins(2);

/// Row of an announced version.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct VersionRow {
    service: String,
    version: String,
}

/// Row of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct StreamRow {
    version: String,
    /// When the row was written, by the clock of the table in milliseconds.
    at: u64,
}

/// Handle for the thread that serves requests.
#[derive(Clone)]
pub struct Client {
    journal: Rc<RefCell<Journal>>,
    table: Rc<dyn Table>,
    clock: Arc<dyn Clock>,
    /// Signals a version that is to be announced.
    has_unannounced: Rc<Notify>,
    /// Signals streams that are to be written.
    has_unstored: Rc<Notify>,
    write_interval: Rc<Cell<Duration>>,
    sharing_instances: Rc<Cell<u64>>,
    era: Rc<Cell<Option<u64>>>,
    log: Logger,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client").field("journal", &self.journal).finish_non_exhaustive()
    }
}

/// Opens a client without rows; [`Client::run`] accesses the table.
#[must_use]
pub fn open(table: Rc<dyn Table>, clock: Arc<dyn Clock>, log: Logger) -> Client {
    Client {
        journal: Rc::default(),
        table,
        clock,
        has_unannounced: Rc::new(Notify::new()),
        has_unstored: Rc::new(Notify::new()),
        write_interval: Rc::new(Cell::new(MIN_WRITE_INTERVAL)),
        sharing_instances: Rc::new(Cell::new(1)),
        era: Rc::default(),
        log,
    }
}

impl Client {
    /// Sets how many instances share the load, which limits how often each one writes.
    pub fn set_instances(&self, count: u64) {
        let factor = u32::try_from(count.max(1)).unwrap_or(u32::MAX);
        self.sharing_instances.set(count.max(1));
        let interval = WRITE_INTERVAL_PER_INSTANCE.saturating_mul(factor);
        self.write_interval.set(interval.max(MIN_WRITE_INTERVAL));
    }

    /// Writes all rows again if the table has been restored from a copy.
    pub fn check_era(&self) {
        let era = self.table.era();
        let last = self.era.replace(era);
        if last.is_some() && last != era {
            warn!(self.log, "origins of streams written again after a restore of the store");
            self.journal.borrow_mut().unstore();
            self.has_unannounced.notify_one();
            self.has_unstored.notify_one();
        }
    }

    /// Announces versions and writes the versions of streams, forever.
    pub async fn run(self) {
        join(self.announce(), self.store_streams()).await;
    }

    async fn announce(&self) {
        let mut next_read = Duration::ZERO;
        loop {
            let is_read_due = self.clock.now() >= next_read;
            let result = async {
                if is_read_due {
                    self.read_versions().await?;
                }
                if !self.journal.borrow().unannounced(self.clock.now()).is_empty() {
                    // All instances list a new version at once, and one of them is to announce it.
                    sleep(self.announcement_delay()).await;
                    self.read_versions().await?;
                }
                self.announce_versions().await
            };
            match result.await {
                Ok(()) => {
                    if is_read_due {
                        next_read = self.clock.now() + MAINTENANCE_INTERVAL;
                        self.remove_old_rows().await;
                    }
                    // A timeout only means that the next maintenance is due.
                    drop(timeout(MAINTENANCE_INTERVAL, self.has_unannounced.notified()).await);
                }
                Err(error) => {
                    warn!(self.log, "versions not announced"; "error" => %error);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn announcement_delay(&self) -> Duration {
        let instances = u32::try_from(self.sharing_instances.get()).unwrap_or(u32::MAX);
        WRITE_INTERVAL_PER_INSTANCE.saturating_mul(instances).mul_f64(rand::random())
    }

    async fn read_versions(&self) -> Result<(), Error> {
        let rows = self.table.scan(VERSIONS.into(), String::new(), PAGE_ROWS).await?;
        let now = self.clock.now();
        // Rows of another format announce nothing.
        let decode = |row: Row| serde_json::from_value::<VersionRow>(row.value).ok();
        let stored: Vec<(ServiceId, SoftwareVersion)> = rows
            .into_iter()
            .filter_map(decode)
            .map(|row| (row.service.into(), row.version.into()))
            .collect();
        let mut journal = self.journal.borrow_mut();
        for (service, version) in &stored {
            journal.mark_announced(service, version, now);
        }
        journal.retain_versions(&stored, now);
        if self.era.get().is_none() {
            self.era.set(self.table.era());
        }
        Ok(())
    }

    async fn announce_versions(&self) -> Result<(), Error> {
        let unannounced = self.journal.borrow().unannounced(self.clock.now());
        for (service, version) in unannounced {
            let key = version_key(&service, &version);
            let mut txn = Txn::default();
            txn.check(&key, 0);
            let row = VersionRow { service: service.to_string(), version: version.to_string() };
            txn.put(&key, &row);
            // On a conflict another instance has announced the version.
            let commit = self.table.commit(txn).await?;
            self.journal.borrow_mut().mark_announced(&service, &version, self.clock.now());
            info!(self.log, "version announced"; "service" => &*service, "version" => &*version,
                "is_first" => matches!(commit, Commit::Applied(_)));
        }
        Ok(())
    }

    /// Removes versions without upstreams, and streams whose instances have died.
    async fn remove_old_rows(&self) {
        // The instances take turns at random, since one of them is enough.
        if rand::random_range(0..self.sharing_instances.get()) > 0 {
            return;
        }
        if let Err(error) = self.try_remove_old_rows().await {
            warn!(self.log, "old origins of streams not removed"; "error" => %error);
        }
    }

    async fn try_remove_old_rows(&self) -> Result<(), Error> {
        for row in self.table.scan(VERSIONS.into(), String::new(), PAGE_ROWS).await? {
            let (key, revision) = (row.key.clone(), row.revision);
            let Ok(row) = serde_json::from_value::<VersionRow>(row.value) else { continue };
            let (service, version): (ServiceId, SoftwareVersion) =
                (row.service.into(), row.version.into());
            if !self.journal.borrow().is_removable(&service, &version, self.clock.now()) {
                continue;
            }
            let mut txn = Txn::default();
            txn.check(&key, revision);
            txn.delete(&key);
            self.table.commit(txn).await?;
            info!(self.log, "version removed"; "service" => &*service, "version" => &*version);
        }
        let Some(now) = self.table.now().map(millis) else { return Ok(()) };
        let is_old = |row: &Row| {
            let row = serde_json::from_value::<StreamRow>(row.value.clone());
            row.map_or(true, |row| now.saturating_sub(row.at) > 2 * millis(STREAM_TTL))
        };
        let rows = self.table.scan(STREAMS.into(), String::new(), PAGE_ROWS).await?;
        let old: Vec<String> = rows.into_iter().filter(is_old).map(|row| row.key).collect();
        for keys in old.chunks(MAX_WRITES) {
            let mut txn = Txn::default();
            for key in keys {
                txn.delete(key);
            }
            self.table.commit(txn).await?;
        }
        Ok(())
    }

    async fn store_streams(&self) {
        loop {
            self.has_unstored.notified().await;
            sleep(self.write_interval.get()).await;
            loop {
                match self.write_batch().await {
                    Ok(MAX_WRITES..) => {}
                    Ok(_) => break,
                    Err(error) => {
                        warn!(self.log, "origins of streams not written"; "error" => %error);
                        sleep(RETRY_DELAY).await;
                    }
                }
            }
        }
    }

    /// Writes streams that the table lacks, and returns how many there were.
    async fn write_batch(&self) -> Result<usize, Error> {
        let entries = self.journal.borrow_mut().take_unstored(MAX_WRITES);
        if entries.is_empty() {
            return Ok(0);
        }
        let obsolete = self.journal.borrow_mut().take_obsolete(MAX_WRITES);
        let mut txn = Txn::default();
        let at = self.table.now().map(millis).unwrap_or_default();
        for entry in &entries {
            let row = StreamRow { version: entry.version.to_string(), at };
            txn.put(row_key(entry.key), &row);
        }
        for key in &obsolete {
            txn.delete(row_key(*key));
        }
        match self.table.commit(txn).await {
            Ok(_) => self.journal.borrow_mut().mark_stored(&entries),
            Err(error) => {
                self.journal.borrow_mut().put_back(&entries, &obsolete);
                return Err(error);
            }
        }
        Ok(entries.len())
    }

    async fn find_stored(&self, key: Key) -> Result<Option<SoftwareVersion>, Error> {
        let rows = self.table.get(vec![row_key(key)]).await?;
        let row = rows.into_iter().next();
        let row = row.and_then(|row| serde_json::from_value::<StreamRow>(row.value).ok());
        Ok(row.map(|row| row.version.into()))
    }
}

impl Origins for Client {
    fn observe(&self, service: &ServiceId, version: &SoftwareVersion) {
        let now = self.clock.now();
        let mut journal = self.journal.borrow_mut();
        journal.expire_versions(now);
        let was_mixed = journal.is_mixed(service);
        if journal.observe(service, version, now) {
            self.has_unannounced.notify_one();
        }
        if !was_mixed && journal.is_mixed(service) {
            self.has_unstored.notify_one();
        }
    }

    fn is_announced(&self, service: &ServiceId, version: &SoftwareVersion) -> bool {
        self.journal.borrow().is_announced(service, version)
    }

    fn record(&self, stream: &str, service: &ServiceId, version: &SoftwareVersion) {
        let (key, now) = (stream_key(service, stream), self.clock.now());
        if self.journal.borrow_mut().record(key, service, version, now) {
            self.has_unstored.notify_one();
        }
    }

    fn revoke<'a>(
        &'a self,
        stream: &'a str,
        service: &'a ServiceId,
    ) -> LocalBoxFuture<'a, Result<(), Error>> {
        let key = stream_key(service, stream);
        let unknown = SoftwareVersion::default();
        self.journal.borrow_mut().record(key, service, &unknown, self.clock.now());
        async move {
            let mut txn = Txn::default();
            let at = self.table.now().map(millis).unwrap_or_default();
            txn.put(row_key(key), &StreamRow { version: unknown.to_string(), at });
            self.table.commit(txn).await?;
            Ok(())
        }
        .boxed_local()
    }

    fn find<'a>(
        &'a self,
        stream: Option<&'a str>,
        service: &'a ServiceId,
    ) -> LocalBoxFuture<'a, Result<Option<SoftwareVersion>, Error>> {
        async move {
            let key = stream.map(|stream| stream_key(service, stream));
            let known = |version: SoftwareVersion| Some(version).filter(|name| !name.is_empty());
            if let Some(version) = key.and_then(|key| self.journal.borrow().find(key)) {
                return Ok(known(version));
            }
            let find_stored = async || match key {
                Some(key) => self.find_stored(key).await,
                None => Ok(None),
            };
            let read_versions = async {
                // Another instance may have announced a version that is not listed here yet.
                let is_mixed = self.journal.borrow().is_mixed(service);
                if is_mixed { Ok(()) } else { self.read_versions().await }
            };
            // The row of a stream may withdraw what a sole version would prove.
            let (versions, stored) = join(read_versions, find_stored()).await;
            versions?;
            if let Some(version) = stored? {
                return Ok(known(version));
            }
            if let Some(version) = self.journal.borrow().sole_version(service) {
                return Ok(known(version));
            }
            if key.is_none() {
                return Ok(None);
            }
            // The stream may have begun just now.
            sleep(self.write_interval.get() + WRITE_TIME).await;
            Ok(find_stored().await?.and_then(known))
        }
        .boxed_local()
    }
}

/// Returns the key of the row of a stream.
fn row_key(key: Key) -> String {
    format!("{STREAMS}{key:032x}")
}

/// Returns the key of the row of a version.
fn version_key(service: &str, version: &str) -> String {
    format!("{VERSIONS}{:032x}", stream_key(service, version))
}
