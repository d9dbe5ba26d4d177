//! Connections to upstreams through other instances.
//!
//! An instance that has lost its own path asks another one to connect to an upstream, and sends the
//! request over a tunnel: [`Entrance`] is its end, [`Exit`] that of the other instance. The exit
//! copies bytes and decides nothing else, so that tokens, retries, deadline and outcome of the
//! request stay where its caller is connected.

pub mod entrance;
pub mod exit;

use base::prelude::*;
use thiserror::Error;
pub use wire::message::Obstacle;

pub use crate::entrance::{Entrance, Exits, Tunnel};
pub use crate::exit::Exit;

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

/// Why there is no tunnel through another instance.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The instance has not connected to the upstream.
    #[error("{0:?}")]
    Obstacle(Obstacle),
    /// The instance did not answer, or its tunnel could not be opened.
    #[error("no answer: {0}")]
    Silent(String),
}
