//! Errors of reading settings.

use std::fmt;
use std::path::PathBuf;

use thiserror::Error;

/// A setting with an invalid value, or an unknown key or section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Section that holds the key; empty for a key before the first section.
    pub section: String,
    /// Key within the section.
    pub key: String,
    /// Value as written in the file.
    pub value: String,
    /// Allowed values, as a phrase for the operator.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { section, key, value, allowed } = self;
        write!(f, "[{section}] {key} = {value}: {allowed}")
    }
}

/// Why a settings file cannot be used.
#[derive(Debug, Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// File that the operator named.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not valid INI; holds the position and the cause.
    #[error("not an INI file: {0}")]
    Syntax(String),
    /// Some settings are invalid; holds all of them.
    #[error("{} wrong settings", .0.len())]
    Faults(Vec<Fault>),
}
