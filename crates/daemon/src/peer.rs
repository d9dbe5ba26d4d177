//! Endpoint for peers: membership, and the answers to their calls.

use std::net::SocketAddr;
use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use flow::Shared;
use futures::FutureExt;
use futures::future::ready;
use member::protocol::Settings;
use member::{Agent, agent};
use slog::warn;
use wire::auth::Key;
use wire::handler::Pending;
use wire::message::{Document, Fetch, Gossip, Identity, Member, Take};
use wire::{Handler, Listener, Pool};

/// Answers calls of peers that are short of tokens.
pub trait Donor {
    /// Returns how many tokens of a piece the peer may use immediately.
    ///
    /// An error is a refusal without effect; its text is the reason.
    fn take(&self, from: Identity, take: Take) -> Pending<'_, Tokens>;
}

/// Endpoint for peers; dropping it closes the listener.
#[derive(Debug)]
pub struct Endpoint {
    /// Membership agent, which exchanges heartbeats with the peers.
    pub agent: Agent,
    _listener: Listener,
}

/// Opens the endpoint, or returns `None` if the settings have no key for peers.
///
/// # Errors
///
/// Returns an error if the instance cannot listen on its address for peers.
pub fn open(
    settings: &conf::Settings,
    incarnation: Incarnation,
    shared: &Arc<Shared>,
    donor: Rc<dyn Donor>,
) -> Result<Option<Endpoint>, wire::Error> {
    let Some(key) = &settings.peers.key else { return Ok(None) };
    let own = shared.membership.own();
    let listener = std::net::TcpListener::bind(settings.instance.peer_listen)?;
    let address = settings.peers.address.map_or_else(|| listener.local_addr(), Ok)?;
    let identity = Identity { instance: own.instance.as_str().into(), incarnation, address };
    let key = Key::new(key.as_bytes());
    let context = wire::Context { key, own: identity, stats: shared.metrics.peer.clone() };
    let agent = spawn_agent(settings, own_member(shared, incarnation, address), &context, shared);
    let handler = Rc::new(Dispatcher { agent: agent.clone(), shared: Arc::clone(shared), donor });
    let listener = Listener::from_std(listener, context, handler)?;
    Ok(Some(Endpoint { agent, _listener: listener }))
}

fn own_member(shared: &Shared, incarnation: Incarnation, address: SocketAddr) -> Member {
    let own = shared.membership.own();
    Member {
        instance: own.instance.clone(),
        incarnation,
        address: own.address.clone(),
        peer_address: address.to_string(),
        domain: own.domain.clone(),
        ..Member::default()
    }
}

fn spawn_agent(
    settings: &conf::Settings,
    own: Member,
    context: &wire::Context,
    shared: &Arc<Shared>,
) -> Agent {
    let peers = &settings.peers;
    let protocol_settings = Settings {
        heartbeat_interval: peers.heartbeat_interval,
        suspicion_timeout: peers.suspicion_timeout,
        ..Settings::default()
    };
    let context = agent::Context {
        own,
        settings: protocol_settings,
        seeds: peers.seeds.iter().map(ToString::to_string).collect(),
        pool: Pool::open(context.clone(), Arc::clone(&shared.clock)),
        view: Arc::clone(&shared.membership),
        clock: Arc::clone(&shared.clock),
        log: shared.log.clone(),
    };
    let load_source = Arc::clone(shared);
    Agent::spawn(context, move || u32::try_from(load_source.in_flight.count()).unwrap_or(u32::MAX))
}

/// Answers each kind of call that a peer can make.
struct Dispatcher {
    agent: Agent,
    shared: Arc<Shared>,
    donor: Rc<dyn Donor>,
}

impl Dispatcher {
    fn document(&self, fetch: &Fetch) -> Result<Document, String> {
        if !fetch.key.is_empty() {
            return self.key_document(&fetch.key);
        }
        let doc = self.shared.config.load();
        if doc.version <= fetch.newer_than {
            return Ok(Document { version: doc.version, body: Vec::new() });
        }
        let body = serde_json::to_vec(&**doc).map_err(|error| error.to_string())?;
        Ok(Document { version: doc.version, body })
    }
}

impl Dispatcher {
    /// Returns a caller's cached key and the configuration version at which it was read.
    fn key_document(&self, digest: &str) -> Result<Document, String> {
        let (version, key) = self.shared.keys.cached(digest).ok_or("the key is not known here")?;
        let body = serde_json::to_vec(&key).map_err(|error| error.to_string())?;
        Ok(Document { version, body })
    }
}

impl Handler for Dispatcher {
    fn gossip(&self, _from: Identity, gossip: Gossip) -> Pending<'_, Gossip> {
        ready(Ok(self.agent.receive_heartbeat(gossip))).boxed_local()
    }

    fn take(&self, from: Identity, take: Take) -> Pending<'_, Tokens> {
        self.donor.take(from, take)
    }

    fn fetch(&self, _from: Identity, fetch: Fetch) -> Pending<'_, Document> {
        ready(self.document(&fetch)).boxed_local()
    }

    fn probe(&self, _from: Identity, peer_address: String) -> Pending<'_, bool> {
        async move { Ok(self.agent.probe(&peer_address).await) }.boxed_local()
    }
}

/// Opens the endpoint; returns `None` after a failure, which is logged, and without a key.
///
/// With `None` the instance serves without a link to its peers.
#[must_use]
pub fn try_open(
    settings: &conf::Settings,
    incarnation: Incarnation,
    shared: &Arc<Shared>,
    donor: Rc<dyn Donor>,
) -> Option<Endpoint> {
    let opened = open(settings, incarnation, shared, donor);
    opened.unwrap_or_else(|error| {
        warn!(shared.log, "cannot open the link to the peers"; "error" => %error,
            "uptime_ms" => millis(shared.clock.now()));
        None
    })
}
