//! Connections whose peer does not take part any more.
//!
//! Guards against writes that wait for longer than the timeout on unacknowledged bytes.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use h1::Conn;
use rustix::net::sockopt;
use tokio::net::{TcpListener, TcpSocket};

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
    let written = tokio::time::timeout(2 * MAX_TIME, conn.write_all(&block)).await;
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
    let stream = conn.into_stream();
    assert_eq!(sockopt::tcp_user_timeout(&stream).expect("a socket option"), 1_000);
    assert!(!sockopt::socket_keepalive(&stream).expect("a socket option"));
}
