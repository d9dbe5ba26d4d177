//! Tunnels between two ends over real connections, and the choice of their exits.
//!
//! Guards against answers that look complete after a lost hop, work that goes on for a caller that
//! has gone, and instances that are asked in vain.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;

use base::clock::System;
use base::prelude::*;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use h1::{Conn, Error, Framing};
use slog::{Discard, Logger, o};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tunnel::{Entrance, Error as TunnelError, Exit, Exits, Obstacle, Target, Tunnel};
use wire::message::Ticket;

const TIMEOUT: Duration = Duration::from_secs(2);
const ANSWER: &[u8] = b"the answer";

/// A tunnel, and the upstream's end of the connection that it leads to.
struct Carried {
    exit: Rc<Exit>,
    conn: Conn,
    upstream: TcpStream,
}

fn open_exit() -> (Rc<Exit>, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    (Exit::spawn(listener, 256, TIMEOUT).expect("a listening socket"), address)
}

/// Returns both ends of a connection.
async fn connect() -> (Conn, TcpStream) {
    let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("free");
    let address = listener.local_addr().expect("bound");
    let conn = Conn::open(address, TIMEOUT, TIMEOUT).await.expect("a listener");
    (conn, listener.accept().await.expect("a connection").0)
}

async fn claim(address: SocketAddr, ticket: &Ticket) -> Conn {
    let conn = Conn::open(address, TIMEOUT, TIMEOUT).await.expect("the exit listens");
    conn.write_all(ticket).await.expect("an open connection");
    conn.framed()
}

async fn open_tunnel() -> Carried {
    let (exit, address) = open_exit();
    let (held, upstream) = connect().await;
    let ticket = exit.hold(held);
    Carried { exit, conn: claim(address, &ticket).await, upstream }
}

/// How an upstream ends its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// Guards against an answer without a length that looks complete after a reset.
#[test_case(End::Close)]
#[test_case(End::Reset)]
#[ntex::test]
async fn the_end_of_an_answer_crosses_a_tunnel(end: End) {
    let Carried { mut conn, mut upstream, exit } = open_tunnel().await;
    conn.write_all(b"ask").await.expect("an open tunnel");
    let mut request = [0; 3];
    upstream.read_exact(&mut request).await.expect("the request arrives");
    assert_eq!(&request, b"ask");
    upstream.write_all(ANSWER).await.expect("an open connection");
    if end == End::Reset {
        sleep(Duration::from_millis(50)).await;
        upstream.set_zero_linger().expect("a socket option");
    }
    drop(upstream);
    match (conn.read_body(Framing::UntilClose, 1 << 10, Some(TIMEOUT)).await, end) {
        (Ok(body), End::Close) => assert_eq!(body, ANSWER),
        (Err(Error::Io(_)), End::Reset) => {}
        (result, end) => panic!("{end:?}: {result:?}"),
    }
    drop(conn);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(exit.carried(), 0);
}

/// Guards against an upstream that goes on working for a caller that has gone.
#[ntex::test]
async fn the_upstream_learns_that_the_caller_has_gone() {
    let Carried { conn, mut upstream, .. } = open_tunnel().await;
    conn.write_all(b"ask").await.expect("an open tunnel");
    let mut request = [0; 3];
    upstream.read_exact(&mut request).await.expect("the request arrives");
    drop(conn);
    let end = timeout(Duration::from_millis(500), upstream.read(&mut request)).await;
    assert!(matches!(end.expect("the close arrives"), Ok(0) | Err(_)));
}

/// Guards against connections to upstreams that strangers use, or that nobody ever closes.
#[ntex::test]
async fn only_the_ticket_claims_a_connection_and_only_for_a_time() {
    let (exit, address) = open_exit();
    let (held, mut upstream) = connect().await;
    let ticket = exit.hold(held);
    let mut wrong = ticket;
    wrong[0] ^= 1;
    let mut stranger = claim(address, &wrong).await;
    let refused = timeout(TIMEOUT, stranger.fill_input()).await.expect("the exit closes");
    assert!(refused.is_err(), "{refused:?}");
    let mut byte = [0];
    let closed = timeout(TIMEOUT, upstream.read(&mut byte)).await.expect("the exit gives it up");
    assert!(matches!(closed, Ok(0) | Err(_)), "{closed:?}");
    let mut late = claim(address, &ticket).await;
    let refused = timeout(TIMEOUT, late.fill_input()).await.expect("the exit closes");
    assert!(refused.is_err(), "{refused:?}");
}

