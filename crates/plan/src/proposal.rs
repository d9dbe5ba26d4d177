//! Plans: what an intent would change, waiting for confirmation.

use base::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Doc;
use crate::intent::Change;

/// A plan as it is kept in the table and shown to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Id by which the plan is confirmed.
    pub id: String,
    /// Version of the configuration that the plan is based on.
    pub base: Version,
    /// Differences to that configuration.
    pub changes: Vec<Change>,
    /// Consequences that the changes alone do not show.
    #[serde(default)]
    pub effects: Vec<String>,
    /// Intent as it was stated.
    pub intent: Value,
    /// Operator who stated the intent.
    pub by: String,
    /// Time after which it cannot be confirmed, in milliseconds since the Unix epoch.
    pub expires: u64,
    /// Version that the confirmation created, if it was confirmed.
    #[serde(default)]
    pub confirmed: Option<Version>,
}

/// An entry of the audit log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Version that came into force.
    pub version: Version,
    /// Plan that was confirmed.
    pub plan: String,
    /// Operator who stated the intent.
    pub planned_by: String,
    /// Operator who confirmed it.
    pub confirmed_by: String,
    /// Time of the confirmation in milliseconds since the Unix epoch.
    pub at: u64,
    /// What changed.
    pub changes: Vec<Change>,
}

/// The confirmed configuration as it is kept in the table.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Current {
    /// Revision of the row, 0 if there is none yet.
    pub revision: u64,
    /// Document.
    pub doc: Doc,
}

/// Who acts, and on which client accounts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Access {
    /// Name for the audit log.
    pub name: String,
    /// Accounts that may be touched; empty for all.
    pub accounts: Vec<AccountId>,
}

impl Access {
    /// Returns the access of an operator who may touch everything.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(plan::proposal::Access::unrestricted("root").accounts.is_empty());
    /// ```
    #[must_use]
    pub fn unrestricted(name: &str) -> Self {
        Self { name: name.to_owned(), accounts: Vec::new() }
    }
}
