//! Budget accounting: pieces, reservations, settlement and their rows in the platform's table.
//!
//! An instance moves tokens of a budget into its own piece before it spends them (escrow). A
//! request reserves an upper bound of its cost from the piece in memory and settles the tokens that
//! it used. One [`event`] loop per instance makes all writes: the pure state machine
//! [`core::Core`] composes the transactions. At most one of them is in flight, so that a lost reply
//! is resolved by sending the same transaction again.
//!
//! The [`escrow`] module is a separate mechanism with its own rows: each instance holds a share of
//! every client account that it serves.

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
