//! What the writer knows about one budget that it holds a piece of.

use base::prelude::*;
use futures::channel::oneshot;

use crate::Error;
use crate::core::Settings;
use crate::piece::Piece;
use crate::row;

/// A reply to a request that waits for a refill.
pub(crate) type Reply = oneshot::Sender<Result<(), Error>>;

/// Spending below this rate, in tokens per second, counts as none.
const MIN_RATE: f64 = 1.0;
/// Weight of the newest sample of a rate.
const SAMPLE_WEIGHT: f64 = 0.3;

/// A request that waits for a refill.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) tokens: Tokens,
    pub(crate) waiting_since: Duration,
    pub(crate) reply: Reply,
}

/// A budget of which the instance holds a piece or requests one.
#[derive(Debug, Default)]
pub(crate) struct Allocation {
    pub(crate) piece: Arc<Piece>,
    /// Tokens in the piece row.
    pub(crate) held: Tokens,
    /// Billed tokens that are not yet part of the budget row's `billed`.
    pub(crate) unfolded: Tokens,
    /// Tokens taken out of the piece that the next transaction gives back.
    pub(crate) to_return: Tokens,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) unfolded_since: Option<Duration>,
    pub(crate) tokens_per_second: f64,
    pub(crate) sampled_spent: Tokens,
    /// Time of the last timer that was set.
    pub(crate) timer_at: Option<Duration>,
}

/// What one transaction changes about a piece.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Delta {
    pub(crate) added: Tokens,
    pub(crate) returned: Tokens,
    pub(crate) folded: Tokens,
}

impl Delta {
    pub(crate) fn is_zero(self) -> bool {
        self == Self::default()
    }

    /// Returns the tokens held after this change.
    pub(crate) fn apply_to_held(self, held: Tokens) -> Tokens {
        held + self.added - self.returned - self.folded
    }

    /// Returns a budget row after this change, or `None` if the row holds less than it takes out.
    pub(crate) fn apply_to_budget(self, row: &row::Budget) -> Option<row::Budget> {
        let held = (row.held + self.added).checked_sub(self.returned + self.folded)?;
        Some(row::Budget { held, billed: row.billed + self.folded, ..row.clone() })
    }
}

impl Allocation {
    pub(crate) fn open(piece: Arc<Piece>) -> Self {
        Self { piece, ..Self::default() }
    }

    /// Returns true if nothing is known about the budget that must be kept.
    pub(crate) fn is_empty(&self) -> bool {
        let idle = self.held == 0 && self.unfolded == 0 && self.to_return == 0;
        let piece = &self.piece;
        let unused = piece.free() == 0 && piece.reserved() == 0 && piece.unrecorded() == 0;
        idle && unused && self.waiters.is_empty()
    }

    /// Updates the rate of spending and returns true while it is worth sampling.
    pub(crate) fn update_rate(&mut self, interval: Duration) -> bool {
        let spent = self.piece.spent();
        let rate = as_f64(spent - self.sampled_spent) / interval.as_secs_f64();
        self.tokens_per_second += SAMPLE_WEIGHT * (rate - self.tokens_per_second);
        self.sampled_spent = spent;
        if self.tokens_per_second < MIN_RATE {
            self.tokens_per_second = 0.0;
        }
        self.tokens_per_second > 0.0
    }

    /// Answers the requests for which enough has become free.
    pub(crate) fn notify_satisfied(&mut self) {
        let free = self.piece.free();
        let (satisfied, rest) = self.waiters.drain(..).partition(|waiter| waiter.tokens <= free);
        self.waiters = rest;
        let satisfied: Vec<Waiter> = satisfied;
        for waiter in satisfied {
            send_reply(waiter.reply, Ok(()));
        }
    }

    /// Fails everything that waits.
    pub(crate) fn fail_waiters(&mut self, error: &Error) {
        for waiter in self.waiters.drain(..) {
            send_reply(waiter.reply, Err(error.clone()));
        }
    }

    pub(crate) fn is_due(
        &self,
        settings: &Settings,
        available: Option<Tokens>,
        now: Duration,
        closing: bool,
    ) -> bool {
        let fold_due = self.fold_due_at(settings).is_some_and(|at| now >= at);
        let return_due = self.is_idle(settings, now, closing) && self.piece.free() > 0;
        let growth_due = available.is_some_and(|available| self.is_low(settings, available));
        let final_fold = closing && self.unfolded > 0;
        fold_due
            || return_due
            || growth_due
            || final_fold
            || !self.waiters.is_empty()
            || self.to_return > 0
    }

