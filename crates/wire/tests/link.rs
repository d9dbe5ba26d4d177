//! Links over real sockets.
//!
//! Guards against calls from peers without the key, relayed, replayed and duplicated messages,
//! links that stay broken after a restart of the peer, and calls that a slow peer blocks.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use base::clock::System;
use base::prelude::*;
use futures::FutureExt;
use futures::future::ready;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use watch::peer::Counters;
use wire::auth::Key;
use wire::handler::Pending;
use wire::message::{Document, Fetch, Gossip, Identity, Member, Reply, Request, Take};
use wire::{Context, Error, Handler, Link, Listener, Pool};

const CALL_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct RecordingHandler {
    takes: RefCell<Vec<(String, Take)>>,
    is_slow: Cell<bool>,
}

impl Handler for RecordingHandler {
    fn gossip(&self, _from: Identity, gossip: Gossip) -> Pending<'_, Gossip> {
        ready(Ok(gossip)).boxed_local()
    }

    fn take(&self, from: Identity, take: Take) -> Pending<'_, Tokens> {
        async move {
            if self.is_slow.get() {
                sleep(4 * CALL_TIMEOUT).await;
            }
            let tokens = take.tokens / 2;
            self.takes.borrow_mut().push((from.instance.to_string(), take));
            Ok(tokens)
        }
        .boxed_local()
    }

    fn fetch(&self, _from: Identity, _fetch: Fetch) -> Pending<'_, Document> {
        ready(Ok(Document { version: 7, body: vec![0; 1 << 20] })).boxed_local()
    }

    fn probe(&self, _from: Identity, _address: String) -> Pending<'_, bool> {
        ready(Err("not now".into())).boxed_local()
    }
}

fn context(name: &str, key: &str) -> Context {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let own = Identity { instance: name.into(), incarnation: 3, address };
    Context { key: Key::new(key.as_bytes()), own, stats: Counters::default() }
}

fn take_request() -> Request {
    Request::Take(Take { budget: "courier".into(), tokens: 40, transfer: "t-1".into() })
}

fn listen(key: &str) -> (Listener, Rc<RecordingHandler>, Counters) {
    let context = context("b", key);
    let stats = context.stats.clone();
    let recorder = Rc::new(RecordingHandler::default());
    let handler = Rc::clone(&recorder) as Rc<dyn Handler>;
    (Listener::bind(context.own.address, context, handler).unwrap(), recorder, stats)
}

#[ntex::test]
async fn peers_with_the_same_key_exchange_calls() {
    let (listener, recorder, stats) = listen("secret");
    let link = Link::open(listener.address(), &context("a", "secret")).await.unwrap();
    assert_eq!(link.incarnation(), 3);
    assert_eq!(link.call(&take_request(), CALL_TIMEOUT).await, Ok(Reply::Taken(20)));
    assert_eq!(recorder.takes.borrow()[0].0, "a");
    let member = Member { instance: "a".into(), beat: 4, ..Member::default() };
    let gossip = Gossip { version: 2, members: vec![member; 8], records: Vec::new() };
    let answer = link.call(&Request::Gossip(gossip.clone()), CALL_TIMEOUT).await;
    assert_eq!(answer, Ok(Reply::Gossip(gossip)));
    let fetch = Request::Fetch(Fetch { newer_than: 1, key: String::new() });
    let Ok(Reply::Document(document)) = link.call(&fetch, CALL_TIMEOUT).await else {
        panic!("no document")
    };
    assert_eq!(document.body.len(), 1 << 20);
    let refused = link.call(&Request::Probe("x".into()), CALL_TIMEOUT).await;
    assert_eq!(refused, Err(Error::Refused("not now".into())));
    assert_eq!(stats.served_calls.get(), 4);
    assert!(stats.received_bytes.get() > 0);
}

#[ntex::test]
async fn caller_with_wrong_key_or_target_is_rejected_and_counted() {
    let (listener, recorder, stats) = listen("secret");
    let mut caller = context("a", "wrong");
    // With different keys, the caller rejects the listener's proof before it sends its own.
    assert_eq!(Link::open(listener.address(), &caller).await.unwrap_err(), Error::Unauthenticated);
    // The listener rejects a caller that connected to another address, here a relay's.
    let relay = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = relay.local_addr().unwrap();
    let target = listener.address();
    ntex::rt::spawn(async move {
        let (mut from, _) = relay.accept().await.unwrap();
        let mut to = TcpStream::connect(target).await.unwrap();
        drop(tokio::io::copy_bidirectional(&mut from, &mut to).await);
    });
    caller.key = Key::new(b"secret");
    Link::open(address, &caller).await.unwrap_err();
    assert_eq!(stats.unauthenticated_callers.get(), 1);
    assert!(recorder.takes.borrow().is_empty());
}

