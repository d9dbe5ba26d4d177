//! Load reports of the upstreams, which are outdated on arrival.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Load report of an engine; missing fields are zero or empty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Requests that the engine is running.
    pub running: u32,
    /// Requests in the queue of the engine.
    pub waiting: u32,
    /// Most requests that the engine runs concurrently, 0 if unknown.
    pub slots: u32,
    /// Tokens that still fit into the key-value cache.
    pub free_kv_tokens: u64,
    /// Role of the engine as the engine names it.
    pub role: String,
    /// Loaded models and adapters; empty if the engine serves any.
    pub models: Vec<String>,
    /// Whether the engine is leaving and must get no new requests.
    pub leaving: bool,
    /// Number of the newest cache event, 0 if there is none.
    pub cache_sequence: u64,
    /// Number of the report, ascending.
    pub sequence: u64,
    /// Age of the report in milliseconds when the engine sent it.
    pub age_ms: u64,
}

impl Report {
    /// Returns the running and queued requests of all instances.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Returns [`Self::age_ms`] as a duration.
    #[must_use]
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }

    /// Returns true if the model is loaded or the engine serves any model.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut report = route::report::Report::default();
    /// assert!(report.serves("m"));
    /// report.models.push("other".into());
    /// assert!(!report.serves("m"));
    /// ```
    #[must_use]
    pub fn serves(&self, model: &str) -> bool {
        self.models.is_empty() || self.models.iter().any(|loaded| loaded == model)
    }
}
