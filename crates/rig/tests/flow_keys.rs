//! Idempotency keys through separate processes.

use std::time::Duration;

use futures::future::join_all;
use ntex::client::ClientResponse;
use ntex::time::{Millis, sleep};
use rig::cluster::{Cluster, Shape};
use rig::platform::Faults;
use serde_json::{Value, json};

async fn ask(cluster: &Cluster, router: usize, caller: &str, key: &str, text: &str) -> Reply {
    let body = json!({"model": "model", "messages": [{"role": "user", "content": text}]});
    let url = format!("http://{}/v1/chat/completions", cluster.routers[router].address);
    post(cluster, url, caller, key, &body).await
}

async fn confirm(cluster: &Cluster, router: usize, key: &str, text: &str) -> Reply {
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
    retry: bool,
    body: Value,
}

impl Reply {
    async fn read(answer: ClientResponse) -> Self {
        let text = |name| answer.header(name).map(|value| value.to_str().unwrap().to_owned());
        Self {
            status: answer.status().as_u16(),
            outcome: text("lacewing-outcome").unwrap_or_default(),
            replayed: text("lacewing-replayed").is_some(),
            retry: text("retry-after").is_some(),
            body: serde_json::from_slice(&answer.body().await.unwrap()).unwrap(),
        }
    }

    fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }
}

async fn billed(cluster: &Cluster, budget: &str) -> u64 {
    sleep(Millis(2_500)).await;
    let budgets = cluster.budgets().await.unwrap();
    budgets.iter().find(|row| row.budget == budget).unwrap().billed
}

#[ntex::test]
async fn a_key_has_one_answer_at_every_instance_and_for_one_account() {
    let cluster = Cluster::spawn(&Shape::default(), &Value::Null).await.unwrap();
    let first = ask(&cluster, 0, "courier-key", "k", "marker=a tokens=5").await;
    assert_eq!((first.status, first.replayed), (200, false));
    sleep(Millis(200)).await;
    for router in 0..3 {
        let again = ask(&cluster, router, "courier-key", "k", "marker=a tokens=5").await;
        assert_eq!(again, Reply { replayed: true, ..first.clone() });
    }
    let other = ask(&cluster, 1, "courier-key", "k", "marker=b tokens=5").await;
    assert_eq!((other.status, other.outcome.as_str()), (422, "not-run"));
    let foreign = ask(&cluster, 1, "merchant-key", "k", "marker=c tokens=5").await;
    assert_eq!((foreign.status, foreign.replayed), (200, false));
    assert_eq!(cluster.journal().await.unwrap().len(), 2);
    let spent = first.body["usage"]["total_tokens"].as_u64().unwrap();
    assert_eq!(billed(&cluster, "courier").await, spent);
}

#[ntex::test]
async fn a_confirmation_asked_everywhere_at_once_runs_once() {
    let cluster = Cluster::spawn(&Shape::default(), &Value::Null).await.unwrap();
    for number in 0..5 {
        let key = format!("k{number}");
        let asked = (0..6).map(|place| confirm(&cluster, place % 3, &key, &key));
        let replies = join_all(asked).await;
        assert!(replies.iter().any(|reply| reply.status == 200), "{replies:?}");
        let honest = |reply: &Reply| {
            let done = reply.status == 200 && reply.body["marker"] == key.as_str();
            done || (reply.status == 409 && reply.code() == "request_running" && reply.retry)
        };
        assert!(replies.iter().all(honest), "{replies:?}");
    }
    let runs = cluster.journal().await.unwrap();
    assert_eq!(runs.len(), 5, "{runs:?}");
}

#[ntex::test]
async fn a_confirmation_whose_instance_died_is_unknown_and_never_run_again() {
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
    let mut last = confirm(&cluster, 1, "k", "k").await;
    assert_eq!(last.outcome, "unknown");
    for _ in 0..20 {
        if last.code() == "outcome_unknown" {
            break;
        }
        assert_eq!(last.code(), "request_running", "{last:?}");
        sleep(Millis(1_000)).await;
        last = confirm(&cluster, 2, "k", "k").await;
    }
    assert_eq!((last.status, last.code()), (409, "outcome_unknown"));
    assert_eq!(cluster.journal().await.unwrap().len(), 1);
}

#[ntex::test]
async fn without_the_store_confirmations_are_refused_and_chats_run_and_are_billed_once() {
    let cluster = Cluster::spawn(&Shape::default(), &Value::Null).await.unwrap();
    for router in 0..3 {
        let warm = ask(&cluster, router, "courier-key", "warm", "tokens=1").await;
        assert_eq!(warm.status, 200);
    }
    let before = billed(&cluster, "courier").await;
    // The instances hold pieces from here on.
    for router in 0..3 {
        let text = format!("tokens={router}");
        ask(&cluster, router, "courier-key", &format!("w{router}"), &text).await;
    }
    cluster.set_faults(Faults { outage: true, ..Faults::default() }).await.unwrap();
    let refused = confirm(&cluster, 0, "c", "c").await;
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
    assert!(refused.retry);
    let mut spent = Vec::new();
    for router in 0..2 {
        let reply = ask(&cluster, router, "courier-key", "k", "marker=k tokens=7").await;
        assert_eq!(reply.status, 200, "{reply:?}");
        spent.push(reply.body["usage"]["total_tokens"].as_u64().unwrap());
    }
    cluster.set_faults(Faults::default()).await.unwrap();
    sleep(Millis(3_000)).await;
    let runs = cluster.journal().await.unwrap();
    assert!(runs.iter().all(|run| run.path != "/confirm"));
    assert_eq!(spent[0], spent[1]);
    let billed = billed(&cluster, "courier").await;
    assert!(billed > before);
    let unrecorded: u64 = runs.iter().filter(|run| run.marker == "k").count() as u64;
    assert_eq!(unrecorded, 2);
    let all: u64 = runs.iter().map(|run| run.prompt_tokens + run.completion_tokens).sum();
    assert_eq!(billed, all - spent[0], "two runs of one key make one bill");
}
