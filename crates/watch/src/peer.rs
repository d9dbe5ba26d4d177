//! Counters of the link between instances.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Counters of the link between instances.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Callers that could not prove that they know the key.
    pub unauthenticated_callers: Counter,
    /// Messages that were altered, replayed or out of order.
    pub rejected_messages: Counter,
    /// Calls of peers that were served.
    pub served_calls: Counter,
    /// Bytes received on links.
    pub received_bytes: Counter,
    /// Bytes sent on links.
    pub sent_bytes: Counter,
}

impl Counters {
    /// Registers all counters.
    pub fn register(&self, registry: &mut Registry) {
        let unauthenticated_help = "Peers refused for want of the key";
        registry.register(
            "peer_strangers",
            unauthenticated_help,
            self.unauthenticated_callers.clone(),
        );
        let rejected_help = "Peer messages refused as altered or replayed";
        registry.register("peer_replays", rejected_help, self.rejected_messages.clone());
        registry.register("peer_calls", "Calls of peers served", self.served_calls.clone());
        let received_help = "Bytes received on peer links";
        registry.register("peer_received_bytes", received_help, self.received_bytes.clone());
        registry.register("peer_sent_bytes", "Bytes sent on peer links", self.sent_bytes.clone());
    }
}
