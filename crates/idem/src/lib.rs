//! Idempotency keys, each with one claim row in the platform's table.
//!
//! A request claims its key before it is dispatched. A repetition at any instance then gets the
//! same answer, or an error that states what is known about the first run. One [`event`] loop per
//! instance writes all its claim rows. It composes transactions with the pure state machine
//! [`core::Core`] and keeps at most one in flight. If its reply is lost, the loop repeats the same
//! transaction.

pub mod answer;
pub mod claim;
pub mod core;
mod entry;
pub mod event;
pub mod row;
pub mod sweep;

pub use crate::answer::Answer;
pub use crate::claim::{Claim, Claims, Decision, Ownership};
