//! How large a share should be.

use base::prelude::*;

use super::{Share, Standing};
use crate::escrow::rate::{part, to_tokens};

/// Part of what is left of the budget that the shares hold together; the rest evens them out.
const HELD_SHARE: f64 = 0.8;
/// The same near the end of the budget, when a request may need what several shares hold.
const HELD_SHARE_LATE: f64 = 0.5;
/// The same while nobody has spent anything, so that those who begin can take more at once.
const UNUSED_SHARE: f64 = 0.5;
/// Part of the budget from which on its end is near.
const LATE: f64 = 0.2;
/// Part of the budget from which on a share that is not used goes back.
const LAST: f64 = 0.1;
/// Time without a request after which it does.
const IDLE_LAST: Duration = Duration::from_millis(800);
/// A share below this part of its target is filled up.
const LOW_SHARE: f64 = 0.7;
/// A share above this part of its target gives the rest back.
const HIGH_SHARE: f64 = 1.4;
/// With a fair share below this many usual requests, tokens are taken for each request.
const SCARCE_REQUESTS: f64 = 1.5;
/// Part of a usual request below which free tokens are not worth a write to give them back.
const REST_REQUEST: f64 = 0.25;
/// Part of the shares that is spread evenly, as callers may come to any instance.
const EVEN_SHARE: f64 = 0.1;
/// Rate in tokens a second that counts as none, so that unused budgets are spread evenly.
const RATE_MIN: f64 = 1.0;

impl Share {
    /// Returns the tokens that no holder has taken, as last known.
    pub(super) fn available(&self) -> Tokens {
        self.prepaid.unwrap_or_default().saturating_sub(self.total.out)
    }

    /// Returns what is left of the budget, as far as this instance knows.
    pub(super) fn left(&self) -> Tokens {
        self.available().saturating_add(self.free()).saturating_add(self.elsewhere)
    }

    /// Returns the part of all shares that this instance should hold.
    ///
    /// It follows the rates of spending, since the callers of an account may all use one instance.
    pub(super) fn weight(&self, now: Duration) -> f64 {
        let instances = f64::from(u32::try_from(self.instances).unwrap_or(u32::MAX));
        let own = self.rate.get(now);
        let all = own + self.other_rate;
        if self.standing != Standing::Listed {
            return own / (all + RATE_MIN);
        }
        let even = EVEN_SHARE * all / instances + RATE_MIN;
        (own + even) / (all + even * instances)
    }

    /// Returns the part of what is left that all shares should hold together.
    fn held_share(&self, now: Duration) -> f64 {
        let is_used = self.rate.get(now) + self.other_rate > RATE_MIN;
        let is_late = self.left() < part(self.prepaid.unwrap_or_default(), LATE);
        match (is_used, is_late) {
            (false, _) => UNUSED_SHARE,
            (true, false) => HELD_SHARE,
            (true, true) => HELD_SHARE_LATE,
        }
    }

    /// Returns the size that the free part of the share should have.
    pub(super) fn target(&self, now: Duration) -> Tokens {
        if self.instances == 0 {
            return 0;
        }
        let is_last = self.left() < part(self.prepaid.unwrap_or_default(), LAST);
        if is_last && now.saturating_sub(self.asked_at) > IDLE_LAST {
            return 0;
        }
        let fair = part(self.left(), self.held_share(now) * self.weight(now));
        let usual = if self.usual > 0.0 { self.usual } else { self.other_usual };
        let is_scarce = fair < to_tokens(SCARCE_REQUESTS * usual);
        if self.standing == Standing::Closing || is_scarce { 0 } else { fair }
    }

    /// Returns the size of the share that is best now.
    pub(super) fn wanted_grant(&self, now: Duration) -> Tokens {
        let target = self.target(now);
        let granted = self.held.granted;
        let free = granted.saturating_sub(self.committed());
        let keep = target.max(self.wanted);
        if free < self.wanted || free < part(target, LOW_SHARE) {
            // All think that they spend most until they have read the rows of the others, so
            // that a part stays for requests that wait.
            let reserve = part(self.left(), 1.0 - self.held_share(now));
            let spare = self.available().saturating_sub(reserve);
            let waits = self.wanted.saturating_sub(free).min(self.available());
            let more = (self.committed() + keep).saturating_sub(granted).min(spare).max(waits);
            let serves = free < self.wanted && free + more >= self.wanted;
            // A small grant that serves no waiting request is not worth a write.
            if serves || more > part(target, 1.0 - LOW_SHARE) {
                return granted + more;
            }
        }
        let most =
            part(target, HIGH_SHARE).max(self.wanted).max(to_tokens(self.usual * REST_REQUEST));
        if free > most || (self.standing == Standing::Closing && free > 0) {
            return self.committed() + keep;
        }
        granted
    }
}
