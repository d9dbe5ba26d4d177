//! Bytes that the connections of this thread have received and sent.
//!
//! An instance runs on one thread, so that the totals show what its network link has carried.

use std::cell::Cell;

/// Total bytes of all connections of a thread.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes read from sockets.
    pub received: u64,
    /// Bytes written to sockets.
    pub sent: u64,
}

thread_local! {
    static TOTAL: Cell<Traffic> = const { Cell::new(Traffic { received: 0, sent: 0 }) };
}

impl Traffic {
    /// Returns the totals of the current thread.
    ///
    /// # Examples
    ///
    /// ```
    /// let before = h1::Traffic::total();
    /// h1::Traffic::record(10, 3);
    /// let after = h1::Traffic::total();
    /// assert_eq!((after.received - before.received, after.sent - before.sent), (10, 3));
    /// ```
    #[must_use]
    pub fn total() -> Self {
        TOTAL.get()
    }

    /// Adds bytes that a socket has received or sent.
    pub fn record(received: usize, sent: usize) {
        let mut total = TOTAL.get();
        total.received += received as u64;
        total.sent += sent as u64;
        TOTAL.set(total);
    }
}
