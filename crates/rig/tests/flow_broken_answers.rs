//! Answers that are not answers, from a faulty upstream through an instance to its caller.
//!
//! Guards against a broken answer that a caller takes for a whole one, against answers to earlier
//! requests, and against an outcome "not run" of a request that has run.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::http::Method;
use ntex::time::{Millis, sleep};
use rig::cluster::{Cluster, Shape};
use serde_json::{Value, json};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CHAT_PATH: &str = "/v1/chat/completions";
const SERVICE_PATH: &str = "/v1/services/raw/call";
/// Body of an upload that does not fit into the buffers of the sockets.
const UPLOAD_BYTES: usize = 12_000_000;
const SETTINGS: &str = "[limits]\nbody_bytes = 16000000\n";
/// Most bytes that are taken from one answer, those in the buffers of the sockets included.
const MAX_TAKEN_BYTES: usize = 48 << 20;
/// Longest time until an answer without an end is cut off.
const MAX_CUT_TIME: Duration = Duration::from_secs(20);

/// What an upstream does after the head of a request.
#[derive(Debug, Clone)]
enum Action {
    /// Reads the body, writes the texts with a pause before each but the first, and goes on.
    Answer(Vec<String>),
    /// Reads the body, writes the text and closes the connection.
    Close(String),
    /// Writes the text without reading the body, and resets the connection.
    Reset(String),
    /// Writes the first text, and then the second one until the connection ends.
    Endless(String, &'static str),
}

/// Returns the action on a request, given its number on its connection and the marker in its body.
type Script = fn(usize, &str) -> Action;

type Requests = Rc<RefCell<Vec<(usize, String)>>>;

/// Upstream that acts as a script says, on the current thread.
struct Upstream {
    address: SocketAddr,
    /// Numbers of the requests on their connections, and their markers.
    requests: Requests,
    /// Bytes of the endless answer, and when it was cut off.
    cut: Rc<Cell<Option<(usize, Instant)>>>,
}

impl Upstream {
    async fn spawn(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let upstream = Self { address, requests: Rc::default(), cut: Rc::default() };
        let (requests, cut) = (Rc::clone(&upstream.requests), Rc::clone(&upstream.cut));
        ntex::rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (requests, cut) = (Rc::clone(&requests), Rc::clone(&cut));
                ntex::rt::spawn(async move {
                    serve(stream, script, &requests, &cut).await;
                });
            }
        });
        upstream
    }

    /// Starts an instance whose model `raw` and service `raw` are served by this upstream.
    async fn cluster(&self) -> Cluster {
        let upstream = |kind: &str| json!({"kind": kind, "address": self.address, "domain": "domain-1", "slots": 64});
        let intent = json!({
            "upstreams": {"raw-engine": upstream("engine"), "raw-service": upstream("service")},
            "models": {"raw": {"upstreams": ["raw-engine"], "max_tokens": 64}},
            "services": {"raw": {"upstreams": ["raw-service"], "cost": 10,
                "non_idempotent": ["POST /once*"]}},
        });
        let shape = Shape {
            routers: 1,
            engines: 1,
            extra_settings: SETTINGS.to_owned(),
            ..Shape::default()
        };
        let cluster = Cluster::spawn(&shape, &intent).await.unwrap();
        for _ in 0..500 {
            let url = format!("http://{}/admin/v1/config", cluster.routers[0].address);
            let key = Some(rig::cluster::ADMIN_KEY);
            let doc: Value =
                rig::client::json(&cluster.http, Method::GET, url, key, &()).await.unwrap();
            if doc["models"]["raw"].is_object() {
                return cluster;
            }
            sleep(Millis(20)).await;
        }
        panic!("the instance did not load the model `raw`");
    }
}

