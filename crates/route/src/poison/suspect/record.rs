//! Stored rows of the crashes of one suspect, and the rules to evaluate them.

use std::collections::BTreeMap;
use std::time::Duration;

use base::clock::millis;
use base::prelude::ServiceId;
use serde::{Deserialize, Serialize};

use super::MAX_CRASHES;
use crate::poison::{RECORD_TTL, Verdict};

/// Times after the last crash, or after the last trial, at which a trial may start.
///
/// A suspect that crashed upstreams in all trials is refused until its record expires.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(20)];
/// Most crashes in a record; the earliest ones are kept.
const MAX_RECORDED: usize = 16;

/// Time in milliseconds by the clock that all instances share.
type Millis = u64;

/// Crash of one incarnation of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Service of the upstream.
    pub service: ServiceId,
    /// When the last request with the suspect that ran there was first sent to an upstream.
    pub sent: Millis,
    /// When the crash was noticed.
    pub at: Millis,
}

/// Crashes and trials of one suspect, stored as a row of the table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Crashes by the id of the upstream's incarnation.
    pub crashes: BTreeMap<String, Crash>,
    /// Time of the last answer at each service whose upstreams the suspect does not crash.
    #[serde(default)]
    pub cleared: BTreeMap<ServiceId, Millis>,
    /// Number of trials that were started.
    #[serde(default)]
    pub trials: usize,
    /// When the last trial was started.
    #[serde(default)]
    pub last_trial: Millis,
}

impl Record {
    /// Adds the crash of an incarnation to which a request with the suspect was sent.
    pub fn add_crash(&mut self, run_id: &str, crash: Crash) {
        if let Some(known) = self.crashes.get_mut(run_id) {
            known.sent = known.sent.max(crash.sent);
            known.at = known.at.min(crash.at);
        } else if self.crashes.len() < MAX_RECORDED {
            self.crashes.insert(run_id.to_owned(), crash);
        }
    }

    /// Merges another record.
    pub fn merge(&mut self, other: &Self) {
        for (run_id, crash) in &other.crashes {
            self.add_crash(run_id, crash.clone());
        }
        for (service, at) in &other.cleared {
            let known = self.cleared.entry(ServiceId::clone(service)).or_default();
            *known = (*known).max(*at);
        }
        self.trials = self.trials.max(other.trials);
        self.last_trial = self.last_trial.max(other.last_trial);
    }

    /// Notes that an answer has begun at a service: earlier crashes there have another cause.
    pub fn clear(&mut self, service: &ServiceId, now: Millis) {
        let own = self.crashes.values().filter(|crash| crash.service == *service);
        let last = own.map(|crash| crash.at).max().unwrap_or_default();
        let known = self.cleared.entry(ServiceId::clone(service)).or_default();
        *known = (*known).max(last).max(now);
    }

    /// Returns true if answers have shown that no recorded crash was caused by the suspect.
    #[must_use]
    pub fn is_disproved(&self) -> bool {
        self.crashes.values().all(|crash| self.is_answered_since(crash))
    }

    /// Returns true if an answer has begun at the service of a crash since then.
    fn is_answered_since(&self, crash: &Crash) -> bool {
        self.cleared.get(&crash.service).is_some_and(|at| *at >= crash.at)
    }

    /// Returns the crashes that count against the suspect at the upstreams of a service.
    ///
    /// Those at all services count, but for a service with an answer only its own later ones: what
    /// crashes the upstreams of one service may be harmless at another.
    pub fn counted_crashes(&self, service: &str) -> impl Iterator<Item = &Crash> {
        let is_harmless = self.cleared.contains_key(service);
        self.crashes.values().filter(move |crash| {
            !self.is_answered_since(crash) && (!is_harmless || *crash.service == *service)
        })
    }

    /// Returns how many crashes there were of requests sent after the crash before.
    ///
    /// Counts those that count against the suspect at a service.
    ///
    /// # Examples
    ///
    /// ```
    /// use route::poison::suspect::record::{Crash, Record};
    /// let mut record = Record::default();
    /// record.add_crash("one", Crash { service: "a".into(), sent: 10, at: 100 });
    /// record.add_crash("at-the-same-time", Crash { service: "a".into(), sent: 20, at: 101 });
    /// assert_eq!(record.independent_crashes("a"), 1);
    /// record.add_crash("later", Crash { service: "b".into(), sent: 200, at: 300 });
    /// assert_eq!(record.independent_crashes("a"), 2);
    /// ```
    #[must_use]
    pub fn independent_crashes(&self, service: &str) -> usize {
        count_independent(self.counted_crashes(service))
    }

    /// Classifies the suspect at the upstreams of a service at time `now`.
    #[must_use]
    pub fn verdict(&self, service: &str, now: Millis) -> Verdict {
        self.verdict_of(self.counted_crashes(service), now)
    }

    /// Classifies the suspect by some of its crashes at time `now`.
    pub(super) fn verdict_of<'a>(
        &self,
        crashes: impl Iterator<Item = &'a Crash>,
        now: Millis,
    ) -> Verdict {
        match count_independent(crashes) {
            0 => Verdict::Clear,
            _ if self.is_expired(now) => Verdict::Clear,
            count if count < MAX_CRASHES => Verdict::Suspect,
            _ => Verdict::Guilty,
        }
    }

    /// Returns true if a request with the suspect may be sent as a trial.
    #[must_use]
    pub fn is_trial_due(&self, now: Millis) -> bool {
        let last = self.last_crash().max(self.last_trial);
        TRIAL_DELAYS
            .get(self.trials)
            .is_some_and(|delay| now >= last.saturating_add(millis(*delay)))
    }

    /// Counts a trial that starts.
    pub fn start_trial(&mut self, now: Millis) {
        self.trials += 1;
        self.last_trial = now;
    }

    /// Returns the time of the last crash, 0 if there was none.
    #[must_use]
    pub fn last_crash(&self) -> Millis {
        self.crashes.values().map(|crash| crash.at).max().unwrap_or_default()
    }

    /// Returns true if [`RECORD_TTL`] has passed since the last crash.
    ///
    /// A record from the future has the time of another clock, and is expired as well.
    #[must_use]
    pub fn is_expired(&self, now: Millis) -> bool {
        now.abs_diff(self.last_crash()) >= millis(RECORD_TTL)
    }
}

/// Counts the crashes of requests that were sent after the crash counted before.
fn count_independent<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    let mut crashes: Vec<&Crash> = crashes.collect();
    crashes.sort_unstable_by_key(|crash| crash.at);
    let mut last = None;
    let mut count = 0;
    for crash in crashes {
        if last.is_none_or(|last| crash.sent >= last) {
            last = Some(crash.at);
            count += 1;
        }
    }
    count
}
