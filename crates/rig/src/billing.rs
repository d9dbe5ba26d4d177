//! What the platform's table was told about bills and payments, in the order of its commits.

use std::collections::{HashMap, HashSet};

use ledger::row::{self, Entry};
use serde::{Deserialize, Serialize};
use store::Txn;

/// A bill as it was first written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Request.
    pub request: String,
    /// Budget that pays.
    pub budget: String,
    /// Tokens charged.
    pub tokens: u64,
    /// Time of the commit in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// A change of what was paid for a budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payment {
    /// Budget.
    pub budget: String,
    /// Budget whose limit must be kept as well.
    pub parent: Option<String>,
    /// Tokens paid for from now on.
    pub paid: u64,
    /// Time of the commit in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Everything that trials count in the platform.
///
/// Rows of the journal may be removed later; their bills stay here.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Bills in the order of the commits.
    pub bills: Vec<Bill>,
    /// Payments in the order of the commits.
    pub paid: Vec<Payment>,
    #[serde(skip)]
    seen_rows: HashSet<String>,
    #[serde(skip)]
    last_paid: HashMap<String, u64>,
}

impl History {
    /// Takes in an applied transaction.
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

    /// Takes in a journal row once, since a row that is written again repeats its entries.
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
