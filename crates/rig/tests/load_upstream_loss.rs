//! Upstreams that close the connection after they have read a request.
//!
//! The call may have run, so the instance must neither report it as not run nor send it again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use rig::cluster::{Cluster, Shape};
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Starts an upstream that closes connections after reading a request, and counts requests.
async fn closing_upstream() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let request_count = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&request_count);
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4_096];
            if matches!(stream.read(&mut buffer).await, Ok(1..)) {
                count.fetch_add(1, Ordering::SeqCst);
            }
        }
    });
    (address, request_count)
}

#[ntex::test]
async fn a_call_whose_upstream_closes_the_connection_is_unknown_and_not_retried() {
    let (address, request_count) = closing_upstream().await;
    let upstream = |domain: &str| json!({"kind": "service", "address": address, "domain": domain});
    let intent = json!({
        "upstreams": {"lost-1": upstream("domain-1"), "lost-2": upstream("domain-2")},
        "services": {"delivery": {"upstreams": ["lost-1", "lost-2"]}},
    });
    let cluster = Cluster::spawn(&Shape::default(), &intent).await.unwrap();
    let url = format!("http://{}/v1/services/delivery/confirm/7", cluster.routers[0].address);
    let answer =
        cluster.http.post(url).bearer_auth("courier-key").send_body("marker=m").await.unwrap();
    assert_eq!(answer.header("lacewing-outcome").unwrap(), "unknown");
    assert_eq!(request_count.load(Ordering::SeqCst), 1);
}
