//! The program `lacewingd`: reads its settings, runs one instance and stops it on a signal.

use std::path::Path;
use std::process::ExitCode;

use conf::{Error, Settings};
use slog::{Logger, error};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit code for a settings file that cannot be read or has invalid settings.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let options = daemon::cli::options().run();
    if let Some(path) = &options.check_config {
        return check_config(path);
    }
    let settings = match &options.config {
        Some(path) => Settings::open(path),
        None => Ok(Settings::default()),
    };
    match settings {
        Ok(settings) => run(settings),
        Err(error) => print_error(&error),
    }
}

fn check_config(path: &Path) -> ExitCode {
    match Settings::open(path) {
        Ok(_) => {
            println!("{}: settings are valid", path.display());
            ExitCode::SUCCESS
        }
        Err(error) => print_error(&error),
    }
}

fn print_error(error: &Error) -> ExitCode {
    eprintln!("lacewingd: {error}");
    if let Error::Faults(faults) = error {
        for fault in faults {
            eprintln!("  {fault}");
        }
    }
    ExitCode::from(EXIT_SETTINGS)
}

fn run(settings: Settings) -> ExitCode {
    let log = daemon::instance::logger(&settings.log);
    ntex::rt::System::build()
        .name("lacewingd")
        .build(ntex::rt::DefaultRuntime)
        .block_on(serve(settings, log))
}

async fn serve(settings: Settings, log: Logger) -> ExitCode {
    match daemon::spawn(settings, &log).await {
        Ok(handle) => {
            if let Err(error) = daemon::signal::wait_for_stop().await {
                error!(log, "cannot wait for signals"; "error" => %error);
            }
            handle.stop().await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            error!(log, "cannot start the instance"; "error" => %error);
            eprintln!("lacewingd: {error}");
            ExitCode::FAILURE
        }
    }
}
