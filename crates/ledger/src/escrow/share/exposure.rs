//! Exposure and growth of the spend limit that a holder's row sets.

use base::prelude::*;

use super::Share;
use crate::escrow::rate::{fraction_of, to_f64, to_tokens};

/// Growth of the spend limit as a multiple of the recent rate of spending.
const GROWTH_FACTOR: f64 = 3.0;
/// Exposure in seconds of spending at the recent rate.
///
/// It lasts nearly until the spend limit grows, so that an unreachable store affects few requests.
const EXPOSURE_SECONDS: f64 = 2.6;
/// Divisor of the free tokens that gives the exposure at low rates, to admit bursts.
const EXPOSURE_MIN_DIVISOR: Tokens = 20;
/// Largest exposure of all holders together, as a fraction of the budget.
///
/// After a loss of all instances, the unused part of the exposure counts as spent. Callers have
/// no claim to the last 3 in 100 of a budget. The exposure may exceed 3 in 100, since a part of it
/// is really spent after the rows are written. [`COVERED_WRITES`] and [`AMPLE_EXPOSURE_REQUESTS`]
/// can raise the exposure above this limit.
const EXPOSURE_MAX_OF_BUDGET: f64 = 0.034;
/// Largest exposure of all holders together, as a fraction of the remaining budget.
///
/// It keeps the exposure small near the end of the budget.
const EXPOSURE_MAX_OF_REMAINING: f64 = 0.14;
/// Successive writes during which the exposure must last.
///
/// A renewal starts when half of the exposure is used, and one write must fit into the rest.
const COVERED_WRITES: f64 = 2.0;
/// Spending that the exposure covers beyond [`COVERED_WRITES`], in seconds.
const WRITE_MARGIN_SECONDS: f64 = 0.15;
/// Free tokens, in mean requests, above which the exposure covers at least one request.
const AMPLE_SHARE_REQUESTS: f64 = 25.0;
/// Least exposure of a share above [`AMPLE_SHARE_REQUESTS`], in mean requests.
const AMPLE_EXPOSURE_REQUESTS: f64 = 1.5;
/// Divisor of the free tokens; the quotient is the least growth per second.
const GROWTH_MIN_DIVISOR: Tokens = 30;
/// Time in which the spend limit grows by one mean request, also without spending.
const REQUEST_GROWTH_SECONDS: f64 = 3.0;

impl Share {
    /// Returns the higher of the mean and the burst rate, in tokens per second.
    fn recent_rate(&self, now: Duration) -> f64 {
        self.mean_rate.tokens_per_second(now).max(self.burst_rate.tokens_per_second(now))
    }

    /// Returns the exposure for the next row, given its free tokens.
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

    /// Returns the growth of the spend limit for the next row, in tokens per second.
    pub(super) fn growth_per_second(&self, free: Tokens, now: Duration) -> Tokens {
        let rate = self.recent_rate(now);
        to_tokens(rate * GROWTH_FACTOR + self.mean_bound / REQUEST_GROWTH_SECONDS)
            .max(free / GROWTH_MIN_DIVISOR)
    }
}
