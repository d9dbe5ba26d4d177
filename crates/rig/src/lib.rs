//! Stand-ins of the platform and of upstreams, and load with faults. Not part of the product.

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
