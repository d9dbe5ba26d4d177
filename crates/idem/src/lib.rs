//! Idempotency keys: one claim row in the platform's table for each key of a client account.
//!
//! A request with a key is claimed before it is dispatched, so that the same key gives the same
//! answer or an honest state at any instance. One [`event`] loop per instance owns the writes: it
//! composes transactions with the pure state machine [`core::Core`] and keeps at most one of them
//! in flight, so that a lost reply is resolved by repeating the very same transaction.

pub mod answer;
pub mod claim;
pub mod core;
mod entry;
pub mod event;
pub mod row;
pub mod sweep;

pub use crate::answer::Answer;
pub use crate::claim::{Claim, Claims, Decision, Ownership};
