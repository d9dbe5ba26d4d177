//! Order in which requests that wait for tokens of one share are served.
//!
//! Answers the load of an outage of the store: the spend limit of a share then grows more slowly
//! than its requests arrive. The most urgent ones come first, and a request waits only if the limit
//! covers it soon, after all those ahead of it.

use std::collections::VecDeque;

use base::prelude::*;

/// A request that waits for tokens.
#[derive(Debug)]
pub struct Waiter<R> {
    /// Tokens that the request needs.
    pub bound: Tokens,
    /// Urgency of the request; 0 is the most urgent.
    pub rank: u8,
    /// Time after which the request no longer waits for a spend limit to grow.
    pub expires_at: Duration,
    /// Channel to the request.
    pub reply: R,
}

/// Requests that wait for tokens, the most urgent first, equally urgent ones by arrival.
#[derive(Debug)]
pub struct Backlog<R> {
    waiters: VecDeque<(u64, Waiter<R>)>,
    next_ticket: u64,
}

impl<R> Default for Backlog<R> {
    fn default() -> Self {
        Self { waiters: VecDeque::new(), next_ticket: 0 }
    }
}

impl<R> Backlog<R> {
    /// Adds a request and returns its ticket.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use ledger::escrow::backlog::{Backlog, Waiter};
    ///
    /// let expires_at = Duration::from_secs(9);
    /// let mut backlog = Backlog::default();
    /// backlog.push(Waiter { bound: 50, rank: 2, expires_at, reply: "tag" });
    /// backlog.push(Waiter { bound: 900, rank: 0, expires_at, reply: "match" });
    /// assert_eq!(backlog.pop().map(|waiter| waiter.reply), Some("match"));
    /// ```
    pub fn push(&mut self, waiter: Waiter<R>) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let position = self.waiters.partition_point(|(_, other)| other.rank <= waiter.rank);
        self.waiters.insert(position, (ticket, waiter));
        ticket
    }

    /// Returns true if no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the request that is served next.
    #[must_use]
    pub fn first(&self) -> Option<&Waiter<R>> {
        self.waiters.front().map(|(_, waiter)| waiter)
    }

    /// Removes the request that is served next.
    pub fn pop(&mut self) -> Option<Waiter<R>> {
        self.waiters.pop_front().map(|(_, waiter)| waiter)
    }

    /// Removes the requests of which `is_waiting` returns false.
    pub fn retain(&mut self, is_waiting: impl Fn(&R) -> bool) {
        self.waiters.retain(|(_, waiter)| is_waiting(&waiter.reply));
    }

    /// Returns true if a request waits of which `is_waiting` returns true.
    pub fn has_waiters(&mut self, is_waiting: impl Fn(&R) -> bool) -> bool {
        self.retain(is_waiting);
        !self.is_empty()
    }

    /// Returns true if a request that is at least as urgent as `rank` waits.
    pub fn precedes(&mut self, rank: u8, is_waiting: impl Fn(&R) -> bool) -> bool {
        self.retain(is_waiting);
        self.first().is_some_and(|first| first.rank <= rank)
    }

    /// Returns how long a request has to wait until its tokens and those ahead of it are covered.
    ///
    /// `covered_in` returns the delay until the share covers an amount. `None` means that the
    /// request is not covered before it expires, or does not wait any more.
    pub fn wait_of(
        &self,
        ticket: u64,
        now: Duration,
        covered_in: impl Fn(Tokens) -> Option<Duration>,
    ) -> Option<Duration> {
        let position = self.waiters.iter().position(|(other, _)| *other == ticket)?;
        let tokens = self.waiters.iter().take(position + 1).map(|(_, waiter)| waiter.bound).sum();
        let wait = covered_in(tokens)?;
        (now + wait <= self.waiters[position].1.expires_at).then_some(wait)
    }

    /// Removes the requests that are not covered before they expire, and returns them.
    ///
    /// A removed request leaves its tokens to those behind it.
    pub fn remove_uncovered(
        &mut self,
        now: Duration,
        covered_in: impl Fn(Tokens) -> Option<Duration>,
    ) -> Vec<Waiter<R>> {
        let mut tokens = 0;
        let (covered, uncovered) = self.waiters.drain(..).partition::<Vec<_>, _>(|(_, waiter)| {
            let wait = covered_in(tokens + waiter.bound);
            let is_covered = wait.is_some_and(|wait| now + wait <= waiter.expires_at);
            tokens += if is_covered { waiter.bound } else { 0 };
            is_covered
        });
        self.waiters = covered.into();
        uncovered.into_iter().map(|(_, waiter)| waiter).collect()
    }
}
