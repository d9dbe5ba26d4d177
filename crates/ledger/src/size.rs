//! Size of the piece that an instance takes from a budget.

use base::prelude::*;

/// Limits from which the target size of a piece is computed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Time for which a piece covers spending at the current rate.
    pub horizon: Duration,
    /// Smallest target in tokens, unless `divisor` gives a smaller one.
    pub floor: Tokens,
    /// A target is at most the available tokens divided by this number.
    pub divisor: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self { horizon: Duration::from_secs(90), floor: 4_000, divisor: 8 }
    }
}

impl Policy {
    /// Returns the target size of a piece, in tokens.
    ///
    /// `tokens_per_second` is the spending rate, `available` what the budget row has available.
    /// Pieces shrink near the end of a budget, so that few tokens are stranded at other instances.
    ///
    /// # Examples
    ///
    /// ```
    /// let policy = ledger::size::Policy::default();
    /// assert_eq!(policy.target(0.0, 1_000_000), 4_000);
    /// assert_eq!(policy.target(0.0, 800), 100);
    /// ```
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a rate is finite and not negative, and the result is capped"
    )]
    pub fn target(&self, tokens_per_second: f64, available: Tokens) -> Tokens {
        let horizon_tokens = (tokens_per_second * self.horizon.as_secs_f64()) as Tokens;
        horizon_tokens.max(self.floor).min(available / self.divisor)
    }
}
