//! Access to the records and trials in the platform's table.

use std::fmt;
use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use serde::de::DeserializeOwned;
use store::{Commit, Row, Txn};

use super::record::{Record, Trial};
use super::{Admission, Crash, Fingerprint, Verdict};

/// Prefix of the keys of all rows of this module.
pub(super) const ROWS: &str = "poison/";
/// Prefix of the keys of records; the fingerprint follows.
pub const RECORDS: &str = "poison/record-";
/// Prefix of the keys of trials; the id of the upstream follows.
pub const TRIALS: &str = "poison/trial-";
/// Most rows of one scan.
const PAGE_ROWS: usize = 500;
/// Attempts to commit a transaction that conflicts with other instances.
const COMMIT_ATTEMPTS: usize = 8;

/// Records and trials that all instances share, updated by compare-and-set.
pub struct Table {
    rows: Rc<dyn store::Table>,
    clock: Arc<dyn Clock>,
}

impl fmt::Debug for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Table").finish_non_exhaustive()
    }
}

/// Record of a request and trial at an upstream, each with its revision.
#[derive(Debug)]
struct Snapshot {
    record_key: String,
    trial_key: String,
    record: (u64, Record),
    trial: (u64, Option<Trial>),
}

impl Table {
    /// Wraps the platform's table.
    ///
    /// `clock` supplies the times of crashes and trials if the table has no clock of its own.
    #[must_use]
    pub fn open(rows: Rc<dyn store::Table>, clock: Arc<dyn Clock>) -> Self {
        Self { rows, clock }
    }

    /// Returns the clock of this instance.
    #[must_use]
    pub fn clock(&self) -> &dyn Clock {
        &*self.clock
    }

    /// Returns the time of the table's clock; see [`store::Table::now`].
    #[must_use]
    pub fn time(&self) -> Option<Duration> {
        self.rows.now()
    }

    /// Returns the time by which records and trials end.
    ///
    /// All instances share the clock of the table, while the time of day may jump on each.
    #[must_use]
    pub fn shared_time(&self) -> Duration {
        self.time().unwrap_or_else(|| self.clock.wall())
    }

    /// Returns the era of the table; see [`store::Table::era`].
    #[must_use]
    pub fn era(&self) -> Option<u64> {
        self.rows.era()
    }

    fn now_ms(&self) -> u64 {
        millis(self.shared_time())
    }

    async fn read_snapshot(
        &self,
        fingerprint: &str,
        upstream: &str,
    ) -> Result<Snapshot, store::Error> {
        let record_key = format!("{RECORDS}{fingerprint}");
        let trial_key = format!("{TRIALS}{upstream}");
        let rows = self.rows.get(vec![record_key.clone(), trial_key.clone()]).await?;
        let (revision, record) = decode::<Record>(&rows, &record_key);
        let record = record.filter(|record| !record.is_expired(self.now_ms())).unwrap_or_default();
        let trial = decode(&rows, &trial_key);
        Ok(Snapshot { record_key, trial_key, record: (revision, record), trial })
    }

    /// Starts the trial of a suspect at an upstream unless another suspect is on trial.
    ///
    /// # Errors
    ///
    /// Returns an error if the table cannot be reached.
    pub async fn request_trial(
        &self,
        fingerprint: &Fingerprint,
        upstream: &str,
    ) -> Result<Admission, store::Error> {
        for _ in 0..COMMIT_ATTEMPTS {
            let snapshot = self.read_snapshot(fingerprint, upstream).await?;
            let now_ms = self.now_ms();
            if snapshot.record.1.verdict(now_ms) == Verdict::Guilty {
                return Ok(Admission::Guilty);
            }
            if snapshot.trial.1.as_ref().is_some_and(|trial| trial.excludes(fingerprint, now_ms)) {
                return Ok(Admission::Busy);
            }
            let mut txn = Txn::default();
            txn.check(&snapshot.record_key, snapshot.record.0);
            txn.check(&snapshot.trial_key, snapshot.trial.0);
            txn.put(&snapshot.trial_key, &Trial::open(fingerprint, now_ms));
            if let Commit::Applied(_) = self.rows.commit(txn).await? {
                return Ok(Admission::Granted);
            }
        }
        Ok(Admission::Busy)
    }

