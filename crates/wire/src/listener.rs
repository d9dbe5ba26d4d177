//! The listening end of links, which serves the calls of peers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use capnp_rpc::rpc_twoparty_capnp::Side as Vat;
use capnp_rpc::{RpcSystem, new_client};
use futures::channel::oneshot;
use futures::future;
use rand::Rng;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::auth::{self, Key, Nonce, Side, Transcript};
use crate::generated::peer_capnp::{door, session};
use crate::link::rpc_network;
use crate::message::{Identity, Reply, Request};
use crate::{Context, Error, Handler, codec};

/// Time within which a caller must complete the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Most open connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 1_024;
/// Most calls in flight on one connection; further ones are refused.
const MAX_CALLS_IN_FLIGHT: usize = 64;
/// Delay after `accept` fails, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections from peers until it is dropped.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    /// Stops the accept loop when dropped.
    _shutdown: oneshot::Sender<()>,
}

/// Returns true if a caller that connected to `target` reached this listener.
///
/// If the own IP address is unspecified, only the ports are compared.
fn is_own_address(own: SocketAddr, target: &str) -> bool {
    let Ok(target) = target.parse::<SocketAddr>() else { return false };
    target == own || (own.ip().is_unspecified() && target.port() == own.port())
}

impl Listener {
    /// Listens on an address; port 0 selects a free port.
    ///
    /// Callers must connect to `context.own.address`; if the port of that address is 0, they must
    /// connect to the listening address. Others are rejected, so that a handshake cannot be relayed
    /// to another instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn bind(
        listen: SocketAddr,
        context: Context,
        handler: Rc<dyn Handler>,
    ) -> Result<Self, Error> {
        Self::from_std(std::net::TcpListener::bind(listen)?, context, handler)
    }

    /// Accepts connections on a socket that is already listening.
    ///
    /// The rules for `context.own.address` are those of [`Self::bind`].
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be switched to nonblocking operation.
    pub fn from_std(
        listener: std::net::TcpListener,
        mut context: Context,
        handler: Rc<dyn Handler>,
    ) -> Result<Self, Error> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        if context.own.address.port() == 0 {
            context.own.address = address;
        }
        let (shutdown, shutdown_signal) = oneshot::channel();
        ntex::rt::spawn(async move {
            let accept = std::pin::pin!(accept_connections(listener, context, handler));
            drop(future::select(accept, shutdown_signal).await);
        });
        Ok(Self { address, _shutdown: shutdown })
    }

    /// Returns the listening address, with the port that the system selected.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept_connections(listener: TcpListener, context: Context, handler: Rc<dyn Handler>) {
    let open_connections = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open_connections.get() >= MAX_CONNECTIONS {
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let (open_connections, context) = (Rc::clone(&open_connections), context.clone());
        let handler = Rc::clone(&handler);
        ntex::rt::spawn(async move {
            serve(stream, context, handler).await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}

/// Serves one connection until it closes or the handshake times out.
async fn serve(stream: TcpStream, context: Context, handler: Rc<dyn Handler>) {
    let network = rpc_network(stream, Vat::Server, &context);
    let authenticated = Rc::new(Cell::new(false));
    let door = Door {
        context,
        handler,
        authenticated: Rc::clone(&authenticated),
        pending_transcript: RefCell::default(),
    };
    let door: door::Client = new_client(door);
    let system = RpcSystem::new(Box::new(network), Some(door.client));
    let handshake_timeout = std::pin::pin!(sleep(HANDSHAKE_TIMEOUT));
    if let future::Either::Right(((), system)) = future::select(system, handshake_timeout).await
        && authenticated.get()
    {
        // The result is dropped: the caller notices itself that the connection has closed.
        drop(system.await);
    }
}

/// Bootstrap object of a connection, which performs the handshake before any call.
struct Door {
    context: Context,
    handler: Rc<dyn Handler>,
    /// Set once the caller's proof is verified; read by [`serve`].
    authenticated: Rc<Cell<bool>>,
    /// Transcript that awaits the caller's proof; `None` before `hello` and after a proof.
    pending_transcript: RefCell<Option<Transcript>>,
}

impl Door {
    fn begin_handshake(&self, params: &door::HelloParams) -> Result<Transcript, Error> {
        let hello = params.get()?.get_hello()?;
        let decode_text = |text: capnp::text::Reader<'_>| {
            text.to_string().map_err(|error| Error::Malformed(error.to_string()))
        };
        let target = decode_text(hello.get_target()?)?;
        if !is_own_address(self.context.own.address, &target) {
            return Err(Error::Unauthenticated);
        }
        let address = decode_text(hello.get_address()?)?;
        let caller_identity = Identity {
            instance: decode_text(hello.get_instance()?)?.into(),
            incarnation: hello.get_incarnation(),
            address: address.parse().map_err(|_invalid| Error::Unauthenticated)?,
        };
        Ok(Transcript {
            caller_nonce: hello
                .get_nonce()?
                .try_into()
                .map_err(|_length| Error::Unauthenticated)?,
            listener_nonce: rand::rng().random::<Nonce>(),
            caller_identity,
            target,
            listener_incarnation: self.context.own.incarnation,
        })
    }

    fn authenticate(&self, proof: &[u8]) -> Result<session::Client, Error> {
        // A transcript is consumed by one proof, so that a caller cannot try many proofs.
        let transcript = self.pending_transcript.take().ok_or(Error::Unauthenticated)?;
        transcript.verify(&self.context.key, Side::Caller, proof)?;
        self.authenticated.set(true);
        Ok(new_client(Session {
            key: transcript.session_key(&self.context.key),
            context: self.context.clone(),
            peer: transcript.caller_identity,
            handler: Rc::clone(&self.handler),
            sequence: Cell::new(0),
            calls_in_flight: Cell::new(0),
        }))
    }

    /// Counts a failed handshake and converts the error into the caller's reply.
    fn reject(&self, error: &Error) -> capnp::Error {
        self.context.stats.unauthenticated_callers.inc();
        capnp::Error::failed(error.to_string())
    }
}

impl door::Server for Door {
    async fn hello(
        self: Rc<Self>,
        params: door::HelloParams,
        mut results: door::HelloResults,
    ) -> Result<(), capnp::Error> {
        let transcript = self.begin_handshake(&params).map_err(|error| self.reject(&error))?;
        let mut challenge = results.get().init_challenge();
        challenge.set_nonce(&transcript.listener_nonce);
        challenge.set_incarnation(transcript.listener_incarnation);
        challenge.set_proof(&transcript.proof(&self.context.key, Side::Listener));
        self.pending_transcript.replace(Some(transcript));
        Ok(())
    }

    async fn prove(
        self: Rc<Self>,
        params: door::ProveParams,
        mut results: door::ProveResults,
    ) -> Result<(), capnp::Error> {
        let session =
            self.authenticate(params.get()?.get_proof()?).map_err(|error| self.reject(&error))?;
        results.get().set_session(session);
        Ok(())
    }
}

/// Object through which an authenticated peer makes its calls.
struct Session {
    key: Key,
    context: Context,
    peer: Identity,
    handler: Rc<dyn Handler>,
    /// Highest sequence number received; a call with the same or a lower one is rejected.
    sequence: Cell<u64>,
    calls_in_flight: Cell<usize>,
}

impl Session {
    /// Verifies MAC and sequence number of a call and decodes the request.
    fn verify_call(&self, params: &session::CallParams) -> Result<(u64, Request), Error> {
        let sealed = params.get()?.get_sealed()?;
        let (sequence, body) = (sealed.get_sequence(), sealed.get_body()?);
        auth::verify_message(&self.key, Side::Caller, sequence, body, sealed.get_mac()?)?;
        if sequence <= self.sequence.get() {
            return Err(Error::Tampered);
        }
        self.sequence.set(sequence);
        Ok((sequence, codec::decode_request(body)?))
    }

    async fn answer(&self, request: Request) -> Reply {
        if self.calls_in_flight.get() >= MAX_CALLS_IN_FLIGHT {
            return Reply::Refused("too many calls at once".into());
        }
        let _in_flight = InFlight::open(&self.calls_in_flight);
        let from = self.peer.clone();
        let answer = match request {
            Request::Gossip(gossip) => self.handler.gossip(from, gossip).await.map(Reply::Gossip),
            Request::Take(take) => self.handler.take(from, take).await.map(Reply::Taken),
            Request::Fetch(fetch) => self.handler.fetch(from, fetch).await.map(Reply::Document),
            Request::Probe(address) => self.handler.probe(from, address).await.map(Reply::Reached),
            Request::Connect(connect) => self
                .handler
                .connect(from, connect)
                .await
                .map(|connected| connected.map_or_else(Reply::Obstacle, Reply::Tunnel)),
        };
        answer.unwrap_or_else(Reply::Refused)
    }
}

/// Guard that counts a call as in flight until the guard is dropped.
struct InFlight<'a>(&'a Cell<usize>);

impl<'a> InFlight<'a> {
    fn open(calls: &'a Cell<usize>) -> Self {
        calls.set(calls.get() + 1);
        Self(calls)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl session::Server for Session {
    fn call(
        self: Rc<Self>,
        params: session::CallParams,
        mut results: session::CallResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        // Verified before the first await, so that sequence numbers are seen in order of arrival.
        let verified = self.verify_call(&params);
        async move {
            let (sequence, request) = verified.map_err(|error| {
                self.context.stats.rejected_messages.inc();
                capnp::Error::failed(error.to_string())
            })?;
            self.context.stats.served_calls.inc();
            let body = codec::encode_reply(&self.answer(request).await);
            let mut sealed = results.get().init_sealed();
            sealed.set_sequence(sequence);
            sealed.set_mac(&auth::message_mac(&self.key, Side::Listener, sequence, &body));
            sealed.set_body(&body);
            Ok(())
        }
    }
}