/// Forwards one connection, records the caller's bytes and can duplicate its calls.
async fn proxy(
    relay: TcpListener,
    to: SocketAddr,
    caller_bytes: Rc<RefCell<Vec<u8>>>,
    duplicate_calls: bool,
) {
    let (from, _) = relay.accept().await.unwrap();
    let to = TcpStream::connect(to).await.unwrap();
    let (mut from_read, mut from_write) = from.into_split();
    let (mut to_read, mut to_write) = to.into_split();
    ntex::rt::spawn(async move {
        drop(tokio::io::copy(&mut to_read, &mut from_write).await);
    });
    let mut buffer = [0; 4_096];
    while let Ok(read @ 1..) = from_read.read(&mut buffer).await {
        let bytes = &buffer[..read];
        caller_bytes.borrow_mut().extend_from_slice(bytes);
        let is_call = bytes.windows(7).any(|window| window == b"courier");
        for _ in 0..=usize::from(duplicate_calls && is_call) {
            to_write.write_all(bytes).await.unwrap();
        }
    }
}

struct Proxied {
    caller_bytes: Rc<RefCell<Vec<u8>>>,
    recorder: Rc<RecordingHandler>,
    stats: Counters,
    address: SocketAddr,
    listener: Listener,
}

/// Starts a listener that callers reach through a proxy.
async fn listen_behind_proxy(duplicate_calls: bool) -> Proxied {
    let relay = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = relay.local_addr().unwrap();
    let mut context = context("b", "secret");
    context.own.address = address;
    let stats = context.stats.clone();
    let recorder = Rc::new(RecordingHandler::default());
    let handler = Rc::clone(&recorder) as Rc<dyn Handler>;
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = Listener::bind(listen, context, handler).unwrap();
    let caller_bytes = Rc::new(RefCell::new(Vec::new()));
    ntex::rt::spawn(proxy(relay, listener.address(), Rc::clone(&caller_bytes), duplicate_calls));
    Proxied { caller_bytes, recorder, stats, address, listener }
}

#[ntex::test]
async fn replayed_connection_is_rejected() {
    let Proxied { caller_bytes, recorder, stats, address, listener } =
        listen_behind_proxy(false).await;
    let link = Link::open(address, &context("a", "secret")).await.unwrap();
    assert_eq!(link.call(&take_request(), CALL_TIMEOUT).await, Ok(Reply::Taken(20)));
    let recorded = caller_bytes.borrow().clone();
    let mut replay = TcpStream::connect(listener.address()).await.unwrap();
    replay.write_all(&recorded).await.unwrap();
    sleep(CALL_TIMEOUT).await;
    assert_eq!(recorder.takes.borrow().len(), 1);
    assert_eq!(stats.unauthenticated_callers.get(), 1);
}

#[ntex::test]
async fn duplicated_call_runs_once() {
    let Proxied { recorder, stats, address, listener: _listener, .. } =
        listen_behind_proxy(true).await;
    let link = Link::open(address, &context("a", "secret")).await.unwrap();
    drop(link.call(&take_request(), CALL_TIMEOUT).await);
    sleep(CALL_TIMEOUT).await;
    assert_eq!(recorder.takes.borrow().len(), 1);
    assert!(stats.rejected_messages.get() <= 1);
}

