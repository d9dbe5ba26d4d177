//! Settings of `lacewingd`, read from an INI file.
//!
//! Every key has a type, a unit, a range and a default. The whole file is checked, and all its
//! errors are reported together.

pub mod admin;
pub mod error;
pub mod instance;
pub mod ledger;
pub mod limits;
pub mod log;
pub mod peers;
pub mod platform;
pub mod reader;
pub mod route;
pub mod settings;

pub use crate::error::{Error, Fault};
pub use crate::settings::Settings;
