//! Requests through the whole system, with each part in a process of its own.
//!
//! Guards against wrong bills, wrong refusals and requests lost in a planned stop.

use std::time::Duration;

use ntex::http::Method;
use ntex::time::{Millis, sleep};
use rig::client;
use rig::cluster::{Cluster, Shape};
use serde_json::{Value, json};

fn chat_url(cluster: &Cluster, router: usize) -> String {
    format!("http://{}/v1/chat/completions", cluster.routers[router].address)
}

/// Returns the exit code of the first instance after at most `polls` polls.
///
/// Polls every 50 ms; `None` means that the instance still runs.
async fn exit_code(cluster: &mut Cluster, polls: usize) -> Option<i32> {
    for _ in 0..polls {
        if let Some(status) = cluster.routers[0].process.exit_status().unwrap() {
            return status.code();
        }
        sleep(Millis(50)).await;
    }
    None
}

fn request_body(marker: &str) -> Value {
    let content = format!("marker={marker} tokens=5");
    json!({"model": "model", "messages": [{"role": "user", "content": content}]})
}

#[ntex::test]
async fn answers_are_billed_once_in_the_budget_row() {
    let cluster = Cluster::spawn(&Shape::default(), &Value::Null).await.unwrap();
    let mut spent = 0;
    for number in 0..6 {
        let marker = format!("m{number}");
        let key = Some("courier-key");
        let answer: Value = client::json(
            &cluster.http,
            Method::POST,
            chat_url(&cluster, number % 3),
            key,
            &request_body(&marker),
        )
        .await
        .unwrap();
        let content = answer["choices"][0]["message"]["content"].as_str().unwrap();
        assert!(content.contains(&format!("marker={marker}")));
        spent += answer["usage"]["total_tokens"].as_u64().unwrap();
    }
    sleep(Millis::from(Duration::from_secs(3))).await;
    let budgets = cluster.budgets().await.unwrap();
    let billed = budgets.iter().find(|row| row.budget == "courier").unwrap().billed;
    assert_eq!(billed, spent);
    assert_eq!(cluster.journal().await.unwrap().len(), 6);
}

#[ntex::test]
async fn request_beyond_the_budget_is_refused_as_not_run() {
    let intent = json!({
        "budgets": {"small": {"account": "courier", "paid": 10}},
        "keys": {plan::hash::digest("small-key"): {"account": "courier", "budget": "small"}},
    });
    let cluster = Cluster::spawn(&Shape::default(), &intent).await.unwrap();
    let answer = cluster
        .http
        .post(chat_url(&cluster, 0))
        .bearer_auth("small-key")
        .send_json(&request_body("x"))
        .await
        .unwrap();
    assert_eq!(answer.status().as_u16(), 402);
    assert_eq!(answer.header("lacewing-outcome").unwrap(), "not-run");
    let body: Value = answer.json().await.unwrap();
    assert_eq!(body["error"]["code"], "insufficient_quota");
    assert!(cluster.journal().await.unwrap().is_empty());
}

#[ntex::test]
async fn addresses_answer_names_only_listed_instances() {
    let cluster = Cluster::spawn(&Shape::default(), &Value::Null).await.unwrap();
    let url = format!("http://{}/v1/addresses", cluster.routers[1].address);
    let key = Some("courier-key");
    let answer: Value = client::json(&cluster.http, Method::GET, url, key, &()).await.unwrap();
    let addresses = answer["addresses"].as_array().unwrap();
    let listed: Vec<String> =
        cluster.routers.iter().map(|router| router.address.to_string()).collect();
    assert!(!addresses.is_empty());
    assert!(addresses.iter().all(|address| listed.iter().any(|one| address == one)));
}

#[ntex::test]
async fn terminated_instance_finishes_its_streams_and_exits_with_0() {
    let mut cluster = Cluster::spawn(&Shape::default(), &Value::Null).await.unwrap();
    let body = json!({
        "model": "model", "stream": true, "max_tokens": 64,
        "messages": [{"role": "user", "content": "marker=m tokens=60"}],
    });
    let answer = cluster
        .http
        .post(chat_url(&cluster, 0))
        .bearer_auth("courier-key")
        .send_json(&body)
        .await
        .unwrap();
    cluster.routers[0].process.terminate();
    let text = String::from_utf8(answer.body().await.unwrap().to_vec()).unwrap();
    assert!(text.contains("data: [DONE]"));
    assert_eq!(exit_code(&mut cluster, 100).await, Some(0));
    let budgets = cluster.budgets().await.unwrap();
    assert!(budgets.iter().all(|row| row.held == 0));
}

#[ntex::test]
async fn stopping_instance_serves_late_callers_and_closes_their_connections() {
    let mut cluster = Cluster::spawn(&Shape::default(), &Value::Null).await.unwrap();
    cluster.routers[0].process.terminate();
    sleep(Millis(300)).await;
    let answer = cluster
        .http
        .post(chat_url(&cluster, 0))
        .bearer_auth("courier-key")
        .send_json(&request_body("old"))
        .await
        .unwrap();
    assert_eq!(answer.status().as_u16(), 200);
    assert_eq!(answer.header("connection").unwrap(), "close");
    answer.body().await.unwrap();
    assert_eq!(exit_code(&mut cluster, 200).await, Some(0));
}
