//! Filter: rate and concurrency limits of each client account on this instance.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use base::prelude::*;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, ready};
use ntex::http::StatusCode;

use crate::account::{Account, Accounts};
use crate::refusal::BUSY_RETRY_AFTER;
use crate::{Exchange, Filter, Refusal};

/// Rate limiter (generic cell rate algorithm) with a burst of one second's requests.
///
/// Its only state is the theoretical arrival time of the next request, so one atomic operation
/// admits or rejects a request.
#[derive(Debug, Default)]
pub struct Rate {
    theoretical_arrival_us: AtomicU64,
}

impl Rate {
    /// Admits a request at `now` under a limit of `per_second` requests.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request would be within the limit.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// let rate = flow::limit::Rate::default();
    /// let now = Duration::from_secs(9);
    /// assert!((0..5).all(|_| rate.admit(5, now).is_ok()));
    /// assert_eq!(rate.admit(5, now), Err(Duration::from_millis(200)));
    /// assert!(rate.admit(5, now + Duration::from_millis(200)).is_ok());
    /// ```
    pub fn admit(&self, per_second: u32, now: Duration) -> Result<(), Duration> {
        const SECOND_US: u64 = 1_000_000;
        let interval_us = SECOND_US / u64::from(per_second.max(1));
        let now = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        let next = |arrival: u64| {
            let next = arrival.max(now) + interval_us;
            (next <= now + SECOND_US).then_some(next)
        };
        let order = Ordering::Relaxed;
        self.theoretical_arrival_us.fetch_update(order, order, next).map(drop).map_err(|arrival| {
            let next = arrival.max(now) + interval_us;
            Duration::from_micros(next - now - SECOND_US)
        })
    }
}

/// Number of requests of one account in flight.
#[derive(Debug, Default)]
pub struct Concurrency {
    count: AtomicU32,
}

impl Concurrency {
    fn try_acquire(&self, limit: u32) -> bool {
        let more = |count: u32| (limit == 0 || count < limit).then_some(count + 1);
        self.count.fetch_update(Ordering::AcqRel, Ordering::Acquire, more).is_ok()
    }
}

/// Counts one request of an account as in flight until dropped.
#[derive(Debug)]
pub struct Permit {
    account: Arc<Account>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.account.concurrency.count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Refuses requests above the rate or concurrency limit of their account.
#[derive(Debug, Clone)]
pub struct Limit {
    accounts: Arc<Accounts>,
    clock: Arc<dyn Clock>,
}

impl Limit {
    /// Creates the filter with the instance's accounts.
    #[must_use]
    pub fn open(accounts: Arc<Accounts>, clock: Arc<dyn Clock>) -> Self {
        Self { accounts, clock }
    }

    fn check(&self, exchange: &mut Exchange) -> Result<(), Refusal> {
        let id = Arc::clone(&exchange.caller().account);
        let account = self.accounts.get_or_create(&id);
        let Some(row) = exchange.config.accounts.get(&id) else { return Ok(()) };
        if row.rate > 0 {
            account.rate_limit.admit(row.rate, self.clock.now()).map_err(rate_limited)?;
        }
        if !account.concurrency.try_acquire(row.concurrency) {
            return Err(concurrency_limited());
        }
        exchange.concurrency_permit = Some(Permit { account });
        Ok(())
    }
}

impl Filter for Limit {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<(), Refusal>> {
        ready(self.check(exchange)).boxed_local()
    }
}

fn rate_limited(wait: Duration) -> Refusal {
    let message = "the client account sends more requests a second than it may";
    Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, "rate_limited", message).with_retry_after(wait)
}

fn concurrency_limited() -> Refusal {
    let message = "the client account runs as many requests as it may";
    Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, "concurrency_limited", message)
        .with_retry_after(BUSY_RETRY_AFTER)
}
