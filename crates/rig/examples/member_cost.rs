//! Measures the traffic, processor time and memory of an idle instance.
//!
//! `member_cost [SIZE...]` prints one line per fleet size; build the programs first.

use std::fs;
use std::time::Duration;

use rig::cluster::{Cluster, Shape};
use serde_json::Value;
use tokio::time::sleep;

/// Wait before the measurement, until the membership is stable.
const SETTLE_TIME: Duration = Duration::from_secs(25);
/// Duration of the measurement of each fleet size.
const MEASURE_TIME: Duration = Duration::from_secs(10);
/// Clock ticks per second of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    sent_bytes: f64,
    calls: f64,
    cpu_seconds: f64,
    resident_kb: f64,
}

fn metric(page: &str, name: &str) -> f64 {
    let line = page.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or_default()
}

async fn measure(cluster: &Cluster) -> Sample {
    let mut sum = Sample::default();
    for router in &cluster.routers {
        let url = format!("http://{}/metrics", router.address);
        let answer = cluster.http.get(url).send().await.expect("the instance answers");
        let page = answer.body().await.expect("the metrics page arrives");
        let page = String::from_utf8_lossy(&page).into_owned();
        sum.sent_bytes += metric(&page, "lacewing_peer_sent_bytes_total");
        sum.calls += metric(&page, "lacewing_peer_calls_total");
        let process = format!("/proc/{}", router.process.id());
        let stat = fs::read_to_string(format!("{process}/stat")).unwrap_or_default();
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks: f64 = fields[11..=12].iter().filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
        sum.cpu_seconds += ticks / TICKS_PER_SECOND;
        let status = fs::read_to_string(format!("{process}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
        let kilobytes = line.split_whitespace().nth(1).and_then(|size| size.parse().ok());
        sum.resident_kb += kilobytes.unwrap_or(0.0_f64);
    }
    sum
}

#[ntex::main]
async fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|size| size.parse().ok()).collect();
    println!("instances  sent B/s  calls/s  core %  memory MB");
    for size in sizes {
        let shape = Shape { routers: size, engines: 1, ..Shape::default() };
        let cluster = Cluster::spawn(&shape, &Value::Null).await.expect("the cluster starts");
        sleep(SETTLE_TIME).await;
        let before = measure(&cluster).await;
        sleep(MEASURE_TIME).await;
        let after = measure(&cluster).await;
        #[expect(clippy::cast_precision_loss, reason = "a fleet has few instances")]
        let instance_seconds = size as f64 * MEASURE_TIME.as_secs_f64();
        let per_second = |a: f64, b: f64| (a - b) / instance_seconds;
        println!(
            "{size:>9}  {:>8.0}  {:>7.1}  {:>6.2}  {:>9.1}",
            per_second(after.sent_bytes, before.sent_bytes),
            per_second(after.calls, before.calls),
            100.0 * per_second(after.cpu_seconds, before.cpu_seconds),
            after.resident_kb * MEASURE_TIME.as_secs_f64() / instance_seconds / 1024.0,
        );
    }
}
