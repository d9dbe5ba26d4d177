//! Goodput and fairness above the capacity of the engines, with separate processes.
//!
//! A large account sends 150% of what the engines can serve. Queues that grow without limit would
//! lower the goodput and delay the few requests of a small account.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use ntex::client::Client;
use rig::client;
use rig::cluster::{Cluster, Shape};
use serde_json::json;
use tokio::time::sleep;

/// Constant rate of the small account.
const SMALL_ACCOUNT_REQUESTS_PER_SECOND: f64 = 5.0;
/// Duration of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(6);

#[derive(Debug, Default)]
struct Results {
    latencies: Vec<Duration>,
    refused: usize,
    other: usize,
}

impl Results {
    fn goodput(&self) -> f64 {
        as_f64(self.latencies.len()) / MEASUREMENT_TIME.as_secs_f64()
    }

    fn p99(&self) -> Duration {
        let mut latencies = self.latencies.clone();
        latencies.sort();
        latencies.get(latencies.len().saturating_sub(1) * 99 / 100).copied().unwrap_or_default()
    }
}

fn as_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap())
}

async fn send_one(http: Client, url: String, key: &'static str, results: Rc<RefCell<Results>>) {
    let body = json!({"model": "model", "max_tokens": 40,
        "messages": [{"role": "user", "content": "tokens=40"}]});
    let started_at = Instant::now();
    let answer = http.post(url).bearer_auth(key).send_json(&body).await;
    let Ok(answer) = answer else {
        results.borrow_mut().other += 1;
        return;
    };
    let whole = answer.body().await.is_ok();
    let mut results = results.borrow_mut();
    match answer.status().as_u16() {
        200 if whole => results.latencies.push(started_at.elapsed()),
        503 if answer.header("lacewing-outcome").is_some_and(|value| value == "not-run") => {
            results.refused += 1;
        }
        _ => results.other += 1,
    }
}

/// Sends requests at a constant rate, without waiting for their answers.
async fn send_at_rate(cluster: &Cluster, key: &'static str, rate: f64) -> Results {
    let results = Rc::new(RefCell::new(Results::default()));
    let mut sent = Vec::new();
    let started_at = Instant::now();
    let mut number = 0;
    while started_at.elapsed() < MEASUREMENT_TIME {
        let router = &cluster.routers[number % cluster.routers.len()];
        let url = format!("http://{}/v1/chat/completions", router.address);
        sent.push(ntex::rt::spawn(send_one(cluster.http.clone(), url, key, Rc::clone(&results))));
        number += 1;
        let next = Duration::from_secs_f64(as_f64(number) / rate);
        sleep(next.saturating_sub(started_at.elapsed())).await;
    }
    join_all(sent).await;
    Rc::try_unwrap(results).unwrap().into_inner()
}

#[ntex::test]
async fn overload_keeps_peak_goodput_and_the_latency_of_a_small_account() {
    let shape =
        Shape { slots: 8, extra_settings: "[limits]\nqueue_ms = 500\n".into(), ..Shape::default() };
    let slots = json!({"slots": 8});
    let intent = json!({"upstreams": {"engine-1": slots, "engine-2": slots}});
    let mut cluster = Cluster::spawn(&shape, &intent).await.unwrap();
    cluster.http = client::open(4_096).await;
    let unloaded = send_at_rate(&cluster, "merchant-key", SMALL_ACCOUNT_REQUESTS_PER_SECOND).await;
    let mut peak: f64 = 0.0;
    let mut rate = 80.0;
    // The rate grows until the goodput gains less than 10%; the highest goodput is the peak.
    loop {
        let results = send_at_rate(&cluster, "courier-key", rate).await;
        println!(
            "at {rate:.0}/s: goodput {:.1}/s, p99 {:?}, refused {}",
            results.goodput(),
            results.p99(),
            results.refused
        );
        if results.goodput() < peak * 1.1 {
            peak = peak.max(results.goodput());
            break;
        }
        peak = results.goodput();
        rate *= 1.4;
    }
    let big = send_at_rate(&cluster, "courier-key", peak * 1.5);
    let (big, small) = futures::join!(
        big,
        send_at_rate(&cluster, "merchant-key", SMALL_ACCOUNT_REQUESTS_PER_SECOND)
    );
    let goodput = big.goodput() + small.goodput();
    println!(
        "peak {peak:.1}/s; at 150%: goodput {goodput:.1}/s, big {}+{} refused, p99 {:?}",
        big.latencies.len(),
        big.refused,
        big.p99()
    );
    println!(
        "small p99 {:?}, unloaded {:?}, refused {}",
        small.p99(),
        unloaded.p99(),
        small.refused
    );
    assert_eq!((big.other, small.other, unloaded.other), (0, 0, 0));
    assert_eq!((unloaded.refused, small.refused), (0, 0));
    assert!(goodput >= 0.9 * peak, "goodput {goodput:.1}/s is below 90% of the peak {peak:.1}/s");
    assert!(small.p99() <= unloaded.p99() * 2, "{:?} against {:?}", small.p99(), unloaded.p99());
}
