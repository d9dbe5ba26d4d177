//! Idempotency keys across instances that run as separate processes.
//!
//! A caller may repeat a request at another instance, after an instance was killed or while the
//! store fails. The request must then not run or be billed a second time.

use std::time::Duration;

use futures::future::join_all;
use ntex::client::ClientResponse;
use ntex::time::{Millis, sleep};
use rig::cluster::{Cluster, Shape};
use rig::platform::Faults;
use serde_json::{Value, json};

async fn send_chat(cluster: &Cluster, router: usize, caller: &str, key: &str, text: &str) -> Reply {
    let body = json!({"model": "model", "messages": [{"role": "user", "content": text}]});
    let url = format!("http://{}/v1/chat/completions", cluster.routers[router].address);
    post(cluster, url, caller, key, &body).await
}

async fn send_confirm(cluster: &Cluster, router: usize, key: &str, text: &str) -> Reply {
    let path = "v1/services/delivery/confirm";
    let url = format!("http://{}/{path}", cluster.routers[router].address);
    post(cluster, url, "courier-key", key, &json!({"text": format!(" marker={text} ")})).await
}

async fn post(cluster: &Cluster, url: String, caller: &str, key: &str, body: &Value) -> Reply {
    let request = cluster.http.post(url).bearer_auth(caller).set_header("idempotency-key", key);
    Reply::read(request.send_json(body).await.unwrap()).await
}

#[derive(Debug, Clone, PartialEq)]
struct Reply {
    status: u16,
    outcome: String,
    replayed: bool,
    has_retry_after: bool,
    body: Value,
}

impl Reply {
    async fn read(answer: ClientResponse) -> Self {
        let text = |name| answer.header(name).map(|value| value.to_str().unwrap().to_owned());
        Self {
            status: answer.status().as_u16(),
            outcome: text("lacewing-outcome").unwrap_or_default(),
            replayed: text("lacewing-replayed").is_some(),
            has_retry_after: text("retry-after").is_some(),
            body: serde_json::from_slice(&answer.body().await.unwrap()).unwrap(),
        }
    }

    fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }
}

async fn wait_and_read_billed(cluster: &Cluster, budget: &str) -> u64 {
    sleep(Millis(2_500)).await;
    let budgets = cluster.budgets().await.unwrap();
    budgets.iter().find(|row| row.budget == budget).unwrap().billed
}

#[ntex::test]
async fn a_repeated_key_replays_its_answer_at_every_instance_and_per_account() {
    let cluster = Cluster::spawn(&Shape::default(), &Value::Null).await.unwrap();
    let first = send_chat(&cluster, 0, "courier-key", "k", "marker=a tokens=5").await;
    assert_eq!((first.status, first.replayed), (200, false));
    sleep(Millis(200)).await;
    for router in 0..3 {
        let again = send_chat(&cluster, router, "courier-key", "k", "marker=a tokens=5").await;
        assert_eq!(again, Reply { replayed: true, ..first.clone() });
    }
    let other_body = send_chat(&cluster, 1, "courier-key", "k", "marker=b tokens=5").await;
    assert_eq!((other_body.status, other_body.outcome.as_str()), (422, "not-run"));
    let other_account = send_chat(&cluster, 1, "merchant-key", "k", "marker=c tokens=5").await;
    assert_eq!((other_account.status, other_account.replayed), (200, false));
    assert_eq!(cluster.journal().await.unwrap().len(), 2);
    let spent = first.body["usage"]["total_tokens"].as_u64().unwrap();
    assert_eq!(wait_and_read_billed(&cluster, "courier").await, spent);
}

#[ntex::test]
async fn concurrent_non_idempotent_calls_with_one_key_run_once() {
    let cluster = Cluster::spawn(&Shape::default(), &Value::Null).await.unwrap();
    for number in 0..5 {
        let key = format!("k{number}");
        let calls = (0..6).map(|index| send_confirm(&cluster, index % 3, &key, &key));
        let replies = join_all(calls).await;
        assert!(replies.iter().any(|reply| reply.status == 200), "{replies:?}");
        let is_valid = |reply: &Reply| {
            let done = reply.status == 200 && reply.body["marker"] == key.as_str();
            done || (reply.status == 409
                && reply.code() == "request_running"
                && reply.has_retry_after)
        };
        assert!(replies.iter().all(is_valid), "{replies:?}");
    }
    let runs = cluster.journal().await.unwrap();
    assert_eq!(runs.len(), 5, "{runs:?}");
}

#[ntex::test]
async fn a_non_idempotent_call_is_unknown_and_not_rerun_after_its_instance_is_killed() {
    let shape = Shape { service_delay: Duration::from_secs(1), ..Shape::default() };
    let mut cluster = Cluster::spawn(&shape, &Value::Null).await.unwrap();
    let url = format!("http://{}/v1/services/delivery/confirm", cluster.routers[0].address);
    let request = cluster.http.post(url).bearer_auth("courier-key");
    let request = request.set_header("idempotency-key", "k");
    let pending =
        ntex::rt::spawn(
            async move { request.send_json(&json!({"text": " marker=k "})).await.is_ok() },
        );
    sleep(Millis(500)).await;
    cluster.routers[0].process.kill();
    assert!(!pending.await.unwrap());
    let mut last = send_confirm(&cluster, 1, "k", "k").await;
    assert_eq!(last.outcome, "unknown");
    for _ in 0..20 {
        if last.code() == "outcome_unknown" {
            break;
        }
        assert_eq!(last.code(), "request_running", "{last:?}");
        sleep(Millis(1_000)).await;
        last = send_confirm(&cluster, 2, "k", "k").await;
    }
    assert_eq!((last.status, last.code()), (409, "outcome_unknown"));
    assert_eq!(cluster.journal().await.unwrap().len(), 1);
}

#[ntex::test]
async fn a_store_outage_refuses_non_idempotent_calls_and_bills_a_repeated_chat_once() {
    let cluster = Cluster::spawn(&Shape::default(), &Value::Null).await.unwrap();
    for router in 0..3 {
        let reply = send_chat(&cluster, router, "courier-key", "warm", "tokens=1").await;
        assert_eq!(reply.status, 200);
    }
    let before = wait_and_read_billed(&cluster, "courier").await;
    // These requests leave each instance with a piece of the budget.
    for router in 0..3 {
        let text = format!("tokens={router}");
        send_chat(&cluster, router, "courier-key", &format!("w{router}"), &text).await;
    }
    cluster.set_faults(Faults { outage: true, ..Faults::default() }).await.unwrap();
    let refused = send_confirm(&cluster, 0, "c", "c").await;
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
    assert!(refused.has_retry_after);
    let mut spent = Vec::new();
    for router in 0..2 {
        let reply = send_chat(&cluster, router, "courier-key", "k", "marker=k tokens=7").await;
        assert_eq!(reply.status, 200, "{reply:?}");
        spent.push(reply.body["usage"]["total_tokens"].as_u64().unwrap());
    }
    cluster.set_faults(Faults::default()).await.unwrap();
    sleep(Millis(3_000)).await;
    let runs = cluster.journal().await.unwrap();
    assert!(runs.iter().all(|run| run.path != "/confirm"));
    assert_eq!(spent[0], spent[1]);
    let billed = wait_and_read_billed(&cluster, "courier").await;
    assert!(billed > before);
    let run_count: u64 = runs.iter().filter(|run| run.marker == "k").count() as u64;
    assert_eq!(run_count, 2);
    let all: u64 = runs.iter().map(|run| run.prompt_tokens + run.completion_tokens).sum();
    assert_eq!(billed, all - spent[0], "two runs with one key were not billed once");
}
