//! Rows of the ledger in the platform's table.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Prefix of budget rows.
pub const BUDGETS: &str = "budget/";
/// Prefix of holder rows.
pub const HOLDERS: &str = "holder/";
/// Prefix of piece rows.
pub const PIECES: &str = "piece/";
/// Prefix of rows that show what was set aside.
pub const ASIDE: &str = "aside/";
/// Prefix of journal rows.
pub const JOURNAL: &str = "journal/";

/// A prepaid budget.
///
/// `billed + held + aside <= paid` holds in every state of the table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Client account that owns the budget.
    pub account: String,
    /// Budget whose limit this one must keep as well.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<String>,
    /// Tokens paid for, the sum of all top-ups.
    pub paid: Tokens,
    /// Tokens charged to requests.
    pub billed: Tokens,
    /// Tokens in pieces of instances.
    pub held: Tokens,
    /// Tokens whose use cannot be known.
    #[serde(default)]
    pub aside: Tokens,
}

impl Budget {
    /// Returns the tokens that no one has spent, holds or may have spent.
    ///
    /// # Examples
    ///
    /// ```
    /// let budget = ledger::row::Budget { paid: 10, billed: 3, held: 2, ..Default::default() };
    /// assert_eq!(budget.available(), 5);
    /// ```
    #[must_use]
    pub fn available(&self) -> Tokens {
        self.paid.saturating_sub(self.billed + self.held + self.aside)
    }
}

/// State of a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The holder may write.
    Open,
    /// The holder is dead and its pieces are being recovered; its writes are refused.
    Fenced,
    /// The holder holds nothing any more; its writes are refused.
    Closed,
}

/// One incarnation of an instance as a holder of pieces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Whether the holder may write.
    pub state: State,
    /// Number of the holder's last transaction.
    pub seq: u64,
    /// End of the lease in milliseconds since the Unix epoch.
    pub lease_until: u64,
    /// Limit on what requests without a durable record use of a piece, see [`exposure`].
    #[serde(default = "unlimited")]
    pub exposed: Tokens,
}

/// Part of a piece, as its inverse, that requests without a durable record may use.
const EXPOSURE_DIVISOR: u64 = 8;

/// Returns what requests without a durable record may use of a piece during the lease.
///
/// # Examples
///
/// ```
/// assert_eq!(ledger::row::exposure(1_000, 400), 50);
/// assert_eq!(ledger::row::exposure(10, 400), 10);
/// ```
#[must_use]
pub fn exposure(max_exposure: Tokens, held: Tokens) -> Tokens {
    max_exposure.min(held / EXPOSURE_DIVISOR)
}

/// Returns the exposure of a holder that did not state one.
fn unlimited() -> Tokens {
    Tokens::MAX
}

/// The part of a budget that a holder may spend.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Tokens held: free, reserved, or billed but not yet folded into the budget row.
    pub held: Tokens,
    /// Bills up to this transaction of the holder are part of the budget's `billed`.
    pub folded: u64,
}

/// Tokens of a dead holder's piece whose use cannot be known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Aside {
    /// Tokens set aside.
    pub tokens: Tokens,
    /// When that happened, in milliseconds since the Unix epoch.
    pub since: u64,
}

/// An entry of a holder's journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Entry {
    /// A request was dispatched or is about to be.
    Intent(Intent),
    /// A request was billed.
    Bill(Bill),
}

impl Entry {
    /// Returns the budget that pays.
    #[must_use]
    pub fn budget(&self) -> &str {
        match self {
            Self::Intent(intent) => &intent.budget,
            Self::Bill(bill) => &bill.budget,
        }
    }
}

/// A request that may run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Request.
    pub request: String,
    /// Budget that pays.
    pub budget: String,
    /// Upper bound of the cost in tokens.
    pub bound: Tokens,
}

/// The charge for a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Request.
    pub request: String,
    /// Budget that pays.
    pub budget: String,
    /// Tokens charged.
    pub tokens: Tokens,
}

/// Entries that a holder recorded in one transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// Entries in the order in which they happened.
    pub entries: Vec<Entry>,
}

/// Returns the key of a budget row.
#[must_use]
pub fn budget_key(budget: &str) -> String {
    format!("{BUDGETS}{budget}")
}

/// Returns the key of a holder row.
#[must_use]
pub fn holder_key(holder: &str) -> String {
    format!("{HOLDERS}{holder}")
}

/// Returns the key of a piece row.
#[must_use]
pub fn piece_key(holder: &str, budget: &str) -> String {
    format!("{PIECES}{holder}/{budget}")
}

/// Returns the key of a journal row; keys sort in the order of the transactions.
#[must_use]
pub fn journal_key(holder: &str, seq: u64) -> String {
    format!("{JOURNAL}{holder}/{seq:016x}")
}

/// Returns the key of the journal row with the bills that the recovery of a piece made.
#[must_use]
pub fn recovered_key(holder: &str, budget: &str) -> String {
    format!("{JOURNAL}{holder}/recovered/{budget}")
}

/// Returns the key of the journal row with the bill for tokens cleared from what was set aside.
#[must_use]
pub fn cleared_key(holder: &str, budget: &str) -> String {
    format!("{JOURNAL}{holder}/cleared/{budget}")
}

/// Returns the key of the row that shows what was set aside of a dead holder's piece.
#[must_use]
pub fn aside_key(holder: &str, budget: &str) -> String {
    format!("{ASIDE}{holder}/{budget}")
}