async fn serve(
    mut stream: TcpStream,
    script: Script,
    requests: &RefCell<Vec<(usize, String)>>,
    cut: &Cell<Option<(usize, Instant)>>,
) -> Option<()> {
    for index in 0.. {
        let (mut text, length) = read_head(&mut stream).await?;
        let probe = script(index, "");
        if !matches!(probe, Action::Reset(_)) {
            let mut body = vec![0; length];
            stream.read_exact(&mut body).await.ok()?;
            text.push_str(&String::from_utf8_lossy(&body));
        }
        let marker = text.split("marker=").nth(1).and_then(|rest| rest.split('"').next());
        let marker = marker.unwrap_or_default().to_owned();
        requests.borrow_mut().push((index, marker.clone()));
        match script(index, &marker) {
            Action::Answer(texts) => {
                for (number, text) in texts.iter().enumerate() {
                    if number > 0 {
                        sleep(Millis(40)).await;
                    }
                    stream.write_all(text.as_bytes()).await.ok()?;
                }
            }
            Action::Close(text) => {
                stream.write_all(text.as_bytes()).await.ok()?;
                return None;
            }
            Action::Reset(text) => {
                sleep(Millis(50)).await;
                stream.write_all(text.as_bytes()).await.ok()?;
                stream.set_zero_linger().ok()?;
                return None;
            }
            Action::Endless(text, repeated) => {
                stream.write_all(text.as_bytes()).await.ok()?;
                let block = repeated.repeat((64 << 10) / repeated.len());
                let mut sent = 0;
                while let Ok(count @ 1..) = stream.write(block.as_bytes()).await {
                    sent += count;
                    if sent > 4 * MAX_TAKEN_BYTES {
                        break;
                    }
                }
                cut.set(Some((sent, Instant::now())));
                return None;
            }
        }
    }
    None
}

/// Reads a head; returns it with the length of its body.
async fn read_head(stream: &mut TcpStream) -> Option<(String, usize)> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await.ok()?);
    }
    let text = String::from_utf8_lossy(&text).into_owned();
    let length = text.lines().find_map(|line| {
        line.to_lowercase().strip_prefix("content-length: ")?.parse::<usize>().ok()
    });
    Some((text, length.unwrap_or_default()))
}

/// Answer of an instance, as far as it came.
#[derive(Debug)]
struct Answer {
    status: u16,
    outcome: String,
    body: String,
}

async fn call(cluster: &Cluster, path: &str, body: String) -> Answer {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer courier-key\r\n\
         content-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(cluster.routers[0].address).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    // The instance may answer before it has read the whole body.
    stream.write_all(body.as_bytes()).await.unwrap_or_default();
    let mut text = Vec::new();
    stream.read_to_end(&mut text).await.unwrap_or_default();
    let text = String::from_utf8_lossy(&text).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let outcome = head.lines().find_map(|line| line.strip_prefix("lacewing-outcome: "));
    Answer {
        status: head.get(9..12).and_then(|status| status.parse().ok()).unwrap_or_default(),
        outcome: outcome.unwrap_or_default().to_owned(),
        body: body.to_owned(),
    }
}

fn chat(stream: bool, marker: &str) -> String {
    let content = format!("marker={marker}");
    json!({"model": "raw", "stream": stream, "messages": [{"role": "user", "content": content}]})
        .to_string()
}

fn completion(marker: &str) -> String {
    let usage = json!({"prompt_tokens": 1, "completion_tokens": 1, "total_tokens": 2});
    json!({"choices": [{"message": {"content": marker}}], "usage": usage}).to_string()
}

fn answer(status: &str, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{fields}content-length: {}\r\n\r\n{body}", body.len())
}

fn assert_unknown(answer: &Answer) {
    assert_eq!((answer.status, answer.outcome.as_str()), (502, "unknown"), "{answer:?}");
}

/// Guards against a status that the protocol does not have, which a caller took for an answer.
#[test_case(|_, _| Action::Close(answer("000 Odd", "", "{}")); "000")]
#[test_case(|_, _| Action::Close(answer("099 Odd", "", "{}")); "099")]
#[test_case(|_, _| Action::Close(answer("600 Odd", "", "{}")); "600")]
#[test_case(|_, _| Action::Close(answer("999 Odd", "", "{}")); "999")]
#[test_case(|_, _| Action::Close(answer("101 Switching Protocols", "", "{}")); "101_without_an_upgrade")]
#[test_case(|_, _| Action::Close("HTTP/1.1 100 Continue\r\n\r\n".into()); "only_an_interim_answer")]
#[ntex::test]
async fn an_answer_without_a_final_status_is_no_answer(script: Script) {
    let upstream = Upstream::spawn(script).await;
    let cluster = upstream.cluster().await;
    for (path, body) in [(SERVICE_PATH, "{}".into()), (CHAT_PATH, chat(false, "m"))] {
        assert_unknown(&call(&cluster, path, body).await);
    }
    assert_unknown(&call(&cluster, CHAT_PATH, chat(true, "m")).await);
}

