//! What one instance knows of crashing parts; it has no I/O.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use base::clock::millis;

use super::record::{Crash, Record};
use super::{Admission, Id};
use crate::poison::Verdict;

/// Most parts that one crash records. Parts that were answered recently do not count.
pub const MAX_PARTS_PER_CRASH: usize = 32;
/// Most records; beyond it, those whose last crash is the oldest are dropped.
pub const MAX_RECORDS: usize = 400;
/// Time for which an answer shows that a crash soon after it has another cause.
const ANSWER_VALIDITY: Duration = Duration::from_secs(10);
/// Most remembered answers, by part.
const MAX_ANSWERS: usize = 8_192;

/// Time in milliseconds by the clock that all instances share.
type Millis = u64;

/// Record of a part, with its state in the table.
#[derive(Debug, Clone, Default)]
pub struct Entry {
    /// Crashes and trials as far as they are known here.
    pub record: Record,
    /// Revision of the row; 0 if there is none.
    pub revision: u64,
    /// Whether the table lacks a part of the record.
    pub is_unpublished: bool,
}

/// Records of the parts that may crash upstreams, and the answers that clear parts.
#[derive(Debug, Default)]
pub struct Board {
    entries: HashMap<Id, Entry>,
    /// When an answer to a prompt with the part last began.
    answers: HashMap<Id, Millis>,
}

impl Board {
    /// Classifies a part at time `now`.
    #[must_use]
    pub fn verdict(&self, part: Id, now: Millis) -> Verdict {
        match self.entries.get(&part) {
            Some(entry) if !self.is_cleared(part, &entry.record) => entry.record.verdict(now),
            _ => Verdict::Clear,
        }
    }

    /// Returns true if an answer has begun since the first crash.
    fn is_cleared(&self, part: Id, record: &Record) -> bool {
        self.answers.get(&part).is_some_and(|at| *at >= record.first_crash())
    }

    /// Returns the parts that crash upstreams.
    #[must_use]
    pub fn guilty(&self, parts: &[Id], now: Millis) -> Vec<Id> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        let is_guilty = |part: &Id| self.verdict(*part, now) == Verdict::Guilty;
        let guilty: HashSet<Id> = parts.iter().copied().filter(is_guilty).collect();
        guilty.into_iter().collect()
    }

    /// Decides whether a request may be sent; the trial of the returned part must be claimed first.
    #[must_use]
    pub fn admit(&self, parts: &[Id], now: Millis) -> (Admission, Option<Id>) {
        match self.guilty(parts, now)[..] {
            [] => (Admission::Granted, None),
            [part] if self.entries[&part].record.is_trial_due(now) => {
                (Admission::Trial, Some(part))
            }
            _ => (Admission::Refused, None),
        }
    }

    /// Records an answer that has begun; returns the parts whose records it disproves.
    pub fn record_answer(&mut self, parts: &[Id], now: Millis) -> Vec<Id> {
        if self.answers.len() + parts.len() > MAX_ANSWERS {
            let oldest = now.saturating_sub(millis(ANSWER_VALIDITY));
            self.answers.retain(|_, at| *at >= oldest);
            if self.answers.len() + parts.len() > MAX_ANSWERS {
                self.answers.clear();
            }
        }
        self.answers.extend(parts.iter().map(|part| (*part, now)));
        parts.iter().copied().filter(|part| self.entries.remove(part).is_some()).collect()
    }

    /// Records a crash; returns true if the table must be told.
    pub fn record_crash(&mut self, crash: &super::Crash, now: Millis) -> bool {
        let sent = now.saturating_sub(millis(crash.sent_before));
        let oldest_answer = now.saturating_sub(millis(ANSWER_VALIDITY));
        let answers = &self.answers;
        let mut parts: Vec<Id> = Vec::new();
        for part in &crash.parts {
            let is_answered = answers.get(part).is_some_and(|at| *at >= oldest_answer);
            if !is_answered && !parts.contains(part) && parts.len() < MAX_PARTS_PER_CRASH {
                parts.push(*part);
            }
        }
        for part in &parts {
            let entry = self.entries.entry(*part).or_default();
            entry.record.add_crash(&crash.run_id, Crash { sent, at: now });
            entry.is_unpublished = true;
        }
        !parts.is_empty()
    }

    /// Returns the entry of a part.
    #[must_use]
    pub fn entry(&self, part: Id) -> Option<&Entry> {
        self.entries.get(&part)
    }

    /// Returns the parts whose records the table lacks, and how many records there are.
    #[must_use]
    pub fn unpublished(&self) -> Vec<Id> {
        let unpublished = self.entries.iter().filter(|(_, entry)| entry.is_unpublished);
        unpublished.map(|(part, _)| *part).collect()
    }

    /// Returns the oldest published records beyond [`MAX_RECORDS`], at most `limit`.
    #[must_use]
    pub fn surplus(&self, limit: usize) -> Vec<Id> {
        let count = self.entries.len().saturating_sub(MAX_RECORDS).min(limit);
        let mut oldest: Vec<(Millis, Id)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.revision > 0 && !entry.is_unpublished)
            .map(|(part, entry)| (entry.record.last_crash(), *part))
            .collect();
        oldest.sort_unstable();
        oldest.into_iter().take(count).map(|(_, part)| part).collect()
    }

    /// Merges the row of a part; `None` means that the table has none.
    pub fn merge_row(&mut self, part: Id, row: Option<(u64, Record)>) {
        let Some(entry) = self.entries.get_mut(&part) else { return };
        let (revision, stored) = row.unwrap_or_default();
        entry.record.merge(&stored);
        entry.revision = revision;
    }

    /// Notes that the table has the record of a part as it is known here.
    pub fn mark_published(&mut self, part: Id, written: &Record, revision: u64) {
        if let Some(entry) = self.entries.get_mut(&part) {
            entry.revision = revision;
            entry.is_unpublished = entry.record != *written;
        }
    }

    /// Removes the record of a part.
    pub fn remove(&mut self, part: Id) {
        self.entries.remove(&part);
    }

    /// Replaces the published records by those of the table.
    ///
    /// Returns the parts that the table calls guilty although an answer has cleared them here.
    pub fn replace(&mut self, rows: Vec<(Id, u64, Record)>, now: Millis) -> Vec<Id> {
        let mut entries = HashMap::new();
        for (part, revision, record) in rows {
            if !record.is_expired(now) {
                entries.insert(part, Entry { record, revision, is_unpublished: false });
            }
        }
        for (part, known) in self.entries.drain().filter(|(_, entry)| entry.is_unpublished) {
            let entry: &mut Entry = entries.entry(part).or_default();
            let stored = entry.record.clone();
            entry.record.merge(&known.record);
            entry.is_unpublished = entry.record != stored;
        }
        self.entries = entries;
        let is_disproved = |(part, entry): &(&Id, &Entry)| {
            entry.record.verdict(now) == Verdict::Guilty && self.is_cleared(**part, &entry.record)
        };
        self.entries.iter().filter(is_disproved).map(|(part, _)| *part).collect()
    }

    /// Treats all records as unpublished, because a restore of the table may have lost them.
    pub fn unpublish(&mut self) {
        for entry in self.entries.values_mut() {
            entry.is_unpublished = true;
            entry.revision = 0;
        }
    }
}
