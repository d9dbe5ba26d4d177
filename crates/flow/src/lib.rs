//! Request path: filters, dispatch to an upstream, and relay of the answer to the caller.

pub mod account;
pub mod answer;
pub mod bound;
pub mod chain;
pub mod chat;
pub mod claim;
pub mod criteria;
pub mod dispatch;
pub mod exchange;
pub mod failure;
pub mod fields;
pub mod held;
pub mod identify;
pub mod in_flight;
pub mod limit;
pub mod metrics;
pub mod poison;
pub mod pool;
pub mod queue;
pub mod refusal;
pub mod relay;
pub mod request;
pub mod reserve;
pub mod resolve;
pub mod retry;
pub mod scheduler;
pub mod server;
pub mod settle;
pub mod sse;
pub mod stop;
pub mod stream;

pub use crate::chain::{Chain, Filter};
pub use crate::exchange::Exchange;
pub use crate::refusal::Refusal;
pub use crate::server::{Shared, Worker};
