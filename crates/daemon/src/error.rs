//! Errors of starting an instance.

use std::net::SocketAddr;

use thiserror::Error;

/// Why an instance could not start.
#[derive(Debug, Error)]
pub enum Error {
    /// The instance cannot listen on an address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address that cannot be bound; callers and operators connect to it.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}
