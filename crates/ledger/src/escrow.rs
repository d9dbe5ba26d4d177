//! Escrow of budgets over a store whose transactions cover the rows of one account.
//!
//! Each instance holds a share (its part of the budget) of every client account that it serves.
//! It takes the share from the account's total by compare-and-set and then spends it without
//! calls to the store, also during an outage of the store. The holder's row sets a spend limit:
//! the most tokens that the holder may have used by a given time of the store's clock. The limit
//! starts at `used + exposure`, and once the row is older than `still_ms`, it grows by `per_s` per
//! second, up to the size of the share. The holder never commits more than this limit. When the
//! instance restarts, it therefore reclaims all tokens of the share above the limit.
//!
//! A restore of the store from a copy loses the newest rows. Each holder then writes its share
//! again, and nobody takes tokens until the holders have had time for it: the restored total does
//! not contain what they took since the copy was made.
//!
//! A holder lends unused tokens to instances that are short of them ([`loan`]).
//!
//! [`share::Share`] makes the decisions without I/O; [`driver::Escrow`] runs it against the store.

pub mod backlog;
pub mod driver;
pub mod latency;
pub mod loan;
pub mod rate;
pub mod row;
pub mod share;

pub use driver::{Escrow, Fault, Reservation};
pub use row::{Grant, Total};
pub use share::Share;
