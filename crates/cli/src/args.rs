//! Command-line arguments of the program `lacewing`.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Operate a fleet of lacewingpost, or run a demo
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Run instances, a platform and stand-in upstreams in one process
    #[bpaf(command)]
    Demo(#[bpaf(external(demo))] Demo),
    /// Propose a change of the configuration and show the plan for it
    #[bpaf(command)]
    Plan {
        /// Instance to call, and key of the operator
        #[bpaf(external)]
        operator: Operator,
        /// File with the intent, a JSON merge patch of the configuration
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Confirm a plan, which puts its changes in force
    #[bpaf(command)]
    Confirm {
        /// Instance to call, and key of the operator
        #[bpaf(external)]
        operator: Operator,
        /// Id of the plan, as printed by the plan command
        #[bpaf(positional("PLAN"))]
        plan: String,
    },
    /// Show all instances with their state, version and load
    #[bpaf(command)]
    Status {
        /// Instance to call, and key of the operator
        #[bpaf(external)]
        operator: Operator,
        /// Repeat every second until interrupted
        watch: bool,
    },
    /// Show all budgets with their paid, billed, held and set-aside tokens
    #[bpaf(command)]
    Accounts {
        /// Instance to call, and key of the operator
        #[bpaf(external)]
        operator: Operator,
    },
    /// Show the audit log of confirmed plans
    #[bpaf(command)]
    Audit {
        /// Instance to call, and key of the operator
        #[bpaf(external)]
        operator: Operator,
    },
}

/// Options of the demo
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
pub struct Demo {
    /// Keep serving until SIGTERM or SIGINT instead of sending example requests
    pub serve: bool,
    /// With --serve, print only one JSON line with addresses and keys when ready
    pub json: bool,
}

/// Instance to call, and key of the operator
#[derive(Clone, PartialEq, Eq, Bpaf)]
pub struct Operator {
    /// Address of any instance for callers and operators
    #[bpaf(long, argument("IP:PORT"), env("LACEWING_ADMIN_ADDRESS"))]
    pub address: SocketAddr,
    /// API key of the operator
    #[bpaf(long, argument("KEY"), env("LACEWING_ADMIN_KEY"))]
    pub key: String,
    /// Print JSON instead of tables
    pub json: bool,
}

impl std::fmt::Debug for Operator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Operator").field("address", &self.address).finish_non_exhaustive()
    }
}
