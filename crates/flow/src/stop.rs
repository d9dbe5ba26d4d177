//! Planned stop of an instance, as its workers see it.

use std::sync::atomic::{AtomicBool, Ordering};

/// State of the planned stop of an instance.
///
/// Callers keep their connections until the process is gone, so that requests arrive on them at any
/// time. One that is admitted late would extend the stop, and be cut off if the process is killed.
#[derive(Debug, Default)]
pub struct Stop {
    is_draining: AtomicBool,
}

impl Stop {
    /// Lets requests in flight end, and refuses new ones.
    ///
    /// # Examples
    ///
    /// ```
    /// let stop = flow::stop::Stop::default();
    /// assert!(stop.admits());
    /// stop.drain();
    /// assert!(!stop.admits());
    /// ```
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Release);
    }

    /// Returns true if new requests are admitted.
    #[must_use]
    pub fn admits(&self) -> bool {
        !self.is_draining.load(Ordering::Acquire)
    }
}
