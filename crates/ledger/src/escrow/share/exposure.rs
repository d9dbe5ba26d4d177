//! How much a holder's row vouches for.

use base::prelude::*;

use super::Share;
use crate::escrow::rate::{fraction_of, to_f64, to_tokens};

/// Growth of the spending that a row vouches for, in relation to the mean rate.
const GROWTH_FACTOR: f64 = 3.0;
/// Spending beyond the last written row, in seconds of the mean rate.
///
/// It lasts nearly until the bound grows, so that a cut from the store is hardly felt.
const EXPOSURE_SECONDS: f64 = 2.6;
/// Least exposure as a part of the free share, so that a new burst is not held up.
const EXPOSURE_MIN_DIVISOR: Tokens = 20;
/// Most exposure of all holders together, as a part of the budget.
///
/// What of it was not used counts as spent after a loss of all instances, and nobody is owed the
/// last 3 in 100 of a budget. Spending since the rows were written makes up for the rest.
const EXPOSURE_MAX_OF_BUDGET: f64 = 0.042;
/// The same as a part of what is left, so that it is small once the end is in sight.
const EXPOSURE_MAX_OF_REMAINING: f64 = 0.14;
/// Writes that the exposure always lasts for: half of it is left when one begins.
const COVERED_WRITES: f64 = 2.0;
/// Spending that it covers besides, in seconds.
const WRITE_MARGIN_SECONDS: f64 = 0.15;
/// Free share in usual requests from which on the exposure covers at least one of them.
const AMPLE_SHARE_REQUESTS: f64 = 25.0;
/// Usual requests that the exposure of such a share covers.
const AMPLE_EXPOSURE_REQUESTS: f64 = 1.5;
/// Least growth in a second as a part of the free share.
const GROWTH_MIN_DIVISOR: Tokens = 30;
/// Time in which a row vouches for one more usual request, whatever the rate.
const REQUEST_GROWTH_SECONDS: f64 = 3.0;

impl Share {
    /// Returns the mean rate of spending, or the higher one of a burst.
    fn recent_rate(&self, now: Duration) -> f64 {
        self.mean_rate.tokens_per_second(now).max(self.burst_rate.tokens_per_second(now))
    }

    /// Returns how much may be spent beyond the next row until it is old.
    pub(super) fn exposure(&self, free: Tokens, now: Duration) -> Tokens {
        let is_ample = to_f64(free) > AMPLE_SHARE_REQUESTS * self.mean_bound;
        let min_exposure =
            if is_ample { to_tokens(AMPLE_EXPOSURE_REQUESTS * self.mean_bound) } else { 0 };
        let rate = self.recent_rate(now);
        let rate_exposure = to_tokens(rate * EXPOSURE_SECONDS);
        let write_s =
            COVERED_WRITES * self.latency.slowest_write().as_secs_f64() + WRITE_MARGIN_SECONDS;
        let min_exposure = min_exposure.max(to_tokens(rate * write_s));
        let max_exposure_of_all =
            fraction_of(self.budget.unwrap_or_default(), EXPOSURE_MAX_OF_BUDGET)
                .min(fraction_of(self.remaining(), EXPOSURE_MAX_OF_REMAINING));
        let max_exposure = fraction_of(max_exposure_of_all, self.own_fraction(now));
        rate_exposure.max(free / EXPOSURE_MIN_DIVISOR).min(max_exposure).max(min_exposure)
    }

    /// Returns how much more may be spent in each second once the next row is old.
    pub(super) fn growth_per_second(&self, free: Tokens, now: Duration) -> Tokens {
        let rate = self.recent_rate(now);
        to_tokens(rate * GROWTH_FACTOR + self.mean_bound / REQUEST_GROWTH_SECONDS)
            .max(free / GROWTH_MIN_DIVISOR)
    }
}
