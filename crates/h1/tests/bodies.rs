//! Reading of whole bodies from a connection.
//!
//! Guards against truncated or oversized bodies that pass as complete, and against consuming bytes
//! of the next message.

use std::net::Ipv4Addr;
use std::time::Duration;

use h1::{Conn, Error, Framing};
use test_case::test_case;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Timeout that no test reaches.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle timeout of the test whose peer stops sending.
const IDLE_TIMEOUT: Duration = Duration::from_millis(50);

/// Returns a connection whose peer has sent `text`, and the peer unless it has closed.
async fn conn(text: &str, closes: bool) -> (Conn, Option<TcpStream>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let mut peer = TcpStream::connect(address).await.expect("a listener");
    peer.write_all(text.as_bytes()).await.expect("an open connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    let conn = Conn::from_stream(stream, TEST_TIMEOUT).expect("a connected socket");
    (conn, (!closes).then_some(peer))
}

#[test_case("abcnext", Framing::Length(3), "next"; "length")]
#[test_case("1\r\na\r\n2\r\nbc\r\n0\r\n\r\nnext", Framing::Chunked, "next"; "chunks")]
#[test_case("abc", Framing::UntilClose, ""; "until close")]
#[tokio::test]
async fn reading_a_body_stops_at_its_end_and_keeps_the_following_bytes(
    text: &str,
    framing: Framing,
    rest: &str,
) {
    let (mut conn, _peer) = conn(text, true).await;
    let body = conn.read_body(framing, 3, Some(TEST_TIMEOUT)).await.expect("a whole body");
    assert_eq!(&body[..], b"abc");
    assert_eq!(&conn.input[..], rest.as_bytes());
}

#[tokio::test]
async fn a_body_over_the_limit_is_rejected() {
    let (mut conn, _peer) = conn("abcd", true).await;
    let result = conn.read_body(Framing::Length(4), 3, None).await;
    assert!(matches!(result, Err(Error::BodyTooLarge(3))), "{result:?}");
}

#[tokio::test]
async fn a_close_within_a_body_is_an_unexpected_eof() {
    let (mut conn, _peer) = conn("ab", true).await;
    let result = conn.read_body(Framing::Length(3), 3, None).await;
    assert!(matches!(result, Err(Error::UnexpectedEof)), "{result:?}");
}

#[tokio::test]
async fn a_peer_that_stops_sending_causes_an_idle_timeout() {
    let (mut conn, _peer) = conn("ab", false).await;
    let result = conn.read_body(Framing::Length(3), 3, Some(IDLE_TIMEOUT)).await;
    assert!(matches!(result, Err(Error::IdleTimeout)), "{result:?}");
}
