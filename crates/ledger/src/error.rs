//! Reasons for which a reservation is refused.

use base::prelude::*;
use thiserror::Error;

/// Reason for refusing a reservation; nothing is reserved then.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The budget has fewer tokens left than the bound of the request.
    #[error("budget has {available} tokens left, the request may need {bound}")]
    Exhausted {
        /// Tokens that the instance could still reserve for this request.
        available: Tokens,
        /// Upper bound of the request's cost, in tokens.
        bound: Tokens,
    },
    /// The table has no row for the budget.
    #[error("budget is not known")]
    UnknownBudget,
    /// The piece is too small and the table does not answer.
    #[error("the platform's table cannot be reached")]
    Unreachable,
    /// The holder is fenced, closed, or has not confirmed its lease since a pause.
    #[error("this instance lost its lease")]
    Fenced,
}
