//! Test rig: stand-ins, a fault proxy, a load generator and experiments.
//!
//! Not part of the product. A stand-in is a small server that acts as the platform or an upstream.

pub mod billing;
pub mod client;
pub mod cluster;
pub mod demo;
pub mod engine;
pub mod journal;
pub mod load;
pub mod pass_through;
pub mod platform;
pub mod policy_comparison;
pub mod process;
pub mod proxy;
pub mod server;
pub mod service;
pub mod weights;
