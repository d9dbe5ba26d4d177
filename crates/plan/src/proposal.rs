//! Plans that wait for confirmation, and the records of confirmed ones.

use base::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Doc;
use crate::intent::Change;

/// A plan as it is stored in the table and shown to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Id by which operators confirm the plan, 16 hexadecimal digits.
    pub id: String,
    /// Version of the configuration that the plan is based on.
    pub base: Version,
    /// Differences between the base version and the planned configuration.
    pub changes: Vec<Change>,
    /// Sentences on effects that `changes` does not show, such as a lost route.
    #[serde(default)]
    pub effects: Vec<String>,
    /// Intent as the operator stated it, a JSON merge patch.
    pub intent: Value,
    /// Name of the operator who stated the intent.
    pub by: String,
    /// Deadline for the confirmation, in milliseconds since the Unix epoch.
    pub expires: u64,
    /// Version that the confirmation created; `None` before the confirmation.
    #[serde(default)]
    pub confirmed: Option<Version>,
}

/// An entry of the audit log, one for each confirmed plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Version that the confirmation created.
    pub version: Version,
    /// Id of the confirmed plan.
    pub plan: String,
    /// Name of the operator who stated the intent.
    pub planned_by: String,
    /// Name of the operator who confirmed the plan.
    pub confirmed_by: String,
    /// Time of the confirmation, in milliseconds since the Unix epoch.
    pub at: u64,
    /// Differences from the previous version.
    pub changes: Vec<Change>,
}

/// The confirmed configuration as read from the table.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Current {
    /// Revision of the row, 0 if nothing was confirmed yet.
    pub revision: u64,
    /// Confirmed document, the default one with version 0 if there is no row.
    pub doc: Doc,
}

/// Identity of an operator, and the client accounts that the operator may change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Access {
    /// Name that plans and the audit log show.
    pub name: String,
    /// Accounts that the operator may change; empty permits all changes.
    pub accounts: Vec<AccountId>,
}

impl Access {
    /// Returns the access of an operator who may change everything.
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
