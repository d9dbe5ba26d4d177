//! Spread of the configuration during partitions, outages and concurrent confirmations.
//!
//! Guards against instances that miss, lose or revert a confirmed version. Instances run as
//! processes of their own.

use std::time::{Duration, Instant};

use futures::future::join_all;
use ntex::http::Method;
use plan::hash::digest;
use rig::client::{self, Error};
use rig::cluster::{ADMIN_KEY, Addresses, Cluster, Shape, free_address};
use rig::platform::Faults;
use rig::proxy::Fault;
use serde_json::{Value, json};
use tokio::time::sleep;

/// Longest time until every reachable instance runs a confirmed version.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between two reads of an instance.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

async fn status(cluster: &Cluster, router: usize) -> Value {
    let url = format!("http://{}/admin/v1/status", cluster.routers[router].address);
    let answer = client::json(&cluster.http, Method::GET, url, Some(ADMIN_KEY), &()).await;
    answer.unwrap_or_default()
}

async fn version(cluster: &Cluster, router: usize) -> u64 {
    status(cluster, router).await["version"].as_u64().unwrap_or_default()
}

/// Waits until `routers` run version `expected` or a newer one; returns the duration.
async fn wait_for_version(cluster: &Cluster, routers: &[usize], expected: u64) -> Duration {
    let start = Instant::now();
    loop {
        let versions = join_all(routers.iter().map(|router| version(cluster, *router))).await;
        if versions.iter().all(|version| *version >= expected) {
            return start.elapsed();
        }
        assert!(start.elapsed() < IN_FORCE_TIMEOUT, "versions {versions:?} instead of {expected}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Starts a fourth instance that cannot reach the platform, only one peer.
fn start_without_platform(cluster: &mut Cluster) {
    let (address, peer_listen) = (free_address().unwrap(), free_address().unwrap());
    let addresses = Addresses {
        address,
        peer_listen,
        peer_address: peer_listen,
        platform: free_address().unwrap(),
    };
    let seeds = format!("seeds = {}", cluster.routers[0].peer_listen);
    let router = cluster.start_router_with("router-4", addresses, &seeds).unwrap();
    cluster.routers.push(router);
}

fn account_intent(name: &str) -> Value {
    json!({"accounts": {name: {}}})
}

#[ntex::test]
async fn confirmed_version_is_in_force_on_8_instances_within_1_second() {
    let shape = Shape { routers: 8, engines: 1, ..Shape::default() };
    let cluster = Cluster::spawn(&shape, &Value::Null).await.unwrap();
    let all: Vec<usize> = (0..8).collect();
    let mut times = Vec::new();
    for number in 0..20 {
        let version =
            cluster.configure(number % 8, &account_intent(&format!("a-{number}"))).await.unwrap();
        times.push(wait_for_version(&cluster, &all, version).await);
    }
    times.sort();
    println!("time until in force on 8 instances: median {:?}, longest {:?}", times[10], times[19]);
    assert!(times[19] < Duration::from_secs(1), "{times:?}");
}

#[ntex::test]
async fn concurrent_confirmations_succeed_or_are_refused_as_stale() {
    let shape = Shape { routers: 4, engines: 1, ..Shape::default() };
    let cluster = Cluster::spawn(&shape, &Value::Null).await.unwrap();
    let mut last = version(&cluster, 0).await;
    for round in 0..8 {
        let confirmations = (0..4).map(|router| {
            let name = format!("r-{round}-{router}");
            let cluster = &cluster;
            async move { cluster.configure(router, &account_intent(&name)).await }
        });
        let results = join_all(confirmations).await;
        let mut won: Vec<u64> =
            results.iter().filter_map(|won| won.as_ref().ok().copied()).collect();
        for error in results.iter().filter_map(|result| result.as_ref().err()) {
            let is_stale = matches!(error, rig::cluster::Error::Call(Error::Status(409, _)));
            assert!(is_stale, "{error}");
        }
        won.sort_unstable();
        let expected: Vec<u64> = (1..=won.len() as u64).map(|step| last + step).collect();
        assert_eq!(won, expected);
        assert!(!won.is_empty());
        last += won.len() as u64;
    }
    let url = format!("http://{}/admin/v1/audit", cluster.routers[2].address);
    let audit: Value =
        client::json(&cluster.http, Method::GET, url, Some(ADMIN_KEY), &()).await.unwrap();
    assert_eq!(audit["entries"].as_array().unwrap().len() as u64, last);
}

#[ntex::test]
async fn instance_started_during_a_platform_outage_gets_the_version_from_peers() {
    let shape = Shape { engines: 1, ..Shape::default() };
    let mut cluster = Cluster::spawn(&shape, &Value::Null).await.unwrap();
    let confirmed = cluster.configure(0, &account_intent("late")).await.unwrap();
    wait_for_version(&cluster, &[0, 1, 2], confirmed).await;
    cluster.set_faults(Faults { outage: true, ..Faults::default() }).await.unwrap();
    start_without_platform(&mut cluster);
    wait_for_version(&cluster, &[3], confirmed).await;
}

#[ntex::test]
async fn instance_without_platform_gets_new_versions_from_peers() {
    let shape = Shape { engines: 1, ..Shape::default() };
    let mut cluster = Cluster::spawn(&shape, &Value::Null).await.unwrap();
    start_without_platform(&mut cluster);
    let first = version(&cluster, 0).await;
    wait_for_version(&cluster, &[3], first).await;
    let confirmed = cluster.configure(1, &account_intent("other")).await.unwrap();
    wait_for_version(&cluster, &[0, 1, 2, 3], confirmed).await;
}

async fn send_chat(cluster: &Cluster, router: usize, key: &str) -> (u16, Value, String) {
    let url = format!("http://{}/v1/chat/completions", cluster.routers[router].address);
    let body = json!({"model": "model", "messages": [{"role": "user", "content": "tokens=2"}]});
    let answer = cluster.http.post(url).bearer_auth(key).send_json(&body).await.unwrap();
    let status = answer.status().as_u16();
    let outcome = answer.header("lacewing-outcome").map(|value| value.to_str().unwrap().to_owned());
    (status, answer.json().await.unwrap_or_default(), outcome.unwrap_or_default())
}

#[ntex::test]
async fn revoked_key_is_refused_and_cached_keys_work_during_an_outage() {
    let shape = Shape { engines: 1, ..Shape::default() };
    let cluster = Cluster::spawn(&shape, &Value::Null).await.unwrap();
    for router in 0..3 {
        assert_eq!(send_chat(&cluster, router, "courier-key").await.0, 200);
    }
    let revoke = json!({"keys": {digest("courier-key"): null}});
    let version = cluster.configure(0, &revoke).await.unwrap();
    wait_for_version(&cluster, &[0, 1, 2], version).await;
    for router in 0..3 {
        assert_eq!(send_chat(&cluster, router, "courier-key").await.0, 401);
    }
    assert_eq!(send_chat(&cluster, 0, "merchant-key").await.0, 200);
    cluster.set_faults(Faults { outage: true, ..Faults::default() }).await.unwrap();
    let (status, body, outcome) = send_chat(&cluster, 0, "unknown-key").await;
    assert_eq!((status, outcome.as_str()), (503, "not-run"));
    assert_eq!(body["error"]["code"], "key_unreachable");
    // Instance 1 has not read this key from the platform and gets it from a peer.
    let (status, body, _) = send_chat(&cluster, 1, "merchant-key").await;
    assert!(status == 200 || body["error"]["code"] == "budget_unreachable", "{status} {body}");
    assert_eq!(send_chat(&cluster, 0, "merchant-key").await.0, 200);
}

#[ntex::test]
async fn confirmation_is_repeatable_after_a_lost_reply() {
    let shape = Shape { engines: 1, ..Shape::default() };
    let cluster = Cluster::spawn(&shape, &Value::Null).await.unwrap();
    let base = format!("http://{}/admin/v1/plans", cluster.routers[0].address);
    let key = Some(ADMIN_KEY);
    let plan: Value =
        client::json(&cluster.http, Method::POST, base.clone(), key, &account_intent("x"))
            .await
            .unwrap();
    cluster.set_faults(Faults { lost_reply: 1.0, ..Faults::default() }).await.unwrap();
    let url = format!("{base}/{}/confirm", plan["id"].as_str().unwrap());
    let lost: Result<Value, _> =
        client::json(&cluster.http, Method::POST, url.clone(), key, &()).await;
    assert!(matches!(lost, Err(Error::Status(503, _))));
    cluster.set_faults(Faults::default()).await.unwrap();
    let repeated: Value = client::json(&cluster.http, Method::POST, url, key, &()).await.unwrap();
    assert_eq!(repeated["version"].as_u64(), plan["base"].as_u64().map(|base| base + 1));
}

#[ntex::test]
async fn dead_instance_is_left_out_of_addresses_before_the_list_changes() {
    let shape = Shape { routers: 5, engines: 1, ..Shape::default() };
    let mut cluster = Cluster::spawn(&shape, &Value::Null).await.unwrap();
    sleep(Duration::from_secs(1)).await;
    let dead = cluster.routers[4].address.to_string();
    cluster.routers[4].process.kill();
    let start = Instant::now();
    loop {
        let url = format!("http://{}/v1/addresses", cluster.routers[0].address);
        let answer: Value = client::json(&cluster.http, Method::GET, url, None, &()).await.unwrap();
        let named = answer["addresses"].as_array().unwrap().iter().any(|one| *one == dead);
        if !named {
            break;
        }
        assert!(start.elapsed() < IN_FORCE_TIMEOUT);
        sleep(POLL_INTERVAL).await;
    }
    println!("absent from the addresses after {:?}", start.elapsed());
}

#[ntex::test]
async fn partitioned_instance_keeps_its_version_and_catches_up_afterwards() {
    let shape = Shape { engines: 1, proxies: true, ..Shape::default() };
    let cluster = Cluster::spawn(&shape, &Value::Null).await.unwrap();
    let before = version(&cluster, 0).await;
    wait_for_version(&cluster, &[0, 1, 2], before).await;
    let links = || {
        let peers = cluster.routers.iter().filter_map(|router| router.peer_link.as_ref());
        peers.chain(cluster.routers[2].platform_link.as_ref())
    };
    for link in links() {
        link.set_fault(Fault::partition());
    }
    let mut last = before;
    for number in 0..5 {
        last =
            cluster.configure(number % 2, &account_intent(&format!("c-{number}"))).await.unwrap();
        wait_for_version(&cluster, &[0, 1], last).await;
        assert_eq!(version(&cluster, 2).await, before);
    }
    for link in links() {
        link.heal();
    }
    let time = wait_for_version(&cluster, &[0, 1, 2], last).await;
    println!("partitioned instance caught up after {time:?}");
}