/// Guards against an interim answer that is taken for the final one.
#[ntex::test]
async fn the_answer_after_interim_ones_is_relayed() {
    let script: Script = |_, marker| {
        let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n";
        Action::Answer(vec![interim.to_owned() + &answer("200 OK", "", &completion(marker))])
    };
    let upstream = Upstream::spawn(script).await;
    let cluster = upstream.cluster().await;
    let answer = call(&cluster, CHAT_PATH, chat(false, "m")).await;
    assert_eq!((answer.status, answer.body), (200, completion("m")));
}

/// Guards against a field that the instance skips or reads differently from the caller.
#[test_case(|_, _| Action::Close(answer("200 OK", "x a: b\r\n", "{}")); "a_blank_in_a_name")]
#[test_case(|_, _| Action::Close("HTTP/1.1 200 OK\r\ncontent-length : 2\r\n\r\n{}{}".into()); "a_blank_behind_a_name")]
#[test_case(|_, _| Action::Close(answer("200 OK", " x-a: b\r\n", "{}")); "a_blank_before_a_name")]
#[test_case(|_, _| Action::Close(answer("200 OK", "x\x01a: b\r\n", "{}")); "a_control_byte_in_a_name")]
#[test_case(|_, _| Action::Close(answer("200 OK", "x\0a: b\r\n", "{}")); "a_zero_byte_in_a_name")]
#[test_case(|_, _| Action::Close(answer("200 OK", "x-a: b\x01\r\n", "{}")); "a_control_byte_in_a_value")]
#[test_case(|_, _| Action::Close(answer("200 OK", "x-a: b\nx-b: c\r\n", "{}")); "a_line_feed_in_a_value")]
#[test_case(|_, _| Action::Close(answer("200 OK", "x-a: b\r\n c\r\n", "{}")); "a_folded_field")]
#[ntex::test]
async fn a_field_that_is_no_field_makes_no_answer(script: Script) {
    let upstream = Upstream::spawn(script).await;
    let cluster = upstream.cluster().await;
    assert_unknown(&call(&cluster, SERVICE_PATH, "{}".into()).await);
}

/// Guards against the body of an answer that is lost because it has no length.
#[test_case(|_, _| Action::Close("HTTP/1.1 200 OK\r\n\r\nbody".into()); "of_version_1_1")]
#[test_case(|_, _| Action::Close("HTTP/1.0 200 OK\r\n\r\nbody".into()); "of_version_1_0")]
#[ntex::test]
async fn an_answer_without_a_length_ends_with_its_connection(script: Script) {
    let upstream = Upstream::spawn(script).await;
    let cluster = upstream.cluster().await;
    let answer = call(&cluster, SERVICE_PATH, "{}".into()).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "body"), "{answer:?}");
}

/// Guards against the part of an answer that a reset cut off, taken for a whole one because a write
/// of the upload met the reset first.
#[test_case(|_, _| Action::Reset("HTTP/1.1 200 OK\r\n\r\npart".into()); "of_version_1_1")]
#[test_case(|_, _| Action::Reset("HTTP/1.0 200 OK\r\n\r\npart".into()); "of_version_1_0")]
#[test_case(|_, _| {
    Action::Reset(format!("HTTP/1.1 200 OK\r\nx-padding: {}\r\n\r\npart", "p".repeat(20_000)))
}; "with_a_long_head")]
#[ntex::test]
async fn a_reset_during_an_upload_is_no_end_of_an_answer(script: Script) {
    let upstream = Upstream::spawn(script).await;
    let cluster = upstream.cluster().await;
    assert_unknown(&call(&cluster, SERVICE_PATH, "u".repeat(UPLOAD_BYTES)).await);
}

