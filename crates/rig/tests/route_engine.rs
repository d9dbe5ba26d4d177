//! Behaviour of the engine stand-in: batching, priorities, cache, reports and orders.
//!
//! Tests of routing rely on it; a wrong stand-in would hide faults of the router.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use ntex::client::Client;
use ntex::http::Method;
use ntex::time::{Millis, sleep};
use rig::client;
use rig::engine::{self, Engine, Settings};
use rig::journal::{Journal, Run};
use rig::server::Handle;
use rig::weights::{self, Weights};
use route::report::Report;
use serde_json::{Value, json};

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

struct Bench {
    engine: Handle,
    http: Client,
}

impl Bench {
    async fn open(settings: Settings) -> Self {
        let engine = Engine::open(settings, Journal::default());
        Self { engine: engine::spawn(any_port(), engine).unwrap(), http: client::open(64).await }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.engine.address)
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> T {
        client::json(&self.http, Method::GET, self.url(path), None, &()).await.unwrap()
    }

    async fn chat(&self, body: &Value) -> Value {
        let url = self.url("/v1/chat/completions");
        client::json(&self.http, Method::POST, url, None, body).await.unwrap()
    }

    async fn order(&self, key: Option<&str>, body: &Value) -> Result<Value, client::Error> {
        client::json(&self.http, Method::POST, self.url("/orders"), key, body).await
    }
}

fn request_body(content: &str) -> Value {
    json!({"model": "m", "messages": [{"role": "user", "content": content}]})
}

fn status(result: &Result<Value, client::Error>) -> u16 {
    match result {
        Err(client::Error::Status(status, _)) => *status,
        _ => 200,
    }
}

#[ntex::test]
async fn full_batch_admits_waiting_requests_by_priority() {
    let token_interval = Duration::from_millis(10);
    let bench = Bench::open(Settings { slots: 1, token_interval, ..Settings::default() }).await;
    let mut late = request_body("marker=late");
    late["priority"] = json!(5);
    let mut soon = request_body("marker=soon");
    soon["priority"] = json!(-5);
    let chat_after = async |delay: u64, body: Value| {
        sleep(Millis(u32::try_from(delay).unwrap())).await;
        bench.chat(&body).await;
        Instant::now()
    };
    let first = chat_after(0, request_body("marker=first"));
    let (_, late, soon) = futures::join!(first, chat_after(50, late), chat_after(100, soon));
    assert!(soon < late);
}

#[ntex::test]
async fn token_interval_grows_with_the_batch() {
    let token_interval = Duration::from_millis(20);
    let settings =
        Settings { slots: 8, token_interval, full_batch_slowdown: 3.0, ..Settings::default() };
    let bench = Bench::open(settings).await;
    let started = Instant::now();
    bench.chat(&request_body("tokens=20")).await;
    let alone = started.elapsed();
    let started = Instant::now();
    let body = request_body("tokens=20");
    futures::future::join_all((0..8).map(|_| bench.chat(&body))).await;
    let batch = started.elapsed();
    assert!(batch > alone * 2, "alone {alone:?}, in the batch {batch:?}");
}

#[ntex::test]
async fn cached_prefix_shortens_the_first_token_until_it_is_evicted() {
    let prefill_per_token = Duration::from_micros(500);
    let bench =
        Bench::open(Settings { prefill_per_token, cache_blocks: 10, ..Settings::default() }).await;
    let text = "a".repeat(1_200);
    let other = "b".repeat(1_200);
    let mut times = Vec::new();
    for text in [&text, &text, &other, &text] {
        let started = Instant::now();
        bench.chat(&request_body(&format!("{text} tokens=1"))).await;
        times.push(started.elapsed());
    }
    assert!(times[1] + Duration::from_millis(100) < times[0], "{times:?}");
    assert!(times[3] > times[1] + Duration::from_millis(100), "{times:?}");
    let runs: Vec<Run> = bench.get("/journal").await;
    assert!(runs[0].cached_tokens == 0 && runs[1].cached_tokens > 0);
}

#[ntex::test]
async fn cache_events_lag_and_have_gaps() {
    let event_lag = Duration::from_millis(400);
    let bench = Bench::open(Settings { event_lag, event_loss: 0.5, ..Settings::default() }).await;
    for number in 0..40 {
        bench.chat(&request_body(&format!("{} tokens=1", format!("{number} ").repeat(100)))).await;
    }
    let early: route::cache::Batch = bench.get("/cache-events?after=0").await;
    sleep(Millis(500)).await;
    let late: route::cache::Batch = bench.get("/cache-events?after=0").await;
    assert!(early.events.len() < late.events.len());
    assert!(late.events.len() < 40);
    let last = late.events.last().unwrap().sequence;
    let none: route::cache::Batch = bench.get(&format!("/cache-events?after={last}")).await;
    assert!(none.events.is_empty());
}

