//! The program `lacewing`: runs the command that its arguments name.

use std::process::ExitCode;

use cli::args::{self, Command};
use cli::{demo, operate};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let command = args::command().run();
    ntex::rt::System::build()
        .name("lacewing")
        .build(ntex::rt::DefaultRuntime)
        .block_on(run(command))
}

async fn run(command: Command) -> ExitCode {
    match command {
        Command::Demo(options) => demo::run(&options).await,
        Command::Plan { operator, file } => operate::plan(&operator, &file).await,
        Command::Confirm { operator, plan } => operate::confirm(&operator, &plan).await,
        Command::Status { operator, watch } => operate::status(&operator, watch).await,
        Command::Accounts { operator } => operate::accounts(&operator).await,
        Command::Audit { operator } => operate::audit(&operator).await,
    }
}
