//! Errors of the planner. Their texts are sent to operators.

use thiserror::Error;

use crate::proposal::Proposal;

/// Reason why a plan was not made or not confirmed.
#[derive(Debug, Error)]
pub enum Error {
    /// The intent would give an invalid configuration; all faults are listed.
    #[error("the intent is not valid: {}", .0.join("; "))]
    Invalid(Vec<String>),
    /// The intent exceeds the operator's access; all reasons are listed.
    #[error("this operator may not do that: {}", .0.join("; "))]
    Forbidden(Vec<String>),
    /// No plan with this id exists.
    #[error("there is no plan '{0}'")]
    NotFound(String),
    /// The plan was not confirmed before [`Proposal::expires`].
    #[error("the plan has expired")]
    Expired,
    /// The configuration has changed since the plan was made.
    ///
    /// Holds a new plan with the same intent.
    #[error("the configuration has changed since the plan was made")]
    Stale(Box<Proposal>),
    /// The call to the table failed, and may have been applied; confirming again is safe.
    #[error("the platform cannot be reached: {0}")]
    Store(#[from] store::Error),
    /// Every attempt to confirm conflicted with a concurrent change.
    #[error("other changes kept getting in the way; try again")]
    Contended,
}
