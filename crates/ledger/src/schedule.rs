//! Which budgets the writer has to look at on its next turn.
//!
//! An instance may know very many budgets. Each turn costs time for those that changed or that
//! have come due, never for all of them.

use std::collections::BTreeSet;

use base::prelude::*;

/// Budgets to look at, now or at a later time.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    due: BTreeSet<BudgetId>,
    timers: BTreeSet<(Duration, BudgetId)>,
    waiting: BTreeSet<BudgetId>,
    active: BTreeSet<BudgetId>,
}

impl Schedule {
    /// Notes that a budget must be looked at on the next turn.
    pub(crate) fn mark_due(&mut self, budget: &BudgetId) {
        self.due.insert(Arc::clone(budget));
    }

    /// Notes that requests wait for a budget.
    pub(crate) fn mark_waiting(&mut self, budget: &BudgetId) {
        self.mark_due(budget);
        self.waiting.insert(Arc::clone(budget));
    }

    /// Notes that a budget is being spent, so that its rate is sampled.
    pub(crate) fn mark_active(&mut self, budget: &BudgetId) {
        self.active.insert(Arc::clone(budget));
    }

    /// Notes when a budget must be looked at even if nothing happens to it.
    pub(crate) fn add_timer(&mut self, budget: &BudgetId, at: Duration) {
        self.timers.insert((at, Arc::clone(budget)));
    }

    /// Returns the budgets that requests wait for.
    pub(crate) fn waiting(&self) -> Vec<BudgetId> {
        self.waiting.iter().map(Arc::clone).collect()
    }

    /// Notes that no request waits for a budget any longer.
    pub(crate) fn clear_waiting(&mut self, budget: &BudgetId) {
        self.waiting.remove(budget);
    }

    /// Takes out the budgets whose rates are to be sampled.
    pub(crate) fn take_active(&mut self) -> BTreeSet<BudgetId> {
        std::mem::take(&mut self.active)
    }

    /// Takes out the budgets that must be looked at now.
    pub(crate) fn take_due(&mut self, now: Duration) -> BTreeSet<BudgetId> {
        while self.timers.first().is_some_and(|(at, _)| *at <= now) {
            let timer = self.timers.pop_first();
            self.due.extend(timer.map(|(_, budget)| budget));
        }
        self.due.extend(self.waiting.iter().map(Arc::clone));
        std::mem::take(&mut self.due)
    }
}