    /// Returns when the budget must be looked at again if nothing happens to it.
    pub(crate) fn next_due_at(&self, settings: &Settings, now: Duration) -> Option<Duration> {
        let idle_at = Duration::from_millis(self.piece.used_at_ms()) + settings.idle_timeout;
        // Tokens in use come back by themselves, and their bill marks the budget.
        let return_at = (self.held > 0).then(|| idle_at.max(now + settings.fold_delay));
        self.fold_due_at(settings).into_iter().chain(return_at).min()
    }

    fn fold_due_at(&self, settings: &Settings) -> Option<Duration> {
        self.unfolded_since.map(|at| at + settings.fold_delay)
    }

    /// Returns true if the waiting requests exceed what is left.
    pub(crate) fn is_short_of_tokens(&self, available: Tokens) -> bool {
        let wanted: Tokens = self.waiters.iter().map(|waiter| waiter.tokens).sum();
        wanted > available + self.piece.free() + self.to_return
    }

    pub(crate) fn is_idle(&self, settings: &Settings, now: Duration, closing: bool) -> bool {
        let used_at = Duration::from_millis(self.piece.used_at_ms());
        closing || now.saturating_sub(used_at) >= settings.idle_timeout
    }

    /// Returns true if the piece should grow before it runs out.
    fn is_low(&self, settings: &Settings, available: Tokens) -> bool {
        let target = settings.policy.target(self.tokens_per_second, available);
        self.tokens_per_second > 0.0 && self.piece.free() < target / 2
    }

    /// Decides what the budget gets, gives back and folds.
    pub(crate) fn compute_delta(
        &mut self,
        settings: &Settings,
        recall_timeout: Duration,
        available: Tokens,
        now: Duration,
        closing: bool,
    ) -> Delta {
        let mut delta = Delta { folded: self.unfolded, ..Delta::default() };
        if self.is_idle(settings, now, closing) && self.waiters.is_empty() {
            self.to_return += self.piece.withdraw(Tokens::MAX);
            delta.returned = self.to_return;
            return delta;
        }
        if !self.waiters.is_empty() {
            // Tokens on their way back serve a request that waits here as well as any other.
            self.piece.add(std::mem::take(&mut self.to_return));
        }
        let free = self.piece.free();
        let needed =
            self.reject_unsatisfiable(recall_timeout, available + free, now).saturating_sub(free);
        let target = settings.policy.target(self.tokens_per_second, available).saturating_sub(free);
        delta.returned = self.to_return;
        // What goes back on a recall must not be taken again by the same transaction.
        let prefetched = if self.to_return == 0 { target } else { 0 };
        delta.added = needed.max(prefetched).min(available);
        delta
    }

    /// Returns how many tokens the waiting requests lack even after a change.
    pub(crate) fn missing_tokens(&self, added: Tokens) -> Tokens {
        let wanted: Tokens = self.waiters.iter().map(|waiter| waiter.tokens).sum();
        wanted.saturating_sub(self.piece.free() + added)
    }

    /// Refuses requests that cannot be met and returns the sum of those that can.
    ///
    /// A request that exceeds the limit is kept for a short time, in which other holders may give
    /// back what they do not use.
    fn reject_unsatisfiable(
        &mut self,
        recall_timeout: Duration,
        limit: Tokens,
        now: Duration,
    ) -> Tokens {
        let mut total = 0;
        let mut kept = Vec::with_capacity(self.waiters.len());
        for waiter in self.waiters.drain(..) {
            if total + waiter.tokens <= limit {
                total += waiter.tokens;
                kept.push(waiter);
            } else if now.saturating_sub(waiter.waiting_since) < recall_timeout {
                kept.push(waiter);
            } else {
                let available = limit - total;
                send_reply(waiter.reply, Err(Error::Exhausted { available, bound: waiter.tokens }));
            }
        }
        self.waiters = kept;
        total
    }
}

fn send_reply(reply: Reply, result: Result<(), Error>) {
    // A caller that has gone away needs no answer.
    reply.send(result).unwrap_or_default();
}

#[expect(clippy::cast_precision_loss, reason = "rates need no exact integers")]
fn as_f64(tokens: Tokens) -> f64 {
    tokens as f64
}