/// Guards against an instance that keeps without a bound what an upstream sends.
#[test_case("/v1/services/raw/call", |_, _| Action::Endless("HTTP/1.1 200 OK\r\n".into(), "x-a: b\r\n"); "head")]
#[test_case("/v1/services/raw/call", |_, _| Action::Endless("HTTP/1.1 200 OK\r\nx-a: ".into(), "a"); "header_line")]
#[test_case("/v1/services/raw/call", |_, _| Action::Endless("HTTP/1.1 200 OK\r\n\r\n".into(), "a"); "body")]
#[test_case("/v1/services/raw/call", |_, _| Action::Endless("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n".into(), "a"); "length")]
#[test_case("/v1/services/raw/call", |_, _| Action::Endless("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".into(), "0"); "chunk_size_line")]
#[test_case("/v1/services/raw/call", |_, _| Action::Endless("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;".into(), "a"); "chunk_extension")]
#[test_case("/v1/services/raw/call", |_, _| Action::Endless("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".into(), "1\r\nx\r\n"); "chunks")]
#[test_case("/v1/services/raw/call", |_, _| Action::Endless("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n".into(), "a: b\r\n"); "trailer")]
#[test_case("/v1/services/raw/call", |_, _| Action::Endless(String::new(), "HTTP/1.1 100 Continue\r\n\r\n"); "interim_answers")]
#[test_case("/v1/chat/completions", |_, _| Action::Endless("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".into(), "5\r\ndata:\r\n"); "event")]
#[test_case("/v1/services/raw/call", |_, _| Action::Endless(answer("200 OK", "", "{}"), "a"); "bytes_after_an_answer")]
#[ntex::test]
async fn an_answer_without_an_end_is_cut_off(path: &str, script: Script) {
    let upstream = Upstream::spawn(script).await;
    let cluster = upstream.cluster().await;
    let started_at = Instant::now();
    let answer = call(&cluster, path, chat(true, "m")).await;
    while upstream.cut.get().is_none() && started_at.elapsed() < MAX_CUT_TIME {
        sleep(Millis(20)).await;
    }
    let (sent, cut_at) = upstream.cut.get().expect("the answer is cut off");
    println!("cut after {:?}, {sent} bytes", cut_at - started_at);
    assert!(sent <= MAX_TAKEN_BYTES, "{sent} bytes were taken");
    let is_whole = answer.status == 200 && answer.body == "{}";
    let is_broken = answer.outcome == "unknown" || answer.body.contains("event: error");
    assert!(is_whole || is_broken, "{answer:.300?}");
}

/// Guards against the answer to an earlier request, which reaches the caller of a later one.
#[test_case(false; "while_the_connection_is_idle")]
#[test_case(true; "while_the_next_request_runs")]
#[ntex::test]
async fn an_answer_that_is_repeated_never_reaches_another_caller(during_run: bool) {
    let idle: Script = |_, marker| {
        let text = answer("200 OK", "", &completion(marker));
        Action::Answer(vec![text.clone(), text])
    };
    let running: Script = |index, marker| {
        let own = answer("200 OK", "", &completion(marker));
        let earlier = answer("200 OK", "", &completion("earlier"));
        Action::Answer(if index == 0 { vec![own] } else { vec![earlier, own] })
    };
    let upstream = Upstream::spawn(if during_run { running } else { idle }).await;
    let cluster = upstream.cluster().await;
    for number in 0..10 {
        let marker = format!("m{number}");
        let answer = call(&cluster, CHAT_PATH, chat(false, &marker)).await;
        let is_own = answer.status == 200 && answer.body == completion(&marker);
        assert!(is_own || answer.outcome == "unknown", "{marker}: {answer:?}");
        sleep(Millis(20 + 10 * (number % 4))).await;
    }
}

/// Guards against a refusal of an earlier request that counts for a later one, which has run.
#[ntex::test]
async fn a_refusal_that_is_repeated_says_nothing_of_a_later_request() {
    let script: Script = |index, marker| {
        let refusal = answer("503 Full", "", "");
        let own = answer("200 OK", "", &completion(marker));
        Action::Answer(if index == 0 { vec![refusal] } else { vec![refusal, own] })
    };
    let upstream = Upstream::spawn(script).await;
    let cluster = upstream.cluster().await;
    for number in 0..6 {
        let marker = format!("m{number}");
        let answer = call(&cluster, CHAT_PATH, chat(false, &marker)).await;
        // The first request of a connection is refused, all others run.
        let has_run =
            upstream.requests.borrow().iter().any(|(index, one)| *index > 0 && *one == marker);
        assert!(!has_run || answer.outcome != "not-run", "{marker}: {answer:?}");
        let is_own = answer.status == 503 || answer.body == completion(&marker);
        assert!(is_own || answer.outcome == "unknown", "{marker}: {answer:?}");
        sleep(Millis(60)).await;
    }
}
