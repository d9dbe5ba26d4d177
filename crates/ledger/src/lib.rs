//! Budgets: pieces held in advance, reservation, settlement and their record in the table.
//!
//! An instance takes pieces of a budget from the platform's table before it spends them
//! (escrow). Requests reserve an upper bound of their cost from a piece in memory and settle
//! what was used. One [`event`] loop per instance owns all writes: it composes transactions with
//! the pure state machine [`core::Core`] and keeps at most one of them in flight, so that a lost
//! reply is resolved by repeating the very same transaction.

mod allocation;
pub mod book;
pub mod core;
pub mod error;
pub mod escrow;
pub mod event;
pub mod gate;
pub mod peer;
pub mod piece;
pub mod recover;
pub mod row;
mod schedule;
pub mod size;
pub mod writer;

pub use crate::book::{Book, Hold};
pub use crate::error::Error;
