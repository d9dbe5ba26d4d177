//! What one instance knows of suspects; it has no I/O.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use base::clock::millis;
use base::prelude::ServiceId;

use super::record::{Crash, Record};
use super::{Admission, Id, Suspect};
use crate::poison::Verdict;

/// Most suspects that one crash records. Those that were answered recently do not count.
pub const MAX_SUSPECTS_PER_CRASH: usize = 32;
/// Most records; beyond it, those whose last crash is the oldest are dropped.
pub const MAX_RECORDS: usize = 400;
/// Time for which an answer shows that a crash soon after it has another cause.
const ANSWER_VALIDITY: Duration = Duration::from_secs(10);
/// Most remembered answers, by suspect.
const MAX_ANSWERS: usize = 8_192;

/// Time in milliseconds by the clock that all instances share.
type Millis = u64;

/// Record of a suspect, with its state in the table.
#[derive(Debug, Clone, Default)]
pub struct Entry {
    /// Crashes and trials as far as they are known here.
    pub record: Record,
    /// Revision of the row; 0 if there is none.
    pub revision: u64,
    /// Whether the table lacks a crash of the record.
    pub is_unpublished: bool,
}

/// Records of the suspects that may crash upstreams, and the answers that clear suspects.
#[derive(Debug, Default)]
pub struct Board {
    entries: HashMap<Id, Entry>,
    /// When an answer of a service last cleared the suspect.
    answers: HashMap<(Id, ServiceId), Millis>,
}

/// What an answer has changed in the records.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Clearance {
    /// Suspects without a crash that counts anywhere; their records are removed.
    pub disproved: Vec<Id>,
    /// Suspects that are clear at the service only; the table must be told.
    pub harmless: Vec<Id>,
}

impl Board {
    /// Classifies a suspect at the upstreams of a service at time `now`.
    #[must_use]
    pub fn verdict(&self, service: &ServiceId, id: Id, now: Millis) -> Verdict {
        let Some(Entry { record, .. }) = self.entries.get(&id) else { return Verdict::Clear };
        let answered_at = self.answers.get(&(id, ServiceId::clone(service)));
        let counts = |crash: &&Crash| {
            answered_at.is_none_or(|at| {
                // An answer shortly before a crash elsewhere shows that the suspect is harmless here.
                let is_own = crash.service == *service;
                let validity = if is_own { 0 } else { millis(ANSWER_VALIDITY) };
                crash.at > at.saturating_add(validity)
            })
        };
        record.verdict_of(record.counted_crashes(service).filter(counts), now)
    }

