//! Intents: JSON merge patches in which operators state the requested configuration.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{Doc, Error};

/// Top-level fields of the document that an intent may change.
const DOC_PARTS: [&str; 5] = ["accounts", "models", "services", "upstreams", "operators"];

/// A value that differs between two configurations.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Location of the value, as a JSON pointer (RFC 6901).
    pub path: String,
    /// Value before the change, `null` if it did not exist.
    pub before: Value,
    /// Value after the change, `null` if it is removed.
    pub after: Value,
}

/// An intent, split into patches of the document, of keys and of budgets.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Intent {
    /// Merge patch of the document; empty leaves it unchanged.
    pub doc_patch: Map<String, Value>,
    /// Merge patches of callers' keys, by digest; `null` revokes a key.
    pub key_patches: BTreeMap<String, Value>,
    /// Merge patches of budgets, by id; `null` deletes a budget.
    pub budget_patches: BTreeMap<BudgetId, Value>,
}

/// Parses an intent from a JSON merge patch (RFC 7396).
///
/// # Errors
///
/// Returns [`Error::Invalid`] with all top-level fields that an intent cannot contain.
///
/// # Examples
///
/// ```
/// use serde_json::json;
/// let intent = plan::intent::parse(&json!({"budgets": {"a": {"paid": 5}}})).unwrap();
/// assert_eq!(intent.budget_patches.len(), 1);
/// assert!(plan::intent::parse(&json!({"version": 7})).is_err());
/// ```
pub fn parse(patch: &Value) -> Result<Intent, Error> {
    let Value::Object(patch) = patch else {
        return Err(Error::Invalid(vec!["an intent is a JSON object".into()]));
    };
    let mut intent = Intent::default();
    let mut faults = Vec::new();
    for (name, value) in patch {
        match (name.as_str(), value) {
            ("keys", Value::Object(keys)) => {
                intent
                    .key_patches
                    .extend(keys.iter().map(|(id, patch)| (id.clone(), patch.clone())));
            }
            ("budgets", Value::Object(rows)) => {
                let rows = rows.iter().map(|(id, patch)| (id.as_str().into(), patch.clone()));
                intent.budget_patches.extend(rows);
            }
            ("keys" | "budgets", _) => faults.push(format!("'{name}' must be an object")),
            (part, _) if DOC_PARTS.contains(&part) => {
                intent.doc_patch.insert(name.clone(), value.clone());
            }
            _ => faults.push(format!(
                "unknown part '{name}'; known are keys, budgets, {}",
                DOC_PARTS.join(", ")
            )),
        }
    }
    if faults.is_empty() { Ok(intent) } else { Err(Error::Invalid(faults)) }
}

/// Applies a merge patch to a document.
///
/// # Errors
///
/// Returns [`Error::Invalid`] if the result is not a configuration document.
///
/// # Examples
///
/// ```
/// use serde_json::json;
/// let patch = json!({"accounts": {"shop": {"rate": 5}}});
/// let doc = plan::intent::apply(&plan::Doc::default(), patch.as_object().unwrap()).unwrap();
/// assert_eq!(doc.accounts["shop"].rate, 5);
/// ```
pub fn apply(doc: &Doc, patch: &Map<String, Value>) -> Result<Doc, Error> {
    let mut value = to_value(doc);
    merge(&mut value, &Value::Object(patch.clone()));
    serde_json::from_value(value).map_err(|error| Error::Invalid(vec![error.to_string()]))
}

/// Returns the differences between two documents in the fields that intents can change.
#[must_use]
pub fn diff(before: &Doc, after: &Doc) -> Vec<Change> {
    let (before, after) = (to_value(before), to_value(after));
    let mut changes = Vec::new();
    for part in DOC_PARTS {
        collect_changes(format!("/{part}"), &before[part], &after[part], &mut changes);
    }
    changes
}

fn to_value(doc: &Doc) -> Value {
    serde_json::to_value(doc).expect("a document always serializes to JSON")
}

/// Merges a patch into a value according to RFC 7396; `null` removes a field.
pub(crate) fn merge(target: &mut Value, patch: &Value) {
    let Value::Object(patch) = patch else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = Value::Object(Map::new());
    }
    let Value::Object(target) = target else { return };
    for (name, value) in patch {
        if value.is_null() {
            target.remove(name);
        } else {
            merge(target.entry(name.clone()).or_insert(Value::Null), value);
        }
    }
}

/// Appends the differences between two values, field by field, to `changes`.
pub(crate) fn collect_changes(
    path: String,
    before: &Value,
    after: &Value,
    changes: &mut Vec<Change>,
) {
    if before == after {
        return;
    }
    if let (Value::Object(a), Value::Object(b)) = (before, after) {
        let names: std::collections::BTreeSet<&String> = a.keys().chain(b.keys()).collect();
        for name in names {
            let child_path = format!("{path}/{}", escape_pointer(name));
            let child_before = a.get(name).unwrap_or(&Value::Null);
            collect_changes(child_path, child_before, b.get(name).unwrap_or(&Value::Null), changes);
        }
        return;
    }
    changes.push(Change { path, before: before.clone(), after: after.clone() });
}

/// Escapes a field name for use in a JSON pointer (RFC 6901).
pub(crate) fn escape_pointer(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}
