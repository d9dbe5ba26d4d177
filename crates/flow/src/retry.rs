//! Retry budgets, which limit retries to a fixed fraction of the requests.

use std::sync::atomic::{AtomicU64, Ordering};

/// Thousandths of a retry that each request adds to the budget.
const DEPOSIT_MILLIRETRIES: u64 = 100;
/// Largest balance, in thousandths of a retry; also the balance at the start.
const MAX_BALANCE_MILLIRETRIES: u64 = 10_000;
/// Thousandths of a retry that one retry withdraws from the budget.
const MILLIRETRIES_PER_RETRY: u64 = 1_000;

/// Balance that requests deposit to and retries withdraw from.
///
/// Under steady load, retries stay below a tenth of the requests, so that they do not overload a
/// slow upstream. A balance of a few retries is kept for times with few requests.
#[derive(Debug)]
pub struct Budget {
    balance_milliretries: AtomicU64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { balance_milliretries: AtomicU64::new(MAX_BALANCE_MILLIRETRIES) }
    }
}

impl Budget {
    /// Adds the deposit of one request, up to the largest balance.
    pub fn deposit(&self) {
        let add =
            |balance: u64| Some((balance + DEPOSIT_MILLIRETRIES).min(MAX_BALANCE_MILLIRETRIES));
        // The update always succeeds, since the closure never returns `None`.
        self.balance_milliretries
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .unwrap_or_default();
    }

    /// Withdraws one retry; returns false if the balance is too low.
    ///
    /// # Examples
    ///
    /// ```
    /// let budget = flow::retry::Budget::default();
    /// let taken = (0..100).filter(|_| budget.withdraw()).count();
    /// assert_eq!(taken, 10);
    /// (0..10).for_each(|_| budget.deposit());
    /// assert!(budget.withdraw());
    /// assert!(!budget.withdraw());
    /// ```
    pub fn withdraw(&self) -> bool {
        let take = |balance: u64| balance.checked_sub(MILLIRETRIES_PER_RETRY);
        self.balance_milliretries.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}
