//! How large a share should be.

use base::prelude::*;

use super::{Share, Status};
use crate::escrow::rate::{fraction_of, to_tokens};

/// Part of what is left of the budget that the shares hold together; the rest evens them out.
const HELD_FRACTION: f64 = 0.8;
/// The same near the end of the budget, when a request may need what several shares hold.
const HELD_FRACTION_NEAR_END: f64 = 0.5;
/// The same while nobody has spent anything, so that those who begin can take more at once.
const HELD_FRACTION_UNUSED: f64 = 0.5;
/// Part of the budget from which on its end is near.
const NEAR_END_FRACTION: f64 = 0.2;
/// Part of the budget from which on a share that is not used goes back.
const IDLE_RETURN_FRACTION: f64 = 0.1;
/// Time without a request after which it does.
const IDLE_RETURN_AFTER: Duration = Duration::from_millis(800);
/// A share below this part of its target is filled up.
const REFILL_BELOW: f64 = 0.7;
/// A share above this part of its target gives the rest back.
const RETURN_ABOVE: f64 = 1.4;
/// With a fair share below this many usual requests, tokens are taken for each request.
const SCARCE_SHARE_REQUESTS: f64 = 1.5;
/// Part of a usual request below which free tokens are not worth a write to give them back.
const RETURN_MIN_REQUESTS: f64 = 0.25;
/// Part of the shares that is spread evenly, as callers may come to any instance.
const EVEN_FRACTION: f64 = 0.1;
/// Rate in tokens a second that counts as none, so that unused budgets are spread evenly.
const RATE_MIN: f64 = 1.0;

impl Share {
    /// Returns the tokens that no holder has taken, as last known.
    pub(super) fn available(&self) -> Tokens {
        self.budget.unwrap_or_default().saturating_sub(self.total.out)
    }

    /// Returns what is left of the budget, as far as this instance knows.
    pub(super) fn remaining(&self) -> Tokens {
        self.available().saturating_add(self.free()).saturating_add(self.others_free)
    }

    /// Returns the part of all shares that this instance should hold.
    ///
    /// It follows the rates of spending, since the callers of an account may all use one instance.
    pub(super) fn own_fraction(&self, now: Duration) -> f64 {
        let instances = f64::from(u32::try_from(self.instance_count).unwrap_or(u32::MAX));
        let own_rate = self.mean_rate.tokens_per_second(now);
        let total_rate = own_rate + self.others_tokens_per_second;
        if self.status != Status::Listed {
            return own_rate / (total_rate + RATE_MIN);
        }
        let even_rate = EVEN_FRACTION * total_rate / instances + RATE_MIN;
        (own_rate + even_rate) / (total_rate + even_rate * instances)
    }

    /// Returns the part of what is left that all shares should hold together.
    fn held_fraction(&self, now: Duration) -> f64 {
        let is_used =
            self.mean_rate.tokens_per_second(now) + self.others_tokens_per_second > RATE_MIN;
        let is_near_end =
            self.remaining() < fraction_of(self.budget.unwrap_or_default(), NEAR_END_FRACTION);
        match (is_used, is_near_end) {
            (false, _) => HELD_FRACTION_UNUSED,
            (true, false) => HELD_FRACTION,
            (true, true) => HELD_FRACTION_NEAR_END,
        }
    }

    /// Returns the size that the free part of the share should have.
    pub(super) fn target_free(&self, now: Duration) -> Tokens {
        if self.instance_count == 0 {
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

    /// Returns the size of the share that is best now.
    pub(super) fn target_granted(&self, now: Duration) -> Tokens {
        let target = self.target_free(now);
        let granted = self.stored.granted;
        let free = granted.saturating_sub(self.committed());
        let needed_free = target.max(self.demand);
        if free < self.demand || free < fraction_of(target, REFILL_BELOW) {
            // All think that they spend most until they have read the rows of the others, so
            // that a part stays for requests that wait.
            let kept_back = fraction_of(self.remaining(), 1.0 - self.held_fraction(now));
            let spare = self.available().saturating_sub(kept_back);
            let waiting = self.demand.saturating_sub(free).min(self.available());
            let increase =
                (self.committed() + needed_free).saturating_sub(granted).min(spare).max(waiting);
            let serves_waiting = free < self.demand && free + increase >= self.demand;
            // A small grant that serves no waiting request is not worth a write.
            if serves_waiting || increase > fraction_of(target, 1.0 - REFILL_BELOW) {
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
