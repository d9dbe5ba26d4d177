//! Reading of whole bodies from a connection.
//!
//! Guards against truncated or oversized bodies that pass as complete, and against consuming bytes
//! of the next message.

use std::cell::Cell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use h1::{Conn, Error, Framing, Gauge};
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

/// Gauge that keeps the largest value.
#[derive(Debug, Default)]
struct Peak(Cell<usize>);

impl Gauge for Peak {
    fn record(&self, held: usize, _received: usize) {
        self.0.set(self.0.get().max(held));
    }
}

/// Guards against a peer that states a large body, sends little, and makes the receiver hold it all.
#[test_case(Framing::Length(4 << 20), 2_000, 32 << 10; "little of the length")]
#[test_case(Framing::Length(4 << 20), 40_000, 96 << 10; "some of the length")]
#[test_case(Framing::Length(4 << 20), 1_000_000, 4_300_000; "large part of the length")]
#[tokio::test]
async fn an_unfinished_body_holds_what_its_gauge_records(
    framing: Framing,
    sent: usize,
    most: usize,
) {
    let (mut conn, _peer) = conn(&"a".repeat(sent), true).await;
    let peak = Rc::new(Peak::default());
    conn.set_gauge(Some(Rc::clone(&peak) as Rc<dyn Gauge>));
    let result = conn.read_body(framing, 4 << 20, Some(IDLE_TIMEOUT)).await;
    assert!(matches!(result, Err(Error::UnexpectedEof)), "{result:?}");
    let held = peak.0.get();
    assert!((sent..=most).contains(&held), "{held} bytes for {sent}");
}

/// Guards against bytes that are lost or repeated between the input buffer and the body's buffer.
#[tokio::test]
async fn a_large_body_arrives_unchanged() {
    let text: String =
        (0..300_000).map(|number: u32| char::from(b'a' + (number % 23) as u8)).collect();
    let (mut conn, _peer) = conn(&format!("{text}next"), true).await;
    conn.fill_input().await.expect("input");
    let body = conn.read_body(Framing::Length(300_000), 300_000, Some(TEST_TIMEOUT)).await;
    assert_eq!(body.expect("a whole body"), text);
    while conn.input.len() < 4 {
        conn.fill_input().await.expect("input");
    }
    assert_eq!(&conn.input[..], b"next");
}
