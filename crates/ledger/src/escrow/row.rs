//! Rows of an account's escrow in the store.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use super::rate::{RATE_TIME_CONSTANT, to_f64};

/// First segment of the keys of all escrow rows.
pub const ESCROW: &str = "escrow";
/// Last segment of the key of the row that all holders of an account write.
const TOTAL: &str = "total";
/// Last segment of the key of the [`Era`] row.
const ERA: &str = "era";
/// Segment of the key before the holder's name.
const HOLDER: &str = "holder";

/// Row with the sum of the tokens granted from an account's budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Tokens granted to all holders, plus those that previous starts may have used.
    pub out: Tokens,
}

/// Row that the first write of an account replaces after each restore of the store.
///
/// Every transaction checks it, so that writes of an earlier era fail that are applied late: the
/// revisions of the other rows may have been given out again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Era {
    /// Number of restores of the store when the row was written.
    pub number: u64,
    /// Time of the first write, in milliseconds of the store's steady clock; 0 without a restore.
    pub start_ms: u64,
    /// [`Total::out`] as the restore has put it back.
    pub restored_out: Tokens,
    /// Largest [`Total::out`] that a holder has known before the restore.
    pub lost_out: Tokens,
    /// Tokens that holders have added to the restored total to write their shares again.
    ///
    /// It is negative if they had returned more than taken since the copy was made.
    pub rewritten: i64,
}

impl Era {
    /// Returns the tokens of lost rows that no holder has written again.
    ///
    /// Their holders are cut off from the store or have died, and may have used them.
    ///
    /// # Examples
    ///
    /// ```
    /// use ledger::escrow::row::Era;
    /// let era = Era { restored_out: 100, lost_out: 180, rewritten: 50, ..Era::default() };
    /// assert_eq!(era.missing(), 30);
    /// ```
    #[must_use]
    pub fn missing(&self) -> Tokens {
        let lost = self.lost_out.saturating_sub(self.restored_out);
        lost.saturating_add_signed(-self.rewritten)
    }
}

/// Row with the share of one holder and the limit on its use over time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Random number of the start that wrote the row; the next start replaces the row.
    pub incarnation: Incarnation,
    /// Sequence number of the write; it continues across starts.
    pub seq: u64,
    /// Tokens in the share, including the used ones.
    pub granted: Tokens,
    /// Tokens that were used or reserved when the row was written.
    pub used: Tokens,
    /// Tokens that may be used beyond [`Self::used`] as soon as the row is written.
    pub exposure: Tokens,
    /// Growth of the spend limit in tokens per second, from the age [`Self::still_ms`] on.
    pub per_s: Tokens,
    /// Age of the row at which the spend limit starts to grow, in milliseconds.
    #[serde(default)]
    pub still_ms: u64,
    /// Mean rate of spending when the row was written, in tokens per second.
    #[serde(default)]
    pub rate: Tokens,
    /// Moving mean of the holder's request bounds, in tokens; 0 before its first request.
    #[serde(default)]
    pub usual: Tokens,
    /// Time of the write, in milliseconds of the store's steady clock.
    pub at_ms: u64,
    /// Era of the store in which the row was written, `None` in rows of earlier versions.
    #[serde(default)]
    pub era: Option<u64>,
}

impl Grant {
    /// Returns the most tokens that may be used by a time of the store's clock.
    ///
    /// # Examples
    ///
    /// ```
    /// use ledger::escrow::Grant;
    /// let row = Grant { granted: 100, used: 30, exposure: 20, per_s: 10, ..Grant::default() };
    /// assert_eq!(row.spend_limit_at(0), 50);
    /// assert_eq!(row.spend_limit_at(2_000), 70);
    /// assert_eq!(row.spend_limit_at(60_000), 100);
    /// ```
    #[must_use]
    pub fn spend_limit_at(&self, store_now_ms: u64) -> Tokens {
        let elapsed = store_now_ms.saturating_sub(self.at_ms).saturating_sub(self.still_ms);
        let grown = self.per_s.saturating_mul(elapsed) / 1_000;
        self.granted.min(self.used.saturating_add(self.exposure).saturating_add(grown))
    }

    /// Returns when the spend limit reaches `tokens`, in milliseconds of the store's clock.
    ///
    /// `None` if it never does: the share is smaller, or the limit does not grow.
    ///
    /// # Examples
    ///
    /// ```
    /// use ledger::escrow::Grant;
    /// let row =
    ///     Grant { granted: 100, exposure: 20, per_s: 10, still_ms: 500, ..Grant::default() };
    /// assert_eq!(row.covers_from_ms(20), Some(0));
    /// assert_eq!(row.covers_from_ms(50), Some(3_500));
    /// assert_eq!(row.covers_from_ms(101), None);
    /// ```
    #[must_use]
    pub fn covers_from_ms(&self, tokens: Tokens) -> Option<u64> {
        let missing = tokens.saturating_sub(self.used.saturating_add(self.exposure));
        if tokens > self.granted || (missing > 0 && self.per_s == 0) {
            return None;
        }
        if missing == 0 {
            return Some(self.at_ms);
        }
        let growth_ms = missing.saturating_mul(1_000).div_ceil(self.per_s);
        Some(self.at_ms.saturating_add(self.still_ms).saturating_add(growth_ms))
    }

    /// Returns the tokens that were neither used nor reserved when the row was written.
    #[must_use]
    pub fn free(&self) -> Tokens {
        self.granted.saturating_sub(self.used)
    }

    /// Returns the holder's spending rate, which decays with the age of the row.
    #[must_use]
    pub fn decayed_rate(&self, store_now: Duration) -> f64 {
        let age = store_now.saturating_sub(Duration::from_millis(self.at_ms)).as_secs_f64();
        to_f64(self.rate) * (-age / RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns a row whose limits hold whichever of the two rows was written.
    #[must_use]
    pub fn intersect(self, other: Self) -> Self {
        let later_ms = self.at_ms.max(other.at_ms);
        Self {
            granted: self.granted.min(other.granted),
            used: self.spend_limit_at(later_ms).min(other.spend_limit_at(later_ms)),
            exposure: 0,
            per_s: self.per_s.min(other.per_s),
            still_ms: self.still_ms.max(other.still_ms),
            at_ms: later_ms,
            ..other
        }
    }
}

/// Returns the common prefix of the keys of an account's rows.
#[must_use]
pub fn key_prefix(account: &str) -> String {
    format!("{ESCROW}/{account}/")
}

/// Returns the key of an account's [`Total`] row.
#[must_use]
pub fn total_key(account: &str) -> String {
    format!("{ESCROW}/{account}/{TOTAL}")
}

/// Returns the key of an account's [`Era`] row.
#[must_use]
pub fn era_key(account: &str) -> String {
    format!("{ESCROW}/{account}/{ERA}")
}

/// Returns the key of a holder's [`Grant`] row.
#[must_use]
pub fn holder_key(account: &str, holder: &str) -> String {
    format!("{ESCROW}/{account}/{HOLDER}/{holder}")
}
