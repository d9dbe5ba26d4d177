//! Handling of the table's replies.

use base::prelude::*;
use store::Row;

use super::{Batch, Cached, Core, Phase};
use crate::Error;
use crate::row::{self, Entry};

impl Core {
    pub(super) fn handle_applied(&mut self, batch: Batch, revision: u64, now: Duration) {
        self.holder_revision = revision;
        let max_exposure = self.settings.max_exposure;
        for (budget, row) in batch.rows {
            self.rows.insert(budget, Cached { revision, budget: row, read_at: now });
        }
        for (budget, delta) in batch.deltas {
            let allocation = self.allocation(&budget);
            allocation.held = delta.apply_to_held(allocation.held);
            allocation.to_return -= delta.returned;
            allocation.unfolded -= delta.folded;
            allocation.unfolded_since = (allocation.unfolded > 0).then_some(now);
            let limit = row::exposure(max_exposure, allocation.held);
            allocation.piece.set_exposure_limit(limit);
            allocation.piece.add(delta.added);
            self.schedule.mark_due(&budget);
        }
        for entry in &batch.entries {
            if let Entry::Intent(intent) = entry
                && let Some(allocation) = self.allocations.get(intent.budget.as_str())
            {
                allocation.piece.remove_unrecorded(intent.bound);
            }
        }
        for ack in batch.acks {
            // The receiver is gone if the request has ended.
            ack.send(()).unwrap_or_default();
        }
        if batch.closes_holder {
            self.phase = Phase::Closed;
        }
        self.notify_satisfied();
    }

    pub(super) fn handle_conflict(&mut self, batch: Batch, rows: &[Row], now: Duration) {
        let holder_key = row::holder_key(&self.holder);
        let holder = rows.iter().find(|row| row.key == holder_key);
        if let Some(row) = holder
            && row.revision != self.holder_revision
        {
            self.handle_changed_holder(batch, row, now);
            return;
        }
        // The holder row is unchanged, so the transaction was not applied. It never will be,
        // since a revision that it checks has been replaced.
        self.seq -= 1;
        for budget in batch.rows.keys() {
            self.refresh(budget, rows, now);
        }
        for budget in batch.deltas.keys() {
            self.schedule.mark_due(budget);
        }
        self.urgent = true;
        // Answers wait for these entries, which must not wait for budget rows that others change.
        self.journal_first = !batch.entries.is_empty();
        self.requeue(batch);
    }

    /// Distinguishes an applied transaction whose reply was lost from a fence.
    fn handle_changed_holder(&mut self, batch: Batch, row: &Row, now: Duration) {
        let holder: Option<row::Holder> = serde_json::from_value(row.value.clone()).ok();
        let own = holder.as_ref().is_some_and(|holder| holder.seq == self.seq);
        let open = holder.is_some_and(|holder| holder.state == row::State::Open);
        let fenced = !open && !batch.closes_holder;
        if own {
            self.handle_applied(batch, row.revision, now);
        }
        if fenced || !own {
            self.fence();
        }
    }

    fn requeue(&mut self, batch: Batch) {
        let newer = std::mem::replace(&mut self.entries, batch.entries);
        self.entries.extend(newer);
        let newer = std::mem::replace(&mut self.acks, batch.acks);
        self.acks.extend(newer);
    }

    pub(super) fn fence(&mut self) {
        self.phase = Phase::Fenced;
        self.acks.clear();
        self.fail_waiters(&Error::Fenced);
    }

    /// Caches a budget from rows just read; a missing row means an unknown budget.
    pub(super) fn refresh(&mut self, budget: &BudgetId, rows: &[Row], now: Duration) {
        let key = row::budget_key(budget);
        let row = rows.iter().find(|row| row.key == key);
        let parsed = row.and_then(|row| {
            let budget = serde_json::from_value(row.value.clone()).ok()?;
            Some(Cached { revision: row.revision, budget, read_at: now })
        });
        let unknown = Cached { revision: 0, budget: row::Budget::default(), read_at: now };
        self.rows.insert(Arc::clone(budget), parsed.unwrap_or(unknown));
    }
}
