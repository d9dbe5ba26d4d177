//! Filter: reservation of the upper bound of the cost.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use ledger::Book;

use crate::{Exchange, Filter, Refusal};

/// Reserves the bound from this instance's piece of the budget.
#[derive(Debug, Clone)]
pub struct Reserve {
    ledger: Book,
}

impl Reserve {
    /// Opens the filter over a ledger.
    #[must_use]
    pub fn open(ledger: Book) -> Self {
        Self { ledger }
    }

    async fn reserve(&self, exchange: &mut Exchange) -> Result<(), Refusal> {
        let budget = &exchange.caller().budget;
        let hold = self.ledger.reserve(&exchange.request_id, budget, exchange.bound).await?;
        exchange.hold = Some(hold);
        Ok(())
    }
}

impl Filter for Reserve {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<(), Refusal>> {
        self.reserve(exchange).boxed_local()
    }
}
