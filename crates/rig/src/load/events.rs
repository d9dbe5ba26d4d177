//! What was done to the system during a run, for the count afterwards.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Instant;

use crate::engine::wall_ms;

/// A time during which something was done to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Span {
    /// Address of the instance.
    pub address: String,
    /// Begin in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End, `None` while it lasts.
    pub until_ms: Option<u64>,
}

impl Span {
    /// Begins now.
    #[must_use]
    pub fn begin(address: SocketAddr) -> Self {
        Self { address: address.to_string(), from_ms: wall_ms(), until_ms: None }
    }

    /// Ends all spans of an instance that last.
    pub fn end_all(spans: &mut [Self], address: SocketAddr) {
        let address = address.to_string();
        for span in spans.iter_mut().filter(|span| span.address == address) {
            span.until_ms.get_or_insert(wall_ms());
        }
    }

    /// Returns true if the span overlaps a time at an instance.
    #[must_use]
    pub fn overlaps(&self, address: &str, from_ms: u64, until_ms: u64) -> bool {
        self.address == address
            && self.from_ms <= until_ms
            && self.until_ms.is_none_or(|end| end >= from_ms)
    }
}

/// A time during which an upstream was marked as leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drain {
    /// Upstream.
    pub upstream: String,
    /// Confirmation of the mark in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End, `None` if it lasted.
    pub until_ms: Option<u64>,
}

/// A confirmed configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// Version.
    pub version: u64,
    /// Time of the answer in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Everything that was done, and what was seen of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Events {
    /// Instances that were killed or paused.
    pub outages: Vec<Span>,
    /// Instances that were asked to stop.
    pub planned_stops: Vec<Span>,
    /// Instances that could not reach the platform well.
    pub platform_faults: Vec<Span>,
    /// Upstreams that were leaving.
    pub drains: Vec<Drain>,
    /// Engines that are down, and since when if a request crashed them.
    pub engines_down: HashMap<usize, Option<Instant>>,
    /// Engines that a request crashed.
    pub engine_crashes: u64,
    /// Requests sent that crash engines.
    pub poison_requests: u64,
    /// Planned stops that failed or took too long.
    pub unclean_exits: u64,
    /// Whether instances did not come back after all faults had ended.
    pub not_ready: bool,
    /// What the last confirmed top-up set.
    pub topped_up_tokens: u64,
    /// Confirmed configurations.
    pub confirmations: Vec<Confirmation>,
    /// Newest version seen at each instance.
    pub newest_versions: BTreeMap<String, u64>,
    /// Readings of a version older than one seen before at the same instance.
    pub reverted_reads: u64,
    /// Configurations not in force in time at an instance that could know them.
    pub late_reads: u64,
    /// Plans made from the same version and both confirmed.
    pub double_winners: u64,
    /// Confirmed changes that are missing at the end.
    pub lost_changes: u64,
    /// Names that races added.
    pub added_accounts: Vec<String>,
}

impl Events {
    /// Notes a confirmation.
    pub fn add_confirmation(&mut self, version: u64) {
        self.confirmations.push(Confirmation { version, at_ms: wall_ms() });
    }
}
