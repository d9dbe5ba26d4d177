//! Log of the faults and operators' actions of a run, which the count evaluates.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Instant;

use crate::engine::wall_ms;

/// Period in which an instance was subject to a fault or a stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Span {
    /// Address of the instance.
    pub address: String,
    /// Start in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End in milliseconds since the Unix epoch, `None` if not ended.
    pub until_ms: Option<u64>,
}

impl Span {
    /// Starts a span at the current time.
    #[must_use]
    pub fn begin(address: SocketAddr) -> Self {
        Self { address: address.to_string(), from_ms: wall_ms(), until_ms: None }
    }

    /// Ends all open spans of an instance at the current time.
    pub fn end_all(spans: &mut [Self], address: SocketAddr) {
        let address = address.to_string();
        for span in spans.iter_mut().filter(|span| span.address == address) {
            span.until_ms.get_or_insert(wall_ms());
        }
    }

    /// Returns true if the span overlaps a period at the given instance.
    #[must_use]
    pub fn overlaps(&self, address: &str, from_ms: u64, until_ms: u64) -> bool {
        self.address == address
            && self.from_ms <= until_ms
            && self.until_ms.is_none_or(|end| end >= from_ms)
    }
}

/// Period in which an upstream was configured as draining.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drain {
    /// Name of the upstream.
    pub upstream: String,
    /// Confirmation of the change in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End in milliseconds since the Unix epoch, `None` if not ended.
    pub until_ms: Option<u64>,
}

/// Confirmation of a plan, as its operator received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// Version of the configuration that the plan created.
    pub version: u64,
    /// Arrival of the answer in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Faults, operators' actions and configuration reads of a run.
#[derive(Debug, Clone, Default)]
pub struct Events {
    /// Spans in which instances were killed or paused.
    pub outages: Vec<Span>,
    /// Spans from a graceful stop of an instance to its restart.
    pub planned_stops: Vec<Span>,
    /// Spans in which an instance's calls to the platform failed or were delayed.
    pub platform_faults: Vec<Span>,
    /// Spans in which upstreams were draining.
    pub drains: Vec<Drain>,
    /// Engines that are down, by index; `None` if killed, else the time of the crash.
    pub engines_down: HashMap<usize, Option<Instant>>,
    /// Number of engine crashes caused by poison requests.
    pub engine_crashes: u64,
    /// Number of poison requests sent, without their retries.
    pub poison_requests: u64,
    /// Number of planned stops that failed or timed out.
    pub unclean_exits: u64,
    /// Whether some instance was not ready in time after all faults had ended.
    pub not_ready: bool,
    /// Paid tokens of the small budget after the last confirmed top-up.
    pub topped_up_tokens: u64,
    /// Confirmations in the order of their arrival.
    pub confirmations: Vec<Confirmation>,
    /// Newest version read at each instance, by address.
    pub newest_versions: BTreeMap<String, u64>,
    /// Number of reads that returned an older version than an earlier read at that instance.
    pub reverted_reads: u64,
    /// Number of reads at undisturbed instances that missed a version confirmed over 5 s before.
    pub late_reads: u64,
    /// Number of confirmed plans beyond the first of those created from the same version.
    pub double_winners: u64,
    /// Number of racing operators' confirmed accounts missing from the last configuration.
    pub lost_changes: u64,
    /// Accounts that confirmed plans of racing operators added.
    pub added_accounts: Vec<String>,
}

impl Events {
    /// Records a confirmation at the current time.
    pub fn add_confirmation(&mut self, version: u64) {
        self.confirmations.push(Confirmation { version, at_ms: wall_ms() });
    }
}
