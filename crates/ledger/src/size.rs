//! How large a piece of a budget an instance takes.

use base::prelude::*;

/// Rule for the size of pieces.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Spending that a piece should cover at the current rate.
    pub horizon: Duration,
    /// Smallest piece taken while the budget is far from its end, in tokens.
    pub floor: Tokens,
    /// A piece is at most the available tokens divided by this number.
    pub divisor: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self { horizon: Duration::from_secs(90), floor: 4_000, divisor: 8 }
    }
}

impl Policy {
    /// Returns the wanted size of a piece, in tokens.
    ///
    /// `tokens_per_second` is the spending in tokens per second, `available` what the table has left. Near
    /// the end of a budget pieces shrink, so that little is stranded at other instances.
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
