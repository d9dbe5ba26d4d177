//! Escrow of budgets over a store whose transactions touch the rows of one account only.
//!
//! Each instance holds a share of every client account that it serves. A share is taken from the
//! account's total by compare-and-set and may then be spent without asking the store, also while
//! the store is out. The holder's row vouches for how much of the share may have been used by any
//! later time: `used + exposure`, and `per_s` more in each second once the row is old. The holder
//! keeps to that bound, and when an instance starts again under its name, it takes back what its
//! predecessor cannot have used.
//!
//! [`share::Share`] decides and has no I/O; [`driver::Escrow`] runs it against the store.

pub mod driver;
pub mod latency;
pub mod rate;
pub mod row;
pub mod share;

pub use driver::{Escrow, Fault, Reservation};
pub use row::{Grant, Total};
pub use share::Share;
