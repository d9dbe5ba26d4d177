//! Decisions after a restore of the store, which has lost its newest rows.

use base::clock::millis;
use base::prelude::*;

use super::{Origin, Share};
use crate::escrow::rate::{to_f64, to_tokens};
use crate::escrow::row::{Era, Grant, Total};

/// Time after the first write of an era in which no holder takes tokens.
///
/// A holder learns of a restore with its next call to the store, at most a heartbeat later, and
/// then writes its share again.
const RESTORE_FENCE: Duration = Duration::from_secs(3);
/// Time before a restore in which a holder may have taken tokens that the store has lost.
const MAX_LOST_TIME: Duration = Duration::from_secs(10);
/// Longest time for which a dead holder is taken to have spent at the rate of its restored row.
///
/// The age of a copy is not known. An instance that was off for longer had rarely spent until then.
const MAX_UNSEEN_TIME: Duration = Duration::from_secs(30);
/// Spending of a dead holder since its restored row, as a multiple of the rate in that row.
const UNSEEN_RATE_FACTOR: f64 = 3.0;
/// Mean requests that a dead holder is taken to have served besides; a rate follows few requests late.
const UNSEEN_REQUESTS: f64 = 4.0;

impl Share {
    /// Notes the era of the store; a later one than before makes the known rows invalid.
    ///
    /// The tokens of the share can be used again once its row has been written in the new era.
    pub fn enter_era(&mut self, era: Option<u64>) {
        if era <= self.era {
            return;
        }
        if self.era.is_some() {
            if self.owns_row {
                self.lost_grant.get_or_insert(self.min_granted());
            }
            if self.total_revision > 0 {
                self.lost_out = self.lost_out.max(Some(self.total.out));
            }
            self.stored = Grant {
                incarnation: self.stored.incarnation,
                seq: self.stored.seq,
                ..Grant::default()
            };
            self.stored_revision = 0;
            self.total = Total::default();
            self.total_revision = 0;
            self.era_row = Era::default();
            self.era_row_revision = 0;
            self.rows_read_at = None;
        }
        self.era = era;
    }

    /// Returns the era of the store to which the known rows belong.
    #[must_use]
    pub fn era(&self) -> Option<u64> {
        self.era
    }

    /// Returns true if tokens must not be taken yet, because holders still write their shares again.
    pub(super) fn is_fenced(&self, store_now: Duration) -> bool {
        let start = Duration::from_millis(self.era_row.start_ms);
        self.starts_era() || (!start.is_zero() && store_now.saturating_sub(start) < RESTORE_FENCE)
    }

    /// Returns true if the next write is the first one of the account since a restore.
    pub(super) fn starts_era(&self) -> bool {
        if self.era_row_revision == 0 {
            // After a restore, the rows of holders that still live may be missing.
            return self.lost_grant.is_some() || self.era > Some(0);
        }
        Some(self.era_row.number) < self.era
    }

    /// Returns the era row after a write that changes the size of the share to `granted`.
    pub(super) fn draft_era(&self, granted: Tokens, now_ms: u64) -> Era {
        let mut era = if self.era_row_revision == 0 || self.starts_era() {
            Era {
                number: self.era.unwrap_or_default(),
                start_ms: if self.starts_era() { now_ms } else { 0 },
                restored_out: self.total.out,
                lost_out: self.total.out,
                // What an earlier restore has lost is still missing after this one.
                rewritten: -i64::try_from(self.era_row.missing()).unwrap_or(i64::MAX),
            }
        } else {
            self.era_row
        };
        era.lost_out = era.lost_out.max(self.lost_out.unwrap_or_default());
        if self.lost_grant.is_some() {
            era.rewritten = era
                .rewritten
                .saturating_add_unsigned(granted)
                .saturating_sub_unsigned(self.stored.granted);
        }
        era.rewritten = era.rewritten.saturating_add_unsigned(self.counted_unseen());
        era
    }

    /// Returns the tokens that a holder may have taken in rows that a restore has lost.
    ///
    /// A holder that has not written its row again may be cut off from the store and still spend
    /// them. They are estimated by its free tokens and its rate of spending.
    pub(super) fn possibly_lost(&self, grant: &Grant) -> Tokens {
        let was_alive = grant.at_ms.saturating_add(millis(MAX_LOST_TIME)) >= self.era_row.start_ms;
        if grant.era.is_none_or(|era| Some(era) >= self.era) || !was_alive {
            return 0;
        }
        grant.free().max(to_tokens(to_f64(grant.rate) * MAX_LOST_TIME.as_secs_f64()))
    }

    /// Estimates what the previous start used beyond this row, if a restore lost its newer ones.
    ///
    /// The previous start cannot write its share again, and no other holder needs to know of it. Its
    /// use is not bounded by anything in the store, so that the estimate is high.
    pub(super) fn unseen_by_row(&self, row: &Grant, predecessor_end: Duration) -> Tokens {
        if row.era.is_none_or(|era| Some(era) >= self.era) {
            return 0;
        }
        let time = predecessor_end.saturating_sub(Duration::from_millis(row.at_ms));
        let seconds = time.min(MAX_UNSEEN_TIME).as_secs_f64();
        let used = to_f64(row.rate) * seconds * UNSEEN_RATE_FACTOR;
        let used = to_tokens(used + to_f64(row.usual) * UNSEEN_REQUESTS);
        used.saturating_sub(row.free())
    }

    /// Returns the part of `unseen` that the first write adds to the total.
    ///
    /// More than the whole budget cannot have been taken.
    pub(super) fn counted_unseen(&self) -> Tokens {
        self.unseen.min(self.budget.unwrap_or_default().saturating_sub(self.total.out))
    }

    /// Estimates what the previous start took if a restore lost its only row.
    ///
    /// Only a start that has just begun can have had a predecessor whose row nobody knows.
    pub(super) fn unseen_without_row(&self, now: Duration, store_now: Duration) -> Tokens {
        let is_start = self.origin == Origin::Restart
            && self.started_at.is_some_and(|at| now.saturating_sub(at) < MAX_UNSEEN_TIME);
        let era_start = Duration::from_millis(self.era_row.start_ms);
        let is_restored = self.era > Some(0)
            && (self.starts_era() || store_now.saturating_sub(era_start) < MAX_LOST_TIME);
        if is_start && is_restored { self.fair_first_share() } else { 0 }
    }

    pub(super) fn is_row_of_earlier_era(&self) -> bool {
        self.stored.era.is_some_and(|era| Some(era) < self.era)
    }

    /// Discards the row of the previous start, which a restore has put back.
    ///
    /// All of its tokens stay counted in `Total::out`.
    pub(super) fn replace_restored_row(&mut self) {
        self.stored =
            Grant { incarnation: self.incarnation, seq: self.stored.seq, ..Grant::default() };
    }
}
