//! Membership of instances, and the addresses that callers are given.
//!
//! [`protocol::Protocol`] is the membership protocol as a state machine without I/O. It sends
//! heartbeats to O(log n) neighbours on a ring with doubling distances, probes silent members
//! through helpers, suspects a member before it declares it dead, lets a member refute a suspicion
//! with a higher beat, and gossips changes in every message. [`agent::Agent`] runs the protocol
//! over the links to the peers. [`view::View`] answers callers from the resulting members.

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
