//! Choice of an upstream for a request.

pub mod balancer;
pub mod cache;
pub mod error;
pub mod fleet;
pub mod health;
pub mod load;
pub mod placement;
pub mod poison;
pub mod polling;
pub mod prefix;
pub mod report;
pub mod retry;
pub mod ticket;
pub mod upstream;

pub use crate::balancer::{Balancer, Policy};
pub use crate::error::Error;
pub use crate::fleet::{Criteria, Fleet};
pub use crate::ticket::Ticket;
pub use crate::upstream::Upstream;
