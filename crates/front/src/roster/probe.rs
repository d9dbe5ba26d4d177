//! Interface to a direct check of another instance.

use std::fmt;

use futures::future::LocalBoxFuture;

/// Checks whether another instance serves callers.
pub trait Probe: fmt::Debug {
    /// Returns true if the instance at `address` answers that it is ready.
    ///
    /// The future may never complete; the calling code limits the wait.
    fn is_ready(&self, address: &str) -> LocalBoxFuture<'_, bool>;
}
