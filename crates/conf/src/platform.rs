//! Section `[platform]`: address of the platform's interface, and times of its client.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::reader::Section;

/// Settings of the client of the platform's interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Address at which the platform answers HTTP calls.
    pub address: SocketAddr,
    /// Longest wait for an answer of the platform.
    ///
    /// Calls to the table and the instance list may wait as long again for the body.
    pub timeout: Duration,
    /// Interval between reads of the configuration and of the instance list.
    pub poll_interval: Duration,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8090)),
            timeout: Duration::from_secs(2),
            poll_interval: Duration::from_millis(500),
        }
    }
}

impl Platform {
    /// Reads the section; invalid values are added to the reader's faults.
    pub fn read(section: &mut Section<'_>) -> Self {
        let default = Self::default();
        Self {
            address: section.address("address", default.address),
            timeout: section.millis("timeout_ms", default.timeout, &(50..=60_000)),
            poll_interval: section.millis("poll_ms", default.poll_interval, &(50..=60_000)),
        }
    }
}
