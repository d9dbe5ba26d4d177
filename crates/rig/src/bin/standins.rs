//! Runs one stand-in of the platform or of an upstream per process.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use rig::engine::{self, Engine};
use rig::journal::Journal;
use rig::pass_through::{self, Targets};
use rig::platform::{self, Platform};
use rig::server::Handle;
use rig::service::{self, Service};
use rig::weights::{self, Weights};
use serde_json::json;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Stand-ins of the platform and of upstreams, for tests
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Table, object store and instance list
    #[bpaf(command)]
    Platform {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
    },
    /// Model engine with the published chat format
    #[bpaf(command)]
    Engine {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// New file to which the journal is also written
        #[bpaf(argument("FILE"), optional)]
        journal: Option<PathBuf>,
        #[bpaf(external(engine_args))]
        args: EngineArgs,
    },
    /// Weight store that limits the rate of fetches
    #[bpaf(command)]
    Weights {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// Least time between two fetches, in milliseconds
        #[bpaf(argument("MS"), fallback(1_000))]
        interval_ms: u64,
    },
    /// Reverse proxy without checks, the baseline for throughput
    #[bpaf(command("pass-through"))]
    PassThrough {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// Address of the engine
        #[bpaf(argument("IP:PORT"))]
        engine: SocketAddr,
        /// Address of the plain service
        #[bpaf(argument("IP:PORT"))]
        service: SocketAddr,
        /// Number of threads that serve requests
        #[bpaf(argument("N"), fallback(2))]
        workers: usize,
    },
    /// Plain service: an upstream without a model
    #[bpaf(command)]
    Service {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// Name of the upstream in the journal
        #[bpaf(argument("NAME"), fallback("plain-1".to_owned()))]
        name: String,
        /// Time that a call takes, in milliseconds
        #[bpaf(argument("MS"), fallback(5))]
        time_ms: u64,
        /// New file to which the journal is also written
        #[bpaf(argument("FILE"), optional)]
        journal: Option<PathBuf>,
    },
}

/// Speed, capacity and faults of the engine
#[derive(Debug, Clone, Bpaf)]
struct EngineArgs {
    /// Name of the upstream in the journal
    #[bpaf(argument("NAME"), fallback("engine-1".to_owned()))]
    name: String,
    /// Time to the first token of an empty prompt, in milliseconds
    #[bpaf(argument("MS"), fallback(20))]
    first_ms: u64,
    /// Time that each uncached prompt token adds to the first token, in microseconds
    #[bpaf(argument("US"), fallback(0))]
    prefill_us: u64,
    /// Time between two tokens of a request that runs alone, in milliseconds
    #[bpaf(argument("MS"), fallback(2))]
    token_ms: u64,
    /// Relative growth of the token interval in a full batch; 1 about doubles it
    #[bpaf(argument("SHARE"), fallback(0.0))]
    growth: f64,
    /// Most requests that run at once; others wait
    #[bpaf(argument("N"), fallback(64))]
    slots: u32,
    /// Size of the key-value memory in tokens, for load reports
    #[bpaf(argument("TOKENS"), fallback(1 << 20))]
    kv_tokens: u64,
    /// Most blocks in the prefix cache
    #[bpaf(argument("N"), fallback(1_024))]
    cache_blocks: usize,
    /// Time after which a cache event is visible, in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    event_lag_ms: u64,
    /// Share of cache events that are lost, from 0 to 1
    #[bpaf(argument("SHARE"), fallback(0.0))]
    event_loss: f64,
    /// Time after which a load report is visible, in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    report_lag_ms: u64,
    /// End the process at a prompt with the word poison
    crashes: bool,
    /// Refuse orders with an old fencing number
    fenced: bool,
    /// Bearer token that orders must carry; without it they need none
    #[bpaf(argument("TOKEN"))]
    token: Option<String>,
    /// Model that is loaded at the start, repeatable; without one the engine serves any
    #[bpaf(argument("MODEL"))]
    model: Vec<String>,
    /// Address of the weight store; models load without one if it is not given
    #[bpaf(argument("IP:PORT"))]
    weights: Option<SocketAddr>,
    /// Time to load a model, in milliseconds
    #[bpaf(argument("MS"), fallback(200))]
    load_ms: u64,
}

impl EngineArgs {
    fn settings(self) -> engine::Settings {
        engine::Settings {
            name: self.name,
            first_token_delay: Duration::from_millis(self.first_ms),
            prefill_per_token: Duration::from_micros(self.prefill_us),
            token_interval: Duration::from_millis(self.token_ms),
            full_batch_slowdown: self.growth,
            slots: self.slots,
            kv_tokens: self.kv_tokens,
            cache_blocks: self.cache_blocks,
            event_lag: Duration::from_millis(self.event_lag_ms),
            event_loss: self.event_loss,
            report_lag: Duration::from_millis(self.report_lag_ms),
            crashes_on_poison: self.crashes,
            checks_fence: self.fenced,
            order_token: self.token,
            models: self.model,
            weight_store: self.weights,
            load_delay: Duration::from_millis(self.load_ms),
        }
    }
}

fn main() -> ExitCode {
    let command = command().run();
    ntex::rt::System::build()
        .name("lacewing-standins")
        .build(ntex::rt::DefaultRuntime)
        .block_on(run(command))
}

fn spawn(command: Command) -> io::Result<Handle> {
    match command {
        Command::Platform { listen } => platform::spawn(listen, Platform::default()),
        Command::Engine { listen, journal, args } => {
            engine::spawn(listen, Engine::open(args.settings(), open_journal(journal)?))
        }
        Command::Weights { listen, interval_ms } => {
            weights::spawn(listen, Weights::open(Duration::from_millis(interval_ms)))
        }
        Command::PassThrough { listen, engine, service, workers } => {
            pass_through::spawn(listen, workers, Targets { engine, service })
        }
        Command::Service { listen, name, time_ms, journal } => {
            let answer_delay = Duration::from_millis(time_ms);
            service::spawn(listen, Service::open(&name, answer_delay, open_journal(journal)?))
        }
    }
}

fn open_journal(path: Option<PathBuf>) -> io::Result<Journal> {
    path.map_or_else(|| Ok(Journal::default()), |path| Journal::open(&path))
}

async fn run(command: Command) -> ExitCode {
    match spawn(command) {
        Ok(handle) => {
            println!("{}", json!({"address": handle.address}));
            let stopped = daemon::signal::wait_for_stop().await;
            handle.stop().await;
            if stopped.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("lacewing-standins: {error}");
            ExitCode::FAILURE
        }
    }
}
