//! Settings of an engine stand-in: speed, capacity and faults.

use std::net::SocketAddr;
use std::time::Duration;

/// Speed, capacity and faults of an engine stand-in.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the engine in the journal.
    pub name: String,
    /// Time to the first token of an empty prompt.
    pub first_token_delay: Duration,
    /// Time that each uncached prompt token adds to the first token.
    pub prefill_per_token: Duration,
    /// Time between two tokens of a request that runs alone.
    pub token_interval: Duration,
    /// Relative growth of the token interval in a full batch; 1 about doubles it.
    pub full_batch_slowdown: f64,
    /// Most requests that run at once; others wait.
    pub slots: u32,
    /// Size of the key-value memory in tokens; only reported, not enforced.
    pub kv_tokens: u64,
    /// Most blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Time after which a cache event is visible to readers.
    pub event_lag: Duration,
    /// Share of cache events that are lost, from 0 to 1.
    pub event_loss: f64,
    /// Time after which a load report is visible to readers.
    pub report_lag: Duration,
    /// Whether a prompt with the word `poison` ends the process.
    pub crashes_on_poison: bool,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// Bearer token that orders must carry; `None` accepts all orders.
    pub order_token: Option<String>,
    /// Models that are loaded at the start; empty serves any model.
    pub models: Vec<String>,
    /// Address of the weight store; `None` loads models without one.
    pub weight_store: Option<SocketAddr>,
    /// Time that loading a model takes.
    pub load_delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "engine-1".into(),
            first_token_delay: Duration::from_millis(20),
            prefill_per_token: Duration::ZERO,
            token_interval: Duration::from_millis(2),
            full_batch_slowdown: 0.0,
            slots: 64,
            kv_tokens: 1 << 20,
            cache_blocks: 1_024,
            event_lag: Duration::ZERO,
            event_loss: 0.0,
            report_lag: Duration::ZERO,
            crashes_on_poison: false,
            checks_fence: false,
            order_token: None,
            models: Vec::new(),
            weight_store: None,
            load_delay: Duration::from_millis(200),
        }
    }
}
