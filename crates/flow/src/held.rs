//! Bound on the bytes of answers that an instance holds at any moment.
//!
//! It handles one load pattern: upstreams that send answers or events without an end, to many
//! requests at once. Each of them alone stays below the largest answer, all of them together would
//! exceed the memory of the machine.

use std::sync::atomic::{AtomicUsize, Ordering};

use base::prelude::*;

/// Most bytes that the unfinished answers of an instance hold together.
const MAX_BYTES: usize = 256 << 20;

/// Account of the bytes that all unfinished answers hold; clones share it.
#[derive(Debug, Clone)]
pub struct Held {
    bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl Default for Held {
    fn default() -> Self {
        Self::open(MAX_BYTES)
    }
}

impl Held {
    /// Opens an account for at most `max_bytes` bytes.
    #[must_use]
    pub fn open(max_bytes: usize) -> Self {
        Self { bytes: Arc::default(), max_bytes }
    }

    /// Opens the share of one answer, which holds nothing yet.
    #[must_use]
    pub fn open_share(&self) -> Share {
        Share { held: self.clone(), bytes: 0 }
    }
}

/// Bytes that one unfinished answer holds, removed from the account on drop.
#[derive(Debug)]
pub struct Share {
    held: Held,
    bytes: usize,
}

impl Share {
    /// Sets the bytes that the answer holds; returns false if all answers hold too much.
    ///
    /// # Examples
    ///
    /// ```
    /// let held = flow::held::Held::open(100);
    /// let (mut one, mut other) = (held.open_share(), held.open_share());
    /// assert!(one.set(60) && !other.set(60));
    /// drop(one);
    /// assert!(other.set(60));
    /// ```
    #[must_use]
    pub fn set(&mut self, bytes: usize) -> bool {
        let account = &self.held.bytes;
        let total = if bytes >= self.bytes {
            account.fetch_add(bytes - self.bytes, Ordering::AcqRel) + (bytes - self.bytes)
        } else {
            account.fetch_sub(self.bytes - bytes, Ordering::AcqRel) - (self.bytes - bytes)
        };
        self.bytes = bytes;
        total <= self.held.max_bytes
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.held.bytes.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
