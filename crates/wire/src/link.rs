//! The calling end of a link to a peer.

use std::cell::Cell;
use std::net::SocketAddr;

use base::prelude::*;
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side as Vat;
use capnp_rpc::twoparty::VatNetwork;
use futures::channel::oneshot;
use futures::future;
use rand::Rng;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::auth::{self, Key, Nonce, Side, Transcript};
use crate::counted::Counted;
use crate::generated::peer_capnp::{door, session};
use crate::message::{Reply, Request};
use crate::{Context, Error, MAX_MESSAGE_WORDS, codec};

/// Longest wait for the connection and the handshake together.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Most calls in flight on one link; more are rejected with [`Error::Busy`].
const MAX_CALLS_IN_FLIGHT: usize = 64;

/// An authenticated connection over which this instance calls a peer.
pub struct Link {
    session: session::Client,
    /// Session key for the MACs.
    key: Key,
    /// Sequence number of the latest call.
    sequence: Cell<u64>,
    calls_in_flight: Cell<usize>,
    broken: Cell<bool>,
    /// Incarnation of the peer.
    incarnation: Incarnation,
    /// Closes the connection when dropped.
    _shutdown: oneshot::Sender<()>,
}

impl std::fmt::Debug for Link {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Link").field("incarnation", &self.incarnation).finish_non_exhaustive()
    }
}

pub(crate) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options
}

pub(crate) type Network =
    VatNetwork<Counted<tokio_util::compat::Compat<tokio::net::tcp::OwnedReadHalf>>>;

pub(crate) fn rpc_network(stream: TcpStream, side: Vat, context: &Context) -> Network {
    // Nagle's algorithm would delay small calls; a failure to disable it only costs time.
    stream.set_nodelay(true).unwrap_or_default();
    let (reader, writer) = stream.into_split();
    let reader = Counted::new(reader.compat(), context.stats.received_bytes.clone());
    let writer = Counted::new(writer.compat_write(), context.stats.sent_bytes.clone());
    VatNetwork::new(reader, writer, side, reader_options())
}

impl Link {
    /// Connects to a peer and performs the handshake.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer cannot be reached in time or the handshake fails.
    pub async fn open(address: SocketAddr, context: &Context) -> Result<Self, Error> {
        timeout(OPEN_TIMEOUT, Self::connect(address, context))
            .await
            .unwrap_or_else(|_elapsed| Err(Error::Timeout))
    }

    async fn connect(address: SocketAddr, context: &Context) -> Result<Self, Error> {
        let stream = TcpStream::connect(address).await?;
        let network = rpc_network(stream, Vat::Client, context);
        let mut system = RpcSystem::new(Box::new(network), None);
        let door: door::Client = system.bootstrap(Vat::Server);
        let (shutdown, shutdown_signal) = oneshot::channel::<()>();
        ntex::rt::spawn(async move {
            // The calls in flight return the error with which the connection ends.
            drop(future::select(system, shutdown_signal).await);
        });
        let transcript = handshake(&door, address, context).await?;
        let proof = transcript.proof(&context.key, Side::Caller);
        let mut prove = door.prove_request();
        prove.get().set_proof(&proof);
        let session = prove.send().promise.await?.get()?.get_session()?;
        Ok(Self {
            session,
            key: transcript.session_key(&context.key),
            sequence: Cell::new(0),
            calls_in_flight: Cell::new(0),
            broken: Cell::new(false),
            incarnation: transcript.listener_incarnation,
            _shutdown: shutdown,
        })
    }

    /// Returns the incarnation that the peer proved in the handshake.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns true after an error that makes the link unusable.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        self.broken.get()
    }

    /// Sends a request and waits for the reply for at most `call_timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid reply arrives in time. Only [`Error::Busy`] and
    /// [`Error::Refused`] mean that the call had no effect.
    pub async fn call(&self, request: &Request, call_timeout: Duration) -> Result<Reply, Error> {
        if self.calls_in_flight.get() >= MAX_CALLS_IN_FLIGHT {
            return Err(Error::Busy);
        }
        self.calls_in_flight.set(self.calls_in_flight.get() + 1);
        let answer = timeout(call_timeout, self.exchange(request)).await;
        self.calls_in_flight.set(self.calls_in_flight.get() - 1);
        let answer = answer.unwrap_or(Err(Error::Timeout));
        if matches!(answer, Err(Error::Disconnected(_) | Error::Tampered | Error::Malformed(_))) {
            self.broken.set(true);
        }
        match answer? {
            Reply::Refused(reason) => Err(Error::Refused(reason)),
            reply => Ok(reply),
        }
    }

    async fn exchange(&self, request: &Request) -> Result<Reply, Error> {
        let body = codec::encode_request(request);
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let mut call = self.session.call_request();
        let mut sealed = call.get().init_sealed();
        sealed.set_sequence(sequence);
        sealed.set_mac(&auth::message_mac(&self.key, Side::Caller, sequence, &body));
        sealed.set_body(&body);
        let answer = call.send().promise.await?;
        let sealed = answer.get()?.get_sealed()?;
        let body = sealed.get_body()?;
        auth::verify_message(&self.key, Side::Listener, sequence, body, sealed.get_mac()?)?;
        codec::decode_reply(body)
    }
}

/// Exchanges nonces and verifies the listener's proof.
async fn handshake(
    door: &door::Client,
    address: SocketAddr,
    context: &Context,
) -> Result<Transcript, Error> {
    let own = &context.own;
    let nonce: Nonce = rand::rng().random();
    let target = address.to_string();
    let mut call = door.hello_request();
    let mut hello = call.get().init_hello();
    hello.set_nonce(&nonce);
    hello.set_instance(&*own.instance);
    hello.set_incarnation(own.incarnation);
    hello.set_address(own.address.to_string().as_str());
    hello.set_target(target.as_str());
    let answer = call.send().promise.await?;
    let challenge = answer.get()?.get_challenge()?;
    let transcript = Transcript {
        caller_nonce: nonce,
        listener_nonce: challenge
            .get_nonce()?
            .try_into()
            .map_err(|_length| Error::Unauthenticated)?,
        caller_identity: own.clone(),
        target,
        listener_incarnation: challenge.get_incarnation(),
    };
    transcript.verify(&context.key, Side::Listener, challenge.get_proof()?)?;
    Ok(transcript)
}
