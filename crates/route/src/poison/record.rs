//! Stored rows of crashes and trials, and the rules to evaluate them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Fingerprint, MAX_CRASHES, MAX_TRIAL_TIME, RECORD_TTL, Verdict};

/// Time after a crash in a trial for which the trial still excludes other suspects.
const REPORT_GRACE: Duration = Duration::from_secs(1);

/// Time in milliseconds by the clock that all instances share.
type Millis = u64;

/// Crashes of one fingerprint, stored as a row of the table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Time of the crash by the id of the run that was in flight.
    pub crashes: BTreeMap<String, Millis>,
}

impl Record {
    /// Adds the crash of a run; a repeated report of it has no effect.
    pub fn add_crash(&mut self, run_id: &str, now: Millis) {
        self.crashes.entry(run_id.to_owned()).or_insert(now);
    }

    /// Merges another record; each run keeps its earliest time.
    ///
    /// # Examples
    ///
    /// ```
    /// use route::poison::record::Record;
    /// let (mut a, mut b) = (Record::default(), Record::default());
    /// a.add_crash("run-1", 5);
    /// b.add_crash("run-2", 7);
    /// a.merge(&b);
    /// a.merge(&b);
    /// assert_eq!(a.crashes.len(), 2);
    /// ```
    pub fn merge(&mut self, other: &Self) {
        for (run_id, time) in &other.crashes {
            let earliest = self.crashes.entry(run_id.clone()).or_insert(*time);
            *earliest = (*earliest).min(*time);
        }
    }

    /// Returns true if this record has all crashes of another one.
    #[must_use]
    pub fn contains(&self, other: &Self) -> bool {
        other.crashes.keys().all(|run_id| self.crashes.contains_key(run_id))
    }

    /// Classifies the request by the crashes of the record at time `now`.
    #[must_use]
    pub fn verdict(&self, now: Millis) -> Verdict {
        if self.is_expired(now) {
            return Verdict::Clear;
        }
        match self.crashes.len() {
            0 => Verdict::Clear,
            count if count < MAX_CRASHES => Verdict::Suspect,
            _ => Verdict::Guilty,
        }
    }

    /// Returns the time of the last crash, 0 if there was none.
    #[must_use]
    pub fn last_crash(&self) -> Millis {
        self.crashes.values().max().copied().unwrap_or_default()
    }

    /// Returns true if [`RECORD_TTL`] has passed since the last crash.
    ///
    /// A record from the future has the time of another clock, and is expired as well.
    #[must_use]
    pub fn is_expired(&self, now: Millis) -> bool {
        now.abs_diff(self.last_crash()) >= base::clock::millis(RECORD_TTL)
    }
}

/// Trial of a suspect at one upstream, stored as a row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Fingerprint of the suspect.
    pub fingerprint: Fingerprint,
    /// Time at which the trial ends.
    pub until: Millis,
}

impl Trial {
    /// Creates a trial that starts at `now` and lasts [`MAX_TRIAL_TIME`].
    #[must_use]
    pub fn open(fingerprint: &Fingerprint, now: Millis) -> Self {
        let until = now.saturating_add(base::clock::millis(MAX_TRIAL_TIME));
        Self { fingerprint: Fingerprint::clone(fingerprint), until }
    }

    /// Shortens the trial after a crash.
    ///
    /// It stays for a short time, in which other requests may report the same crash.
    #[must_use]
    pub fn shorten_after_crash(self, now: Millis) -> Self {
        let until = self.until.min(now.saturating_add(base::clock::millis(REPORT_GRACE)));
        Self { until, ..self }
    }

    /// Returns true if the trial is active and belongs to another suspect.
    #[must_use]
    pub fn excludes(&self, fingerprint: &str, now: Millis) -> bool {
        let time_left = self.until.saturating_sub(now);
        // A longer time is that of another clock.
        let is_active = (1..=base::clock::millis(MAX_TRIAL_TIME)).contains(&time_left);
        is_active && *self.fingerprint != *fingerprint
    }
}
