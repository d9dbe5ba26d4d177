//! Errors of planning and confirming.

use thiserror::Error;

use crate::proposal::Proposal;

/// Why a plan was not made or not confirmed.
#[derive(Debug, Error)]
pub enum Error {
    /// The intent is not a valid configuration.
    #[error("the intent is not valid: {}", .0.join("; "))]
    Invalid(Vec<String>),
    /// The operator may not change this.
    #[error("this operator may not do that: {}", .0.join("; "))]
    Forbidden(Vec<String>),
    /// There is no such plan.
    #[error("there is no plan '{0}'")]
    NotFound(String),
    /// The plan has expired.
    #[error("the plan has expired")]
    Expired,
    /// The configuration has changed since the plan was made.
    #[error("the configuration has changed since the plan was made")]
    Stale(Box<Proposal>),
    /// The platform cannot be reached; confirming again is safe.
    #[error("the platform cannot be reached: {0}")]
    Store(#[from] store::Error),
    /// Other operators kept changing the same rows.
    #[error("other changes kept getting in the way; try again")]
    Contended,
}
