//! Decaying rates of spending, and conversions of token amounts.

use base::prelude::*;

/// Time constant of the mean rate, by which shares are sized.
pub(super) const RATE_TIME_CONSTANT: Duration = Duration::from_secs(6);
/// Time constant of the burst rate, which rises as soon as spending does.
pub(super) const BURST_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Mean rate of spending that decays exponentially.
#[derive(Debug)]
pub struct Rate {
    time_constant: Duration,
    tokens_per_second: f64,
    updated_at: Duration,
}

impl Rate {
    /// Creates a rate of zero.
    ///
    /// Without spending, a rate falls to 1/e in each `time_constant`.
    #[must_use]
    pub fn new(time_constant: Duration) -> Self {
        Self { time_constant, tokens_per_second: 0.0, updated_at: Duration::ZERO }
    }

    /// Adds tokens that are spent at `now`.
    pub fn add(&mut self, tokens: Tokens, now: Duration) {
        self.tokens_per_second =
            self.tokens_per_second(now) + to_f64(tokens) / self.time_constant.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the rate at `now`, in tokens per second.
    #[must_use]
    pub fn tokens_per_second(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens_per_second * (-age / self.time_constant.as_secs_f64()).exp()
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

#[expect(clippy::cast_precision_loss, reason = "estimates need no more than the 52 bits of an f64")]
pub(super) fn to_f64(tokens: Tokens) -> f64 {
    tokens as f64
}

pub(super) fn fraction_of(tokens: Tokens, fraction: f64) -> Tokens {
    to_tokens(to_f64(tokens) * fraction)
}
