//! Load and fault experiments against real processes, checked against the system's promises.
//!
//! A run starts stand-ins and instances on loopback. Callers send requests drawn from a seed
//! while a [`script::Scenario`] injects faults. Then all faults end, the budgets settle, the
//! instances stop and the promises are checked. The upstreams' journals say what ran, the commits
//! that the platform stand-in applied say what was billed, and the callers record their answers.
//! The counted fields are defined in `docs/design/experiments.md`.

pub mod attempt;
pub mod budgets;
pub mod caller;
pub mod count;
pub mod events;
pub mod generator;
pub mod harness;
pub mod operators;
pub mod record;
pub mod report;
pub mod scenario;
pub mod script;
pub mod throughput;
pub mod times;
pub mod workload;

use std::io;
use std::net::SocketAddr;

use base::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use thiserror::Error;

use self::caller::Target;
use self::count::Evidence;
use self::generator::{Generator, Profile};
use self::harness::Harness;
use self::record::Record;
use self::report::Report;
use self::script::{Scenario, Size};
use crate::cluster::{self, Cluster, Shape};

/// Number of engines that a run starts.
const ENGINE_COUNT: usize = 3;
/// Rate of direct requests during faults, as a fraction of the scenario's rate.
const DIRECT_LOAD_FRACTION: f64 = 0.2;
/// Limit of the direct measurement that precedes a run without faults.
const MAX_DIRECT_TIME: Duration = Duration::from_secs(5);
/// Settings under which leases expire within a short run.
const SHORT_LEASE_SETTINGS: &str = "[ledger]\nlease_ms = 3000\npause_ms = 1000\nidle_ms = 2000\n";

/// Failure of the experiment itself, not of the system under test.
#[derive(Debug, Error)]
pub enum Error {
    /// A process failed or could not be reached without a fault of the scenario.
    #[error(transparent)]
    Cluster(#[from] cluster::Error),
    /// A thread of callers could not be started or panicked.
    #[error("cannot run the callers: {0}")]
    Thread(#[source] io::Error),
    /// A process could not be started or its state could not be read.
    #[error("cannot start or inspect a process: {0}")]
    Process(#[from] io::Error),
}

/// Parameters of a run, as the command line sets them.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Faults to inject and the rate of the requests.
    pub scenario: &'static dyn Scenario,
    /// Seed of all random choices; the same seed draws the same faults and requests.
    pub seed: u64,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Number of instances to start.
    pub routers: usize,
}

impl Options {
    fn shape(&self) -> Shape {
        Shape {
            routers: self.routers,
            engines: ENGINE_COUNT,
            extra_settings: if self.is_steady() {
                String::new()
            } else {
                SHORT_LEASE_SETTINGS.into()
            },
            journal_files: !self.is_steady(),
            proxies: !self.is_steady(),
            ..Shape::default()
        }
    }

    /// Returns true for the scenario without faults, which runs without proxies.
    fn is_steady(&self) -> bool {
        self.scenario.name() == "steady"
    }

    fn profile(
        &self,
        target: Target,
        name_prefix: &'static str,
        requests_per_second: f64,
    ) -> Profile {
        Profile {
            target,
            seed: self.seed,
            name_prefix,
            requests_per_second,
            duration: self.duration,
        }
    }
}

/// Runs one experiment and returns its report.
///
/// # Errors
///
/// Returns an error if the system cannot be started or its state cannot be read.
pub async fn run(options: Options) -> Result<Report, Error> {
    let requests_per_second = options.scenario.requests_per_second();
    let intent = workload::intent(requests_per_second * options.duration.as_secs_f64());
    let cluster = Cluster::spawn(&options.shape(), &intent).await?;
    let mut harness = Harness::open(cluster).await?;
    let idle_rss_kb = max_resident_kb(&harness.cluster);
    let (records, direct) = if options.is_steady() {
        run_steady(options, &mut harness, requests_per_second).await?
    } else {
        run_with_faults(options, &mut harness, requests_per_second).await?
    };
    harness.end_faults().await?;
    harness.finish().await?;
    let times = times::measure(&records, &direct, options.duration);
    let store_commits = harness.cluster.counts().await?.commits;
    let mut tally = count::count(&collect_evidence(records, &harness).await?);
    tally.held_after = harness.cluster.budgets().await?.iter().map(|row| row.held).sum();
    drop(harness);
    let throughput =
        if options.is_steady() { Some(throughput::compare(options.seed).await?) } else { None };
    let scenario = options.scenario.name().to_owned();
    let seed = options.seed;
    Ok(Report { scenario, seed, tally, times, throughput, idle_rss_kb, store_commits })
}

async fn collect_evidence(records: Vec<Record>, harness: &Harness) -> Result<Evidence, Error> {
    Ok(Evidence {
        records,
        runs: harness.cluster.journal().await?,
        history: harness.cluster.history().await?,
        events: harness.events.clone(),
    })
}

fn max_resident_kb(cluster: &Cluster) -> u64 {
    let resident =
        cluster.routers.iter().map(|router| throughput::resident_kb(router.process.id()));
    resident.max().unwrap_or_default()
}

fn direct_target(cluster: &Cluster) -> Target {
    Target::Direct {
        engines: cluster.engines.iter().map(|engine| engine.address).collect(),
        service: cluster.services[0].address,
    }
}

fn fleet_target(cluster: &Cluster) -> Target {
    let addresses: Vec<SocketAddr> = cluster.routers.iter().map(|router| router.address).collect();
    Target::Fleet(addresses)
}

/// Records of the requests to the instances, then of the direct requests.
type Records = (Vec<Record>, Vec<Record>);

/// Sends the load to the upstreams directly, then to the instances.
async fn run_steady(
    options: Options,
    harness: &mut Harness,
    requests_per_second: f64,
) -> Result<Records, Error> {
    let mut profile =
        options.profile(direct_target(&harness.cluster), count::DIRECT_PREFIX, requests_per_second);
    profile.duration = profile.duration.min(MAX_DIRECT_TIME);
    let direct = spawn_generator(&profile)?.join().await.map_err(Error::Thread)?;
    let generator = spawn_generator(&options.profile(
        fleet_target(&harness.cluster),
        "r",
        requests_per_second,
    ))?;
    harness.run_script(Vec::new(), options.duration).await?;
    Ok((generator.join().await.map_err(Error::Thread)?, direct))
}

/// Sends load during faults, most to the instances and a fraction directly to the upstreams.
async fn run_with_faults(
    options: Options,
    harness: &mut Harness,
    requests_per_second: f64,
) -> Result<Records, Error> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let size = Size { routers: options.routers, engines: ENGINE_COUNT };
    let script = options.scenario.script(size, &mut rng);
    let generator = spawn_generator(&options.profile(
        fleet_target(&harness.cluster),
        "r",
        requests_per_second,
    ))?;
    let direct = spawn_generator(&options.profile(
        direct_target(&harness.cluster),
        count::DIRECT_PREFIX,
        requests_per_second * DIRECT_LOAD_FRACTION,
    ))?;
    harness.run_script(script, options.duration).await?;
    let records = generator.join().await.map_err(Error::Thread)?;
    Ok((records, direct.join().await.map_err(Error::Thread)?))
}

fn spawn_generator(profile: &Profile) -> Result<Generator, Error> {
    Generator::spawn(profile).map_err(Error::Thread)
}
