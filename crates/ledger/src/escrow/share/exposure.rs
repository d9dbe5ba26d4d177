//! Exposure and growth of the spend limit that a holder's row sets.

use base::prelude::*;

use super::Share;
use crate::escrow::rate::{fraction_of, to_f64, to_tokens};

/// Growth of the spend limit as a multiple of the recent rate of spending, before any loss.
///
/// It falls to 1 as losses take what they may take together.
const GROWTH_FACTOR: f64 = 3.0;
/// Time in which the spend limit of an unused share grows by what the next loss may strand.
const OUTAGE_SECONDS: f64 = 10.0;
/// Exposure in seconds of spending at the recent rate.
///
/// It lasts nearly until the spend limit grows, so that an unreachable store affects few requests.
const EXPOSURE_SECONDS: f64 = 2.6;
/// Divisor of the free tokens that gives the exposure at low rates, to admit bursts.
const EXPOSURE_MIN_DIVISOR: Tokens = 20;
/// Part of a budget that losses of instances together may charge beyond what the rows show as used.
///
/// Callers have no claim to the last 3 in 100 of a budget. The limit may be higher, since a part of
/// what is charged was really used after the rows were written.
const MAX_CHARGED_OF_BUDGET: f64 = 0.034;
/// Exposure of all holders together, as a fraction of what losses may still charge.
///
/// A loss of all instances charges the exposure at most, so that each further one charges less.
/// [`COVERED_WRITES`] can raise the exposure above this fraction.
const EXPOSURE_OF_ALLOWANCE: f64 = 0.5;
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
/// Time in which the spend limit grows by one mean request, also without spending.
const REQUEST_GROWTH_SECONDS: f64 = 3.0;
/// Divisor of the free tokens; the quotient is the growth per second before any request is known.
const UNUSED_GROWTH_DIVISOR: Tokens = 30;

impl Share {
    /// Returns the higher of the mean and the burst rate, in tokens per second.
    fn recent_rate(&self, now: Duration) -> f64 {
        self.mean_rate.tokens_per_second(now).max(self.burst_rate.tokens_per_second(now))
    }

    /// Returns the exposure for the next row, given its free tokens.
    pub(super) fn exposure(&self, free: Tokens, now: Duration) -> Tokens {
        let rate = self.recent_rate(now);
        let rate_exposure = to_tokens(rate * EXPOSURE_SECONDS);
        let write_s =
            COVERED_WRITES * self.latency.slowest_write().as_secs_f64() + WRITE_MARGIN_SECONDS;
        let loss = self.next_loss();
        let max_of_remaining = fraction_of(self.remaining(), EXPOSURE_MAX_OF_REMAINING);
        let max_exposure = fraction_of(loss, self.loss_fraction())
            .min(fraction_of(max_of_remaining, self.own_fraction(now)));
        let is_ample = to_f64(free) > AMPLE_SHARE_REQUESTS * self.mean_bound;
        let ample = to_tokens(AMPLE_EXPOSURE_REQUESTS * self.mean_bound);
        let is_affordable = ample.saturating_mul(self.instance_count) <= loss;
        let min_exposure = if is_ample && is_affordable { ample } else { 0 };
        let min_exposure = min_exposure.max(to_tokens(rate * write_s));
        rate_exposure.max(free / EXPOSURE_MIN_DIVISOR).min(max_exposure).max(min_exposure)
    }

    /// Returns the growth of the spend limit for the next row, in tokens per second.
    pub(super) fn growth_per_second(&self, free: Tokens, now: Duration) -> Tokens {
        let factor = 1.0 + (GROWTH_FACTOR - 1.0) * self.allowed_fraction();
        let spare = fraction_of(self.next_loss(), self.loss_fraction() / OUTAGE_SECONDS);
        let request_growth = to_tokens(self.mean_bound / REQUEST_GROWTH_SECONDS);
        let is_unused = self.mean_bound.max(self.others_mean_bound) == 0.0;
        let min_growth = if is_unused { free / UNUSED_GROWTH_DIVISOR } else { spare };
        (to_tokens(self.recent_rate(now) * factor) + request_growth).max(min_growth)
    }

    /// Returns true if a row that is written now lets a further request begin without a write.
    ///
    /// Otherwise a renewal ahead of the request would be one write more.
    pub(super) fn can_admit_ahead(&self, now: Duration) -> bool {
        to_f64(self.exposure(self.free(), now)) >= self.mean_bound
    }

    /// Returns the tokens that the next loss of all instances may charge.
    fn next_loss(&self) -> Tokens {
        let allowed = fraction_of(self.budget.unwrap_or_default(), MAX_CHARGED_OF_BUDGET);
        fraction_of(allowed, EXPOSURE_OF_ALLOWANCE * self.allowed_fraction())
    }

    /// Returns the part of [`MAX_CHARGED_OF_BUDGET`] that earlier losses have left.
    fn allowed_fraction(&self) -> f64 {
        let allowed = to_f64(self.budget.unwrap_or_default()) * MAX_CHARGED_OF_BUDGET;
        let charged = to_f64(self.stranded.saturating_add(self.others_stranded));
        if charged < allowed { 1.0 - charged / allowed } else { 0.0 }
    }

    /// Returns the part of [`Self::next_loss`] that the own row may charge.
    ///
    /// It goes by the rates of all holders at one moment, that of the last read.
    fn loss_fraction(&self) -> f64 {
        self.fraction_of_rate(self.rate_at_read)
    }
}
