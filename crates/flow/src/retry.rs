//! Retry budgets: retries may be a fixed share of the requests.

use std::sync::atomic::{AtomicU64, Ordering};

/// Retries that each request allows, in thousandths.
const DEPOSIT_MILLIRETRIES: u64 = 100;
/// Retries that may be saved up, in thousandths.
const MAX_BALANCE_MILLIRETRIES: u64 = 10_000;
/// One retry, in thousandths.
const MILLIRETRIES_PER_RETRY: u64 = 1_000;

/// A budget that requests fill and retries draw from.
///
/// Under a steady load retries stay below a tenth of the requests, so that a slow upstream is
/// not drowned; a few are saved up for quiet times.
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
    /// Counts a request.
    pub fn deposit(&self) {
        let add =
            |balance: u64| Some((balance + DEPOSIT_MILLIRETRIES).min(MAX_BALANCE_MILLIRETRIES));
        // The closure never declines.
        self.balance_milliretries
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .unwrap_or_default();
    }

    /// Takes a retry if there is one.
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
