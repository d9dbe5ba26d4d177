//! Routing of requests by host and path on the users' platform.
//!
//! A request passes these steps, each in its own module: [`listener`] reads its head, [`serve`]
//! reads its body, finds its route and client account and reserves tokens, [`dispatch`] sends it to
//! an upstream over a connection of [`connect`], [`relay`] returns the answer. [`fleet`] holds the
//! upstreams and [`roster`] the other instances. [`proof`] tells which incarnation a connection
//! leads to. [`memory`] bounds what connections hold. [`Codec`] hides the names of a deployment's
//! header fields.
//!
//! All of this runs on one thread, because an instance has only a part of one core.

pub mod codec;
pub mod cold;
pub mod connect;
pub mod dispatch;
pub mod evacuation;
pub mod fleet;
pub mod gate;
pub mod link;
pub mod listener;
pub mod memory;
pub mod metric;
pub mod params;
pub mod proof;
pub mod refusal;
pub mod relay;
pub mod roster;
pub mod serve;
pub mod sse;
pub mod stop;
pub mod upstream;

pub use crate::codec::Codec;
pub use crate::connect::Tunnels;
pub use crate::fleet::Fleet;
pub use crate::params::Params;
pub use crate::refusal::Refusal;
pub use crate::serve::Front;
