//! Reasons for which the choice of an upstream fails.

use thiserror::Error;

/// Why no upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Error {
    /// The configuration names no upstream for the request.
    #[error("no upstream is configured for this")]
    NoRoute,
    /// All upstreams are leaving, lack the model or were tried already.
    #[error("no upstream can take the request now")]
    NoneAvailable,
    /// All usable upstreams are full; a later attempt may succeed.
    #[error("all upstreams are full")]
    Overloaded,
}
