//! How much a holder's row vouches for.

use base::prelude::*;

use super::Share;
use crate::escrow::rate::{part, to_number, to_tokens};

/// Growth of the spending that a row vouches for, in relation to the mean rate.
const GROWTH: f64 = 3.0;
/// Spending beyond the last written row, in seconds of the mean rate.
///
/// It lasts nearly until the bound grows, so that a cut from the store is hardly felt.
const EXPOSURE_S: f64 = 2.6;
/// Least exposure as a part of the free share, so that a new burst is not held up.
const EXPOSURE_DIVISOR: Tokens = 20;
/// Most exposure of all holders together, as a part of the budget.
///
/// What of it was not used counts as spent after a loss of all instances, and nobody is owed the
/// last 3 in 100 of a budget. Spending since the rows were written makes up for the rest.
const EXPOSURE_BUDGET: f64 = 0.042;
/// The same as a part of what is left, so that it is small once the end is in sight.
const EXPOSURE_LEFT: f64 = 0.14;
/// Writes that the exposure always lasts for: half of it is left when one begins.
const WRITES: f64 = 2.0;
/// Spending that it covers besides, in seconds.
const WRITE_MARGIN_S: f64 = 0.15;
/// Free share in usual requests from which on the exposure covers at least one of them.
const AMPLE_REQUESTS: f64 = 25.0;
/// Usual requests that the exposure of such a share covers.
const LEAST_REQUESTS: f64 = 1.5;
/// Least growth in a second as a part of the free share.
const GROWTH_DIVISOR: Tokens = 30;
/// Time in which a row vouches for one more usual request, whatever the rate.
const REQUEST_TIME_S: f64 = 3.0;

impl Share {
    /// Returns the mean rate of spending, or the higher one of a burst.
    fn recent_rate(&self, now: Duration) -> f64 {
        self.rate.get(now).max(self.burst.get(now))
    }

    /// Returns how much may be spent beyond the next row until it is old.
    pub(super) fn exposure(&self, free: Tokens, now: Duration) -> Tokens {
        let is_ample = to_number(free) > AMPLE_REQUESTS * self.usual;
        let least = if is_ample { to_tokens(LEAST_REQUESTS * self.usual) } else { 0 };
        let rate = self.recent_rate(now);
        let lasting = to_tokens(rate * EXPOSURE_S);
        let write_s = WRITES * self.latency.slowest().as_secs_f64() + WRITE_MARGIN_S;
        let least = least.max(to_tokens(rate * write_s));
        let all = part(self.prepaid.unwrap_or_default(), EXPOSURE_BUDGET)
            .min(part(self.left(), EXPOSURE_LEFT));
        let most = part(all, self.weight(now));
        lasting.max(free / EXPOSURE_DIVISOR).min(most).max(least)
    }

    /// Returns how much more may be spent in each second once the next row is old.
    pub(super) fn growth(&self, free: Tokens, now: Duration) -> Tokens {
        let rate = self.recent_rate(now);
        to_tokens(rate * GROWTH + self.usual / REQUEST_TIME_S).max(free / GROWTH_DIVISOR)
    }
}
