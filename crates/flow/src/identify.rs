//! Filter: authentication of the caller by its API key.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use ntex::http::StatusCode;
use plan::Keyring;
use plan::hash::digest;

use crate::exchange::Caller;
use crate::{Exchange, Filter, Refusal};

/// Looks up the client account and the budget of the caller's API key.
#[derive(Debug, Clone)]
pub struct Identify {
    keys: Keyring,
}

impl Identify {
    /// Creates the filter with the keyring that it looks keys up in.
    #[must_use]
    pub fn open(keys: Keyring) -> Self {
        Self { keys }
    }

    async fn identify(&self, exchange: &mut Exchange) -> Result<(), Refusal> {
        let bearer = exchange.bearer_key.as_deref().ok_or_else(|| unauthorized("no bearer key"))?;
        let found = self.keys.find(&digest(bearer)).await?;
        let key = found.ok_or_else(|| unauthorized("unknown key"))?;
        let class = exchange.config.accounts.get(&key.account).map(|account| account.class);
        exchange.caller = Some(Caller {
            account: key.account,
            class: class.unwrap_or_default(),
            budget: key.budget,
        });
        Ok(())
    }
}

impl Filter for Identify {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<(), Refusal>> {
        self.identify(exchange).boxed_local()
    }
}

fn unauthorized(message: &str) -> Refusal {
    Refusal::not_run(StatusCode::UNAUTHORIZED, "invalid_api_key", message)
}
