//! Types that every crate of the workspace shares.
//!
//! The crate has no I/O. It defines ids, token amounts, the outcome reported to callers and the
//! clock through which the other crates read the time.

pub mod clock;
pub mod id;
pub mod outcome;
pub mod prelude;
