//! Count of the requests in flight, which a planned stop waits for.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use base::prelude::*;

/// Counts requests from their arrival to the end of their answer.
#[derive(Debug, Clone, Default)]
pub struct Counter {
    count: Arc<AtomicUsize>,
    arrivals: Arc<AtomicU64>,
}

impl Counter {
    /// Counts a request until the guard is dropped.
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

    /// Returns how many requests were counted since the start.
    #[must_use]
    pub fn arrivals(&self) -> u64 {
        self.arrivals.load(Ordering::Acquire)
    }

    /// Returns the requests in flight.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }
}

/// One counted request.
#[derive(Debug)]
pub struct Guard {
    count: Arc<AtomicUsize>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
