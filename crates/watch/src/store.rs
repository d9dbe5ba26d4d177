//! Counters of the calls to the store.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Labels of the counters of calls and bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Labels {
    /// Name of the table; the calls of one part of the program use one table.
    pub table: String,
    /// What the call does: `read`, `feed` or `write`.
    pub call: &'static str,
}

/// Counters of the calls of one instance, shared by their clones.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Calls to the store, also those without an answer.
    pub calls: Family<Labels, Counter>,
    /// Bytes of the calls and their answers, without the heads of the answers.
    pub bytes: Family<Labels, Counter>,
}

impl Counters {
    /// Registers all counters; their names start with `store`.
    pub fn register(&self, registry: &mut Registry) {
        let calls_help = "Calls to the store by table";
        registry.register("store_calls", calls_help, self.calls.clone());
        let bytes_help = "Bytes sent to and read from the store by table";
        registry.register("store_bytes", bytes_help, self.bytes.clone());
    }

    /// Counts a call that sends this many bytes.
    pub fn count_call(&self, table: &str, call: &'static str, bytes: usize) {
        self.calls.get_or_create(&Labels { table: table.to_owned(), call }).inc();
        self.count_bytes(table, call, bytes);
    }

    /// Counts bytes of an answer.
    pub fn count_bytes(&self, table: &str, call: &'static str, bytes: usize) {
        let labels = Labels { table: table.to_owned(), call };
        self.bytes.get_or_create(&labels).inc_by(bytes as u64);
    }
}
