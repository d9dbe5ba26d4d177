//! Load with faults against a whole system of processes, and the count of what it promised.
//!
//! A run starts stand-ins and instances on loopback, lets callers send what a seed draws while a
//! [`script::Scenario`] does its harm, ends all faults, waits until nothing moves any more, stops
//! all instances and counts. What ran comes from the upstreams' own journals, what was billed
//! from the commits that the platform stand-in applied, what callers got from the callers. The
//! definitions of the counted fields are in `docs/design/experiments.md`.

pub mod attempt;
pub mod caller;
pub mod compare;
pub mod count;
pub mod crowd;
pub mod events;
pub mod mix;
pub mod money;
pub mod race;
pub mod record;
pub mod report;
pub mod scenario;
pub mod script;
pub mod stage;
pub mod times;

use std::io;
use std::net::SocketAddr;

use base::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use thiserror::Error;

use self::caller::Way;
use self::count::Evidence;
use self::crowd::{Crowd, Plan};
use self::record::Record;
use self::report::Report;
use self::script::{Scenario, Size};
use self::stage::Stage;
use crate::cluster::{self, Cluster, Shape};

/// Engines of a run.
const ENGINES: usize = 3;
/// Part of the rate at which the upstreams are asked directly during a run with faults.
const PROBES: f64 = 0.2;
/// Longest time for direct requests before a run without faults.
const DIRECT_TIME: Duration = Duration::from_secs(5);
/// Settings that let leases lapse within a short run.
const SHORT_LEASES: &str = "[ledger]\nlease_ms = 3000\npause_ms = 1000\nidle_ms = 2000\n";

/// Why a run could not be made.
#[derive(Debug, Error)]
pub enum Error {
    /// A part of the system failed outside of what a scenario does.
    #[error(transparent)]
    Cluster(#[from] cluster::Error),
    /// A thread of callers could not be started or ended early.
    #[error("cannot send: {0}")]
    Thread(#[source] io::Error),
    /// A process could not be looked at.
    #[error("cannot look at a process: {0}")]
    Process(#[from] io::Error),
}

/// What to run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Scenario.
    pub scenario: &'static dyn Scenario,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Time for which requests are sent.
    pub time: Duration,
    /// Instances.
    pub routers: usize,
}

impl Options {
    fn shape(&self) -> Shape {
        Shape {
            routers: self.routers,
            engines: ENGINES,
            extra_settings: if self.is_calm() { String::new() } else { SHORT_LEASES.into() },
            journal_files: !self.is_calm(),
            proxies: !self.is_calm(),
            ..Shape::default()
        }
    }

    /// Returns true for the run without faults, which measures the system without proxies.
    fn is_calm(&self) -> bool {
        self.scenario.name() == "steady"
    }

    fn plan(&self, way: Way, prefix: &'static str, rate: f64) -> Plan {
        Plan { way, seed: self.seed, prefix, rate, time: self.time }
    }
}

/// Runs an experiment.
///
/// # Errors
///
/// Returns an error if the system could not be started or looked at.
pub async fn run(options: Options) -> Result<Report, Error> {
    let rate = options.scenario.rate();
    let intent = mix::intent(rate * options.time.as_secs_f64());
    let cluster = Cluster::spawn(&options.shape(), &intent).await?;
    let mut stage = Stage::open(cluster).await?;
    let idle_rss_kb = idle(&stage.cluster);
    let (records, direct) = if options.is_calm() {
        calm(options, &mut stage, rate).await?
    } else {
        faulty(options, &mut stage, rate).await?
    };
    stage.heal().await?;
    stage.settle().await?;
    let times = times::measure(&records, &direct, options.time);
    let store_commits = stage.cluster.counts().await?.commits;
    let mut tally = count::count(&evidence(records, &stage).await?);
    tally.held_after = stage.cluster.budgets().await?.iter().map(|row| row.held).sum();
    drop(stage);
    let ratio = if options.is_calm() { Some(compare::run(options.seed).await?) } else { None };
    let scenario = options.scenario.name().to_owned();
    let seed = options.seed;
    Ok(Report { scenario, seed, tally, times, ratio, idle_rss_kb, store_commits })
}

async fn evidence(records: Vec<Record>, stage: &Stage) -> Result<Evidence, Error> {
    Ok(Evidence {
        records,
        runs: stage.cluster.journal().await?,
        history: stage.cluster.history().await?,
        events: stage.events.clone(),
    })
}

fn idle(cluster: &Cluster) -> u64 {
    let resident = cluster.routers.iter().map(|one| compare::resident_kb(one.process.id()));
    resident.max().unwrap_or_default()
}

fn direct_way(cluster: &Cluster) -> Way {
    Way::Direct {
        engines: cluster.engines.iter().map(|engine| engine.address).collect(),
        service: cluster.services[0].address,
    }
}

fn fleet_way(cluster: &Cluster) -> Way {
    let addresses: Vec<SocketAddr> = cluster.routers.iter().map(|one| one.address).collect();
    Way::Fleet(addresses)
}

type Records = (Vec<Record>, Vec<Record>);

/// Sends the same load first straight to the upstreams and then to the instances.
async fn calm(options: Options, stage: &mut Stage, rate: f64) -> Result<Records, Error> {
    let mut plan = options.plan(direct_way(&stage.cluster), count::DIRECT, rate);
    plan.time = plan.time.min(DIRECT_TIME);
    let direct = spawn(&plan)?.join().await.map_err(Error::Thread)?;
    let crowd = spawn(&options.plan(fleet_way(&stage.cluster), "r", rate))?;
    stage.perform(Vec::new(), options.time).await?;
    Ok((crowd.join().await.map_err(Error::Thread)?, direct))
}

/// Sends load to the instances, and a little straight to the upstreams, while things fail.
async fn faulty(options: Options, stage: &mut Stage, rate: f64) -> Result<Records, Error> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let size = Size { routers: options.routers, engines: ENGINES };
    let script = options.scenario.script(size, &mut rng);
    let crowd = spawn(&options.plan(fleet_way(&stage.cluster), "r", rate))?;
    let probes = spawn(&options.plan(direct_way(&stage.cluster), count::DIRECT, rate * PROBES))?;
    stage.perform(script, options.time).await?;
    let records = crowd.join().await.map_err(Error::Thread)?;
    Ok((records, probes.join().await.map_err(Error::Thread)?))
}

fn spawn(plan: &Plan) -> Result<Crowd, Error> {
    Crowd::spawn(plan).map_err(Error::Thread)
}
