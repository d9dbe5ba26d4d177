//! Interface to the program that answers the calls of peers.

use base::prelude::*;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, ready};

use crate::message::{Connect, Document, Fetch, Gossip, Identity, Obstacle, Take, Tunnel};

/// Future reply to a call; an error is the reason of a refusal.
///
/// A refused call must have had no effect.
pub type Pending<'a, T> = LocalBoxFuture<'a, Result<T, String>>;

/// Answers calls from authenticated peers.
pub trait Handler {
    /// Merges a peer's heartbeat and returns the gossip to reply with.
    fn gossip(&self, from: Identity, gossip: Gossip) -> Pending<'_, Gossip>;

    /// Transfers tokens from this instance's piece of a budget and returns their number.
    ///
    /// A repeated transfer id must return the result of the first call.
    fn take(&self, from: Identity, take: Take) -> Pending<'_, Tokens>;

    /// Returns a part of the configuration in force here.
    fn fetch(&self, from: Identity, fetch: Fetch) -> Pending<'_, Document>;

    /// Returns true if a third instance answers; serves the caller's indirect probe.
    fn probe(&self, from: Identity, peer_address: String) -> Pending<'_, bool>;

    /// Connects to an upstream for the caller; refused unless the program carries tunnels.
    fn connect(&self, _from: Identity, _connect: Connect) -> Pending<'_, Result<Tunnel, Obstacle>> {
        ready(Err("tunnels are not carried here".into())).boxed_local()
    }
}
