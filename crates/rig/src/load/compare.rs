//! Throughput of one instance against a bare pass-through, in the same run.

use std::cell::Cell;
use std::fs;
use std::rc::Rc;
use std::thread;
use std::time::Instant;

use base::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use super::caller::{Callers, Way};
use super::mix::{self, Ask};
use super::report::Ratio;
use super::{Error, count};
use crate::cluster::{Cluster, Shape, StandIn};

/// Threads that send.
const THREADS: u32 = 3;
/// Requests in flight of one thread.
const IN_FLIGHT: usize = 170;
/// Time of each measurement.
const TIME: Duration = Duration::from_secs(2);
/// Measurements of each way, taken in turn.
const ROUNDS: u32 = 2;
/// Requests for which budgets must last.
const REQUESTS: f64 = 10_000_000.0;
/// Interval at which the end of a measurement is looked for.
const TICK: Duration = Duration::from_millis(20);

/// Measures the throughput of upstreams that take no time, straight and through both programs.
///
/// # Errors
///
/// Returns an error if a process cannot be started.
pub async fn run(seed: u64) -> Result<Ratio, Error> {
    let shape = Shape {
        routers: 1,
        engines: 1,
        first_token_delay: Duration::ZERO,
        token_interval: Duration::ZERO,
        service_delay: Duration::ZERO,
        slots: 100_000,
        ..Shape::default()
    };
    let cluster = Cluster::spawn(&shape, &mix::intent(REQUESTS)).await?;
    cluster.configure(0, &slots()).await?;
    let engine = cluster.engines[0].address;
    let service = cluster.services[0].address;
    let args =
        ["pass-through".to_owned(), format!("--engine={engine}"), format!("--service={service}")];
    let pass = StandIn::spawn(&args, cluster.folder(), false, None)?;
    let ways = [
        Way::Direct { engines: vec![engine], service },
        Way::Through(pass.address),
        Way::Through(cluster.routers[0].address),
    ];
    let mut sums = [0.0; 3];
    for round in 0..ROUNDS {
        for (way, sum) in ways.iter().zip(&mut sums) {
            *sum += measure(way, seed + u64::from(round)).await? / f64::from(ROUNDS);
        }
    }
    let [direct_per_s, pass_through_per_s, instance_per_s] = sums.map(f64::round);
    let throughput_ratio = (instance_per_s / pass_through_per_s * 1_000.0).round() / 1_000.0;
    Ok(Ratio { direct_per_s, pass_through_per_s, instance_per_s, throughput_ratio })
}

/// Lets the upstreams take whatever comes.
fn slots() -> serde_json::Value {
    serde_json::json!({"upstreams": {"engine-1": {"slots": 100_000}, "plain-1": {"slots": 100_000}}})
}

/// Returns the requests answered in a second.
async fn measure(way: &Way, seed: u64) -> Result<f64, Error> {
    let threads = (0..THREADS).map(|number| {
        let way = way.clone();
        thread::Builder::new().spawn(move || {
            ntex::rt::System::build()
                .name("callers")
                .build(ntex::rt::DefaultRuntime)
                .block_on(flood(way, seed * u64::from(THREADS) + u64::from(number)))
        })
    });
    let threads: Vec<_> = threads.collect::<Result<_, _>>().map_err(Error::Thread)?;
    while threads.iter().any(|thread| !thread.is_finished()) {
        sleep(TICK).await;
    }
    let answered: u32 = threads.into_iter().map(|thread| thread.join().unwrap_or(0)).sum();
    Ok(f64::from(answered) / TIME.as_secs_f64())
}

async fn flood(way: Way, seed: u64) -> u32 {
    let callers = Rc::new(Callers::open(way, seed).await);
    let answered = Rc::new(Cell::new(0));
    let end = Instant::now() + TIME;
    let loops = (0..IN_FLIGHT).map(|lane| {
        let callers = Rc::clone(&callers);
        let answered = Rc::clone(&answered);
        async move {
            let mut rng = StdRng::seed_from_u64(seed ^ ((lane as u64) << 32));
            let mut sent = 0;
            while Instant::now() < end {
                sent += 1;
                let name = format!("{}-{seed}-{lane}-{sent}", count::DIRECT);
                let record = callers.send(Ask::draw(&mut rng, name)).await;
                if record.is_answered() && Instant::now() < end {
                    answered.set(answered.get() + 1);
                }
            }
        }
    });
    futures::future::join_all(loops).await;
    answered.get()
}

/// Returns the resident memory of a process, in kilobytes.
#[must_use]
pub fn resident_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}
