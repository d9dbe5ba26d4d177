//! What is known of one instance, and whether callers may receive its address.

use std::time::Duration;

use super::Record;

/// Age of an unchanged row at which its instance counts as dead.
const STALE_AFTER: Duration = Duration::from_secs(7);
/// The same age if the instance answers probes; without the store it cannot serve for long.
const STALE_AFTER_IF_READY: Duration = Duration::from_secs(10);
/// Age up to which a row that is read for the first time shows that its instance is alive.
///
/// It is longer than the interval of heartbeats by the time of a call to the store.
const FRESH_FOR: Duration = Duration::from_millis(2_500);

/// An instance, by its row and by the probes since the row last changed.
#[derive(Debug, Clone)]
pub(super) struct Member {
    pub record: Record,
    pub revision: u64,
    /// Value of `Roster::observed_time` when the revision last changed.
    changed_at: Duration,
    /// Whether the last read found the row changed, or fresh if it was the first one.
    is_fresh: bool,
    /// Whether the row has been seen to change, or was fresh when it was first read.
    has_shown_life: bool,
    /// Result of the last probe; `None` if a fresh row was read since.
    is_ready: Option<bool>,
    /// Whether the instance was alive when its state was last logged.
    pub was_alive: bool,
}

impl Member {
    /// Opens a member whose row was read for the first time, `age` after it was written.
    ///
    /// `age` is `None` if it is not known.
    pub fn open(record: Record, revision: u64, now: Duration, age: Option<Duration>) -> Self {
        let is_fresh = age.is_some_and(|age| age < FRESH_FOR);
        Self {
            record,
            revision,
            changed_at: now,
            is_fresh,
            has_shown_life: is_fresh,
            is_ready: None,
            was_alive: true,
        }
    }

    /// Takes in a row that shows no sign of life.
    pub fn keep(&mut self, record: Record, revision: u64) {
        self.record = record;
        self.revision = revision;
        self.is_fresh = false;
    }

    /// Takes in a row that the instance has written since the last read, `age` before this one.
    ///
    /// A failed probe outweighs a row that may have been written before it.
    pub fn renew(&mut self, record: Record, revision: u64, now: Duration, age: Option<Duration>) {
        self.keep(record, revision);
        self.changed_at = now;
        self.has_shown_life = true;
        if age.is_none_or(|age| age < FRESH_FOR) {
            self.is_fresh = true;
            self.is_ready = None;
        }
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, is_ready: bool) {
        self.is_ready = Some(is_ready);
    }

    /// Returns the time for which the row has not changed.
    pub fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.changed_at)
    }

    /// Returns true if the row has not changed for too long.
    pub fn is_stale(&self, now: Duration) -> bool {
        let is_ready = self.is_ready == Some(true);
        self.silence(now) >= if is_ready { STALE_AFTER_IF_READY } else { STALE_AFTER }
    }

    /// Returns true unless the row is stale or the last probe failed.
    pub fn is_alive(&self, now: Duration) -> bool {
        !self.is_stale(now) && !self.has_failed_probe()
    }

    /// Returns true if the last probe failed, and no fresh row was read since.
    pub fn has_failed_probe(&self) -> bool {
        self.is_ready == Some(false)
    }

    /// Returns true if the last read brought no sign of life.
    pub fn needs_probe(&self) -> bool {
        !self.is_fresh
    }

    /// Returns true if the row or a probe has shown that the instance is alive.
    ///
    /// An instance without a port for probes counts as verified.
    pub fn is_verified(&self) -> bool {
        self.has_shown_life || self.is_ready == Some(true) || self.record.probe_port.is_none()
    }
}
