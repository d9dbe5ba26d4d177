//! Throughput of one instance compared with a bare pass-through in the same run.

use std::cell::Cell;
use std::fs;
use std::rc::Rc;
use std::thread;
use std::time::Instant;

use base::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use super::caller::{Callers, Target};
use super::report::Throughput;
use super::workload::{self, Request};
use super::{Error, count};
use crate::cluster::{Cluster, Shape, StandIn};

/// Number of threads that send requests.
const THREAD_COUNT: u32 = 3;
/// Number of requests that one thread keeps in flight.
const IN_FLIGHT_PER_THREAD: usize = 170;
/// Duration of each measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(2);
/// Number of measurements per target; the targets alternate, and the results are averaged.
const ROUNDS: u32 = 2;
/// Requests that the budgets cover, more than a run can send.
const BUDGETED_REQUESTS: f64 = 10_000_000.0;
/// Interval between checks whether the sending threads have finished.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Measures requests per second to instant upstreams: direct, by pass-through, by instance.
///
/// # Errors
///
/// Returns an error if a process cannot be started.
pub async fn compare(seed: u64) -> Result<Throughput, Error> {
    let shape = Shape {
        routers: 1,
        engines: 1,
        first_token_delay: Duration::ZERO,
        token_interval: Duration::ZERO,
        service_delay: Duration::ZERO,
        slots: 100_000,
        ..Shape::default()
    };
    let cluster = Cluster::spawn(&shape, &workload::intent(BUDGETED_REQUESTS)).await?;
    cluster.configure(0, &unlimited_slots()).await?;
    let engine = cluster.engines[0].address;
    let service = cluster.services[0].address;
    let args =
        ["pass-through".to_owned(), format!("--engine={engine}"), format!("--service={service}")];
    let pass = StandIn::spawn(&args, cluster.folder(), false, None)?;
    let targets = [
        Target::Direct { engines: vec![engine], service },
        Target::Endpoint(pass.address),
        Target::Endpoint(cluster.routers[0].address),
    ];
    let mut sums = [0.0; 3];
    for round in 0..ROUNDS {
        for (target, sum) in targets.iter().zip(&mut sums) {
            *sum += measure(target, seed + u64::from(round)).await? / f64::from(ROUNDS);
        }
    }
    let [direct_per_s, pass_through_per_s, instance_per_s] = sums.map(f64::round);
    let throughput_ratio = (instance_per_s / pass_through_per_s * 1_000.0).round() / 1_000.0;
    Ok(Throughput { direct_per_s, pass_through_per_s, instance_per_s, throughput_ratio })
}

/// Returns an intent that gives the upstreams enough slots to never queue a request.
fn unlimited_slots() -> serde_json::Value {
    serde_json::json!({"upstreams": {"engine-1": {"slots": 100_000}, "plain-1": {"slots": 100_000}}})
}

/// Returns the requests answered per second.
async fn measure(target: &Target, seed: u64) -> Result<f64, Error> {
    let threads = (0..THREAD_COUNT).map(|number| {
        let target = target.clone();
        thread::Builder::new().spawn(move || {
            ntex::rt::System::build()
                .name("callers")
                .build(ntex::rt::DefaultRuntime)
                .block_on(saturate(target, seed * u64::from(THREAD_COUNT) + u64::from(number)))
        })
    });
    let threads: Vec<_> = threads.collect::<Result<_, _>>().map_err(Error::Thread)?;
    while threads.iter().any(|thread| !thread.is_finished()) {
        sleep(POLL_INTERVAL).await;
    }
    let answered: u32 = threads.into_iter().map(|thread| thread.join().unwrap_or(0)).sum();
    Ok(f64::from(answered) / MEASUREMENT_TIME.as_secs_f64())
}

async fn saturate(target: Target, seed: u64) -> u32 {
    let callers = Rc::new(Callers::open(target, seed).await);
    let answered = Rc::new(Cell::new(0));
    let deadline = Instant::now() + MEASUREMENT_TIME;
    let loops = (0..IN_FLIGHT_PER_THREAD).map(|lane| {
        let callers = Rc::clone(&callers);
        let answered = Rc::clone(&answered);
        async move {
            let mut rng = StdRng::seed_from_u64(seed ^ ((lane as u64) << 32));
            let mut sent = 0;
            while Instant::now() < deadline {
                sent += 1;
                let name = format!("{}-{seed}-{lane}-{sent}", count::DIRECT_PREFIX);
                let record = callers.send(Request::draw(&mut rng, name)).await;
                if record.is_answered() && Instant::now() < deadline {
                    answered.set(answered.get() + 1);
                }
            }
        }
    });
    futures::future::join_all(loops).await;
    answered.get()
}

/// Returns the resident memory of a process in kilobytes, 0 if it cannot be read.
#[must_use]
pub fn resident_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}
