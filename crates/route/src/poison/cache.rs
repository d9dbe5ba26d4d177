//! Records of crashes that this instance has cached for all its threads.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base::clock::{Clock, millis};

use super::record::Record;
use super::{Fingerprint, Verdict};

/// Most records in each map of [`Records`]; crashes are rare, so more indicate an attack.
const MAX_RECORDS: usize = 10_000;

#[derive(Debug, Default)]
struct Records {
    /// Records as last read from the table or written to it.
    shared: HashMap<Fingerprint, Record>,
    /// Records of crashes that could not be written to the table.
    local: HashMap<Fingerprint, Record>,
}

/// Value of [`Cache::lead_ms`] before the table has reported a time.
const UNKNOWN_LEAD: i64 = i64::MIN;

/// Cached records of this instance; safe to share between threads.
#[derive(Debug)]
pub struct Cache {
    has_records: AtomicBool,
    /// Lead of the table's clock over the monotonic clock of this instance, in milliseconds.
    lead_ms: AtomicI64,
    records: Mutex<Records>,
}

impl Default for Cache {
    fn default() -> Self {
        Self {
            has_records: AtomicBool::default(),
            lead_ms: AtomicI64::new(UNKNOWN_LEAD),
            records: Mutex::default(),
        }
    }
}

impl Cache {
    /// Notes the time of the table's clock, which all instances share.
    pub fn set_time(&self, table_time: Duration, clock: &dyn Clock) {
        let signed = |time| i64::try_from(millis(time)).unwrap_or(i64::MAX);
        let lead_ms = signed(table_time).saturating_sub(signed(clock.now()));
        self.lead_ms.store(lead_ms, Ordering::Relaxed);
    }

    /// Returns the time of the table's clock in milliseconds.
    ///
    /// Until the table has reported a time, it is the time of day since the Unix epoch.
    pub fn now_ms(&self, clock: &dyn Clock) -> u64 {
        match self.lead_ms.load(Ordering::Relaxed) {
            UNKNOWN_LEAD => millis(clock.wall()),
            lead_ms => millis(clock.now()).saturating_add_signed(lead_ms),
        }
    }

    /// Returns true if there is no record, without taking the lock.
    pub fn is_empty(&self) -> bool {
        !self.has_records.load(Ordering::Acquire)
    }

    /// Classifies a request at a time of [`Self::now_ms`].
    pub fn verdict(&self, fingerprint: &str, now_ms: u64) -> Verdict {
        if self.is_empty() {
            return Verdict::Clear;
        }
        self.record(fingerprint).verdict(now_ms)
    }

    /// Returns the shared and the local record of a fingerprint, merged.
    pub fn record(&self, fingerprint: &str) -> Record {
        self.with_records(|records| {
            let mut record = records.shared.get(fingerprint).cloned().unwrap_or_default();
            if let Some(local) = records.local.get(fingerprint) {
                record.merge(local);
            }
            record
        })
    }

    /// Merges a record that the table contains.
    pub fn add_shared(&self, fingerprint: &Fingerprint, record: &Record) {
        self.with_records(|records| merge_into(&mut records.shared, fingerprint, record));
    }

    /// Merges a record that could not be written to the table.
    pub fn add_local(&self, fingerprint: &Fingerprint, record: &Record) {
        self.with_records(|records| merge_into(&mut records.local, fingerprint, record));
    }

    /// Removes the shared and the local record of a fingerprint.
    pub fn remove(&self, fingerprint: &str) {
        self.with_records(|records| {
            records.shared.remove(fingerprint);
            records.local.remove(fingerprint);
        });
    }

    /// Replaces the shared records by those of the table and drops expired local ones.
    ///
    /// Local records that the table contains are dropped, too.
    pub fn replace_shared(&self, read: Vec<(Fingerprint, Record)>, now_ms: u64) {
        self.with_records(|records| {
            records.shared = read.into_iter().take(MAX_RECORDS).collect();
            let shared = &records.shared;
            records.local.retain(|fingerprint, record| {
                let is_shared = shared.get(fingerprint).is_some_and(|known| known.contains(record));
                !record.is_expired(now_ms) && !is_shared
            });
        });
    }

    /// Treats the shared records as local ones, because the table may have lost them in a restore.
    pub fn unshare(&self) {
        self.with_records(|records| {
            for (fingerprint, record) in std::mem::take(&mut records.shared) {
                merge_into(&mut records.local, &fingerprint, &record);
            }
        });
    }

    /// Returns the records that the table does not contain.
    pub fn unpublished(&self) -> Vec<(Fingerprint, Record)> {
        self.with_records(|records| {
            let local = records.local.iter();
            local.map(|(fingerprint, record)| (Arc::clone(fingerprint), record.clone())).collect()
        })
    }

    /// Runs `f` under the lock and updates the flag that [`Self::is_empty`] reads.
    fn with_records<T>(&self, f: impl FnOnce(&mut Records) -> T) -> T {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let result = f(&mut records);
        let has_records = !records.shared.is_empty() || !records.local.is_empty();
        self.has_records.store(has_records, Ordering::Release);
        result
    }
}

/// Merges a record into `map`; a new fingerprint beyond [`MAX_RECORDS`] is dropped.
fn merge_into(map: &mut HashMap<Fingerprint, Record>, fingerprint: &Fingerprint, record: &Record) {
    if map.len() < MAX_RECORDS || map.contains_key(fingerprint) {
        map.entry(Fingerprint::clone(fingerprint)).or_default().merge(record);
    }
}
