//! In-memory piece of a budget, from which requests reserve tokens.

use std::sync::atomic::{AtomicU64, Ordering};

use base::prelude::*;

/// Piece of a budget, shared by the request path and the writer.
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
    /// Reserves tokens and returns true if that many are free.
    ///
    /// `now_ms` is the monotonic time from which the idle time of the piece counts.
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

    /// Ends a reservation of `bound` tokens, of which `used` were spent.
    ///
    /// Spending more than was reserved is a bug of the caller; the excess is ignored.
    pub fn settle(&self, bound: Tokens, used: Tokens) {
        let used = used.min(bound);
        self.reserved.fetch_sub(bound, Ordering::AcqRel);
        self.free.fetch_add(bound - used, Ordering::AcqRel);
        self.spent.fetch_add(used, Ordering::Relaxed);
    }

    /// Adds the bound of a request without a durable record.
    ///
    /// Returns the sum of the bounds of all such requests.
    pub fn add_unrecorded(&self, bound: Tokens) -> Tokens {
        self.unrecorded.fetch_add(bound, Ordering::SeqCst) + bound
    }

    /// Sets the limit on the sum of the bounds without a durable record.
    pub fn set_exposure_limit(&self, limit: Tokens) {
        self.exposure_limit.store(limit, Ordering::SeqCst);
    }

    /// Returns the limit on the sum of the bounds without a durable record.
    ///
    /// The limit is 0 until a transaction has granted tokens.
    pub fn exposure_limit(&self) -> Tokens {
        self.exposure_limit.load(Ordering::SeqCst)
    }

    /// Subtracts the bound of a request whose record has become durable.
    pub fn remove_unrecorded(&self, bound: Tokens) {
        let less = |unrecorded: u64| Some(unrecorded.saturating_sub(bound));
        // The closure always returns a value, so the update cannot fail.
        self.unrecorded.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less).unwrap_or_default();
    }

    /// Returns the sum of the bounds of requests without a durable record.
    pub fn unrecorded(&self) -> Tokens {
        self.unrecorded.load(Ordering::SeqCst)
    }

    /// Adds free tokens that a transaction granted or that are not returned after all.
    pub fn add(&self, tokens: Tokens) {
        self.free.fetch_add(tokens, Ordering::AcqRel);
    }

    /// Removes up to `tokens` free tokens from the piece and returns how many.
    pub fn withdraw(&self, tokens: Tokens) -> Tokens {
        let before = self
            .free
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |free| {
                Some(free.saturating_sub(tokens))
            })
            .unwrap_or_default();
        before.min(tokens)
    }

    /// Returns the tokens that can be reserved.
    pub fn free(&self) -> Tokens {
        self.free.load(Ordering::Acquire)
    }

    /// Returns the tokens that requests have reserved and not settled.
    pub fn reserved(&self) -> Tokens {
        self.reserved.load(Ordering::Acquire)
    }

    /// Returns all tokens spent from this piece since it was created.
    pub fn spent(&self) -> Tokens {
        self.spent.load(Ordering::Relaxed)
    }

    /// Returns when a reservation was last attempted, in milliseconds of the monotonic clock.
    pub fn used_at_ms(&self) -> u64 {
        self.used_at_ms.load(Ordering::Relaxed)
    }
}
