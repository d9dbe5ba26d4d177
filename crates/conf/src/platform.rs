//! Section `[platform]`: where the platform's services are.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::reader::Section;

/// Settings of the platform client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Address of the platform's interface.
    pub address: SocketAddr,
    /// Longest time for one call.
    pub timeout: Duration,
    /// Interval between readings of the configuration and the instance list.
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
    /// Reads the section.
    pub fn read(section: &mut Section<'_>) -> Self {
        let default = Self::default();
        Self {
            address: section.address("address", default.address),
            timeout: section.millis("timeout_ms", default.timeout, &(50..=60_000)),
            poll_interval: section.millis("poll_ms", default.poll_interval, &(50..=60_000)),
        }
    }
}
