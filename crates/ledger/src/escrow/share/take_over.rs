//! What a start takes over from the previous start of its instance.

use base::clock::millis;
use base::prelude::*;

use super::Share;
use crate::escrow::row::Grant;

impl Share {
    /// Returns a time of the store's clock by which the previous start had ended.
    ///
    /// The store gave its time after the call had started, so that the time from the start of the
    /// instance to the call cannot be too long.
    pub(super) fn predecessor_end(&self, store_now: Duration) -> Duration {
        let uptime = self
            .started_at
            .map(|started_at| self.latency.call_started_at().saturating_sub(started_at));
        store_now.saturating_sub(uptime.unwrap_or_default())
    }

    /// Starts the share with the tokens that the previous start cannot have used by its end.
    pub(super) fn take_over_row(&mut self, predecessor_end: Duration) {
        // The newest row of the previous start may be lost, so the spend limit of this one does
        // not bound its use.
        let limit = if self.is_row_of_earlier_era() {
            self.stored.granted
        } else {
            self.stored.spend_limit_at(millis(predecessor_end))
        };
        let unused = self.stored.granted - limit;
        self.unseen = self.unseen.max(self.unseen_by_row(&self.stored, predecessor_end));
        self.stranded = self.stored.stranded;
        if !self.is_row_of_earlier_era() {
            self.stranded = self.stranded.saturating_add(limit.saturating_sub(self.stored.used));
        }
        // The rest of the old grant may have been used and stays counted in `Total::out`.
        self.stored = Grant {
            incarnation: 0,
            seq: self.stored.seq,
            granted: unused,
            used: 0,
            exposure: 0,
            per_s: 0,
            still_ms: 0,
            rate: 0,
            usual: 0,
            at_ms: 0,
            stranded: self.stranded,
            era: None,
        };
    }
}
