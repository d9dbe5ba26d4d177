//! Rows and transactions of the platform's table.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Row of the table as it was read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Unique key, whose first segment names the kind of the row.
    pub key: String,
    /// Revision of the last write; revisions grow, and are reused only after a restore.
    pub revision: u64,
    /// Content of the row, as the JSON of its row type.
    pub value: Value,
}

/// Condition of a transaction: the row still has this revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row to compare.
    pub key: String,
    /// Expected revision; 0 if the row must not exist.
    pub revision: u64,
}

/// Write of one row in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row to replace or delete.
    pub key: String,
    /// New content; `None` deletes the row.
    pub value: Option<Value>,
}

/// Transaction over several rows, applied by compare-and-set.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions, all of which must hold for any write to be applied.
    pub checks: Vec<Check>,
    /// Writes, which are applied all or none.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Adds a condition on the revision of a row.
    pub fn check(&mut self, key: impl Into<String>, revision: u64) {
        self.checks.push(Check { key: key.into(), revision });
    }

    /// Adds a write that creates or replaces a row.
    ///
    /// # Panics
    ///
    /// Panics if `value` cannot be represented as JSON, which is a fault of the row type.
    pub fn put(&mut self, key: impl Into<String>, value: &impl Serialize) {
        let value = serde_json::to_value(value).expect("row types serialize to JSON");
        self.writes.push(Write { key: key.into(), value: Some(value) });
    }

    /// Adds a write that deletes a row.
    pub fn delete(&mut self, key: impl Into<String>) {
        self.writes.push(Write { key: key.into(), value: None });
    }
}

/// Result of a transaction that the table has answered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// All writes were applied; the written rows have this revision.
    Applied(u64),
    /// A check failed and nothing was applied.
    ///
    /// Holds the checked rows as they are now; rows that do not exist are left out.
    Conflict(Vec<Row>),
}

/// What has changed in the rows of a table since the last call that waited for it.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum Change {
    /// No row has changed.
    #[default]
    Nothing,
    /// These rows have changed.
    Rows {
        /// Rows as they are now.
        written: Vec<Row>,
        /// Keys of the rows that were deleted.
        deleted: Vec<String>,
    },
    /// Any row may have changed, and all must be read.
    Unknown,
}

/// Entry of the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Name of the instance, which it keeps across restarts.
    pub instance: String,
    /// Address at which the instance serves callers.
    pub address: String,
    /// Address at which the instance serves other instances; empty if the list has none.
    #[serde(default)]
    pub peer_address: String,
    /// Failure domain that the instance runs in.
    pub domain: String,
    /// True once the platform plans to remove the instance.
    #[serde(default)]
    pub leaving: bool,
}
