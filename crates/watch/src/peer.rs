//! Counters of the links between instances.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Counters of all links of one instance, shared by their clones.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Handshakes rejected because the caller did not prove that it has the peer key.
    pub unauthenticated_callers: Counter,
    /// Messages rejected as altered, replayed or out of order.
    pub rejected_messages: Counter,
    /// Calls of authenticated peers that were accepted.
    pub served_calls: Counter,
    /// Bytes received on all links, handshakes included.
    pub received_bytes: Counter,
    /// Bytes sent on all links, handshakes included.
    pub sent_bytes: Counter,
}

impl Counters {
    /// Registers all counters; their names start with `peer`.
    pub fn register(&self, registry: &mut Registry) {
        let unauthenticated_help = "Peers rejected because they did not prove the key";
        registry.register(
            "peer_strangers",
            unauthenticated_help,
            self.unauthenticated_callers.clone(),
        );
        let rejected_help = "Peer messages rejected as altered, replayed or out of order";
        registry.register("peer_replays", rejected_help, self.rejected_messages.clone());
        registry.register("peer_calls", "Calls of peers accepted", self.served_calls.clone());
        let received_help = "Bytes received on peer links";
        registry.register("peer_received_bytes", received_help, self.received_bytes.clone());
        registry.register("peer_sent_bytes", "Bytes sent on peer links", self.sent_bytes.clone());
    }
}
