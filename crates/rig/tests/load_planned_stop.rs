//! Requests to an instance that is starting or stopping gracefully.
//!
//! A stopping instance must not cut connections that it has accepted. A starting instance that
//! has no keys yet must not reject a valid key.

use std::time::{Duration, Instant};

use rig::client;
use rig::cluster::{Cluster, Shape};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
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

/// Sends a chat on an open connection and returns its answer, up to the end of either.
async fn send_kept(mut stream: TcpStream, body: &str) -> String {
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer courier-key\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).await.unwrap_or_default();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap_or_default();
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against requests on kept connections that are passed on late in a stop, and cut off.
#[ntex::test]
async fn a_stopping_instance_answers_each_request_on_a_kept_connection() {
    let shape = Shape {
        routers: 1,
        token_interval: Duration::from_millis(10),
        extra_settings: "[limits]\ndrain_ms = 2000\n".to_owned(),
        ..Shape::default()
    };
    let cluster = Cluster::spawn(&shape, &Value::Null).await.unwrap();
    // It takes longer than the stop.
    let long = json!({"model": "model", "max_tokens": 600,
        "messages": [{"role": "user", "content": "marker=m tokens=600"}]})
    .to_string();
    let address = cluster.routers[0].address;
    let mut callers = Vec::new();
    for step in 0..10 {
        let stream = TcpStream::connect(address).await.unwrap();
        let long = long.clone();
        callers.push(ntex::rt::spawn(async move {
            // The first one keeps the instance from ending, the others come late.
            let delay = if step == 0 { 0 } else { 1_400 + 100 * step };
            sleep(Duration::from_millis(delay)).await;
            send_kept(stream, &long).await
        }));
    }
    sleep(Duration::from_millis(100)).await;
    cluster.routers[0].process.terminate();
    for (step, caller) in callers.into_iter().enumerate() {
        let answer = caller.await.unwrap();
        println!("{step}: {:.60}", answer.lines().next().unwrap_or_default());
        let is_refused = answer.starts_with("HTTP/1.1 503 ") && answer.contains("not-run");
        let is_whole = answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("}}");
        assert!(if step == 0 { is_whole } else { is_refused }, "{step}: {answer}");
    }
}
