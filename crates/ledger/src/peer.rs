//! Recalls: requests to other holders to return free tokens.

use base::prelude::*;
use futures::future::LocalBoxFuture;

/// Request to the other holders to return free tokens of a budget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recall {
    /// Budget that lacks tokens; a recall of a parent applies to all its budgets.
    pub budget: BudgetId,
    /// Tokens that the sender lacks; each receiver returns at most as many.
    pub tokens: Tokens,
}

/// Transport of recalls to the other holders.
///
/// A recall itself moves no tokens: the receiver returns them to the table by its own fenced
/// transaction, and the sender takes them from the table. A message that is lost, duplicated,
/// delayed or reordered can therefore neither lose nor duplicate a token.
pub trait Peers {
    /// Sends a recall to the other holders; unreachable peers are skipped.
    fn recall(&self, recall: Recall) -> LocalBoxFuture<'_, ()>;
}

/// Transport of an instance without peers, which drops every recall.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoPeers;

impl Peers for NoPeers {
    fn recall(&self, _recall: Recall) -> LocalBoxFuture<'_, ()> {
        Box::pin(std::future::ready(()))
    }
}
