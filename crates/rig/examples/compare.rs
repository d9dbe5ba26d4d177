//! Compares balancing policies, all at the same time.
//!
//! `compare [SEED [SECONDS [LOAD...]]]` prints a table; build the programs first.

use std::process::ExitCode;
use std::time::Duration;

use rig::cluster::Error;
use rig::policy_comparison::{POLICIES, Score, Trial};

/// Loads to run if the command names none; 1 is the full capacity.
const LOADS: [f64; 3] = [0.5, 0.8, 0.95];

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1).map(|text| text.parse::<f64>().ok());
    let seed = args.next().flatten().map_or(1, f64::to_bits);
    let seconds = args.next().flatten().unwrap_or(15.0);
    let mut loads: Vec<f64> = args.flatten().collect();
    if loads.is_empty() {
        loads = LOADS.to_vec();
    }
    println!(
        "{:>5}  {:<13} {:>6} {:>6} {:>9} {:>9} {:>6} {:>6}",
        "load", "rule", "n", "failed", "p50 ms", "p99 ms", "hits", "slow"
    );
    for load in loads {
        let duration = Duration::from_secs_f64(seconds);
        let trial = Trial { seed, load, duration, ..Trial::default() };
        for score in run_all(&trial) {
            match score {
                Ok(score) => print_score(&score),
                Err(error) => {
                    eprintln!("compare: {error}");
                    return ExitCode::FAILURE;
                }
            }
        }
    }
    ExitCode::SUCCESS
}

/// Runs all policies at the same time, each with its own thread and engines.
fn run_all(trial: &Trial) -> Vec<Result<Score, Error>> {
    let threads = POLICIES.map(|(name, policy)| {
        let trial = trial.clone();
        std::thread::spawn(move || {
            let system = ntex::rt::System::build().name(name).build(ntex::rt::DefaultRuntime);
            system.block_on(async move { trial.run(name, policy).await })
        })
    });
    threads.map(|thread| thread.join().expect("a trial runs without a panic")).into()
}

fn print_score(score: &Score) {
    println!(
        "{:>5.2}  {:<13} {:>6} {:>6} {:>9.0} {:>9.0} {:>6.3} {:>6.3}",
        score.share,
        score.rule,
        score.requests,
        score.failed,
        score.ttft_ms_p50,
        score.ttft_ms_p99,
        score.hit_rate,
        score.slow_share,
    );
}