    /// Counts a crash and returns the resulting record.
    ///
    /// If another suspect is on trial at the upstream, an existing record stays unchanged.
    ///
    /// # Errors
    ///
    /// Returns an error if the table cannot be reached.
    pub async fn report_crash(&self, crash: &Crash) -> Result<Record, store::Error> {
        for _ in 0..COMMIT_ATTEMPTS {
            let snapshot = self.read_snapshot(&crash.fingerprint, &crash.upstream).await?;
            let now_ms = self.now_ms();
            let (revision, mut record) = snapshot.record;
            let (trial_revision, trial) = snapshot.trial;
            // The crash is attributed to the suspect on trial. Of the other requests only those
            // without a record become suspects.
            let other_on_trial =
                trial.as_ref().is_some_and(|trial| trial.excludes(&crash.fingerprint, now_ms));
            if other_on_trial && !record.crashes.is_empty() {
                return Ok(record);
            }
            record.add_crash(&crash.run_id, now_ms);
            let mut txn = Txn::default();
            if let Some(trial) = trial.filter(|trial| trial.fingerprint == crash.fingerprint) {
                txn.put(&snapshot.trial_key, &trial.shorten_after_crash(now_ms));
            }
            txn.check(&snapshot.record_key, revision);
            txn.check(&snapshot.trial_key, trial_revision);
            txn.put(&snapshot.record_key, &record);
            if let Commit::Applied(_) = self.rows.commit(txn).await? {
                return Ok(record);
            }
        }
        Err(store::Error::Unreachable("too many concurrent writes of one record".into()))
    }

    /// Merges a record into that of the table and returns the resulting one.
    ///
    /// # Errors
    ///
    /// Returns an error if the table cannot be reached.
    pub async fn merge_record(
        &self,
        fingerprint: &str,
        record: &Record,
    ) -> Result<Record, store::Error> {
        let key = format!("{RECORDS}{fingerprint}");
        for _ in 0..COMMIT_ATTEMPTS {
            let rows = self.rows.get(vec![key.clone()]).await?;
            let (revision, stored) = decode::<Record>(&rows, &key);
            let mut merged =
                stored.filter(|stored| !stored.is_expired(self.now_ms())).unwrap_or_default();
            if merged.contains(record) {
                return Ok(merged);
            }
            merged.merge(record);
            let mut txn = Txn::default();
            txn.check(&key, revision);
            txn.put(&key, &merged);
            if let Commit::Applied(_) = self.rows.commit(txn).await? {
                return Ok(merged);
            }
        }
        Err(store::Error::Unreachable("too many concurrent writes of one record".into()))
    }

    /// Removes the record of a completed suspect and its trial; a guilty record stays.
    ///
    /// # Errors
    ///
    /// Returns an error if the table cannot be reached.
    pub async fn remove(&self, fingerprint: &str, upstream: &str) -> Result<(), store::Error> {
        let snapshot = self.read_snapshot(fingerprint, upstream).await?;
        let mut txn = Txn::default();
        if snapshot.record.0 > 0 && snapshot.record.1.verdict(self.now_ms()) != Verdict::Guilty {
            txn.check(&snapshot.record_key, snapshot.record.0);
            txn.delete(&snapshot.record_key);
        }
        if snapshot.trial.1.is_some_and(|trial| *trial.fingerprint == *fingerprint) {
            txn.check(&snapshot.trial_key, snapshot.trial.0);
            txn.delete(&snapshot.trial_key);
        }
        if txn.writes.is_empty() {
            return Ok(());
        }
        // On a conflict another instance has changed the rows, and its state is newer.
        self.rows.commit(txn).await.map(drop)
    }

    /// Returns all current records and removes the expired ones from the table.
    ///
    /// # Errors
    ///
    /// Returns an error if the table cannot be reached.
    pub async fn read_records(&self) -> Result<Vec<(Fingerprint, Record)>, store::Error> {
        let mut records = Vec::new();
        let mut after = String::new();
        loop {
            let rows = self.rows.scan(RECORDS.into(), after.clone(), PAGE_ROWS).await?;
            let is_last = rows.len() < PAGE_ROWS;
            if let Some(last) = rows.last() {
                after.clone_from(&last.key);
            }
            for row in rows {
                self.collect_or_expire(row, &mut records).await?;
            }
            if is_last {
                return Ok(records);
            }
        }
    }

    /// Adds the record of a row to `records`, or deletes an expired row.
    async fn collect_or_expire(
        &self,
        row: Row,
        records: &mut Vec<(Fingerprint, Record)>,
    ) -> Result<(), store::Error> {
        let record: Record = serde_json::from_value(row.value).unwrap_or_default();
        if record.is_expired(self.now_ms()) {
            let mut txn = Txn::default();
            txn.check(&row.key, row.revision);
            txn.delete(&row.key);
            self.rows.commit(txn).await?;
        } else if let Some(fingerprint) = row.key.strip_prefix(RECORDS) {
            records.push((fingerprint.into(), record));
        }
        Ok(())
    }
}

/// Returns the revision and the value of a row; revision 0 without a row.
fn decode<T: DeserializeOwned>(rows: &[Row], key: &str) -> (u64, Option<T>) {
    let Some(row) = rows.iter().find(|row| row.key == key) else { return (0, None) };
    (row.revision, serde_json::from_value(row.value.clone()).ok())
}
