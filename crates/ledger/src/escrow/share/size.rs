//! Target size of a share.

use base::prelude::*;

use super::{Share, Status};
use crate::escrow::rate::{fraction_of, to_tokens};

/// Fraction of the remaining budget that all shares hold together.
///
/// The rest stays available to holders that need more than their share.
const HELD_FRACTION: f64 = 0.8;
/// Fraction held near the end of the budget, when one request may need several shares.
const HELD_FRACTION_NEAR_END: f64 = 0.5;
/// Fraction held while no instance spends, so that the first spenders can take more.
const HELD_FRACTION_UNUSED: f64 = 0.5;
/// The budget is near its end while less than this fraction of it remains.
const NEAR_END_FRACTION: f64 = 0.2;
/// Idle shares are returned while less than this fraction of the budget remains.
const IDLE_RETURN_FRACTION: f64 = 0.1;
/// Time without a request after which a share counts as idle.
const IDLE_RETURN_AFTER: Duration = Duration::from_millis(800);
/// Fraction of its target below which a share is refilled.
const REFILL_BELOW: f64 = 0.7;
/// Fraction of its target below which a share is refilled although another holder may have written
/// the total.
const REFILL_AT_ONCE_BELOW: f64 = 0.35;
/// Multiple of its target above which a share returns the excess.
const RETURN_ABOVE: f64 = 1.4;
/// Fair share, in mean requests, below which the share keeps no free tokens.
///
/// Tokens are then taken for each request as it arrives.
const SCARCE_SHARE_REQUESTS: f64 = 1.5;
/// Fraction of a mean request below which returning free tokens is not worth a write.
const RETURN_MIN_REQUESTS: f64 = 0.25;
/// Fraction of the shares that is spread evenly, since callers may use any instance.
const EVEN_FRACTION: f64 = 0.1;
/// Spending rate in tokens per second up to which a budget counts as unused.
///
/// It is also added to each instance's rate, so that an unused budget is spread evenly.
const MIN_RATE: f64 = 1.0;

impl Share {
    /// Returns the tokens that are granted to no holder, as last read.
    ///
    /// Tokens that a restore of the store may have made forget are left out.
    pub(super) fn available(&self) -> Tokens {
        self.budget
            .unwrap_or_default()
            .saturating_sub(self.total.out)
            .saturating_sub(self.era_row.missing().max(self.others_lost))
    }

    /// Returns the unused tokens of the whole budget, as last read.
    pub(super) fn remaining(&self) -> Tokens {
        self.available().saturating_add(self.free()).saturating_add(self.others_free)
    }

    /// Returns the fraction of all shares that this instance should hold.
    ///
    /// It follows the spending rates, since all callers of an account may use one instance.
    pub(super) fn own_fraction(&self, now: Duration) -> f64 {
        let instances = f64::from(u32::try_from(self.instance_count).unwrap_or(u32::MAX));
        let own_rate = self.mean_rate.tokens_per_second(now);
        let total_rate = own_rate + self.others_tokens_per_second;
        if self.status != Status::Listed {
            return own_rate / (total_rate + MIN_RATE);
        }
        let even_rate = EVEN_FRACTION * total_rate / instances + MIN_RATE;
        (own_rate + even_rate) / (total_rate + even_rate * instances)
    }

    /// Returns the fraction of the remaining budget that all shares should hold together.
    fn held_fraction(&self, now: Duration) -> f64 {
        let is_used =
            self.mean_rate.tokens_per_second(now) + self.others_tokens_per_second > MIN_RATE;
        let is_near_end =
            self.remaining() < fraction_of(self.budget.unwrap_or_default(), NEAR_END_FRACTION);
        match (is_used, is_near_end) {
            (false, _) => HELD_FRACTION_UNUSED,
            (true, false) => HELD_FRACTION,
            (true, true) => HELD_FRACTION_NEAR_END,
        }
    }

    /// Returns how many free tokens the share should have.
    pub(super) fn target_free(&self, now: Duration) -> Tokens {
        let is_starting = now < self.takes_idle_from && self.stored.granted == 0;
        if self.instance_count == 0 || is_starting {
            return 0;
        }
        let is_almost_spent =
            self.remaining() < fraction_of(self.budget.unwrap_or_default(), IDLE_RETURN_FRACTION);
        if is_almost_spent && now.saturating_sub(self.last_request_at) > IDLE_RETURN_AFTER {
            return 0;
        }
        let fair = fraction_of(self.remaining(), self.held_fraction(now) * self.own_fraction(now));
        let request_bound =
            if self.mean_bound > 0.0 { self.mean_bound } else { self.others_mean_bound };
        let is_scarce = fair < to_tokens(SCARCE_SHARE_REQUESTS * request_bound);
        if self.status == Status::Closing || is_scarce { 0 } else { fair }
    }

    /// Returns true if the share should take tokens before the next regular read.
    pub(super) fn needs_refill(&self, now: Duration) -> bool {
        self.free() < fraction_of(self.target_free(now), REFILL_AT_ONCE_BELOW)
    }

    /// Returns how many tokens the share should have, including the used ones.
    pub(super) fn target_granted(&self, now: Duration) -> Tokens {
        let target = self.target_free(now);
        let granted = self.stored.granted;
        let free = granted.saturating_sub(self.committed());
        let needed_free = target.max(self.demand);
        if free < self.demand || free < fraction_of(target, REFILL_BELOW) {
            // Between two reads, an instance knows only its own new spending, so its target can be
            // too large. A part of the budget is kept back for requests that wait.
            let kept_back = fraction_of(self.remaining(), 1.0 - self.held_fraction(now));
            let spare = self.available().saturating_sub(kept_back);
            let waiting = self.demand.saturating_sub(free).min(self.available());
            let increase =
                (self.committed() + needed_free).saturating_sub(granted).min(spare).max(waiting);
            let serves_waiting = free < self.demand && free + increase >= self.demand;
            // A small increase that serves no waiting request is not worth a write, nor is one of a
            // share that would return it at once.
            let is_refill = target > 0 && increase > fraction_of(target, 1.0 - REFILL_BELOW);
            if serves_waiting || is_refill {
                return granted + increase;
            }
        }
        let max_free = fraction_of(target, RETURN_ABOVE)
            .max(self.demand)
            .max(to_tokens(self.mean_bound * RETURN_MIN_REQUESTS));
        if free > max_free || (self.status == Status::Closing && free > 0) {
            return self.committed() + needed_free;
        }
        granted
    }
}
