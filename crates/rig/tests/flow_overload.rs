//! Goodput and fairness above the capacity of the engines, with separate processes.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use ntex::client::Client;
use rig::client;
use rig::cluster::{Cluster, Shape};
use serde_json::json;
use tokio::time::sleep;

/// Requests a second of the small account.
const SMALL: f64 = 5.0;
/// Time of one measurement.
const PHASE: Duration = Duration::from_secs(6);

#[derive(Debug, Default)]
struct Seen {
    times: Vec<Duration>,
    refused: usize,
    other: usize,
}

impl Seen {
    fn goodput(&self) -> f64 {
        count(self.times.len()) / PHASE.as_secs_f64()
    }

    fn p99(&self) -> Duration {
        let mut times = self.times.clone();
        times.sort();
        times.get(times.len().saturating_sub(1) * 99 / 100).copied().unwrap_or_default()
    }
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap())
}

async fn one(http: Client, url: String, key: &'static str, seen: Rc<RefCell<Seen>>) {
    let body = json!({"model": "model", "max_tokens": 40,
        "messages": [{"role": "user", "content": "tokens=40"}]});
    let since = Instant::now();
    let answer = http.post(url).bearer_auth(key).send_json(&body).await;
    let Ok(answer) = answer else {
        seen.borrow_mut().other += 1;
        return;
    };
    let whole = answer.body().await.is_ok();
    let mut seen = seen.borrow_mut();
    match answer.status().as_u16() {
        200 if whole => seen.times.push(since.elapsed()),
        503 if answer.header("lacewing-outcome").is_some_and(|value| value == "not-run") => {
            seen.refused += 1;
        }
        _ => seen.other += 1,
    }
}

/// Sends requests at a steady rate, whatever becomes of them.
async fn load(cluster: &Cluster, key: &'static str, rate: f64) -> Seen {
    let seen = Rc::new(RefCell::new(Seen::default()));
    let mut sent = Vec::new();
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < PHASE {
        let router = &cluster.routers[number % cluster.routers.len()];
        let url = format!("http://{}/v1/chat/completions", router.address);
        sent.push(ntex::rt::spawn(one(cluster.http.clone(), url, key, Rc::clone(&seen))));
        number += 1;
        let next = Duration::from_secs_f64(count(number) / rate);
        sleep(next.saturating_sub(start.elapsed())).await;
    }
    join_all(sent).await;
    Rc::try_unwrap(seen).unwrap().into_inner()
}

#[ntex::test]
async fn goodput_and_a_small_account_survive_an_overload() {
    let shape =
        Shape { slots: 8, extra_settings: "[limits]\nqueue_ms = 500\n".into(), ..Shape::default() };
    let slots = json!({"slots": 8});
    let intent = json!({"upstreams": {"engine-1": slots, "engine-2": slots}});
    let mut cluster = Cluster::spawn(&shape, &intent).await.unwrap();
    cluster.http = client::open(4_096).await;
    let quiet = load(&cluster, "merchant-key", SMALL).await;
    let mut peak: f64 = 0.0;
    let mut rate = 80.0;
    // The peak is the goodput that grows no more with the rate.
    loop {
        let seen = load(&cluster, "courier-key", rate).await;
        println!(
            "at {rate:.0}/s: goodput {:.1}/s, p99 {:?}, refused {}",
            seen.goodput(),
            seen.p99(),
            seen.refused
        );
        if seen.goodput() < peak * 1.1 {
            peak = peak.max(seen.goodput());
            break;
        }
        peak = seen.goodput();
        rate *= 1.4;
    }
    let big = load(&cluster, "courier-key", peak * 1.5);
    let (big, small) = futures::join!(big, load(&cluster, "merchant-key", SMALL));
    let goodput = big.goodput() + small.goodput();
    println!(
        "peak {peak:.1}/s; at 150%: goodput {goodput:.1}/s, big {}+{} refused, p99 {:?}",
        big.times.len(),
        big.refused,
        big.p99()
    );
    println!("small p99 {:?}, unloaded {:?}, refused {}", small.p99(), quiet.p99(), small.refused);
    assert_eq!((big.other, small.other, quiet.other), (0, 0, 0));
    assert_eq!((quiet.refused, small.refused), (0, 0));
    assert!(goodput >= 0.9 * peak, "goodput fell to {goodput:.1} of {peak:.1}");
    assert!(small.p99() <= quiet.p99() * 2, "{:?} against {:?}", small.p99(), quiet.p99());
}
