//! Speed, size and faults of an engine stand-in.

use std::net::SocketAddr;
use std::time::Duration;

/// How an engine stand-in behaves.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name in the journal.
    pub name: String,
    /// Time to the first token, without the prompt's share.
    pub first_token_delay: Duration,
    /// Time for each token of the prompt that is not cached.
    pub prefill_per_token: Duration,
    /// Time between tokens when a request runs alone.
    pub token_interval: Duration,
    /// Share by which the time between tokens grows up to a full batch.
    pub full_batch_slowdown: f64,
    /// Requests that run at once; more wait.
    pub slots: u32,
    /// Tokens of key-value memory.
    pub kv_tokens: u64,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Time by which cache events lag.
    pub event_lag: Duration,
    /// Share of cache events that are lost.
    pub event_loss: f64,
    /// Time by which load reports lag.
    pub report_lag: Duration,
    /// Whether a marked prompt ends the process.
    pub crashes_on_poison: bool,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Token that orders must carry.
    pub order_token: Option<String>,
    /// Models loaded at the start; empty for any.
    pub models: Vec<String>,
    /// Weight store from which models are loaded.
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