#[ntex::test]
async fn restarted_peer_is_reachable_after_backoff() {
    let (listener, _recorder, _stats) = listen("secret");
    let address = listener.address();
    let pool = Pool::open(context("a", "secret"), Arc::new(System::open()));
    assert_eq!(pool.call(address, &take_request(), CALL_TIMEOUT).await, Ok(Reply::Taken(20)));
    drop(listener);
    sleep(Duration::from_millis(50)).await;
    let mut restarted = context("b", "secret");
    restarted.own.address = address;
    restarted.own.incarnation = 4;
    pool.close(address);
    pool.call(address, &take_request(), CALL_TIMEOUT).await.unwrap_err();
    assert_eq!(pool.call(address, &take_request(), CALL_TIMEOUT).await, Err(Error::Backoff));
    let handler = Rc::new(RecordingHandler::default()) as Rc<dyn Handler>;
    let _listener = Listener::bind(address, restarted, handler).unwrap();
    sleep(Duration::from_millis(60)).await;
    assert_eq!(pool.call(address, &take_request(), CALL_TIMEOUT).await, Ok(Reply::Taken(20)));
}

/// Forwards connections until it goes silent; later ones are forwarded again.
async fn spawn_path(peer: SocketAddr, silences: Rc<Cell<u32>>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    ntex::rt::spawn(async move {
        loop {
            let (mut caller, _) = listener.accept().await.unwrap();
            let mut target = TcpStream::connect(peer).await.unwrap();
            let (silences, opened_at) = (Rc::clone(&silences), silences.get());
            ntex::rt::spawn(async move {
                let forward = tokio::io::copy_bidirectional(&mut caller, &mut target).boxed_local();
                let silent = async {
                    while silences.get() == opened_at {
                        sleep(Duration::from_millis(5)).await;
                    }
                };
                futures::future::select(forward, silent.boxed_local()).await;
                // The connection stays open, and carries nothing any more.
                std::future::pending::<()>().await;
            });
        }
    });
    address
}

/// Guards against a link that is used for good although its connection has gone silent.
#[ntex::test]
async fn a_link_that_went_silent_is_opened_again() {
    let mut peer = context("b", "secret");
    let handler = Rc::new(RecordingHandler::default()) as Rc<dyn Handler>;
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let silences = Rc::new(Cell::new(0));
    let address = spawn_path(listener.local_addr().unwrap(), Rc::clone(&silences)).await;
    peer.own.address = address;
    let _listener = Listener::from_std(listener, peer, handler).unwrap();
    let pool = Pool::open(context("a", "secret"), Arc::new(System::open()));
    assert_eq!(pool.call(address, &take_request(), CALL_TIMEOUT).await, Ok(Reply::Taken(20)));
    silences.set(1);
    sleep(Duration::from_millis(20)).await;
    let silent = pool.call(address, &take_request(), CALL_TIMEOUT).await;
    assert_eq!(silent, Err(Error::Timeout));
    assert_eq!(pool.call(address, &take_request(), CALL_TIMEOUT).await, Ok(Reply::Taken(20)));
}

#[ntex::test]
async fn calls_to_a_slow_peer_time_out_and_excess_calls_are_rejected() {
    let (listener, recorder, _stats) = listen("secret");
    recorder.is_slow.set(true);
    let link = Link::open(listener.address(), &context("a", "secret")).await.unwrap();
    assert_eq!(link.call(&take_request(), CALL_TIMEOUT / 10).await, Err(Error::Timeout));
    let request = take_request();
    let calls = (0..65).map(|_| link.call(&request, CALL_TIMEOUT / 10));
    let answers = futures::future::join_all(calls).await;
    assert_eq!(answers.iter().filter(|answer| **answer == Err(Error::Busy)).count(), 1);
}

/// Guards against a peer whose messages never end, all of which the caller keeps.
#[test_case(&[0xff]; "too many segments")]
#[test_case(&[0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f]; "a segment that is too large")]
#[test_case(&[0, 0, 0, 0, 0xff, 0xff, 0x07, 0]; "segments of the largest size")]
#[test_case(&[0]; "messages without content")]
#[ntex::test]
async fn a_peer_that_sends_bytes_without_end_is_cut_off(repeated: &[u8]) {
    /// Most bytes that the peer can send, including those in the buffers of the sockets.
    const MAX_SENT_BYTES: usize = 24 << 20;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let block = repeated.repeat((64 << 10) / repeated.len());
    let sending = async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut sent = 0;
        while let Ok(count @ 1..) = stream.write(&block).await {
            sent += count;
        }
        sent
    };
    let context = context("a", "secret");
    let (link, sent) = futures::future::join(Link::open(address, &context), sending).await;
    assert!(link.is_err(), "{link:?}");
    println!("{sent} bytes");
    assert!(sent <= MAX_SENT_BYTES, "{sent} bytes were taken");
}
