//! Bills and payments that the platform stand-in committed, in commit order.

use std::collections::{HashMap, HashSet};

use ledger::row::{self, Entry};
use serde::{Deserialize, Serialize};
use store::Txn;

/// A bill as its first commit contained it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Id of the billed request.
    pub request: String,
    /// Name of the budget that pays.
    pub budget: String,
    /// Number of billed tokens.
    pub tokens: u64,
    /// Time of the commit, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// A change of the tokens paid for a budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payment {
    /// Name of the budget.
    pub budget: String,
    /// Parent budget, whose limit applies as well; `None` for a root.
    pub parent: Option<String>,
    /// Total of paid tokens after the change.
    pub paid: u64,
    /// Time of the commit, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// All bills and payments since the start of the platform stand-in.
///
/// Bills remain here after their journal rows are removed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Bills in commit order.
    pub bills: Vec<Bill>,
    /// Payments in commit order.
    pub paid: Vec<Payment>,
    #[serde(skip)]
    seen_rows: HashSet<String>,
    #[serde(skip)]
    last_paid: HashMap<String, u64>,
}

impl History {
    /// Records the bills and payments of an applied transaction.
    pub fn record(&mut self, txn: &Txn, at_ms: u64) {
        for write in &txn.writes {
            let Some(value) = &write.value else { continue };
            if write.key.starts_with(row::JOURNAL) {
                self.record_journal_row(&write.key, value, at_ms);
            } else if let Some(budget) = write.key.strip_prefix(row::BUDGETS) {
                self.record_budget_row(budget, value, at_ms);
            }
        }
    }

    /// Records the bills of a journal row, only for its first write.
    ///
    /// A row that is written again repeats its entries.
    fn record_journal_row(&mut self, key: &str, value: &serde_json::Value, at_ms: u64) {
        if !self.seen_rows.insert(key.to_owned()) {
            return;
        }
        let journal: row::Journal = serde_json::from_value(value.clone()).unwrap_or_default();
        for entry in journal.entries {
            if let Entry::Bill(bill) = entry {
                self.bills.push(Bill {
                    request: bill.request,
                    budget: bill.budget,
                    tokens: bill.tokens,
                    at_ms,
                });
            }
        }
    }

    fn record_budget_row(&mut self, budget: &str, value: &serde_json::Value, at_ms: u64) {
        let state: row::Budget = serde_json::from_value(value.clone()).unwrap_or_default();
        if self.last_paid.insert(budget.to_owned(), state.paid) != Some(state.paid) {
            self.paid.push(Payment {
                budget: budget.to_owned(),
                parent: state.parent,
                paid: state.paid,
                at_ms,
            });
        }
    }
}
