//! Instances of the system and the addresses that callers are told to use.
//!
//! [`protocol::Protocol`] is the pure state machine of membership: heartbeats to O(log n)
//! neighbours on a ring with doubling distances, suspicion before death, indirect probes, refutation by a
//! growing beat, and news passed on with each message. [`agent::Agent`] runs it over the link
//! between instances, and [`view::View`] answers callers from what it knows.

pub mod agent;
pub mod protocol;
pub mod records;
pub mod ring;
pub mod subset;
pub mod view;

pub use crate::agent::Agent;
pub use crate::protocol::Protocol;
pub use crate::records::Records;
pub use crate::view::{Answer, View};
