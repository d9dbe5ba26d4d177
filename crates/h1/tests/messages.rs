//! Decoding of heads and bodies without ambiguity.
//!
//! Guards against request smuggling: if this parser and another one disagree on the end of a
//! message, a caller can hide a second request in the body of the first.

use bytes::BytesMut;
use h1::{Body, Error, Framing, Request, Response};
use proptest::prelude::*;
use test_case::test_case;

const MAX_HEAD_BYTES: usize = 1_000;

fn decode_request(text: &str) -> Result<Option<Request>, Error> {
    Request::decode(&mut BytesMut::from(text.as_bytes()), MAX_HEAD_BYTES)
}

#[test_case("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n"; "two lengths")]
#[test_case("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"; "length and chunks")]
#[test_case("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"; "two codings")]
#[test_case("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"; "unknown coding")]
#[test_case("POST /a HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"; "chunks in an old version")]
#[test_case("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\n"; "length with a sign")]
#[test_case("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3, 3\r\n\r\n"; "list of lengths")]
#[test_case("POST /a HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n"; "folded header")]
#[test_case("POST /a HTTP/1.1\nHost: x\n\n"; "bare line feeds")]
#[test_case("POST /a HTTP/1.1\r\nHost: x\r\nA: b\rC: d\r\n\r\n"; "bare carriage return")]
#[test_case("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length : 3\r\n\r\n"; "space before the colon")]
#[test_case("POST /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n"; "two hosts")]
#[test_case("POST /a HTTP/1.1\r\nA: b\r\n\r\n"; "no host")]
#[test_case("POST http://x/a HTTP/1.1\r\nHost: x\r\n\r\n"; "target with a host")]
fn ambiguous_requests_are_rejected_as_malformed(text: &str) {
    assert!(matches!(decode_request(text), Err(Error::Malformed(_))), "{:?}", decode_request(text));
}

#[test]
fn an_oversized_head_is_rejected_and_a_partial_head_is_incomplete() {
    let long = format!("GET /{} HTTP/1.1\r\nHost: x\r\n\r\n", "a".repeat(MAX_HEAD_BYTES));
    assert!(matches!(decode_request(&long), Err(Error::HeadTooLarge(_))));
    assert!(matches!(decode_request(&long[..=MAX_HEAD_BYTES]), Err(Error::HeadTooLarge(_))));
    assert!(matches!(decode_request("GET / HTTP/1.1\r\nHost: x\r\n"), Ok(None)));
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", Framing::Length(3), true)]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Framing::Chunked, true)]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", Framing::UntilClose, false)]
#[test_case("HTTP/1.1 204 No Content\r\n\r\n", Framing::Length(0), true)]
#[test_case(
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
    Framing::Length(0),
    false
)]
fn response_framing_and_keep_alive_follow_from_the_head(
    text: &str,
    framing: Framing,
    keep_alive: bool,
) {
    let head = Response::decode(&mut BytesMut::from(text.as_bytes()), MAX_HEAD_BYTES);
    let head = head.expect("a well-formed head").expect("a complete head");
    assert_eq!((head.framing, head.keep_alive), (framing, keep_alive));
}

/// Guards against a status that the protocol does not have, and that a caller takes for an answer.
#[test_case("000")]
#[test_case("099")]
#[test_case("101"; "101_without_an_upgrade")]
#[test_case("600")]
#[test_case("999")]
fn a_status_outside_the_protocol_is_malformed(status: &str) {
    let text = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 0\r\n\r\n");
    let result = Response::decode(&mut BytesMut::from(text.as_bytes()), MAX_HEAD_BYTES);
    assert!(matches!(result, Err(Error::Malformed(_))), "{result:?}");
}

