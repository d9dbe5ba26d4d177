//! What holders ask of one another.

use base::prelude::*;
use futures::future::LocalBoxFuture;

/// A request to the other holders to give back free tokens of a budget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recall {
    /// Budget, or parent of budgets, that is short.
    pub budget: BudgetId,
    /// Tokens that are missing.
    pub tokens: Tokens,
}

/// The way to the other holders.
///
/// A recall moves no tokens by itself: the donor returns them to the table by its own fenced
/// transaction, and the asking holder takes them from there. A message that is lost, doubled,
/// delayed or reordered can therefore neither lose nor double a token.
pub trait Peers {
    /// Passes a recall on to the other holders of the budget, as far as they can be reached.
    fn recall(&self, recall: Recall) -> LocalBoxFuture<'_, ()>;
}

/// No way to other holders.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoPeers;

impl Peers for NoPeers {
    fn recall(&self, _recall: Recall) -> LocalBoxFuture<'_, ()> {
        Box::pin(std::future::ready(()))
    }
}
