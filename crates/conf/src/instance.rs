//! Section `[instance]`: name, failure domain and addresses of this instance.

use std::net::{Ipv4Addr, SocketAddr};

use crate::reader::Section;

/// Settings that identify the instance and its listeners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Name, unique among all instances: letters, digits, `-` and `_`.
    pub name: String,
    /// Failure domain that the instance runs in.
    pub domain: String,
    /// Address that the instance listens on for callers and operators.
    pub listen: SocketAddr,
    /// Address that the instance listens on for peers.
    pub peer_listen: SocketAddr,
    /// Number of threads that serve requests, 1 to 256.
    pub workers: usize,
}

impl Default for Instance {
    fn default() -> Self {
        Self {
            name: "lacewing-1".into(),
            domain: "a".into(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 8080)),
            peer_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 8081)),
            workers: 2,
        }
    }
}

impl Instance {
    /// Reads the section; invalid values are added to the reader's faults.
    pub fn read(section: &mut Section<'_>) -> Self {
        let default = Self::default();
        Self {
            name: section.name("name", &default.name),
            domain: section.name("domain", &default.domain),
            listen: section.address("listen", default.listen),
            peer_listen: section.address("peer_listen", default.peer_listen),
            workers: section.number("workers", default.workers, &(1..=256), "threads"),
        }
    }
}
