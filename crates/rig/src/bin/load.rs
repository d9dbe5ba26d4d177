//! Command line of the load and fault experiments.

use std::pin::pin;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use futures::future::{Either, select};
use rig::load::script::Scenario;
use rig::load::{self, Options, scenario};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit code for invalid arguments.
const EXIT_USAGE: u8 = 2;

/// Load and fault experiments against real processes on loopback
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Scenario: steady, partition, router-kill, router-freeze, store-outage, store-slow,
    /// lost-reply, upstream-kill, poison, drain, rolling-stop, config-race, topup-partition, storm
    #[bpaf(argument::<String>("NAME"), parse(parse_scenario))]
    scenario: &'static dyn Scenario,
    /// Seed of all random choices
    #[bpaf(argument("N"))]
    seed: u64,
    /// Seconds for which requests are sent; the default depends on the scenario
    #[bpaf(argument("S"), guard(is_valid_duration, "must be between 1 and 3600"), optional)]
    seconds: Option<u64>,
    /// Number of instances
    #[bpaf(argument("R"), guard(is_valid_router_count, "must be between 1 and 48"), fallback(3))]
    routers: usize,
    /// Print one JSON object as the last line
    json: bool,
}

#[expect(clippy::needless_pass_by_value, reason = "the parser passes an owned string")]
fn parse_scenario(name: String) -> Result<&'static dyn Scenario, String> {
    scenario::find(&name)
        .ok_or_else(|| format!("unknown scenario; known: {}", scenario::names().join(", ")))
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the parser passes references")]
fn is_valid_duration(seconds: &u64) -> bool {
    (1..=3_600).contains(seconds)
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the parser passes references")]
fn is_valid_router_count(routers: &usize) -> bool {
    (1..=48).contains(routers)
}

fn main() -> ExitCode {
    let arguments = match arguments().run_inner(bpaf::Args::current_args()) {
        Ok(arguments) => arguments,
        Err(failure) => {
            failure.print_message(100);
            let wrong = failure.exit_code() != 0;
            return if wrong { ExitCode::from(EXIT_USAGE) } else { ExitCode::SUCCESS };
        }
    };
    ntex::rt::System::build()
        .name("lacewing-load")
        .build(ntex::rt::DefaultRuntime)
        .block_on(run(arguments))
}

async fn run(arguments: Arguments) -> ExitCode {
    let seconds = arguments.seconds.unwrap_or_else(|| arguments.scenario.default_seconds());
    let options = Options {
        scenario: arguments.scenario,
        seed: arguments.seed,
        duration: Duration::from_secs(seconds),
        routers: arguments.routers,
    };
    // On a stop signal the run is dropped, which ends the processes that it started.
    let stop = pin!(daemon::signal::wait_for_stop());
    let report = match select(pin!(load::run(options)), stop).await {
        Either::Left((Ok(report), _)) => report,
        Either::Right(_) => return ExitCode::FAILURE,
        Either::Left((Err(error), _)) => {
            eprintln!("lacewing-load: {error}");
            return ExitCode::FAILURE;
        }
    };
    if arguments.json {
        println!("{}", serde_json::to_string(&report).expect("a report serializes to JSON"));
    } else {
        print!("{}", report.table());
    }
    if report.broken_promises().is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