#[ntex::test]
async fn load_reports_lag_by_the_set_time() {
    let report_lag = Duration::from_millis(300);
    let token_interval = Duration::from_millis(20);
    let bench =
        Bench::open(Settings { slots: 2, report_lag, token_interval, ..Settings::default() }).await;
    let body = request_body("tokens=50");
    let load = futures::future::join_all((0..4).map(|_| bench.chat(&body)));
    let readings = async {
        sleep(Millis(100)).await;
        let early: Report = bench.get("/load").await;
        sleep(Millis(500)).await;
        let late: Report = bench.get("/load").await;
        (early, late)
    };
    let (_, (early, late)) = futures::join!(load, readings);
    assert_eq!(early.load(), 0);
    assert_eq!((late.running, late.waiting, late.slots), (2, 2, 2));
    assert_eq!(late.age(), report_lag);
    assert!(late.sequence > early.sequence && late.free_kv_tokens < early.free_kv_tokens);
}

#[ntex::test]
async fn closed_stream_cancels_its_run() {
    let token_interval = Duration::from_millis(10);
    let bench = Bench::open(Settings { token_interval, ..Settings::default() }).await;
    let mut body = request_body("tokens=200");
    body["stream"] = json!(true);
    let url = bench.url("/v1/chat/completions");
    let answer = bench.http.post(url).send_json(&body).await.unwrap();
    let mut payload = answer.take_payload();
    payload.recv().await.unwrap().unwrap();
    drop(payload);
    drop(answer);
    sleep(Millis(500)).await;
    let runs: Vec<Run> = bench.get("/journal").await;
    sleep(Millis(300)).await;
    let later: Vec<Run> = bench.get("/journal").await;
    assert!(!runs[0].finished && runs[0].completion_tokens > 0);
    assert_eq!(runs[0].completion_tokens, later[0].completion_tokens);
    let load: Report = bench.get("/load").await;
    assert_eq!(load.load(), 0);
}

#[ntex::test]
async fn each_chunk_has_usage_if_the_request_asks_for_it() {
    let bench = Bench::open(Settings::default()).await;
    let mut body = request_body("tokens=3");
    body["stream"] = json!(true);
    body["stream_options"] = json!({"continuous_usage_stats": true});
    let url = bench.url("/v1/chat/completions");
    let answer = bench.http.post(url).send_json(&body).await.unwrap();
    let text = String::from_utf8(answer.body().await.unwrap().to_vec()).unwrap();
    assert_eq!(text.matches("\"completion_tokens\"").count(), 3);
}

#[test_case::test_case(true, 409; "honoured")]
#[test_case::test_case(false, 200; "ignored")]
#[ntex::test]
async fn old_fencing_number_is(checks_fence: bool, expected: u16) {
    let bench = Bench::open(Settings { checks_fence, ..Settings::default() }).await;
    let order = |fence: u64| json!({"fence": fence, "action": {"role": "prefill"}});
    assert_eq!(status(&bench.order(None, &order(7)).await), 200);
    assert_eq!(status(&bench.order(None, &order(6)).await), expected);
    let load: Report = bench.get("/load").await;
    assert_eq!(load.role, "prefill");
}

#[ntex::test]
async fn orders_need_the_token_and_loads_obey_the_weight_store_limit() {
    let interval = Duration::from_millis(700);
    let store = weights::spawn(any_port(), Weights::open(interval)).unwrap();
    let bench = Bench::open(Settings {
        order_token: Some("secret".into()),
        weight_store: Some(store.address),
        models: vec!["m".into()],
        load_delay: Duration::from_millis(10),
        ..Settings::default()
    })
    .await;
    let load = |model: &str| json!({"fence": 1, "action": {"load": model}});
    assert_eq!(status(&bench.order(None, &load("n")).await), 401);
    assert_eq!(status(&bench.order(Some("secret"), &load("n")).await), 200);
    assert_eq!(status(&bench.order(Some("secret"), &load("o")).await), 429);
    sleep(Millis(800)).await;
    assert_eq!(status(&bench.order(Some("secret"), &load("o")).await), 200);
    let report: Report = bench.get("/load").await;
    assert_eq!(report.models, ["m", "n", "o"]);
}
