//! Filters that a request passes before dispatch, and their order.

use std::fmt;

use futures::future::LocalBoxFuture;

use crate::{Exchange, Refusal};

/// A step that checks or completes each request before dispatch.
pub trait Filter: fmt::Debug {
    /// Adds to the exchange, or returns the refusal that ends it.
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<(), Refusal>>;
}

/// Filters in the order in which they run.
#[derive(Debug, Default)]
pub struct Chain {
    filters: Vec<Box<dyn Filter>>,
}

impl Chain {
    /// Appends a filter that runs after those added before.
    #[must_use]
    pub fn then(mut self, filter: impl Filter + 'static) -> Self {
        self.filters.push(Box::new(filter));
        self
    }

    /// Runs the filters until one refuses or finds a stored answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the first filter that refuses.
    pub async fn apply(&self, exchange: &mut Exchange) -> Result<(), Refusal> {
        for filter in &self.filters {
            filter.apply(exchange).await?;
            if exchange.replay.is_some() {
                break;
            }
        }
        Ok(())
    }
}
