//! Counter of requests in flight; a planned stop waits until it reaches zero.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use base::prelude::*;

/// Counts requests from arrival until the answer and the settlement have ended.
#[derive(Debug, Clone, Default)]
pub struct Counter {
    count: Arc<AtomicUsize>,
    arrivals: Arc<AtomicU64>,
}

impl Counter {
    /// Counts one request until the returned guard is dropped.
    ///
    /// # Examples
    ///
    /// ```
    /// let in_flight = flow::in_flight::Counter::default();
    /// let guard = in_flight.enter();
    /// assert_eq!(in_flight.count(), 1);
    /// drop(guard);
    /// assert_eq!(in_flight.count(), 0);
    /// ```
    #[must_use]
    pub fn enter(&self) -> Guard {
        self.count.fetch_add(1, Ordering::AcqRel);
        self.arrivals.fetch_add(1, Ordering::AcqRel);
        Guard { count: Arc::clone(&self.count) }
    }

    /// Returns the number of guards created since the start of the instance.
    #[must_use]
    pub fn arrivals(&self) -> u64 {
        self.arrivals.load(Ordering::Acquire)
    }

    /// Returns the number of guards that are not dropped yet.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }
}

/// Keeps one request counted as in flight until dropped.
#[derive(Debug)]
pub struct Guard {
    count: Arc<AtomicUsize>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