/// Other instances with scripted answers.
#[derive(Debug, Default)]
struct Script {
    /// Answer of each instance, and the time until it comes; `Ok` stands for a tunnel.
    answers: HashMap<&'static str, (Result<(), Obstacle>, Duration)>,
    asked: RefCell<Vec<InstanceId>>,
}

impl Exits for Script {
    fn candidates(&self) -> Vec<InstanceId> {
        self.answers.keys().map(|name| InstanceId::from(*name)).collect()
    }

    fn connect<'a>(
        &'a self,
        exit: &'a InstanceId,
        _target: &'a Target,
    ) -> LocalBoxFuture<'a, Result<Tunnel, TunnelError>> {
        self.asked.borrow_mut().push(Arc::clone(exit));
        let (answer, time) = self.answers[&**exit];
        async move {
            sleep(time).await;
            answer.map_err(TunnelError::Obstacle)?;
            Ok(Tunnel { conn: connect().await.0, is_proven: true })
        }
        .boxed_local()
    }
}

fn open_entrance(
    answers: &[(&'static str, Result<(), Obstacle>, u64)],
) -> (Entrance, Rc<Script>, Target) {
    let answer = |(name, answer, ms): &(&'static str, _, u64)| {
        (*name, (*answer, Duration::from_millis(*ms)))
    };
    let script = Rc::new(Script {
        answers: answers.iter().map(answer).collect(),
        asked: RefCell::default(),
    });
    let log = Logger::root(Discard, o!());
    let exits = Rc::clone(&script) as Rc<dyn Exits>;
    let entrance = Entrance::open(exits, Arc::new(System::open()), log);
    let target = Target { service: "s".into(), upstream: "i-1".into(), incarnation: 1 };
    (entrance, script, target)
}

/// Guards against requests that fail because the first instance that is asked cannot help.
#[test_case(&[("a", Err(Obstacle::Path), 0), ("b", Ok(()), 0)], None; "one_without_a_path")]
#[test_case(&[("a", Err(Obstacle::Busy), 60_000), ("b", Ok(()), 0)], None; "one_that_hangs")]
#[test_case(&[("a", Err(Obstacle::Busy), 0), ("b", Err(Obstacle::Unlisted), 0), ("c", Ok(()), 0)],
    None; "several_that_cannot")]
#[test_case(&[("a", Err(Obstacle::Upstream), 0)], Some(Obstacle::Upstream); "the_upstream_is_down")]
#[test_case(&[("a", Err(Obstacle::Path), 0), ("b", Err(Obstacle::Path), 0)],
    Some(Obstacle::Path); "nobody_has_a_path")]
#[test_case(&[], Some(Obstacle::Path); "nobody_is_known")]
#[ntex::test]
async fn instances_are_asked_until_one_connects(
    answers: &[(&'static str, Result<(), Obstacle>, u64)],
    obstacle: Option<Obstacle>,
) {
    let (entrance, _, target) = open_entrance(answers);
    let connected = timeout(TIMEOUT, entrance.connect(&target)).await.expect("an answer in time");
    assert_eq!(connected.err(), obstacle);
}

/// Guards against calls in circles while nobody has a path.
#[ntex::test]
async fn instances_without_a_path_are_not_asked_again_at_once() {
    let answers = [("a", Err(Obstacle::Path), 0), ("b", Err(Obstacle::Path), 0)];
    let (entrance, script, target) = open_entrance(&answers);
    for _ in 0..20 {
        assert_eq!(entrance.connect(&target).await.err(), Some(Obstacle::Path));
    }
    assert_eq!(script.asked.borrow().len(), 2);
}

/// Guards against the part of an answer that looks whole, because the exit's write of an upload met
/// the reset of the upstream before its read.
#[ntex::test]
async fn a_reset_during_an_upload_is_no_end_of_an_answer() {
    let Carried { mut conn, mut upstream, exit: _exit } = open_tunnel().await;
    let answering = async move {
        upstream.read_u8().await.expect("the request begins");
        // The buffers of the sockets are full then, so that the exit waits to write.
        sleep(Duration::from_millis(200)).await;
        upstream.write_all(b"HTTP/1.1 200 OK\r\n\r\npart").await.expect("an open connection");
        upstream.set_zero_linger().expect("a socket option");
    };
    let upload = vec![b'u'; 32 << 20];
    let exchanging = async {
        let (head, is_written) = conn.exchange(b"POST", &upload, 1 << 10).await?;
        assert!(!is_written && head.framing == Framing::UntilClose);
        conn.read_body(head.framing, 100, Some(TIMEOUT)).await
    };
    let (body, ()) = futures::future::join(exchanging, answering).await;
    assert!(matches!(body, Err(Error::Io(_))), "{body:?}");
}
