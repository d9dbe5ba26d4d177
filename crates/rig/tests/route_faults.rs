//! Requests that crash upstreams, and upstreams that leave or are killed.
//!
//! Guards against a poison request that crashes one upstream after another, and against new work
//! for a leaving upstream. All parts run as processes of their own.

use std::time::Duration;

use ntex::client::Client;
use ntex::http::Method;
use ntex::time::{Millis, sleep};
use rig::client;
use rig::cluster::{Cluster, Shape};
use rig::engine::wall_ms;
use serde_json::{Value, json};

/// Longest time for which a leaving upstream may still receive new requests.
const MAX_LEAVE_TIME: Duration = Duration::from_secs(3);

/// Status and error that a caller receives; `code` is empty without an error.
#[derive(Debug, PartialEq, Eq)]
struct Reply {
    status: u16,
    outcome: String,
    code: String,
}

async fn send_chat(http: &Client, url: &str, content: &str) -> Reply {
    let body = json!({"model": "model", "messages": [{"role": "user", "content": content}]});
    let request = http.post(url).bearer_auth("courier-key");
    let answer = request.send_json(&body).await.unwrap();
    let outcome = answer.header("lacewing-outcome").unwrap().to_str().unwrap().to_owned();
    let status = answer.status().as_u16();
    let body: Value = answer.json().await.unwrap();
    let code = body.pointer("/error/code").and_then(Value::as_str).unwrap_or_default().to_owned();
    Reply { status, outcome, code }
}

fn chat_url(cluster: &Cluster, router: usize) -> String {
    format!("http://{}/v1/chat/completions", cluster.routers[router].address)
}

fn count_crashed_engines(cluster: &mut Cluster) -> usize {
    let engines = cluster.engines.iter_mut();
    engines.filter_map(|engine| engine.process.exit_status().unwrap()).count()
}

#[ntex::test]
async fn poison_request_crashes_two_engines_and_fails_no_other_request() {
    let shape = Shape { engines: 6, ..Shape::default() };
    let mut cluster = Cluster::spawn(&shape, &Value::Null).await.unwrap();
    let urls: Vec<String> = (0..3).map(|router| chat_url(&cluster, router)).collect();
    let http = cluster.http.clone();
    let healthy = futures::future::join_all((0..60).map(|number| {
        let (http, urls) = (http.clone(), urls.clone());
        async move {
            sleep(Millis(number * 40)).await;
            let content = format!("marker=h{number} tokens=30");
            send_chat(&http, &urls[number as usize % 3], &content).await
        }
    }));
    let poison = async {
        sleep(Millis(400)).await;
        let mut replies = Vec::new();
        for number in 0..9 {
            replies.push(send_chat(&http, &urls[number % 3], "poison tokens=5").await);
        }
        replies
    };
    let (healthy, poison) = futures::join!(healthy, poison);
    assert_eq!(count_crashed_engines(&mut cluster), 2, "{poison:?}");
    assert_eq!(poison[0].outcome, "unknown");
    for reply in &poison[1..] {
        assert_eq!(reply.status, 422, "{poison:?}");
        assert_eq!(reply.outcome, "not-run");
        assert_eq!(reply.code, "request_crashes_upstreams");
    }
    assert!(healthy.iter().all(|reply| reply.status == 200), "{healthy:?}");
}

#[derive(Debug, Clone, Copy)]
enum LeaveSignal {
    Draining,
    Listed,
    Reported,
}

async fn send_leave_signal(cluster: &Cluster, signal: LeaveSignal) {
    let engine = cluster.engines[0].address;
    match signal {
        LeaveSignal::Draining => {
            let intent = json!({"upstreams": {"engine-1": {"draining": true}}});
            cluster.configure(0, &intent).await.unwrap();
        }
        LeaveSignal::Listed => {
            let mut listed: Vec<Value> = cluster
                .routers
                .iter()
                .map(|router| {
                    json!({"instance": router.name, "address": router.address,
                        "peer_address": router.peer_listen, "domain": "domain-1"})
                })
                .collect();
            listed.push(json!({"instance": "engine-1", "address": engine, "domain": "domain-1",
                "leaving": true}));
            let url = format!("http://{}/instances", cluster.platform.address);
            let put = client::json::<_, ()>(&cluster.http, Method::PUT, url, None, &listed);
            put.await.unwrap();
        }
        LeaveSignal::Reported => {
            let url = format!("http://{engine}/leave");
            let post = client::json::<_, ()>(&cluster.http, Method::POST, url, None, &());
            post.await.unwrap();
        }
    }
}

#[test_case::test_case(LeaveSignal::Draining)]
#[test_case::test_case(LeaveSignal::Listed)]
#[test_case::test_case(LeaveSignal::Reported)]
#[ntex::test]
async fn leaving_upstream_gets_no_new_requests_and_finishes_its_runs(signal: LeaveSignal) {
    let shape = Shape { engines: 3, token_interval: Duration::from_millis(20), ..Shape::default() };
    let cluster = Cluster::spawn(&shape, &Value::Null).await.unwrap();
    let load = futures::future::join_all((0..200_u32).map(|number| {
        let (http, url) = (cluster.http.clone(), chat_url(&cluster, number as usize % 3));
        async move {
            sleep(Millis(number * 30)).await;
            send_chat(&http, &url, &format!("marker=m{number} tokens=40")).await
        }
    }));
    let leave = async {
        sleep(Millis(1_500)).await;
        send_leave_signal(&cluster, signal).await;
        wall_ms()
    };
    let (replies, leave_ms) = futures::join!(load, leave);
    assert!(replies.iter().all(|reply| reply.status == 200), "{replies:?}");
    let runs = cluster.journal().await.unwrap();
    let leaving_runs: Vec<_> = runs.iter().filter(|run| run.upstream == "engine-1").collect();
    let latest_start_ms = leave_ms + base::clock::millis(MAX_LEAVE_TIME);
    let last_start_ms = leaving_runs.iter().map(|run| run.started_ms).max().unwrap();
    println!("last new request {} ms after the signal", last_start_ms.saturating_sub(leave_ms));
    assert_eq!(leaving_runs.iter().filter(|run| run.started_ms > latest_start_ms).count(), 0);
    assert!(leaving_runs.iter().any(|run| run.started_ms < leave_ms));
    assert!(leaving_runs.iter().all(|run| run.finished));
    assert!(runs.iter().any(|run| run.started_ms > latest_start_ms));
}

#[ntex::test]
async fn killed_upstream_fails_at_most_two_of_80_requests() {
    let shape = Shape { engines: 4, token_interval: Duration::from_millis(20), ..Shape::default() };
    let mut cluster = Cluster::spawn(&shape, &Value::Null).await.unwrap();
    let load = futures::future::join_all((0..80_u32).map(|number| {
        let (http, url) = (cluster.http.clone(), chat_url(&cluster, number as usize % 3));
        async move {
            sleep(Millis(number * 20)).await;
            send_chat(&http, &url, &format!("marker=m{number} tokens=20")).await
        }
    }));
    let engine = &mut cluster.engines[0].process;
    let kill = async {
        sleep(Millis(800)).await;
        engine.kill();
    };
    let (replies, ()) = futures::join!(load, kill);
    let answered = replies.iter().filter(|reply| reply.status == 200).count();
    println!("{answered} of {} answered", replies.len());
    assert!(answered >= 78, "{replies:?}");
    assert!(replies.iter().all(|reply| reply.status == 200 || reply.outcome != "completed"));
}
