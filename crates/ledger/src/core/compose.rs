//! Composition of the next transaction.

use std::collections::BTreeSet;

use base::clock::millis;
use base::prelude::*;
use store::Txn;

use super::{Batch, Core, MAX_ROW_AGE, Phase, RECALL_POLL_INTERVAL, Step};
use crate::Error;
use crate::peer::Recall;
use crate::row;

impl Core {
    /// Returns the keys of rows to read before the due budgets are handled.
    pub(super) fn keys_to_read(&self, due: &[BudgetId], now: Duration) -> Vec<String> {
        let mut keys = BTreeSet::new();
        for budget in due {
            let Some(own) = self.rows.get(budget) else {
                keys.insert(row::budget_key(budget));
                continue;
            };
            let allocation = &self.allocations[budget];
            let mut hierarchy = vec![(budget.as_ref(), own)];
            if let Some(parent) = own.budget.parent.as_deref() {
                match self.rows.get(parent) {
                    Some(cached) => hierarchy.push((parent, cached)),
                    None => drop(keys.insert(row::budget_key(parent))),
                }
            }
            // A refusal must be based on the current rows, not on stale ones. They are read together,
            // since rows that are read in turn may never be current at the same time.
            let needs_read = hierarchy.iter().any(|(_, cached)| {
                let is_stale = now.saturating_sub(cached.read_at) > MAX_ROW_AGE;
                is_stale && allocation.is_short_of_tokens(cached.budget.available())
            });
            if needs_read {
                keys.extend(hierarchy.iter().map(|(name, _)| row::budget_key(name)));
            }
        }
        keys.into_iter().collect()
    }

    pub(super) fn compose(&mut self, due: &[BudgetId], now: Duration, wall: Duration) -> Step {
        let mut batch = Batch::default();
        self.urgent = false;
        for budget in due {
            self.compose_budget(budget, &mut batch, now);
            self.set_timer(budget, now);
        }
        if self.is_finished() {
            return Step::Idle;
        }
        batch.closes_holder = self.is_closing() && self.is_drained(&batch);
        let is_empty = batch.deltas.is_empty() && self.entries.is_empty() && !batch.closes_holder;
        if is_empty && !self.is_lease_due(now) {
            return Step::Idle;
        }
        batch.entries = std::mem::take(&mut self.entries);
        batch.acks = std::mem::take(&mut self.acks);
        self.expedited = false;
        self.seq += 1;
        self.lower_exposure_limits(&batch);
        let txn = self.transaction(&batch, wall);
        self.renewed_at = Some(now);
        self.composed_at = Some(now);
        self.in_flight = Some(batch);
        Step::Commit(txn)
    }

    /// Adds one budget's change to the batch: tokens added, returned and folded.
    fn compose_budget(&mut self, budget: &BudgetId, batch: &mut Batch, now: Duration) {
        let hierarchy = self.hierarchy(budget);
        let rows: Vec<row::Budget> =
            hierarchy.iter().map(|name| self.row_after(name, batch)).collect();
        let available = rows.iter().map(row::Budget::available).min().unwrap_or_default();
        let exists = self.rows[budget].revision != 0;
        let allocation = self.allocations.get_mut(budget).expect("due budgets have an allocation");
        if !exists {
            allocation.fail_waiters(&Error::UnknownBudget);
            allocation.unfolded_since = None;
            self.schedule.clear_waiting(budget);
            return;
        }
        let closing = self.phase == Phase::Closing;
        let others_hold = rows.iter().any(|row| row.held > allocation.held);
        let recall_timeout =
            if others_hold { self.settings.recall_timeout } else { Duration::ZERO };
        let delta =
            allocation.compute_delta(&self.settings, recall_timeout, available, now, closing);
        let missing = allocation.missing_tokens(delta.added);
        if allocation.waiters.is_empty() {
            self.schedule.clear_waiting(budget);
        } else if missing > 0 {
            self.schedule.add_timer(budget, now + RECALL_POLL_INTERVAL);
            let scarcest = rows.iter().position(|row| row.available() == available);
            let name = &hierarchy[scarcest.unwrap_or_default()];
            self.recalls.push(Recall { budget: Arc::clone(name), tokens: missing });
        }
        if delta.is_zero() {
            return;
        }
        let Some(rows) =
            rows.iter().map(|row| delta.apply_to_budget(row)).collect::<Option<Vec<_>>>()
        else {
            // A row whose `held` is smaller than this holder's piece breaks the invariant of
            // budget rows. Writes that are based on it could overspend the budget.
            self.fence();
            return;
        };
        batch.deltas.insert(Arc::clone(budget), delta);
        batch.rows.extend(hierarchy.into_iter().zip(rows));
    }

    /// Returns a budget followed by its parent, if it has one.
    fn hierarchy(&self, budget: &BudgetId) -> Vec<BudgetId> {
        let parent = self.rows[budget].budget.parent.as_deref().map(Arc::<str>::from);
        std::iter::once(Arc::clone(budget)).chain(parent).collect()
    }

    /// Returns a budget row with the changes of the batch applied.
    fn row_after(&self, budget: &BudgetId, batch: &Batch) -> row::Budget {
        batch.rows.get(budget).unwrap_or(&self.rows[budget].budget).clone()
    }

    /// Lowers the exposure limits of shrinking pieces before the table states their new size.
    fn lower_exposure_limits(&self, batch: &Batch) {
        for (budget, delta) in &batch.deltas {
            let allocation = &self.allocations[budget];
            let limit =
                row::exposure(self.settings.max_exposure, delta.apply_to_held(allocation.held));
            allocation.piece.set_exposure_limit(limit.min(allocation.piece.exposure_limit()));
        }
    }

    fn transaction(&self, batch: &Batch, wall: Duration) -> Txn {
        let mut txn = Txn::default();
        let holder_key = row::holder_key(&self.holder);
        let state = if batch.closes_holder { row::State::Closed } else { row::State::Open };
        let lease_until = millis(wall + self.settings.lease);
        let exposed = self.settings.max_exposure;
        txn.check(&holder_key, self.holder_revision);
        txn.put(&holder_key, &row::Holder { state, seq: self.seq, lease_until, exposed });
        if !batch.entries.is_empty() {
            let journal = row::Journal { entries: batch.entries.clone() };
            txn.put(row::journal_key(&self.holder, self.seq), &journal);
        }
        for (budget, row) in &batch.rows {
            let key = row::budget_key(budget);
            txn.check(&key, self.rows[budget].revision);
            txn.put(key, row);
        }
        for (budget, delta) in &batch.deltas {
            let held = delta.apply_to_held(self.allocations[budget].held);
            let key = row::piece_key(&self.holder, budget);
            if held == 0 {
                txn.delete(key);
            } else {
                txn.put(key, &row::Piece { held, folded: self.seq });
            }
        }
        txn
    }

    fn is_lease_due(&self, now: Duration) -> bool {
        self.renewed_at.is_none_or(|at| now.saturating_sub(at) >= self.settings.lease / 3)
    }

    fn is_drained(&self, batch: &Batch) -> bool {
        self.allocations.iter().all(|(budget, allocation)| {
            let delta = batch.deltas.get(budget).copied().unwrap_or_default();
            delta.apply_to_held(allocation.held) == 0
        })
    }
}
