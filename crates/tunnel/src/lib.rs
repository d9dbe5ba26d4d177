//! Connections to upstreams through other instances.
//!
//! An instance that has lost its own path asks another one to connect to an upstream, and sends the
//! request over a tunnel: [`Entrance`] is its end, [`Exit`] that of the other instance. The exit
//! copies bytes and decides nothing else, so that tokens, retries, deadline and outcome of the
//! request stay where its caller is connected.

pub mod entrance;
pub mod exit;

use base::prelude::*;

pub use crate::entrance::{Entrance, Exits, Tunnel};
pub use crate::exit::{Exit, Ticket};

/// One start of an upstream, to which a connection is wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Service to which the upstream belongs.
    pub service: ServiceId,
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Start of the upstream that is meant.
    pub incarnation: Incarnation,
}

/// Why another instance has not connected to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// It has no path to the upstreams of the service either.
    Path,
    /// It reaches other upstreams of the service, but not this one.
    Upstream,
    /// It does not list this incarnation of the upstream.
    Unlisted,
    /// It is stopping, or carries too many tunnels.
    Busy,
    /// It did not answer.
    Silent,
}
