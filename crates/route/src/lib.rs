//! Load balancing: the choice of an upstream for each request.
//!
//! There are two ways to choose: [`fleet`] applies a policy of [`balancer`] to polled reports, and
//! [`placement`] compares the expected times that [`cost`] estimates. [`poison`] rejects requests that crash upstreams, and
//! [`retry`] limits retries, [`throttle`] the requests to an upstream that states a limit, and
//! [`brittle`] those to an upstream that fails when it must turn requests away, and [`cold`] those to
//! one that has just started.
//! [`origin`] finds the software version at which an interrupted stream may go on, and [`path`]
//! tells whether the instance reaches the upstreams by connections of its own.

pub mod balancer;
pub mod brittle;
pub mod cache;
pub mod cold;
pub mod cost;
pub mod error;
pub mod fleet;
pub mod health;
pub mod load;
pub mod origin;
pub mod path;
pub mod placement;
pub mod poison;
pub mod polling;
pub mod prefix;
pub mod report;
pub mod retry;
pub mod throttle;
pub mod ticket;
pub mod upstream;

pub use crate::balancer::{Balancer, Policy};
pub use crate::error::Error;
pub use crate::fleet::{Criteria, Fleet};
pub use crate::ticket::Ticket;
pub use crate::upstream::Upstream;
