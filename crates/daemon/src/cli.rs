//! Command line of `lacewingd`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Run one instance of the router
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Check a settings file, print all its errors and exit
    #[bpaf(long("check-config"), argument("FILE"))]
    pub check_config: Option<PathBuf>,
    /// Settings file in INI format; without it all settings have their defaults
    #[bpaf(short, long, argument("FILE"))]
    pub config: Option<PathBuf>,
}
