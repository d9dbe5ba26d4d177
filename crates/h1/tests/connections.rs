//! Connections whose peer does not take part any more, or sends what nobody has asked for.
//!
//! Guards against writes that wait for longer than the timeout on unacknowledged bytes, against the
//! part of an answer that looks whole after a reset, and against answers to earlier requests.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use h1::{Body, Conn, Error, Framing};
use rustix::net::sockopt;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// Time after which unacknowledged bytes fail a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(1);
/// Probes of a full window come at growing intervals, so that the kernel notices late.
const MAX_TIME: Duration = Duration::from_secs(4);

/// Guards against a connection that hangs for as long as its peer reads nothing.
#[tokio::test]
async fn a_write_fails_after_the_user_timeout() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let conn = Conn::open(address, USER_TIMEOUT, USER_TIMEOUT).await.expect("a listener");
    let _peer = listener.accept().await.expect("a connection");
    let started = Instant::now();
    let block = vec![0; 64 << 20];
    let written = timeout(2 * MAX_TIME, conn.write_all(&block)).await;
    assert!(written.expect("the write ends").is_err(), "the peer has read nothing");
    let took = started.elapsed();
    assert!(took >= USER_TIMEOUT && took <= MAX_TIME, "{took:?}");
}

/// Guards against a library's own value, which also decides when keep-alive probes give up.
#[tokio::test]
async fn the_user_timeout_replaces_one_that_is_set() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let socket = TcpSocket::new_v4().expect("a socket");
    sockopt::set_tcp_user_timeout(&socket, 30_000).expect("a socket option");
    let stream = socket.connect(address).await.expect("a listener");
    let conn = Conn::from_stream(stream, USER_TIMEOUT).expect("a connected socket");
    let socket = conn.into_socket();
    assert_eq!(sockopt::tcp_user_timeout(&socket).expect("a socket option"), 1_000);
    assert!(!sockopt::socket_keepalive(&socket).expect("a socket option"));
}

const MAX_HEAD_BYTES: usize = 32 << 10;
/// Time after which bytes and resets have arrived.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

/// Returns both ends of a connection.
async fn connect() -> (Conn, TcpStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let conn = Conn::open(address, USER_TIMEOUT, USER_TIMEOUT).await.expect("a listener");
    (conn, listener.accept().await.expect("a connection").0)
}

/// Sends an answer without a length, resets the connection, and lets a write meet the reset.
async fn reset_before_write(answer: &[u8]) -> Conn {
    let (conn, mut peer) = connect().await;
    peer.write_all(answer).await.expect("an open connection");
    peer.set_zero_linger().expect("a socket option");
    drop(peer);
    tokio::time::sleep(ARRIVAL_TIME).await;
    conn.write_all(b"request").await.expect_err("the connection is reset");
    conn
}

fn is_reset(error: &Error) -> bool {
    matches!(error, Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionReset)
}

/// Guards against the part of an answer that looks whole: the write has taken the error of the socket,
/// so that reads return the bytes before the reset, and then the end.
#[tokio::test]
async fn a_reset_that_a_write_met_is_no_end_of_a_body() {
    let mut conn = reset_before_write(b"part").await;
    let body = conn.read_body(Framing::UntilClose, 100, Some(USER_TIMEOUT)).await;
    let error = body.expect_err("the body has no end");
    assert!(is_reset(&error), "{error}");
}

#[tokio::test]
async fn a_reset_that_a_write_met_is_no_end_of_a_stream() {
    let mut conn = reset_before_write(b"part").await;
    let mut body = Body::open(Framing::UntilClose);
    let mut bytes = Vec::new();
    let error = loop {
        while let Some(part) = body.decode(&mut conn.input).expect("any bytes are a body") {
            bytes.extend_from_slice(&part);
        }
        assert!(!body.is_done(), "a part counts as whole");
        if let Err(error) = conn.fill_body(&mut body).await {
            break error;
        }
    };
    assert_eq!(bytes, b"part");
    assert!(is_reset(&error), "{error}");
}

/// Guards against the same while the request is being written, with a head longer than one read.
#[tokio::test]
async fn a_reset_that_an_exchange_met_is_no_end_of_a_body() {
    let (mut conn, mut peer) = connect().await;
    let answering = async move {
        peer.read_u8().await.expect("the request begins");
        let head = format!("HTTP/1.1 200 OK\r\nX-A: {}\r\n\r\npart", "a".repeat(20_000));
        peer.write_all(head.as_bytes()).await.expect("an open connection");
        peer.set_zero_linger().expect("a socket option");
    };
    let upload = vec![b'u'; 16 << 20];
    let exchanging = async {
        let (head, is_written) = conn.exchange(b"POST", &upload, MAX_HEAD_BYTES).await?;
        assert!(!is_written && head.framing == Framing::UntilClose);
        conn.read_body(head.framing, 100, Some(USER_TIMEOUT)).await
    };
    let (body, ()) = tokio::join!(exchanging, answering);
    let error = body.expect_err("the body has no end");
    assert!(is_reset(&error), "{error}");
}

/// Guards against an answer that arrived before its request was sent, and thus belongs to another.
#[test_case(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"; "an answer")]
#[test_case(b"HTTP/1.1 100 Continue\r\n\r\n"; "an interim answer")]
#[test_case(b"H"; "the first byte of an answer")]
#[tokio::test]
async fn an_exchange_sends_nothing_after_bytes_that_came_unasked(bytes: &[u8]) {
    let (mut conn, mut peer) = connect().await;
    peer.write_all(bytes).await.expect("an open connection");
    tokio::time::sleep(ARRIVAL_TIME).await;
    let exchanging = conn.exchange(b"request", &[], MAX_HEAD_BYTES);
    let result = timeout(USER_TIMEOUT, exchanging).await.expect("the exchange ends");
    assert!(matches!(result, Err(Error::Unsolicited)), "{result:?}");
    drop(conn);
    let mut received = Vec::new();
    // A close with unread bytes resets the connection.
    peer.read_to_end(&mut received).await.unwrap_or_default();
    assert!(received.is_empty(), "{received:?}");
}
