//! State of one budget in the writer: its piece and its waiting requests.

use base::prelude::*;
use futures::channel::oneshot;

use crate::Error;
use crate::core::Settings;
use crate::piece::Piece;
use crate::row;

/// Channel that notifies a waiting request of the result of its refill.
pub(crate) type Reply = oneshot::Sender<Result<(), Error>>;

/// Spending rate in tokens per second below which the rate is set to 0.
const MIN_RATE: f64 = 1.0;
/// Weight of the newest sample in the moving average of the rate.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Request that waits for a refill.
#[derive(Debug)]
pub(crate) struct Waiter {
    /// Tokens that must be free before the request is notified.
    pub(crate) tokens: Tokens,
    pub(crate) waiting_since: Duration,
    pub(crate) reply: Reply,
}

/// State of a budget of which the instance holds a piece or has requested one.
#[derive(Debug, Default)]
pub(crate) struct Allocation {
    pub(crate) piece: Arc<Piece>,
    /// Tokens in the piece row as last committed.
    pub(crate) held: Tokens,
    /// Billed tokens that the budget row's `billed` does not include yet.
    pub(crate) unfolded: Tokens,
    /// Tokens withdrawn from the piece for the next transaction to return.
    pub(crate) to_return: Tokens,
    pub(crate) waiters: Vec<Waiter>,
    /// Start of the fold delay; `None` while nothing is unfolded.
    pub(crate) unfolded_since: Option<Duration>,
    /// Moving average of the spending rate.
    pub(crate) tokens_per_second: f64,
    /// Tokens spent from the piece up to the last sample.
    pub(crate) sampled_spent: Tokens,
    /// Time of the timer that was set last; it may have expired.
    pub(crate) timer_at: Option<Duration>,
}

/// Change of a piece by one transaction, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Delta {
    /// Tokens moved from the budget into the piece.
    pub(crate) added: Tokens,
    /// Tokens moved from the piece back to the budget.
    pub(crate) returned: Tokens,
    /// Tokens added to the budget row's `billed`.
    pub(crate) folded: Tokens,
}

impl Delta {
    pub(crate) fn is_zero(self) -> bool {
        self == Self::default()
    }

    /// Returns the tokens in the piece after this change, given those before it.
    pub(crate) fn apply_to_held(self, held: Tokens) -> Tokens {
        held + self.added - self.returned - self.folded
    }

    /// Returns the budget row after this change, or `None` if its `held` is too small.
    pub(crate) fn apply_to_budget(self, row: &row::Budget) -> Option<row::Budget> {
        let held = (row.held + self.added).checked_sub(self.returned + self.folded)?;
        Some(row::Budget { held, billed: row.billed + self.folded, ..row.clone() })
    }
}

impl Allocation {
    pub(crate) fn open(piece: Arc<Piece>) -> Self {
        Self { piece, ..Self::default() }
    }

    /// Returns true if the budget has no state that must be kept.
    pub(crate) fn is_empty(&self) -> bool {
        let idle = self.held == 0 && self.unfolded == 0 && self.to_return == 0;
        let piece = &self.piece;
        let unused = piece.free() == 0 && piece.reserved() == 0 && piece.unrecorded() == 0;
        idle && unused && self.waiters.is_empty()
    }

    /// Samples the spending rate and returns true while it is above 0.
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

    /// Notifies the waiting requests for which enough tokens are free.
    pub(crate) fn notify_satisfied(&mut self) {
        let free = self.piece.free();
        let (satisfied, rest) = self.waiters.drain(..).partition(|waiter| waiter.tokens <= free);
        self.waiters = rest;
        let satisfied: Vec<Waiter> = satisfied;
        for waiter in satisfied {
            send_reply(waiter.reply, Ok(()));
        }
    }

    /// Fails all requests that wait for a refill.
    pub(crate) fn fail_waiters(&mut self, error: &Error) {
        for waiter in self.waiters.drain(..) {
            send_reply(waiter.reply, Err(error.clone()));
        }
    }

    /// Returns true if the next transaction must include the budget.
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

    /// Returns when the budget becomes due without a further message about it.
    pub(crate) fn next_due_at(&self, settings: &Settings, now: Duration) -> Option<Duration> {
        let idle_at = Duration::from_millis(self.piece.used_at_ms()) + settings.idle_timeout;
        // An idle piece is checked again after each fold delay, as long as it holds tokens.
        let return_at = (self.held > 0).then(|| idle_at.max(now + settings.fold_delay));
        self.fold_due_at(settings).into_iter().chain(return_at).min()
    }

    fn fold_due_at(&self, settings: &Settings) -> Option<Duration> {
        self.unfolded_since.map(|at| at + settings.fold_delay)
    }

    /// Returns true if the waiting requests need more than this holder can get.
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

    /// Computes what the next transaction adds to the piece, returns and folds.
    ///
    /// Waiting requests that cannot be satisfied are refused.
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
            // Local requests wait for tokens too, so recalled tokens are kept for them.
            self.piece.add(std::mem::take(&mut self.to_return));
        }
        let free = self.piece.free();
        let needed =
            self.reject_unsatisfiable(recall_timeout, available + free, now).saturating_sub(free);
        let target = settings.policy.target(self.tokens_per_second, available).saturating_sub(free);
        delta.returned = self.to_return;
        // The transaction that returns recalled tokens must not take them again.
        let prefetched = if self.to_return == 0 { target } else { 0 };
        delta.added = needed.max(prefetched).min(available);
        delta
    }

    /// Returns the tokens that waiting requests still lack after `added` more.
    pub(crate) fn missing_tokens(&self, added: Tokens) -> Tokens {
        let wanted: Tokens = self.waiters.iter().map(|waiter| waiter.tokens).sum();
        wanted.saturating_sub(self.piece.free() + added)
    }

    /// Refuses requests beyond `limit` and returns the tokens that those within it need.
    ///
    /// A request beyond the limit is kept for `recall_timeout` first, in which other holders may
    /// return tokens that they do not use.
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
    // The receiver is gone if the request was cancelled.
    reply.send(result).unwrap_or_default();
}

#[expect(clippy::cast_precision_loss, reason = "a rate needs no exact integer")]
fn as_f64(tokens: Tokens) -> f64 {
    tokens as f64
}
