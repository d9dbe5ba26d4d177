//! Opaque records that instances gossip to each other.

use std::collections::BTreeMap;

use wire::message::Record;

/// Most records kept; one more evicts the record that expires first.
pub const MAX_RECORDS: usize = 256;
/// Largest size of a record's key plus value; larger records are rejected.
pub const MAX_RECORD_BYTES: usize = 512;
/// Most records in one message, including the one chosen round-robin.
const MAX_RECORDS_PER_MESSAGE: usize = 4;

/// Topic and key of a record.
type Key = (u8, Vec<u8>);

#[derive(Debug)]
struct Entry {
    record: Record,
    send_count: u32,
}

/// Bounded set of records, each of which expires at its own time.
#[derive(Debug, Default)]
pub struct Records {
    entries: BTreeMap<Key, Entry>,
    selection_count: usize,
}

impl Records {
    /// Inserts a record and returns true unless it is rejected.
    ///
    /// Rejected are expired and oversized records, and those that do not expire later than the
    /// stored record of the same topic and key; of two that expire at the same time, the greater
    /// value wins. A full set evicts the record that expires first.
    ///
    /// # Examples
    ///
    /// ```
    /// use wire::message::Record;
    /// let mut records = member::Records::default();
    /// let record = Record { topic: 1, key: vec![7], value: vec![], expires: 50 };
    /// assert!(records.insert(record.clone(), 10));
    /// assert!(!records.insert(record, 10));
    /// assert!(records.unexpired(60).is_empty());
    /// ```
    pub fn insert(&mut self, record: Record, wall_ms: u64) -> bool {
        let fits = record.key.len() + record.value.len() <= MAX_RECORD_BYTES;
        if record.expires <= wall_ms || !fits {
            return false;
        }
        let key = (record.topic, record.key.clone());
        let is_newer = |entry: &Entry| {
            (record.expires, &record.value) > (entry.record.expires, &entry.record.value)
        };
        if !self.entries.get(&key).is_none_or(is_newer) {
            return false;
        }
        self.entries.insert(key, Entry { record, send_count: 0 });
        self.evict_excess();
        true
    }

    fn evict_excess(&mut self) {
        if self.entries.len() <= MAX_RECORDS {
            return;
        }
        let first = self.entries.iter().min_by_key(|(_, entry)| entry.record.expires);
        if let Some(key) = first.map(|(key, _)| key.clone()) {
            self.entries.remove(&key);
        }
    }

    /// Returns the records that expire after `wall_ms`.
    #[must_use]
    pub fn unexpired(&self, wall_ms: u64) -> Vec<Record> {
        let live = self.entries.values().filter(|entry| entry.record.expires > wall_ms);
        live.map(|entry| entry.record.clone()).collect()
    }

    /// Selects records for a message: the least sent ones, and one round-robin.
    ///
    /// A record that was sent `max_sends` times is selected only round-robin.
    pub fn select(&mut self, wall_ms: u64, max_sends: u32) -> Vec<Record> {
        self.entries.retain(|_, entry| entry.record.expires > wall_ms);
        let mut pending: Vec<&mut Entry> =
            self.entries.values_mut().filter(|entry| entry.send_count < max_sends).collect();
        pending.sort_by_key(|entry| entry.send_count);
        let mut selected = Vec::new();
        for entry in pending.into_iter().take(MAX_RECORDS_PER_MESSAGE - 1) {
            entry.send_count += 1;
            selected.push(entry.record.clone());
        }
        self.selection_count = self.selection_count.wrapping_add(1);
        let index = self.selection_count.checked_rem(self.entries.len()).unwrap_or_default();
        let next = self.entries.values().nth(index).map(|entry| entry.record.clone());
        selected.extend(next.filter(|record| !selected.contains(record)));
        selected
    }
}
