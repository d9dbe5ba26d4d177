//! Load generator: threads whose callers send requests at a given average rate.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::thread::{self, JoinHandle};
use std::time::Instant;

use base::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{sleep, sleep_until};

use super::caller::{Callers, Target};
use super::record::Record;
use super::workload::Request;

/// Number of threads that send requests.
const THREAD_COUNT: u32 = 2;
/// Longest wait, after sending ends, for requests in flight; later ones leave no record.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks whether requests or threads have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Load that a generator sends.
#[derive(Debug, Clone)]
pub struct Profile {
    /// Destination of the requests.
    pub target: Target,
    /// Seed of the requests and of the intervals between them.
    pub seed: u64,
    /// Prefix that keeps request names of two generators apart.
    pub name_prefix: &'static str,
    /// Average rate over all threads.
    pub requests_per_second: f64,
    /// Time for which new requests are sent.
    pub duration: Duration,
}

/// Running sender threads.
#[derive(Debug)]
pub struct Generator {
    threads: Vec<JoinHandle<Vec<Record>>>,
}

impl Generator {
    /// Starts the threads, which begin to send at once.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread cannot be started.
    pub fn spawn(profile: &Profile) -> io::Result<Self> {
        let threads = (0..THREAD_COUNT).map(|number| {
            let profile = profile.clone();
            thread::Builder::new().name(format!("callers-{number}")).spawn(move || {
                ntex::rt::System::build()
                    .name("callers")
                    .build(ntex::rt::DefaultRuntime)
                    .block_on(run(profile, number))
            })
        });
        Ok(Self { threads: threads.collect::<io::Result<_>>()? })
    }

    /// Waits until the threads end and returns the records of the requests that ended.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread panicked.
    pub async fn join(self) -> io::Result<Vec<Record>> {
        while self.threads.iter().any(|thread| !thread.is_finished()) {
            sleep(POLL_INTERVAL).await;
        }
        let mut records = Vec::new();
        for thread in self.threads {
            records.extend(thread.join().map_err(|_panic| io::Error::other("thread panicked"))?);
        }
        Ok(records)
    }
}

async fn run(profile: Profile, number: u32) -> Vec<Record> {
    let seed = profile.seed.wrapping_mul(31).wrapping_add(u64::from(number));
    let callers = Rc::new(Callers::open(profile.target, seed).await);
    let mut rng = StdRng::seed_from_u64(seed);
    let records = Rc::new(RefCell::new(Vec::new()));
    let started_at = Instant::now();
    let mut offset = Duration::ZERO;
    let mut sent = 0;
    loop {
        offset += poisson_interval(&mut rng, profile.requests_per_second / f64::from(THREAD_COUNT));
        if offset >= profile.duration {
            break;
        }
        sleep_until((started_at + offset).into()).await;
        sent += 1;
        let request = Request::draw(&mut rng, format!("{}-{number}-{sent}", profile.name_prefix));
        let callers = Rc::clone(&callers);
        let records = Rc::clone(&records);
        ntex::rt::spawn(async move {
            let record = callers.send(request).await;
            records.borrow_mut().push(record);
        });
    }
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    while records.borrow().len() < sent && Instant::now() < deadline {
        sleep(POLL_INTERVAL).await;
    }
    records.take()
}

/// Draws the time to the next arrival of a Poisson process.
fn poisson_interval(rng: &mut StdRng, requests_per_second: f64) -> Duration {
    let uniform: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / requests_per_second)
}
