//! What this instance knows about suspects, for all its threads.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

use super::record::Record;
use super::{Fingerprint, Verdict};

/// Records that are kept at most; a crash is rare, so that more would be an attack.
const RECORDS_MAX: usize = 10_000;

#[derive(Debug, Default)]
struct Records {
    /// As last read from the table.
    shared: HashMap<Fingerprint, Record>,
    /// Crashes that could not be written to the table.
    local: HashMap<Fingerprint, Record>,
}

/// Records known to this instance.
#[derive(Debug, Default)]
pub struct Cache {
    has_records: AtomicBool,
    records: Mutex<Records>,
}

impl Cache {
    /// Returns true if there is no record, which is the usual case.
    pub fn is_empty(&self) -> bool {
        !self.has_records.load(Ordering::Acquire)
    }

    /// Returns what is known at a wall-clock time in milliseconds.
    pub fn verdict(&self, fingerprint: &str, now_ms: u64) -> Verdict {
        if self.is_empty() {
            return Verdict::Clear;
        }
        self.record(fingerprint).verdict(now_ms)
    }

    /// Returns everything known about one fingerprint.
    pub fn record(&self, fingerprint: &str) -> Record {
        self.with_records(|records| {
            let mut record = records.shared.get(fingerprint).cloned().unwrap_or_default();
            if let Some(local) = records.local.get(fingerprint) {
                record.merge(local);
            }
            record
        })
    }

    /// Adds what the table holds about one fingerprint.
    pub fn add_shared(&self, fingerprint: &Fingerprint, record: &Record) {
        self.with_records(|records| merge_into(&mut records.shared, fingerprint, record));
    }

    /// Adds what could not be written to the table.
    pub fn add_local(&self, fingerprint: &Fingerprint, record: &Record) {
        self.with_records(|records| merge_into(&mut records.local, fingerprint, record));
    }

    /// Forgets one fingerprint.
    pub fn remove(&self, fingerprint: &str) {
        self.with_records(|records| {
            records.shared.remove(fingerprint);
            records.local.remove(fingerprint);
        });
    }

    /// Replaces what was read from the table and drops what has expired.
    pub fn replace_shared(&self, read: Vec<(Fingerprint, Record)>, now_ms: u64) {
        self.with_records(|records| {
            records.shared = read.into_iter().take(RECORDS_MAX).collect();
            records.local.retain(|_, record| !record.is_expired(now_ms));
        });
    }

    fn with_records<T>(&self, f: impl FnOnce(&mut Records) -> T) -> T {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let result = f(&mut records);
        let has_records = !records.shared.is_empty() || !records.local.is_empty();
        self.has_records.store(has_records, Ordering::Release);
        result
    }
}

fn merge_into(map: &mut HashMap<Fingerprint, Record>, fingerprint: &Fingerprint, record: &Record) {
    if map.len() < RECORDS_MAX || map.contains_key(fingerprint) {
        map.entry(Fingerprint::clone(fingerprint)).or_default().merge(record);
    }
}
