//! What this instance remembers about each client account.

use std::collections::HashMap;

use arc_swap::ArcSwap;
use base::prelude::*;

use crate::limit::{Concurrency, Rate};
use crate::retry::Budget;

/// One client account at this instance.
#[derive(Debug, Default)]
pub struct Account {
    /// Retries that its requests may cause.
    pub retry_budget: Budget,
    /// Its rate limit.
    pub rate_limit: Rate,
    /// Its requests that run now.
    pub concurrency: Concurrency,
}

/// All client accounts that were seen here, read without locks.
#[derive(Debug, Default)]
pub struct Accounts {
    map: ArcSwap<HashMap<AccountId, Arc<Account>>>,
}

impl Accounts {
    /// Returns the state of an account, creating it if needed.
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
