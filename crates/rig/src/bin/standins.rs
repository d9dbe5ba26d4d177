//! Stand-ins of the platform and of upstreams, each as a process of its own.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use rig::engine::{self, Engine};
use rig::journal::Journal;
use rig::pass::{self, Targets};
use rig::plain::{self, Plain};
use rig::platform::{self, Platform};
use rig::serve::Handle;
use rig::weights::{self, Weights};
use serde_json::json;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Stand-ins for tests and trials
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
    /// Model engine
    #[bpaf(command)]
    Engine {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// New file to which the journal is written through
        #[bpaf(argument("FILE"), optional)]
        journal: Option<PathBuf>,
        #[bpaf(external(engine_args))]
        args: EngineArgs,
    },
    /// Rate-limited weight store
    #[bpaf(command)]
    Weights {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// Time between two fetches in milliseconds
        #[bpaf(argument("MS"), fallback(1_000))]
        interval_ms: u64,
    },
    /// Bare pass-through for comparisons
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
        /// Threads
        #[bpaf(argument("N"), fallback(2))]
        workers: usize,
    },
    /// Plain service
    #[bpaf(command)]
    Service {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// Name in the journal
        #[bpaf(argument("NAME"), fallback("plain-1".to_owned()))]
        name: String,
        /// Time of a call in milliseconds
        #[bpaf(argument("MS"), fallback(5))]
        time_ms: u64,
        /// New file to which the journal is written through
        #[bpaf(argument("FILE"), optional)]
        journal: Option<PathBuf>,
    },
}

/// How the engine behaves
#[derive(Debug, Clone, Bpaf)]
struct EngineArgs {
    /// Name in the journal
    #[bpaf(argument("NAME"), fallback("engine-1".to_owned()))]
    name: String,
    /// Time to the first token in milliseconds, without the prompt's share
    #[bpaf(argument("MS"), fallback(20))]
    first_ms: u64,
    /// Time for each token of the prompt that is not cached, in microseconds
    #[bpaf(argument("US"), fallback(0))]
    prefill_us: u64,
    /// Time between tokens in milliseconds
    #[bpaf(argument("MS"), fallback(2))]
    token_ms: u64,
    /// Share by which the time between tokens grows up to a full batch
    #[bpaf(argument("SHARE"), fallback(0.0))]
    growth: f64,
    /// Requests that run at once
    #[bpaf(argument("N"), fallback(64))]
    slots: u32,
    /// Tokens of key-value memory
    #[bpaf(argument("TOKENS"), fallback(1 << 20))]
    kv_tokens: u64,
    /// Blocks that the prefix cache holds
    #[bpaf(argument("N"), fallback(1_024))]
    cache_blocks: usize,
    /// Time by which cache events lag, in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    event_lag_ms: u64,
    /// Share of cache events that are lost
    #[bpaf(argument("SHARE"), fallback(0.0))]
    event_loss: f64,
    /// Time by which load reports lag, in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    report_lag_ms: u64,
    /// Let a marked prompt end the process
    crashes: bool,
    /// Refuse orders with an old fencing number
    fenced: bool,
    /// Token that orders must carry
    #[bpaf(argument("TOKEN"))]
    token: Option<String>,
    /// Model that is loaded at the start; none given means any
    #[bpaf(argument("MODEL"))]
    model: Vec<String>,
    /// Weight store from which models are loaded
    #[bpaf(argument("IP:PORT"))]
    weights: Option<SocketAddr>,
    /// Time that loading a model takes, in milliseconds
    #[bpaf(argument("MS"), fallback(200))]
    load_ms: u64,
}

impl EngineArgs {
    fn settings(self) -> engine::Settings {
        engine::Settings {
            name: self.name,
            first: Duration::from_millis(self.first_ms),
            prefill: Duration::from_micros(self.prefill_us),
            token: Duration::from_millis(self.token_ms),
            growth: self.growth,
            slots: self.slots,
            kv_tokens: self.kv_tokens,
            cache_blocks: self.cache_blocks,
            event_lag: Duration::from_millis(self.event_lag_ms),
            event_loss: self.event_loss,
            report_lag: Duration::from_millis(self.report_lag_ms),
            crashes: self.crashes,
            fenced: self.fenced,
            token_for_orders: self.token,
            models: self.model,
            weights: self.weights,
            load: Duration::from_millis(self.load_ms),
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

fn start(command: Command) -> io::Result<Handle> {
    match command {
        Command::Platform { listen } => platform::spawn(listen, Platform::default()),
        Command::Engine { listen, journal, args } => {
            engine::spawn(listen, Engine::open(args.settings(), open(journal)?))
        }
        Command::Weights { listen, interval_ms } => {
            weights::spawn(listen, Weights::open(Duration::from_millis(interval_ms)))
        }
        Command::PassThrough { listen, engine, service, workers } => {
            pass::spawn(listen, workers, Targets { engine, service })
        }
        Command::Service { listen, name, time_ms, journal } => {
            let time = Duration::from_millis(time_ms);
            plain::spawn(listen, Plain::open(&name, time, open(journal)?))
        }
    }
}

fn open(path: Option<PathBuf>) -> io::Result<Journal> {
    path.map_or_else(|| Ok(Journal::default()), |path| Journal::open(&path))
}

async fn run(command: Command) -> ExitCode {
    match start(command) {
        Ok(handle) => {
            println!("{}", json!({"address": handle.address}));
            let waited = daemon::signal::wait_for_stop().await;
            handle.stop().await;
            if waited.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("lacewing-standins: {error}");
            ExitCode::FAILURE
        }
    }
}
