//! The door for requests that are routed by host and path.
//!
//! A request passes these steps, each in a module of its own: [`listener`] reads it, [`serve`]
//! finds its route, its client account and its share of the budget, [`dispatch`] sends it to an
//! upstream, [`relay`] brings the answer back. [`fleet`] knows the upstreams and [`roster`] the
//! other instances. What a deployment calls its header fields is behind [`Codec`].
//!
//! All of this runs on one thread: the instances that it is made for have a part of one core.

pub mod codec;
pub mod dispatch;
pub mod fleet;
pub mod link;
pub mod listener;
pub mod metric;
pub mod params;
pub mod refusal;
pub mod relay;
pub mod roster;
pub mod serve;
pub mod sse;
pub mod stop;
pub mod upstream;

pub use crate::codec::Codec;
pub use crate::fleet::Fleet;
pub use crate::params::Params;
pub use crate::refusal::Refusal;
pub use crate::serve::Front;
