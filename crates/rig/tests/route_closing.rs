//! An upstream that reads a request and closes the connection without an answer.
//!
//! Guards against the retry of a request that the upstream may have run.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use rig::cluster::{Cluster, Shape};
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Starts an upstream that reads requests and closes their connections without an answer.
///
/// Returns its address and the count of requests.
async fn spawn_closing_upstream() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let read = Arc::clone(&count);
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let read = Arc::clone(&read);
            ntex::rt::spawn(async move {
                let mut buffer = [0; 4_096];
                if stream.read(&mut buffer).await.is_ok_and(|bytes| bytes > 0) {
                    read.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    (address, count)
}

#[ntex::test]
async fn connection_closed_after_the_request_gives_outcome_unknown() {
    let (first_address, first_count) = spawn_closing_upstream().await;
    let (second_address, second_count) = spawn_closing_upstream().await;
    let upstream =
        |address| json!({"kind": "service", "address": address, "domain": "domain-1", "slots": 9});
    let intent = json!({
        "upstreams": {"closer-1": upstream(first_address), "closer-2": upstream(second_address)},
        "services": {"closing": {
            "upstreams": ["closer-1", "closer-2"], "non_idempotent": ["POST /confirm"],
        }},
    });
    let cluster = Cluster::spawn(&Shape::default(), &intent).await.unwrap();
    let url = format!("http://{}/v1/services/closing/confirm", cluster.routers[0].address);
    let request = cluster.http.post(url).bearer_auth("courier-key");
    let answer = request.send_json(&json!({"parcel": 7})).await.unwrap();
    assert_eq!(answer.status().as_u16(), 502);
    assert_eq!(answer.header("lacewing-outcome").unwrap(), "unknown");
    assert_eq!(first_count.load(Ordering::Relaxed) + second_count.load(Ordering::Relaxed), 1);
}
