//! Broken answers of the platform to the client of the table and of the objects.
//!
//! Guards against a part of an object that counts as whole, and against answers without an end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use store::remote::Platform;
use store::{Error, Objects, Table};
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Spawns a platform that answers one call with this text and closes the connection.
///
/// With `resets`, the connection is reset after the text. `repeated` follows until the client closes.
fn spawn(text: &'static str, repeated: &'static str, resets: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        let count = stream.read(&mut [0; 4_096]).expect("a request");
        assert!(count > 0, "the client has closed");
        stream.write_all(text.as_bytes()).expect("an open connection");
        let block = repeated.repeat(16 << 10);
        while !block.is_empty() && matches!(stream.write(block.as_bytes()), Ok(1..)) {}
        if resets {
            thread::sleep(Duration::from_millis(50));
            let linger = Some(Duration::ZERO);
            rustix::net::sockopt::set_socket_linger(&stream, linger).expect("a socket option");
        }
    });
    address
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"; "with a length")]
#[test_case("HTTP/1.1 200 OK\r\n\r\nbody"; "without a length")]
#[test_case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody"; "after an interim answer")]
#[ntex::test]
async fn a_whole_object_is_returned(text: &'static str) {
    let platform = Platform::open(spawn(text, "", false), TIMEOUT);
    let object = platform.fetch("a".into()).await.expect("an answer");
    assert_eq!(object.expect("an object"), b"body");
}

#[test_case("HTTP/1.1 200 OK\r\n\r\npart", "", true; "reset without a length")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", "", false; "closed before its length")]
#[test_case("HTTP/1.1 200 OK\r\nX-A: b\nX-B: c\r\nContent-Length: 4\r\n\r\nbody", "", false; "line feed in a value")]
#[test_case("HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 4\r\n\r\nbody", "", false; "blank in a name")]
#[test_case("HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\nbody", "", false; "no status")]
#[test_case("HTTP/1.1 200 OK\r\n", "X-A: b\r\n", false; "head without an end")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "a", false; "body without an end")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", false; "chunk without an end")]
#[ntex::test]
async fn a_broken_answer_is_an_error(text: &'static str, repeated: &'static str, resets: bool) {
    let platform = Platform::open(spawn(text, repeated, resets), TIMEOUT);
    let result = platform.fetch("a".into()).await;
    assert!(matches!(result, Err(Error::Unreachable(_))), "{result:?}");
    let platform = Platform::open(spawn(text, repeated, resets), TIMEOUT);
    let result = platform.get(vec!["a".into()]).await;
    assert!(matches!(result, Err(Error::Unreachable(_))), "{result:?}");
}
