//! Malformed, oversized and slow requests over raw connections.
//!
//! Such a request must be refused as not run, or its connection closed, and must never reach an
//! upstream. An instance that forwards it would run something that its caller did not send.

use std::time::Duration;

use rig::cluster::{Cluster, Shape};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const SETTINGS: &str = "[limits]\nbody_bytes = 4096\nbody_ms = 400\nheaders = 16\n\
                        header_bytes = 4096\nconnections = 64\n";

async fn cluster() -> Cluster {
    let shape =
        Shape { routers: 1, engines: 1, extra_settings: SETTINGS.into(), ..Shape::default() };
    Cluster::spawn(&shape, &Value::Null).await.unwrap()
}

/// Sends the parts with a pause after each; returns the response or an empty text.
async fn exchange(cluster: &Cluster, parts: &[&[u8]], pause: Duration) -> String {
    let mut stream = TcpStream::connect(cluster.routers[0].address).await.unwrap();
    for part in parts {
        if stream.write_all(part).await.is_err() {
            break;
        }
        sleep(pause).await;
    }
    let mut answer = Vec::new();
    let read = async {
        let mut buffer = [0; 4_096];
        while let Ok(count @ 1..) = stream.read(&mut buffer).await {
            answer.extend_from_slice(&buffer[..count]);
            if answer.ends_with(b"}}") {
                break;
            }
        }
    };
    timeout(Duration::from_secs(20), read).await.expect("no response and no close within 20 s");
    String::from_utf8_lossy(&answer).into_owned()
}

fn chat_request(headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer courier-key\r\n\
         content-length: {length}\r\n{headers}\r\n"
    );
    [head.as_bytes(), body].concat()
}

fn assert_refused_as_not_run(answer: &str, status: u16) {
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{status}: {answer:?}");
    assert!(answer.contains("lacewing-outcome: not-run"), "{status}: {answer:?}");
    let body = answer.split_once("\r\n\r\n").unwrap().1;
    let body: Value = serde_json::from_str(body).unwrap();
    assert!(body["error"]["message"].is_string() && body["error"]["code"].is_string(), "{body}");
}

#[ntex::test]
async fn a_request_with_two_keys_is_refused_as_not_run() {
    let cluster = cluster().await;
    let request = chat_request("authorization: Bearer other-key\r\n", b"{}");
    assert_refused_as_not_run(&exchange(&cluster, &[&request], Duration::ZERO).await, 400);
}

#[ntex::test]
async fn malformed_and_oversized_requests_are_refused_as_not_run() {
    let cluster = cluster().await;
    let no_pause = Duration::ZERO;
    assert_refused_as_not_run(&exchange(&cluster, &[&chat_request("", b"{")], no_pause).await, 400);
    assert_refused_as_not_run(
        &exchange(&cluster, &[&chat_request("", b"[1]")], no_pause).await,
        400,
    );
    assert_refused_as_not_run(
        &exchange(&cluster, &[&chat_request("", b"{\"model\": \"\xff\"}")], no_pause).await,
        400,
    );
    assert_refused_as_not_run(
        &exchange(&cluster, &[&chat_request("", &b"[".repeat(2_000))], no_pause).await,
        400,
    );
    assert_refused_as_not_run(
        &exchange(&cluster, &[&chat_request("", &b" ".repeat(5_000))], no_pause).await,
        413,
    );
    assert_refused_as_not_run(
        &exchange(&cluster, &[&chat_request("idempotency-key: \r\n", b"{}")], no_pause).await,
        400,
    );
    assert_refused_as_not_run(
        &exchange(&cluster, &[&chat_request("lacewing-timeout-ms: soon\r\n", b"{}")], no_pause)
            .await,
        400,
    );
    assert_refused_as_not_run(
        &exchange(&cluster, &[b"GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n"], no_pause).await,
        404,
    );
    let excess_headers = "x: y\r\n".repeat(20);
    assert_refused_as_not_run(
        &exchange(&cluster, &[&chat_request(&excess_headers, b"{}")], no_pause).await,
        431,
    );
    assert!(cluster.journal().await.unwrap().is_empty());
}

#[ntex::test]
async fn slow_bodies_get_408_and_unreadable_heads_an_error_or_a_close() {
    let cluster = cluster().await;
    let slow = chat_request("", &b" ".repeat(1_000));
    let (head, rest) = slow.split_at(slow.len() - 900);
    let (some, rest) = rest.split_at(10);
    assert_refused_as_not_run(
        &exchange(&cluster, &[head, some, rest], Duration::from_millis(600)).await,
        408,
    );
    // The HTTP library itself answers the next requests, or closes their connections.
    let long = format!("x: {}\r\n", "y".repeat(9_000));
    for answer in [
        exchange(&cluster, &[b"nonsense\r\n\r\n"], Duration::ZERO).await,
        exchange(&cluster, &[&chat_request(&long, b"{}")], Duration::ZERO).await,
        exchange(&cluster, &[b"POST /v1/chat"], Duration::ZERO).await,
    ] {
        println!("{answer:?}");
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer:?}");
    }
    assert!(cluster.journal().await.unwrap().is_empty());
}
