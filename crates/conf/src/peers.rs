//! Section `[peers]`: the link between instances.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::reader::Section;

/// Shortest key that is accepted; the key authenticates all peers.
const MIN_KEY_BYTES: usize = 16;

/// Settings of the link between instances.
#[derive(Clone, PartialEq, Eq)]
pub struct Peers {
    /// Key that all instances share.
    ///
    /// With `None` there is no link: the instance knows only the platform's list of instances.
    pub key: Option<String>,
    /// Address at which peers reach this instance; `None` means `peer_listen`.
    pub address: Option<SocketAddr>,
    /// Addresses of peers to join through while the platform's list cannot be read.
    pub seeds: Vec<SocketAddr>,
    /// Interval between two heartbeats.
    pub heartbeat_interval: Duration,
    /// Time until a suspected peer is declared dead.
    pub suspicion_timeout: Duration,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Peers").field("seeds", &self.seeds).finish_non_exhaustive()
    }
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            key: None,
            address: None,
            seeds: Vec::new(),
            heartbeat_interval: Duration::from_millis(500),
            suspicion_timeout: Duration::from_millis(2_500),
        }
    }
}

impl Peers {
    /// Reads the section; invalid values are added to the reader's faults.
    pub fn read(section: &mut Section<'_>) -> Self {
        let default = Self::default();
        Self {
            key: section.parse("key", None, "at least 16 bytes", |text| {
                (text.len() >= MIN_KEY_BYTES).then(|| Some(text.to_owned()))
            }),
            address: section.parse("address", None, "an address as ip:port", |text| {
                text.parse().ok().map(Some)
            }),
            seeds: section.parse("seeds", Vec::new(), "addresses as ip:port, ip:port", |text| {
                text.split(',').map(|address| address.trim().parse().ok()).collect()
            }),
            heartbeat_interval: section.millis(
                "interval_ms",
                default.heartbeat_interval,
                &(100..=60_000),
            ),
            suspicion_timeout: section.millis(
                "suspicion_ms",
                default.suspicion_timeout,
                &(500..=600_000),
            ),
        }
    }
}
