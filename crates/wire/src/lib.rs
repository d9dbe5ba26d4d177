//! The link between instances, over `capnp-rpc`.
//!
//! Peers prove to each other that they know the fleet's key before anything else is said: both
//! send a nonce, and both answer with an HMAC over the two nonces and the addresses. Every later
//! message carries a sequence number and a MAC under a key of that session. All futures are bound
//! to one `ntex` thread, since those of `capnp-rpc` are not `Send`.

pub mod auth;
pub mod backoff;
mod codec;
mod counted;
pub mod error;
#[expect(
    clippy::allow_attributes_without_reason,
    clippy::pedantic,
    clippy::clone_on_ref_ptr,
    missing_debug_implementations,
    reason = "the schema compiler wrote this"
)]
#[rustfmt::skip]
mod generated;
pub mod handler;
pub mod link;
pub mod listener;
pub mod message;
pub mod pool;

pub use crate::error::Error;
pub use crate::handler::Handler;
pub use crate::link::Link;
pub use crate::listener::Listener;
pub use crate::pool::Pool;

/// Largest message on the link, in 8-byte words.
pub const MAX_MESSAGE_WORDS: usize = 512 << 10;

/// Who this end of a link is and what it needs to talk.
#[derive(Debug, Clone)]
pub struct Context {
    /// Key that all instances share.
    pub key: auth::Key,
    /// This instance.
    pub own: message::Identity,
    /// Counters.
    pub stats: watch::peer::Counters,
}
