//! Loans of tokens between the holders of an account.
//!
//! Answers two load patterns: an outage of the store in which the callers of an account use other
//! instances than those that hold its tokens, and the end of a budget, when its last tokens lie in
//! remainders at many instances.
//!
//! A loan counts as used in the share of the lender before it is granted, so that no failure lets
//! a token be spent twice. A loan whose answer is lost stays unused.

use std::collections::HashMap;

use base::clock::millis;
use base::prelude::*;
use futures::future::LocalBoxFuture;

use super::row::Grant;

/// Time for which a holder is not asked again that lent less than it was asked for.
///
/// Its spend limit grows meanwhile.
const SHORT_PAUSE: Duration = Duration::from_millis(300);
/// Time for which a holder is not asked again that did not answer.
const SILENT_PAUSE: Duration = Duration::from_secs(2);
/// Divisor of the requested tokens; a holder that can lend less than the quotient lends nothing.
const MIN_LOAN_DIVISOR: Tokens = 4;

/// Other instances that may hold tokens of an account.
pub trait Peers: std::fmt::Debug {
    /// Asks an instance to lend tokens of an account, and returns how many it has lent.
    ///
    /// `None` means that no answer arrived in time. The instance may have lent them nevertheless.
    fn borrow<'a>(
        &'a self,
        lender: &'a InstanceId,
        account: &'a AccountId,
        tokens: Tokens,
    ) -> LocalBoxFuture<'a, Option<Tokens>>;

    /// Returns true unless the instance is known to be off.
    fn is_alive(&self, instance: &InstanceId) -> bool;

    /// Returns the instances that are asked although no row of theirs is known.
    fn listed(&self) -> Vec<InstanceId>;
}

/// Returns how many of the requested tokens a holder lends that can spare `lendable`.
///
/// # Examples
///
/// ```
/// use ledger::escrow::loan;
/// assert_eq!(loan::size(1_000, 5_000), 1_000);
/// assert_eq!(loan::size(1_000, 400), 400);
/// // So small a part would rarely complete a request.
/// assert_eq!(loan::size(1_000, 249), 0);
/// ```
#[must_use]
pub fn size(requested: Tokens, lendable: Tokens) -> Tokens {
    let lent = requested.min(lendable);
    if lent < requested.div_ceil(MIN_LOAN_DIVISOR) { 0 } else { lent }
}

/// Holders of one account that may lend tokens, as known to one instance.
#[derive(Debug, Default)]
pub struct Lenders {
    /// Rows of the other holders, as last read.
    rows: HashMap<InstanceId, Grant>,
    /// Times until which holders are not asked.
    paused_until: HashMap<InstanceId, Duration>,
}

impl Lenders {
    /// Replaces the known rows by those read last, without the own one.
    pub fn set_rows(&mut self, rows: HashMap<InstanceId, Grant>) {
        self.rows = rows;
    }

    /// Returns the holder to ask next of those that `may_ask` accepts.
    ///
    /// That is the one whose row lets it use the most tokens by `store_now`. After these come the
    /// instances of `listed` of which no row is known, since it may be younger than the last read.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use ledger::escrow::Grant;
    /// use ledger::escrow::loan::Lenders;
    ///
    /// let now = Duration::ZERO;
    /// let row = |granted, used| Grant { granted, used, exposure: granted, ..Grant::default() };
    /// let mut lenders = Lenders::default();
    /// let listed = ["west".into()];
    /// assert_eq!(lenders.next(|_| true, &listed, now, Some(now)), Some("west".into()));
    /// lenders.set_rows([("north".into(), row(90, 80)), ("south".into(), row(60, 10))].into());
    /// assert_eq!(lenders.next(|_| true, &listed, now, Some(now)), Some("south".into()));
    /// // A holder that does not answer is left out.
    /// lenders.record(&"south".into(), 20, None, now);
    /// assert_eq!(lenders.next(|_| true, &listed, now, Some(now)), Some("north".into()));
    /// ```
    #[must_use]
    pub fn next(
        &self,
        may_ask: impl Fn(&InstanceId) -> bool,
        listed: &[InstanceId],
        now: Duration,
        store_now: Option<Duration>,
    ) -> Option<InstanceId> {
        let may_lend = |holder: &InstanceId| {
            let is_paused = self.paused_until.get(holder).is_some_and(|until| now < *until);
            !is_paused && may_ask(holder)
        };
        let store_now_ms = store_now.map_or(0, millis);
        let unused = |row: &Grant| row.spend_limit_at(store_now_ms).saturating_sub(row.used);
        let holders = self.rows.iter().filter(|(holder, row)| row.free() > 0 && may_lend(holder));
        let best = holders.max_by_key(|(holder, row)| (unused(row), Arc::clone(holder)));
        let is_unknown = |holder: &&InstanceId| !self.rows.contains_key(*holder);
        best.map(|(holder, _)| holder)
            .or_else(|| listed.iter().filter(is_unknown).find(|holder| may_lend(holder)))
            .map(Arc::clone)
    }

    /// Records how many of the requested tokens a holder has lent; `None` without an answer.
    pub fn record(
        &mut self,
        lender: &InstanceId,
        requested: Tokens,
        lent: Option<Tokens>,
        now: Duration,
    ) {
        let pause = match lent {
            None => SILENT_PAUSE,
            Some(lent) if lent < requested => SHORT_PAUSE,
            Some(_) => {
                self.paused_until.remove(lender);
                return;
            }
        };
        self.paused_until.insert(Arc::clone(lender), now + pause);
    }
}
