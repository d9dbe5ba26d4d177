//! Rows of an account's escrow in the store.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use super::rate::{RATE_TIME_CONSTANT, to_f64};

/// First part of the keys of all rows.
pub const ESCROW: &str = "escrow";
/// Last part of the key of the row that all holders of an account change.
const TOTAL: &str = "total";
/// Part of the key before the holder's name.
const HOLDER: &str = "holder";

/// What was handed out of an account's budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Tokens in the shares of all holders, and tokens used by holders that are gone.
    pub out: Tokens,
}

/// The share of one holder, and how much of it may have been used by any later time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Random number of the holder's start; another one replaces it.
    pub incarnation: Incarnation,
    /// Number of the holder's write.
    pub seq: u64,
    /// Tokens in the share, with those that were used.
    pub granted: Tokens,
    /// Tokens that were used or reserved when the row was written.
    pub used: Tokens,
    /// Tokens that may be used beyond [`Self::used`] at any time.
    pub exposure: Tokens,
    /// Tokens that may be used besides in each second once the row is older than
    /// [`Self::still_ms`].
    pub per_s: Tokens,
    /// Age from which on the bound grows, in milliseconds.
    #[serde(default)]
    pub still_ms: u64,
    /// Mean rate of spending, in tokens a second.
    #[serde(default)]
    pub rate: Tokens,
    /// Bound of a usual request.
    #[serde(default)]
    pub usual: Tokens,
    /// When the row was written, in milliseconds of the store's steady clock.
    pub at_ms: u64,
}

impl Grant {
    /// Returns how much of the share may have been used by a time of the store's clock.
    ///
    /// # Examples
    ///
    /// ```
    /// use ledger::escrow::Grant;
    /// let grant = Grant { granted: 100, used: 30, exposure: 20, per_s: 10, ..Grant::default() };
    /// assert_eq!(grant.spend_limit_at(0), 50);
    /// assert_eq!(grant.spend_limit_at(2_000), 70);
    /// assert_eq!(grant.spend_limit_at(60_000), 100);
    /// ```
    #[must_use]
    pub fn spend_limit_at(&self, store_now_ms: u64) -> Tokens {
        let elapsed = store_now_ms.saturating_sub(self.at_ms).saturating_sub(self.still_ms);
        let grown = self.per_s.saturating_mul(elapsed) / 1_000;
        self.granted.min(self.used.saturating_add(self.exposure).saturating_add(grown))
    }

    /// Returns the time of the store's clock from which on the row vouches for so much spending.
    ///
    /// # Examples
    ///
    /// ```
    /// use ledger::escrow::Grant;
    /// let grant = Grant { granted: 100, exposure: 20, per_s: 10, still_ms: 500, ..Grant::default() };
    /// assert_eq!(grant.covers_from_ms(20), Some(0));
    /// assert_eq!(grant.covers_from_ms(50), Some(3_500));
    /// assert_eq!(grant.covers_from_ms(101), None);
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

    /// Returns the tokens that were not used yet when the row was written.
    #[must_use]
    pub fn free(&self) -> Tokens {
        self.granted.saturating_sub(self.used)
    }

    /// Returns the holder's rate, which falls off while its row is not written.
    #[must_use]
    pub fn decayed_rate(&self, store_now: Duration) -> f64 {
        let age = store_now.saturating_sub(Duration::from_millis(self.at_ms)).as_secs_f64();
        to_f64(self.rate) * (-age / RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns a row whose limits hold whichever of two was written.
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

/// Returns the common start of the keys of an account's rows.
#[must_use]
pub fn key_prefix(account: &str) -> String {
    format!("{ESCROW}/{account}/")
}

/// Returns the key of an account's total.
#[must_use]
pub fn total_key(account: &str) -> String {
    format!("{ESCROW}/{account}/{TOTAL}")
}

/// Returns the key of a holder's row.
#[must_use]
pub fn holder_key(account: &str, holder: &str) -> String {
    format!("{ESCROW}/{account}/{HOLDER}/{holder}")
}
