//! Instances that are killed or suspended with requests in flight.
//!
//! Guards against requests that are never billed, and against an instance that serves after its
//! holder was fenced. Instances run as processes of their own.

use std::time::Duration;

use ntex::http::Method;
use ntex::time::{Millis, sleep};
use rig::client;
use rig::cluster::{Cluster, Shape};
use rig::platform::Budget;
use serde_json::{Value, json};
use test_case::test_case;

/// Longest time until the tokens of a dead holder are recovered.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which a resumed instance that is not fenced confirms its lease and serves again.
const RESUME_TIME: Duration = Duration::from_secs(1);
/// Interval between two reads of the budgets.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

fn shape() -> Shape {
    let extra_settings = "[ledger]\nlease_ms = 1000\npause_ms = 500\n".into();
    Shape { extra_settings, first_token_delay: Duration::from_millis(300), ..Shape::default() }
}

fn request_body(marker: &str, stream: bool) -> Value {
    let content = format!("marker={marker} tokens=60");
    json!({"model": "model", "stream": stream, "messages": [{"role": "user", "content": content}]})
}

fn chat_url(cluster: &Cluster, router: usize) -> String {
    format!("http://{}/v1/chat/completions", cluster.routers[router].address)
}

async fn send_chat(cluster: &Cluster, router: usize, marker: &str) -> Value {
    let (url, key) = (chat_url(cluster, router), Some("courier-key"));
    client::json(&cluster.http, Method::POST, url, key, &request_body(marker, false)).await.unwrap()
}

async fn courier_budget(cluster: &Cluster) -> Budget {
    let budgets = cluster.budgets().await.unwrap();
    budgets.into_iter().find(|row| row.budget == "courier").unwrap()
}

/// Waits until the courier budget is billed `tokens` or more, or the timeout passes.
async fn wait_until_billed(cluster: &Cluster, tokens: u64) -> Budget {
    let polls = RECOVERY_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
    for _ in 0..polls {
        let budget = courier_budget(cluster).await;
        if budget.billed >= tokens {
            return budget;
        }
        sleep(Millis::from(POLL_INTERVAL)).await;
    }
    courier_budget(cluster).await
}

#[ntex::test]
async fn request_in_flight_at_a_killed_instance_is_billed_at_its_bound() {
    let mut cluster = Cluster::spawn(&shape(), &Value::Null).await.unwrap();
    let answer = send_chat(&cluster, 0, "before").await;
    let spent = answer["usage"]["total_tokens"].as_u64().unwrap();
    let request = cluster.http.post(chat_url(&cluster, 0)).bearer_auth("courier-key");
    let _stream = request.send_json(&request_body("during", true)).await.unwrap();
    // The stream has started, but its record in the ledger needs one more transaction.
    sleep(Millis(100)).await;
    cluster.routers[0].process.kill();
    let name = cluster.routers[0].name.clone();
    let started = cluster.start_router(&name).unwrap();
    cluster.routers[0] = started;
    cluster.publish_instances().await.unwrap();
    let budget = wait_until_billed(&cluster, spent + 1).await;
    // The second request has the same prompt cost and at most 64 completion tokens.
    let bound = budget.billed - spent;
    assert!(bound >= 60, "billed {bound} for the request in flight at the killed instance");
    assert!(budget.billed + budget.held <= budget.paid);
}

/// Guards against an instance that serves after its holder should have been fenced.
///
/// It left the list before the other instances looked for dead holders for the first time, so that
/// they took it for one that is not listed yet. Just after it resumed it refused requests in any
/// case, as it had not confirmed its lease.
#[test_case(Duration::ZERO; "at once")]
#[test_case(RESUME_TIME; "later")]
#[ntex::test]
async fn resumed_instance_whose_holder_was_fenced_refuses_requests(pause: Duration) {
    let mut cluster = Cluster::spawn(&shape(), &Value::Null).await.unwrap();
    send_chat(&cluster, 0, "before").await;
    cluster.routers[0].process.freeze();
    let frozen = cluster.routers.remove(0);
    cluster.publish_instances().await.unwrap();
    // The lease and its margin expire, and another instance fences the holder.
    sleep(Millis::from(Duration::from_secs(11))).await;
    frozen.process.resume();
    sleep(Millis::from(pause)).await;
    let target = format!("http://{}/v1/chat/completions", frozen.address);
    let request = cluster.http.post(target).bearer_auth("courier-key");
    let answer = request.send_json(&request_body("after", false)).await.unwrap();
    assert_eq!(answer.status().as_u16(), 503);
    assert_eq!(answer.header("lacewing-outcome").unwrap(), "not-run");
    let runs = cluster.journal().await.unwrap();
    assert_eq!(runs.len(), 1);
}