    /// Returns the suspects that crash upstreams of a service.
    #[must_use]
    pub fn guilty(&self, service: &ServiceId, ids: &[Id], now: Millis) -> Vec<Id> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        let is_guilty = |id: &Id| self.verdict(service, *id, now) == Verdict::Guilty;
        let guilty: HashSet<Id> = ids.iter().copied().filter(is_guilty).collect();
        guilty.into_iter().collect()
    }

    /// Decides whether a request may be sent to upstreams of a service; the trial of the returned
    /// suspects must be claimed first.
    ///
    /// A trial is one of all suspects, so that none of them is tried more often than alone.
    #[must_use]
    pub fn admit(&self, service: &ServiceId, ids: &[Id], now: Millis) -> (Admission, Vec<Id>) {
        let guilty = self.guilty(service, ids, now);
        if guilty.is_empty() {
            (Admission::Granted, guilty)
        } else if guilty.iter().all(|id| self.entries[id].record.is_trial_due(now)) {
            (Admission::Trial, guilty)
        } else {
            (Admission::Refused, Vec::new())
        }
    }

    /// Records an answer of a service that clears suspects there.
    pub fn record_answer(&mut self, service: &ServiceId, ids: &[Id], now: Millis) -> Clearance {
        if self.answers.len() + ids.len() > MAX_ANSWERS {
            let oldest = now.saturating_sub(millis(ANSWER_VALIDITY));
            self.answers.retain(|_, at| *at >= oldest);
            if self.answers.len() + ids.len() > MAX_ANSWERS {
                self.answers.clear();
            }
        }
        self.answers.extend(ids.iter().map(|id| ((*id, ServiceId::clone(service)), now)));
        let mut clearance = Clearance::default();
        for id in ids {
            let Some(entry) = self.entries.get_mut(id) else { continue };
            if entry.record.counted_crashes(service).next().is_none() {
                continue;
            }
            entry.record.clear(service, now);
            if entry.record.is_disproved() {
                self.entries.remove(id);
                clearance.disproved.push(*id);
            } else {
                entry.is_unpublished = true;
                clearance.harmless.push(*id);
            }
        }
        clearance
    }

    /// Records a crash; returns true if the table must be told.
    pub fn record_crash(&mut self, crash: &super::Crash, now: Millis) -> bool {
        let oldest_answer = now.saturating_sub(millis(ANSWER_VALIDITY));
        let answers = &self.answers;
        let service = &crash.service;
        let mut suspects: Vec<Suspect> = Vec::new();
        for suspect in &crash.suspects {
            let answered_at = answers.get(&(suspect.id, ServiceId::clone(service)));
            let is_answered = answered_at.is_some_and(|at| *at >= oldest_answer);
            let is_known = suspects.iter().any(|known| known.id == suspect.id);
            if !is_answered && !is_known && suspects.len() < MAX_SUSPECTS_PER_CRASH {
                suspects.push(*suspect);
            }
        }
        for suspect in &suspects {
            let entry = self.entries.entry(suspect.id).or_default();
            let sent = now.saturating_sub(millis(suspect.sent_before));
            let service = ServiceId::clone(service);
            entry.record.add_crash(&crash.run_id, Crash { service, sent, at: now });
            entry.is_unpublished = true;
        }
        !suspects.is_empty()
    }

    /// Returns the entry of a suspect.
    #[must_use]
    pub fn entry(&self, id: Id) -> Option<&Entry> {
        self.entries.get(&id)
    }

    /// Returns the suspects whose records the table lacks.
    #[must_use]
    pub fn unpublished(&self) -> Vec<Id> {
        let unpublished = self.entries.iter().filter(|(_, entry)| entry.is_unpublished);
        unpublished.map(|(id, _)| *id).collect()
    }

    /// Returns the oldest published records beyond [`MAX_RECORDS`], at most `limit`.
    #[must_use]
    pub fn surplus(&self, limit: usize) -> Vec<Id> {
        let count = self.entries.len().saturating_sub(MAX_RECORDS).min(limit);
        let mut oldest: Vec<(Millis, Id)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.revision > 0 && !entry.is_unpublished)
            .map(|(id, entry)| (entry.record.last_crash(), *id))
            .collect();
        oldest.sort_unstable();
        oldest.into_iter().take(count).map(|(_, id)| id).collect()
    }

    /// Merges the row of a suspect; `None` means that the table has none.
    pub fn merge_row(&mut self, id: Id, row: Option<(u64, Record)>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let (revision, stored) = row.unwrap_or_default();
        entry.record.merge(&stored);
        entry.revision = revision;
    }

    /// Notes that the table has the record of a suspect as it is known here.
    pub fn mark_published(&mut self, id: Id, written: &Record, revision: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.revision = revision;
            entry.is_unpublished = entry.record != *written;
        }
    }

    /// Removes the record of a suspect.
    pub fn remove(&mut self, id: Id) {
        self.entries.remove(&id);
    }

    /// Replaces the published records by those of the table.
    ///
    /// Returns the suspects that the table calls guilty although answers have cleared them here.
    pub fn replace(&mut self, rows: Vec<(Id, u64, Record)>, now: Millis) -> Vec<Id> {
        self.entries.retain(|_, entry| {
            entry.revision = 0;
            entry.is_unpublished
        });
        self.update(rows, &[], now)
    }

    /// Applies rows of the table that have changed or were deleted.
    ///
    /// Returns the suspects that the table calls guilty although answers have cleared them here.
    pub fn update(&mut self, rows: Vec<(Id, u64, Record)>, deleted: &[Id], now: Millis) -> Vec<Id> {
        for id in deleted {
            match self.entries.get_mut(id) {
                Some(entry) if entry.is_unpublished => entry.revision = 0,
                _ => drop(self.entries.remove(id)),
            }
        }
        for (id, revision, record) in rows {
            let unpublished = self.entries.remove(&id).filter(|entry| entry.is_unpublished);
            if record.is_expired(now) && unpublished.is_none() {
                continue;
            }
            let mut entry = Entry { record: record.clone(), revision, is_unpublished: false };
            if let Some(known) = unpublished {
                entry.record.merge(&known.record);
                entry.is_unpublished = entry.record != record;
            }
            self.entries.insert(id, entry);
        }
        self.apply_answers(now)
    }

    /// Applies answers to the records that the table has sent after them.
    ///
    /// Returns the suspects that have no crash any more that counts anywhere.
    fn apply_answers(&mut self, now: Millis) -> Vec<Id> {
        let is_outdated = |(key, _): &(&(Id, ServiceId), &Millis)| {
            let (id, service) = key;
            let stored = self.entries.get(id).map(|entry| entry.record.verdict(service, now));
            stored == Some(Verdict::Guilty) && self.verdict(service, *id, now) == Verdict::Clear
        };
        let outdated: Vec<(Id, ServiceId, Millis)> = if self.entries.is_empty() {
            Vec::new()
        } else {
            let outdated = self.answers.iter().filter(is_outdated);
            outdated.map(|((id, service), at)| (*id, ServiceId::clone(service), *at)).collect()
        };
        let mut disproved = Vec::new();
        for (id, service, answered_at) in outdated {
            let Some(entry) = self.entries.get_mut(&id) else { continue };
            entry.record.clear(&service, answered_at);
            entry.is_unpublished = true;
            if entry.record.is_disproved() {
                self.entries.remove(&id);
                disproved.push(id);
            }
        }
        disproved
    }

    /// Treats all records as unpublished, because a restore of the table may have lost them.
    pub fn unpublish(&mut self) {
        for entry in self.entries.values_mut() {
            entry.is_unpublished = true;
            entry.revision = 0;
        }
    }
}
