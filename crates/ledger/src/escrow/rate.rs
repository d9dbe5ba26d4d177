//! Mean rate of spending, and shares of token amounts.

use base::prelude::*;

/// Time constant of the mean rate of spending.
pub(super) const RATE_TIME: Duration = Duration::from_secs(6);
/// The same for the rate in a burst.
pub(super) const BURST_TIME: Duration = Duration::from_secs(1);

/// Mean rate of spending, falling off exponentially.
#[derive(Debug)]
pub struct Rate {
    /// Time constant.
    time: Duration,
    per_s: f64,
    at: Duration,
}

impl Rate {
    /// Opens a rate of zero with a time constant.
    #[must_use]
    pub fn open(time: Duration) -> Self {
        Self { time, per_s: 0.0, at: Duration::ZERO }
    }

    /// Takes in tokens that are spent now.
    pub fn add(&mut self, tokens: Tokens, now: Duration) {
        self.per_s = self.get(now) + to_number(tokens) / self.time.as_secs_f64();
        self.at = now;
    }

    /// Returns the present rate, in tokens a second.
    #[must_use]
    pub fn get(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.per_s * (-age / self.time.as_secs_f64()).exp()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is finite and not negative"
)]
pub(super) fn to_tokens(number: f64) -> Tokens {
    number as Tokens
}

#[expect(clippy::cast_precision_loss, reason = "an estimate needs no more than 52 bits")]
pub(super) fn to_number(tokens: Tokens) -> f64 {
    tokens as f64
}

pub(super) fn part(tokens: Tokens, share: f64) -> Tokens {
    to_tokens(to_number(tokens) * share)
}
