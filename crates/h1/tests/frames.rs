//! Framed streams, whose end differs from the loss of their connection.
//!
//! Guards against an answer that looks complete although the connection that carried it was lost.

use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::BytesMut;
use h1::frame::{self, Decoder};
use h1::{Conn, Error, Framing};
use proptest::prelude::*;
use test_case::test_case;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(5);

fn encode(frames: &[Vec<u8>]) -> Vec<u8> {
    let frame = |bytes: &Vec<u8>| [&frame::header(bytes.len()).expect("short")[..], bytes].concat();
    frames.iter().flat_map(frame).collect()
}

proptest! {
    /// Guards against bytes that are lost or mixed up where reads end within a frame.
    #[test]
    fn frames_are_decoded_however_they_are_split(
        frames in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..50), 0..8),
        split in 1_usize..20,
    ) {
        let mut text = encode(&frames);
        text.extend_from_slice(&frame::header(0).expect("short"));
        let (mut decoder, mut output) = (Decoder::default(), BytesMut::new());
        for part in text.chunks(split) {
            prop_assert!(!decoder.has_ended());
            decoder.input.extend_from_slice(part);
            decoder.decode(&mut output);
        }
        prop_assert!(decoder.has_ended());
        prop_assert_eq!(&output[..], frames.concat());
    }
}

/// Reads a body without a length that arrives in frames.
async fn read(text: &[u8], resets: bool) -> Result<Vec<u8>, Error> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let mut peer = TcpStream::connect(address).await.expect("a listener");
    peer.write_all(text).await.expect("an open connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    let mut conn = Conn::from_stream(stream, TIMEOUT).expect("a connected socket").framed();
    if resets {
        peer.set_zero_linger().expect("a socket option");
    }
    drop(peer);
    conn.read_body(Framing::UntilClose, 1 << 20, Some(TIMEOUT)).await.map(|body| body.to_vec())
}

/// Guards against a close of the connection that passes for the end of the stream.
#[test_case(b"\0\0\0\x03abc", false; "between_frames")]
#[test_case(b"\0\0\0\x03ab", false; "within_a_frame")]
#[test_case(b"\0\0", false; "within_a_header")]
#[test_case(b"", false; "without_a_byte")]
#[test_case(b"\0\0\0\x03abc", true; "by_a_reset")]
#[tokio::test]
async fn a_lost_connection_is_no_end(text: &[u8], resets: bool) {
    let error = read(text, resets).await.expect_err("the stream has no end");
    let is_reset = matches!(&error, Error::Io(error) if error.kind() == ErrorKind::ConnectionReset);
    assert!(is_reset, "{error}");
}

#[tokio::test]
async fn a_frame_without_bytes_ends_the_stream() {
    let text = encode(&[b"abc".to_vec(), b"d".to_vec(), Vec::new()]);
    assert_eq!(read(&text, false).await.expect("a whole stream"), b"abcd");
}
