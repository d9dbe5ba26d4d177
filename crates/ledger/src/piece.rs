//! The part of a budget that this instance may spend, as the request path sees it.

use std::sync::atomic::{AtomicU64, Ordering};

use base::prelude::*;

/// A piece of a budget in memory.
///
/// `free` tokens can be reserved; `reserved` tokens belong to requests that may run.
#[derive(Debug, Default)]
pub struct Piece {
    free: AtomicU64,
    reserved: AtomicU64,
    spent: AtomicU64,
    unrecorded: AtomicU64,
    exposure_limit: AtomicU64,
    used_at_ms: AtomicU64,
}

impl Piece {
    /// Reserves tokens if that many are free.
    ///
    /// # Examples
    ///
    /// ```
    /// let piece = ledger::piece::Piece::default();
    /// piece.add(5);
    /// assert!(piece.reserve(3, 0));
    /// assert!(!piece.reserve(3, 0));
    /// ```
    pub fn reserve(&self, tokens: Tokens, now_ms: u64) -> bool {
        self.used_at_ms.store(now_ms, Ordering::Relaxed);
        let is_reserved = self
            .free
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |free| free.checked_sub(tokens))
            .is_ok();
        if is_reserved {
            self.reserved.fetch_add(tokens, Ordering::AcqRel);
        }
        is_reserved
    }

    /// Ends a reservation of `bound` tokens of which `used` were spent.
    ///
    /// Spending more than was reserved is a bug of the caller; the excess is cut off.
    pub fn settle(&self, bound: Tokens, used: Tokens) {
        let used = used.min(bound);
        self.reserved.fetch_sub(bound, Ordering::AcqRel);
        self.free.fetch_add(bound - used, Ordering::AcqRel);
        self.spent.fetch_add(used, Ordering::Relaxed);
    }

    /// Counts a request whose record is not durable yet and returns the sum of all of them.
    pub fn add_unrecorded(&self, bound: Tokens) -> Tokens {
        self.unrecorded.fetch_add(bound, Ordering::SeqCst) + bound
    }

    /// Sets the limit on what requests without a durable record may use.
    pub fn set_exposure_limit(&self, limit: Tokens) {
        self.exposure_limit.store(limit, Ordering::SeqCst);
    }

    /// Returns the limit on what requests without a durable record may use.
    pub fn exposure_limit(&self) -> Tokens {
        self.exposure_limit.load(Ordering::SeqCst)
    }

    /// Notes that the record of a request is durable.
    pub fn remove_unrecorded(&self, bound: Tokens) {
        let less = |unrecorded: u64| Some(unrecorded.saturating_sub(bound));
        // The closure never declines, so there is no failure to handle.
        self.unrecorded.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less).unwrap_or_default();
    }

    /// Returns the bounds of all requests whose records are not durable yet.
    pub fn unrecorded(&self) -> Tokens {
        self.unrecorded.load(Ordering::SeqCst)
    }

    /// Adds granted tokens.
    pub fn add(&self, tokens: Tokens) {
        self.free.fetch_add(tokens, Ordering::AcqRel);
    }

    /// Takes up to `tokens` free tokens out of the piece and returns how many.
    pub fn withdraw(&self, tokens: Tokens) -> Tokens {
        let before = self
            .free
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |free| {
                Some(free.saturating_sub(tokens))
            })
            .unwrap_or_default();
        before.min(tokens)
    }

    /// Returns the free tokens.
    pub fn free(&self) -> Tokens {
        self.free.load(Ordering::Acquire)
    }

    /// Returns the reserved tokens.
    pub fn reserved(&self) -> Tokens {
        self.reserved.load(Ordering::Acquire)
    }

    /// Returns all tokens spent from this piece since the start.
    pub fn spent(&self) -> Tokens {
        self.spent.load(Ordering::Relaxed)
    }

    /// Returns the time of the last attempt to reserve, in milliseconds of the monotonic clock.
    pub fn used_at_ms(&self) -> u64 {
        self.used_at_ms.load(Ordering::Relaxed)
    }
}
