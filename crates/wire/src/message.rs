//! Messages between instances, independent of their encoding.

use std::net::SocketAddr;

use base::prelude::*;

/// Identity that one end of a link states in the handshake.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Number of this start of the instance; a later start has a greater one.
    pub incarnation: Incarnation,
    /// Address on which the instance accepts links from peers.
    pub address: SocketAddr,
}

/// State of a member; at equal beats, the greater state takes precedence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// The member answers heartbeats.
    #[default]
    Alive,
    /// Heartbeat and indirect probes failed; the member may still refute the suspicion.
    Suspect,
    /// The member has announced a planned stop.
    Leaving,
    /// The suspicion was not refuted in time.
    Dead,
}

/// Gossiped state of one member of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Member {
    /// Id of the instance.
    pub instance: String,
    /// Number of this start; 0 for a member known only from the platform's list.
    pub incarnation: Incarnation,
    /// Address for callers, as `ip:port`.
    pub address: String,
    /// Address for links from peers, as `ip:port`.
    pub peer_address: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// State as of this incarnation and beat.
    pub state: State,
    /// Heartbeat counter; a higher one refutes a suspicion. Never decreases in an incarnation.
    pub beat: u64,
    /// Configuration version in force at the member.
    pub version: Version,
    /// Requests in flight at the member.
    pub load: u32,
    /// Time at which `version` came into force, in milliseconds since the Unix epoch.
    pub since: u64,
}

/// An opaque record that instances gossip to each other.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Record {
    /// Number of the component that uses the record.
    pub topic: u8,
    /// Key, unique within the topic.
    pub key: Vec<u8>,
    /// Content, opaque to the membership protocol.
    pub value: Vec<u8>,
    /// Time at which the record expires, in milliseconds since the Unix epoch.
    pub expires: u64,
}

/// A heartbeat or its reply, with the states of members.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Gossip {
    /// Newest configuration version that the sender runs or has seen.
    pub version: Version,
    /// States of members, that of the sender first.
    pub members: Vec<Member>,
    /// Records to spread further.
    pub records: Vec<Record>,
}

/// A request for tokens from the peer's piece of a budget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Take {
    /// Id of the budget.
    pub budget: String,
    /// Number of tokens requested.
    pub tokens: Tokens,
    /// Id of the transfer; a repeated id transfers nothing more.
    pub transfer: String,
}

/// A request for a part of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fetch {
    /// Version that the caller has; only a newer document is returned.
    pub newer_than: Version,
    /// Digest of the API key to read, empty for the configuration document.
    pub key: String,
}

/// Reply to [`Fetch`]: the configuration document or a single API key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    /// Version in force at the peer, or at which it read the API key.
    pub version: Version,
    /// JSON content, empty if the peer has no newer document.
    pub body: Vec<u8>,
}

/// Length of a ticket in bytes.
const TICKET_BYTES: usize = 16;

/// Secret with which an instance claims a connection that a peer holds for it.
pub type Ticket = [u8; TICKET_BYTES];

/// A request for a connection to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Connect {
    /// Id of the upstream, under which the peer finds its address.
    pub upstream: String,
    /// Start of the upstream that is meant; another one is not connected to.
    pub incarnation: Incarnation,
}

/// A connection to an upstream that the peer holds for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tunnel {
    /// Secret with which the caller claims the connection.
    pub ticket: Ticket,
    /// Whether the connection leads certainly to the incarnation that was requested.
    pub is_proven: bool,
}

/// Why a peer has not connected to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// The peer has no path to the upstreams of the service either.
    Path,
    /// The peer reaches other upstreams of the service, but not this one.
    Upstream,
    /// The peer does not list this incarnation of the upstream.
    Unlisted,
    /// The peer is stopping, or has too many tunnels.
    Busy,
}

/// A request from one instance to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Heartbeat, answered with [`Reply::Gossip`].
    Gossip(Gossip),
    /// Request for tokens, answered with [`Reply::Taken`].
    Take(Take),
    /// Request for configuration, answered with [`Reply::Document`].
    Fetch(Fetch),
    /// Indirect probe of the instance with this peer address, answered with [`Reply::Reached`].
    Probe(String),
    /// Request for a connection, answered with [`Reply::Tunnel`] or [`Reply::Obstacle`].
    Connect(Connect),
}

/// The answer to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Gossip of the instance that received the heartbeat.
    Gossip(Gossip),
    /// Number of tokens transferred, 0 if none.
    Taken(Tokens),
    /// Requested part of the configuration.
    Document(Document),
    /// True if the probed instance answered.
    Reached(bool),
    /// Connection that the peer holds for a short time.
    Tunnel(Tunnel),
    /// Why there is no connection.
    Obstacle(Obstacle),
    /// Reason of a refusal; the call had no effect.
    Refused(String),
}
