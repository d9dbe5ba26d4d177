//! The router daemon as a library: starts one instance with its threads, controllers and APIs.

pub mod admin;
pub mod claims;
pub mod cli;
pub mod config;
pub mod control;
pub mod error;
pub mod instance;
pub mod keys;
pub mod monitoring;
pub mod peer;
pub mod recall;
pub mod recovery;
pub mod signal;
pub mod upstream_poll;

pub use crate::error::Error;
pub use crate::instance::{Handle, spawn};
