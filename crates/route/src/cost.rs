//! Estimate of what a generation costs and of the work that each upstream still has to do.
//!
//! Load pattern: requests whose prompts differ a hundredfold in length, at upstreams of different
//! speed that share their machines with other work and serve other instances as well. Neither the
//! speeds nor the queues are on the wire. [`Service`] learns the rates that are usual for a
//! service, [`Upstream`] how an upstream differs from them, permanently and at present, and the
//! tokens that wait there. Every estimate has an uncertainty, which grows with the age of what it
//! is based on, so that an upstream that is not used is tried again.

mod belief;
mod length;
mod service;
mod upstream;

pub use belief::{Belief, Prior};
pub use length::Length;
pub use service::{Rates, Service};
pub use upstream::{Report, Upstream, Work};