/// Guards against a field that this parser skips or reads differently from the caller's.
#[test_case("X A: b"; "a blank in a name")]
#[test_case("X-A : b"; "a blank behind a name")]
#[test_case("Content-Length : 1"; "a blank behind the name of the length")]
#[test_case(" X-A: b"; "a blank before a name")]
#[test_case("\tX-A: b"; "a tab before a name")]
#[test_case("X\tA: b"; "a tab in a name")]
#[test_case("X\x01A: b"; "a control byte in a name")]
#[test_case("X\0A: b"; "a zero byte in a name")]
#[test_case("X\x7fA: b"; "a delete byte in a name")]
#[test_case("X\u{e9}A: b"; "a byte beyond ASCII in a name")]
#[test_case("X(A): b"; "a separator in a name")]
#[test_case(": b"; "no name")]
#[test_case("X-A"; "no colon")]
#[test_case("X-A: b\0c"; "a zero byte in a value")]
#[test_case("X-A: b\x01c"; "a control byte in a value")]
#[test_case("X-A: b\x7fc"; "a delete byte in a value")]
#[test_case("X-A: b\rX-B: c"; "a carriage return in a value")]
#[test_case("X-A: b\nX-B: c"; "a line feed in a value")]
#[test_case("X-A: b\r\n c"; "a folded field")]
fn a_field_that_is_no_field_is_malformed(line: &str) {
    let text = format!("HTTP/1.1 200 OK\r\nX-B: b\r\n{line}\r\nContent-Length: 0\r\n\r\n");
    let result = Response::decode(&mut BytesMut::from(text.as_bytes()), MAX_HEAD_BYTES);
    assert!(matches!(result, Err(Error::Malformed(_))), "{result:?}");
}

proptest! {
    /// Guards against control bytes of a head that reach the caller, or hide a field from one parser.
    #[test]
    fn a_control_byte_anywhere_in_a_head_is_malformed(
        at in 0_usize..53,
        byte in prop_oneof![0_u8..9, 11_u8..32, Just(127_u8)],
    ) {
        let head = b"HTTP/1.1 200 OK\r\nX-A: some value\r\nContent-Length: 0\r\n\r\n";
        let mut text = head.to_vec();
        text.insert(at, byte);
        let result = Response::decode(&mut BytesMut::from(&text[..]), MAX_HEAD_BYTES);
        prop_assert!(matches!(result, Err(Error::Malformed(_))), "{:?}", result);
    }
}

#[test]
fn a_close_completes_only_a_body_framed_by_the_close() {
    Body::open(Framing::UntilClose)
        .handle_eof()
        .expect("a close completes a body without a length");
    assert!(matches!(Body::open(Framing::Length(2)).handle_eof(), Err(Error::UnexpectedEof)));
    assert!(matches!(Body::open(Framing::Chunked).handle_eof(), Err(Error::UnexpectedEof)));
}

#[test_case(b"3\r\nabcd\r\n"; "a chunk longer than its size")]
#[test_case(b"g\r\n"; "a size that is not a number")]
#[test_case(b"\r\n"; "no size")]
#[test_case(b"3\nabc\r\n"; "bare line feed")]
fn malformed_chunks_are_rejected(text: &[u8]) {
    let mut input = BytesMut::from(text);
    let mut body = Body::open(Framing::Chunked);
    let result = std::iter::from_fn(|| body.decode(&mut input).transpose()).last();
    assert!(matches!(result, Some(Err(Error::Malformed(_)))));
}

proptest! {
    #[test]
    fn a_chunked_body_decodes_alike_for_every_read_size(
        chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..40), 0..8),
        read_size in 1_usize..17,
    ) {
        let mut encoded = Vec::new();
        for chunk in &chunks {
            encoded.extend_from_slice(format!("{:X};x=y\r\n", chunk.len()).as_bytes());
            encoded.extend_from_slice(chunk);
            encoded.extend_from_slice(b"\r\n");
        }
        encoded.extend_from_slice(b"0\r\nTrailer: t\r\n\r\nnext");
        let mut body = Body::open(Framing::Chunked);
        let (mut input, mut decoded) = (BytesMut::new(), Vec::new());
        for read in encoded.chunks(read_size) {
            input.extend_from_slice(read);
            while let Some(part) = body.decode(&mut input).unwrap() {
                decoded.extend_from_slice(&part);
            }
        }
        prop_assert!(body.is_done());
        prop_assert_eq!(decoded, chunks.concat());
        prop_assert_eq!(&input[..], b"next");
    }
}
