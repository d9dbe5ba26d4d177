//! Rows about crashes and trials, and the rules over them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{CRASHES_MAX, Fingerprint, RECORD_TTL, TRIAL_MAX, Verdict};

/// Time in which others may report the crash that ended a trial.
const REPORT_GRACE: Duration = Duration::from_secs(1);

/// Wall-clock time in milliseconds since the Unix epoch.
type Millis = u64;

/// Crashes of one fingerprint, by the run that was in flight.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Time of the crash for each run.
    pub crashes: BTreeMap<String, Millis>,
}

impl Record {
    /// Adds a crash; a repeated report changes nothing.
    pub fn add_crash(&mut self, run_id: &str, now: Millis) {
        self.crashes.entry(run_id.to_owned()).or_insert(now);
    }

    /// Joins what two instances know.
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

    /// Returns what the record says at a time.
    #[must_use]
    pub fn verdict(&self, now: Millis) -> Verdict {
        if self.is_expired(now) {
            return Verdict::Clear;
        }
        match self.crashes.len() {
            0 => Verdict::Clear,
            count if count < CRASHES_MAX => Verdict::Suspect,
            _ => Verdict::Guilty,
        }
    }

    /// Returns the time of the last crash, 0 if there was none.
    #[must_use]
    pub fn last_crash(&self) -> Millis {
        self.crashes.values().max().copied().unwrap_or_default()
    }

    /// Returns true once the last crash is long ago.
    #[must_use]
    pub fn is_expired(&self, now: Millis) -> bool {
        now >= self.last_crash().saturating_add(base::clock::millis(RECORD_TTL))
    }
}

/// The suspect that runs at an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Suspect.
    pub fingerprint: Fingerprint,
    /// End of the trial.
    pub until: Millis,
}

impl Trial {
    /// Opens a trial that begins now.
    #[must_use]
    pub fn open(fingerprint: &Fingerprint, now: Millis) -> Self {
        let until = now.saturating_add(base::clock::millis(TRIAL_MAX));
        Self { fingerprint: Fingerprint::clone(fingerprint), until }
    }

    /// Ends the trial, but for the reports of others about the same crash.
    #[must_use]
    pub fn shorten_after_crash(self, now: Millis) -> Self {
        let until = self.until.min(now.saturating_add(base::clock::millis(REPORT_GRACE)));
        Self { until, ..self }
    }

    /// Returns true if a trial of another suspect goes on.
    #[must_use]
    pub fn excludes(&self, fingerprint: &str, now: Millis) -> bool {
        now < self.until && *self.fingerprint != *fingerprint
    }
}
