//! Requests to an instance that is starting or stopping gracefully.
//!
//! A stopping instance must not cut connections that it has accepted. A starting instance that
//! has no keys yet must not reject a valid key.

use std::time::{Duration, Instant};

use rig::client;
use rig::cluster::{Cluster, Shape};
use serde_json::{Value, json};
use tokio::time::sleep;

fn chat_body(marker: &str) -> Value {
    let content = format!("marker={marker} tokens=5");
    json!({"model": "model", "messages": [{"role": "user", "content": content}]})
}

async fn send_and_read_status(cluster: &Cluster, router: usize) -> Result<u16, String> {
    let url = format!("http://{}/v1/chat/completions", cluster.routers[router].address);
    // A new connection, as from a caller whose cached address list still names the instance.
    let http = client::open(1).await;
    let sent = http.post(url).bearer_auth("courier-key").send_json(&chat_body("m")).await;
    let answer = sent.map_err(|error| format!("{error:?}"))?;
    let status = answer.status().as_u16();
    answer.body().await.map_err(|error| format!("{error:?}"))?;
    Ok(status)
}

/// Returns true if the connection was refused before anything was sent.
fn is_connection_refused(error: &str) -> bool {
    error.contains("ConnectionRefused")
}

#[ntex::test]
async fn a_stopping_instance_answers_or_refuses_new_requests_and_cuts_none() {
    let mut cluster = Cluster::spawn(&Shape::default(), &Value::Null).await.unwrap();
    // The stream keeps the instance from stopping at once.
    let stream = json!({
        "model": "model", "stream": true, "max_tokens": 400,
        "messages": [{"role": "user", "content": "marker=m tokens=400"}],
    });
    let url = format!("http://{}/v1/chat/completions", cluster.routers[0].address);
    let begun = cluster.http.post(url).bearer_auth("courier-key").send_json(&stream).await.unwrap();
    cluster.routers[0].process.terminate();
    sleep(Duration::from_millis(50)).await;
    let end = Instant::now() + Duration::from_secs(20);
    let mut cut = Vec::new();
    while cluster.routers[0].process.exit_status().unwrap().is_none() && Instant::now() < end {
        if let Err(error) = send_and_read_status(&cluster, 0).await
            && !is_connection_refused(&error)
        {
            cut.push(error);
        }
        sleep(Duration::from_millis(5)).await;
    }
    let text = begun.body().await.unwrap();
    assert!(text.ends_with(b"data: [DONE]\n\n"));
    assert_eq!(cut, Vec::<String>::new());
}

#[ntex::test]
async fn a_starting_instance_never_rejects_a_valid_key_with_401() {
    let mut cluster = Cluster::spawn(&Shape::default(), &Value::Null).await.unwrap();
    cluster.routers[0].process.kill();
    cluster.restart_router(0).unwrap();
    let mut statuses = Vec::new();
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end && statuses.last() != Some(&200) {
        statuses.extend(send_and_read_status(&cluster, 0).await.ok());
        sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(statuses.last(), Some(&200));
    assert!(!statuses.contains(&401), "{statuses:?}");
}
