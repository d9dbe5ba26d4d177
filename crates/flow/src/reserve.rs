//! Filter: reservation of the most tokens that a request can cost.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use ledger::Book;

use crate::{Exchange, Filter, Refusal};

/// Reserves the cost bound in this instance's piece of the budget.
#[derive(Debug, Clone)]
pub struct Reserve {
    ledger: Book,
}

impl Reserve {
    /// Creates the filter with the ledger that holds the pieces.
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
