//! State of each client account in the memory of this instance.

use std::collections::HashMap;

use arc_swap::ArcSwap;
use base::prelude::*;

use crate::limit::{Concurrency, Rate};
use crate::retry::Budget;

/// Counters of one client account; each instance counts only its own requests.
#[derive(Debug, Default)]
pub struct Account {
    /// Limits the retries that requests of the account cause.
    pub retry_budget: Budget,
    /// Limits the requests per second of the account.
    pub rate_limit: Rate,
    /// Counts the requests of the account in flight.
    pub concurrency: Concurrency,
}

/// Accounts that have sent requests to this instance; lookups take no lock.
#[derive(Debug, Default)]
pub struct Accounts {
    map: ArcSwap<HashMap<AccountId, Arc<Account>>>,
}

impl Accounts {
    /// Returns the state of an account; creates it on the first request.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::sync::Arc;
    /// let accounts = flow::account::Accounts::default();
    /// let first = accounts.get_or_create(&"shop".into());
    /// assert!(Arc::ptr_eq(&first, &accounts.get_or_create(&"shop".into())));
    /// ```
    pub fn get_or_create(&self, account: &AccountId) -> Arc<Account> {
        if let Some(existing) = self.map.load().get(account) {
            return Arc::clone(existing);
        }
        let created = Arc::new(Account::default());
        self.map.rcu(|map| {
            let mut map = HashMap::clone(map);
            map.entry(Arc::clone(account)).or_insert_with(|| Arc::clone(&created));
            map
        });
        self.map.load().get(account).map_or(created, Arc::clone)
    }
}
