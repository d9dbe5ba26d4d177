//! Rows of the ledger in the platform's table.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Key prefix of budget rows; a budget id follows.
pub const BUDGETS: &str = "budget/";
/// Key prefix of holder rows; a holder id follows.
pub const HOLDERS: &str = "holder/";
/// Key prefix of piece rows; a holder id and a budget id follow.
pub const PIECES: &str = "piece/";
/// Key prefix of rows of tokens set aside; holder and budget id follow.
pub const ASIDE: &str = "aside/";
/// Key prefix of journal rows; a holder id follows.
///
/// Then comes a transaction number, or `recovered/` or `cleared/` with a budget id.
pub const JOURNAL: &str = "journal/";

/// Row of a prepaid budget.
///
/// `billed + held + aside <= paid` holds in every state of the table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Client account that owns the budget.
    pub account: String,
    /// Parent budget, whose row also counts `billed`, `held` and `aside` of this one.
    ///
    /// `None` if the budget has no parent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<String>,
    /// Tokens paid for: the sum of all top-ups.
    pub paid: Tokens,
    /// Tokens charged to requests and folded into this row.
    pub billed: Tokens,
    /// Tokens in the pieces of all holders.
    pub held: Tokens,
    /// Tokens set aside because their use cannot be known.
    #[serde(default)]
    pub aside: Tokens,
}

impl Budget {
    /// Returns the tokens that are neither billed, nor held, nor set aside.
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

/// State of a holder, which decides whether its writes succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The holder may write.
    Open,
    /// The holder is dead and its pieces are being recovered; its writes are refused.
    Fenced,
    /// The holder has no pieces any more; its writes are refused.
    Closed,
}

/// Row of one incarnation of an instance, as owner of pieces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// State of the holder; a change by another instance makes its writes conflict.
    pub state: State,
    /// Number of the holder's last transaction; the first has number 1.
    pub seq: u64,
    /// End of the lease, in milliseconds since the Unix epoch.
    pub lease_until: u64,
    /// Most tokens of a piece that requests without a durable record may use.
    ///
    /// See [`exposure`]; a row without this field states no limit.
    #[serde(default = "unlimited")]
    pub exposed: Tokens,
}

/// The exposure is at most the held tokens divided by this number.
const EXPOSURE_DIVISOR: u64 = 8;

/// Returns how many tokens of a piece requests without a durable record may use.
///
/// The limit applies while the lease is valid. `max_exposure` is the limit that the holder row
/// states, `held` the size of the piece.
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

/// Returns the exposure of a holder whose row does not state one.
fn unlimited() -> Tokens {
    Tokens::MAX
}

/// Row of the part of a budget that one holder may spend.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Tokens held: free, reserved, or billed but not yet folded into the budget row.
    pub held: Tokens,
    /// Number of the holder's last transaction whose bills are folded into the budget row.
    pub folded: u64,
}

/// Row of tokens of a dead holder's piece whose use cannot be known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Aside {
    /// Tokens that nobody can spend until an operator clears them.
    pub tokens: Tokens,
    /// Time of the recovery, in milliseconds since the Unix epoch.
    pub since: u64,
}

/// Entry of a holder's journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Entry {
    /// A request was sent or is about to be.
    Intent(Intent),
    /// A request was billed.
    Bill(Bill),
}

impl Entry {
    /// Returns the id of the budget that pays for the request.
    #[must_use]
    pub fn budget(&self) -> &str {
        match self {
            Self::Intent(intent) => &intent.budget,
            Self::Bill(bill) => &bill.budget,
        }
    }
}

/// Record of a request that may run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Id of the request; its bill has the same id.
    pub request: String,
    /// Id of the budget that pays for the request.
    pub budget: String,
    /// Upper bound of the request's cost, in tokens.
    pub bound: Tokens,
}

/// Charge for one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Id of the request, or `aside/` with holder and budget for cleared tokens.
    pub request: String,
    /// Id of the budget that is charged.
    pub budget: String,
    /// Charged tokens; 0 if the request did not run or used none.
    pub tokens: Tokens,
}

/// Row with the entries that one transaction recorded in a holder's journal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// Entries in the order in which they were recorded.
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

/// Returns the key of the journal row with the bills of a recovered piece.
#[must_use]
pub fn recovered_key(holder: &str, budget: &str) -> String {
    format!("{JOURNAL}{holder}/recovered/{budget}")
}

/// Returns the key of the journal row that bills cleared tokens.
#[must_use]
pub fn cleared_key(holder: &str, budget: &str) -> String {
    format!("{JOURNAL}{holder}/cleared/{budget}")
}

/// Returns the key of the row with the tokens that were set aside from a piece.
#[must_use]
pub fn aside_key(holder: &str, budget: &str) -> String {
    format!("{ASIDE}{holder}/{budget}")
}
