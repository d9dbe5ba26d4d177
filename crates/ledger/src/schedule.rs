//! Schedule of the budgets that the writer handles on its next step.
//!
//! An instance may know very many budgets. A step handles only the budgets that changed or whose
//! timer expired, never all of them.

use std::collections::BTreeSet;

use base::prelude::*;

/// Budgets to handle on the next step or at a later time.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    due: BTreeSet<BudgetId>,
    /// Expiry times on the monotonic clock; a budget may have several.
    timers: BTreeSet<(Duration, BudgetId)>,
    /// Budgets with waiting requests, due on every step.
    waiting: BTreeSet<BudgetId>,
    /// Budgets whose rates are sampled next.
    active: BTreeSet<BudgetId>,
}

impl Schedule {
    /// Makes a budget due on the next step.
    pub(crate) fn mark_due(&mut self, budget: &BudgetId) {
        self.due.insert(Arc::clone(budget));
    }

    /// Makes a budget due on every step until [`Self::clear_waiting`].
    pub(crate) fn mark_waiting(&mut self, budget: &BudgetId) {
        self.mark_due(budget);
        self.waiting.insert(Arc::clone(budget));
    }

    /// Includes a budget in the next sampling of the spending rates.
    pub(crate) fn mark_active(&mut self, budget: &BudgetId) {
        self.active.insert(Arc::clone(budget));
    }

    /// Makes a budget due at `at` even if nothing happens to it.
    pub(crate) fn add_timer(&mut self, budget: &BudgetId, at: Duration) {
        self.timers.insert((at, Arc::clone(budget)));
    }

    /// Returns the budgets that requests wait for.
    pub(crate) fn waiting(&self) -> Vec<BudgetId> {
        self.waiting.iter().map(Arc::clone).collect()
    }

    /// Notes that no request waits for a budget any more.
    pub(crate) fn clear_waiting(&mut self, budget: &BudgetId) {
        self.waiting.remove(budget);
    }

    /// Removes and returns the budgets whose spending rates are sampled next.
    pub(crate) fn take_active(&mut self) -> BTreeSet<BudgetId> {
        std::mem::take(&mut self.active)
    }

    /// Removes and returns the budgets that are due at `now`.
    pub(crate) fn take_due(&mut self, now: Duration) -> BTreeSet<BudgetId> {
        while self.timers.first().is_some_and(|(at, _)| *at <= now) {
            let timer = self.timers.pop_first();
            self.due.extend(timer.map(|(_, budget)| budget));
        }
        self.due.extend(self.waiting.iter().map(Arc::clone));
        std::mem::take(&mut self.due)
    }
}
