//! The configuration that would result from an intent, computed from the rows it concerns.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use ledger::row;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use store::{Row, Txn};

use crate::doc::{Budget, Key};
use crate::intent::{self, Change, Intent, escape_pointer};
use crate::proposal::Current;
use crate::{Doc, Error, KEYS, TOP_UPS, check};

/// Rows read from the table, by key; `None` for rows that do not exist.
pub type Rows = BTreeMap<String, Option<Row>>;

/// The row of an applied top-up, which keeps it from being applied again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopUp {
    /// Tokens that the top-up added to the budget.
    pub tokens: Tokens,
    /// Configuration version that applied the top-up.
    pub version: Version,
}

/// A top-up in an intent; its id keeps the budget from receiving it twice.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct Payment {
    id: String,
    tokens: Tokens,
}

/// The configuration that an intent would produce, and the writes of its rows.
#[derive(Debug, Default)]
pub struct Candidate {
    /// Document that the confirmation would write.
    pub doc: Doc,
    /// Differences from the current document, keys and budgets.
    pub changes: Vec<Change>,
    /// Sentences on effects that `changes` does not show, such as a lost route.
    pub effects: Vec<String>,
    /// Reasons why the candidate is invalid, empty if it is valid.
    pub faults: Vec<String>,
    /// Client accounts whose entries, keys or budgets change.
    pub affected_accounts: BTreeSet<AccountId>,
    /// Whether the document changes outside the client accounts.
    pub has_global_changes: bool,
    /// Checks and writes of the rows of keys, budgets and top-ups.
    pub txn: Txn,
}

/// Returns the keys of the rows that an intent needs and `rows` lacks.
///
/// Rows can name further rows, so the caller repeats the call after each read.
#[must_use]
pub fn missing_rows(intent: &Intent, rows: &Rows) -> Vec<String> {
    let mut keys: BTreeSet<String> = BTreeSet::new();
    for digest in intent.key_patches.keys() {
        keys.insert(key_row_key(digest));
        let new = merge_key(intent, rows, digest);
        keys.extend(new.and_then(Result::ok).map(|key| row::budget_key(&key.budget)));
    }
    for (id, patch) in &intent.budget_patches {
        keys.insert(row::budget_key(id));
        let parent = patch.get("parent").and_then(Value::as_str);
        keys.extend(parent.map(row::budget_key));
        let payment = patch.pointer("/top_up/id").and_then(Value::as_str);
        keys.extend(payment.map(|payment| top_up_row_key(id, payment)));
    }
    keys.into_iter().filter(|key| !rows.contains_key(key)).collect()
}

/// Returns the key of the row for the caller's key with this digest.
#[must_use]
pub fn key_row_key(digest: &str) -> String {
    format!("{KEYS}{digest}")
}

fn top_up_row_key(budget: &str, payment: &str) -> String {
    format!("{TOP_UPS}{budget}/{payment}")
}

/// Builds the candidate configuration of an intent.
///
/// `rows` must contain all rows that [`missing_rows`] names. Faults are collected in
/// [`Candidate::faults`].
///
/// # Errors
///
/// Returns [`Error::Invalid`] if the patched document cannot be decoded.
pub fn build(current: &Current, rows: &Rows, intent: &Intent) -> Result<Candidate, Error> {
    let mut doc = intent::apply(&current.doc, &intent.doc_patch)?;
    doc.version = current.doc.version + 1;
    doc.touched = current.doc.touched.clone();
    let changes = intent::diff(&current.doc, &doc);
    let mut candidate = Candidate {
        faults: check::faults(&doc),
        effects: check::effects(&current.doc, &doc),
        has_global_changes: changes.iter().any(|change| !change.path.starts_with("/accounts/")),
        affected_accounts: changes
            .iter()
            .filter_map(|change| account_in_path(&change.path))
            .collect(),
        changes,
        doc,
        txn: Txn::default(),
    };
    for (id, patch) in &intent.budget_patches {
        candidate.apply_budget(rows, id, patch);
    }
    for digest in intent.key_patches.keys() {
        candidate.apply_key(intent, rows, digest);
    }
    Ok(candidate)
}

/// Returns the client account in a change's JSON pointer; `None` outside `/accounts/`.
fn account_in_path(path: &str) -> Option<AccountId> {
    let name = path.strip_prefix("/accounts/")?.split('/').next()?;
    Some(name.replace("~1", "/").replace("~0", "~").into())
}

fn find_row<'a>(rows: &'a Rows, key: &str) -> Option<&'a Row> {
    rows.get(key).and_then(Option::as_ref)
}

fn parse<T: DeserializeOwned>(row: &Row) -> Option<T> {
    serde_json::from_value(row.value.clone()).ok()
}

/// Merges an intent into a key; `None` if the intent deletes or omits the key.
///
/// The error is the reason why the merged value is not a key.
fn merge_key(intent: &Intent, rows: &Rows, digest: &str) -> Option<Result<Key, String>> {
    let patch = intent.key_patches.get(digest).filter(|patch| !patch.is_null())?;
    let before = find_row(rows, &key_row_key(digest)).map(|row| row.value.clone());
    let mut value = before.unwrap_or(Value::Null);
    intent::merge(&mut value, patch);
    Some(serde_json::from_value(value).map_err(|error| error.to_string()))
}

impl Candidate {
    fn apply_key(&mut self, intent: &Intent, rows: &Rows, digest: &str) {
        let row_key = key_row_key(digest);
        let before = find_row(rows, &row_key);
        let old: Option<Key> = before.and_then(parse);
        let new = match merge_key(intent, rows, digest).transpose() {
            Ok(new) => new,
            Err(error) => {
                self.faults.push(format!("key {}: {error}", abbreviate(digest)));
                return;
            }
        };
        if old == new {
            return;
        }
        self.affected_accounts.extend(old.iter().chain(&new).map(|key| Arc::clone(&key.account)));
        if let Some(key) = &new {
            self.check_key(intent, rows, digest, key);
        }
        let value = |key: &Option<Key>| serde_json::to_value(key).unwrap_or_default();
        let path = format!("/keys/{digest}");
        self.changes.push(Change { path, before: value(&old), after: value(&new) });
        self.txn.check(&row_key, before.map_or(0, |row| row.revision));
        if old.is_some() {
            self.doc.touched.record(digest, self.doc.version);
        }
        match &new {
            Some(key) => self.txn.put(row_key, key),
            None => self.txn.delete(row_key),
        }
    }

    fn check_key(&mut self, intent: &Intent, rows: &Rows, digest: &str, key: &Key) {
        let is_digest =
            digest.len() == 64 && digest.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'));
        if !is_digest {
            let fault = "the name must be the SHA-256 in lower-case hexadecimal";
            self.faults.push(format!("key {}: {fault}", abbreviate(digest)));
        }
        let deleted = intent.budget_patches.get(&key.budget).is_some_and(Value::is_null);
        let written = self.written_budget(&key.budget);
        let row = find_row(rows, &row::budget_key(&key.budget)).map(|row| &row.value);
        let budget: Option<&Value> = if deleted { None } else { written.or(row) };
        let account = budget.and_then(|budget| budget["account"].as_str());
        let (name, expected) = (&key.budget, &key.account);
        match account {
            None => {
                self.faults
                    .push(format!("key {}: budget '{name}' does not exist", abbreviate(digest)));
            }
            Some(account) if account != &**expected => self.faults.push(format!(
                "key {}: budget '{name}' belongs to account '{account}', not '{expected}'",
                abbreviate(digest)
            )),
            Some(_) => {}
        }
    }

    /// Returns the new value of a budget row if the transaction writes it.
    fn written_budget(&self, budget: &str) -> Option<&Value> {
        let key = row::budget_key(budget);
        let write = self.txn.writes.iter().find(|write| write.key == key)?;
        write.value.as_ref()
    }

    fn apply_budget(&mut self, rows: &Rows, id: &BudgetId, patch: &Value) {
        let row_key = row::budget_key(id);
        let before = find_row(rows, &row_key);
        let state: row::Budget = before.and_then(parse).unwrap_or_default();
        let old = before.map(|_| declared_fields(&state));
        if patch.is_null() {
            self.delete_budget(id, before, &state);
            return;
        }
        let Some(new) = self.merge_budget(rows, id, patch, old.as_ref()) else { return };
        if old.as_ref() == Some(&new) {
            return;
        }
        self.affected_accounts.extend(old.iter().chain([&new]).map(|row| Arc::clone(&row.account)));
        self.check_budget(rows, id, &new, &state);
        // The ledger owns the other fields of the row, so they keep their values.
        let mut value =
            before.map_or_else(|| json!(row::Budget::default()), |row| row.value.clone());
        value["account"] = json!(new.account);
        value["paid"] = json!(new.paid);
        match (&new.parent, &mut value) {
            (Some(parent), value) => value["parent"] = json!(parent),
            (None, Value::Object(fields)) => drop(fields.remove("parent")),
            (None, _) => {}
        }
        let pointer = format!("/budgets/{}", escape_pointer(id));
        intent::collect_changes(pointer, &json!(old), &json!(new), &mut self.changes);
        self.txn.check(&row_key, before.map_or(0, |row| row.revision));
        self.txn.put(row_key, &value);
    }

    /// Merges the patch into the budget and applies its top-up.
    ///
    /// Returns `None` and adds a fault if the result is invalid.
    fn merge_budget(
        &mut self,
        rows: &Rows,
        id: &BudgetId,
        patch: &Value,
        old: Option<&Budget>,
    ) -> Option<Budget> {
        let mut value = old.map_or_else(|| json!({"paid": 0}), |old| json!(old));
        let mut patch = patch.clone();
        let payment = patch.as_object_mut().and_then(|fields| fields.remove("top_up"));
        let sets_paid = patch.get("paid").is_some();
        intent::merge(&mut value, &patch);
        let new: Result<Budget, _> = serde_json::from_value(value);
        let payment: Result<Option<Payment>, _> = payment.map(serde_json::from_value).transpose();
        match (new, payment) {
            (Ok(_), Ok(Some(_))) if sets_paid => {
                self.faults.push(format!("budget '{id}': state 'paid' or 'top_up', not both"));
                None
            }
            (Ok(new), Ok(Some(payment))) => self.apply_top_up(rows, id, new, &payment),
            (Ok(new), Ok(None)) => Some(new),
            (Err(error), _) | (_, Err(error)) => {
                self.faults.push(format!("budget '{id}': {error}"));
                None
            }
        }
    }

    /// Adds a top-up to the budget unless its row shows that it was applied before.
    ///
    /// Returns `None` and adds a fault if the top-up is invalid.
    fn apply_top_up(
        &mut self,
        rows: &Rows,
        id: &BudgetId,
        mut new: Budget,
        payment: &Payment,
    ) -> Option<Budget> {
        let is_name = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if payment.id.is_empty() || !payment.id.chars().all(is_name) {
            let allowed = "letters, digits, '-', '_' and '.'";
            self.faults.push(format!("budget '{id}': the id of a top-up has {allowed}"));
            return None;
        }
        let row_key = top_up_row_key(id, &payment.id);
        match find_row(rows, &row_key).map(parse::<TopUp>) {
            Some(Some(applied)) if applied.tokens == payment.tokens => {
                let name = &payment.id;
                self.effects.push(format!("top-up '{name}' of budget '{id}' was applied before"));
                return Some(new);
            }
            Some(_) => {
                let name = &payment.id;
                self.faults.push(format!("budget '{id}': top-up '{name}' had another amount"));
                return None;
            }
            None => {}
        }
        let Some(paid) = new.paid.checked_add(payment.tokens) else {
            self.faults.push(format!("budget '{id}': the sum of all top-ups is too large"));
            return None;
        };
        new.paid = paid;
        self.txn.check(&row_key, 0);
        self.txn.put(row_key, &TopUp { tokens: payment.tokens, version: self.doc.version });
        Some(new)
    }

    fn check_budget(&mut self, rows: &Rows, id: &BudgetId, new: &Budget, state: &row::Budget) {
        if !self.doc.accounts.contains_key(&new.account) {
            self.faults.push(format!("budget '{id}': account '{}' does not exist", new.account));
        }
        let committed = state.billed + state.held + state.aside;
        if new.paid < committed {
            let paid = new.paid;
            self.faults.push(format!(
                "budget '{id}': paid {paid} is below the {committed} tokens spent or held"
            ));
        }
        let Some(parent) = &new.parent else { return };
        let row = find_row(rows, &row::budget_key(parent)).map(|row| &row.value);
        let parent_row = self.written_budget(parent).or(row).cloned();
        let fault = match parent_row {
            None => "does not exist",
            Some(row) if row["account"].as_str() != Some(&*new.account) => "is another account's",
            Some(row) if row["parent"].is_string() => "has a parent itself",
            Some(_) => return,
        };
        self.faults.push(format!("budget '{id}': parent '{parent}' {fault}"));
    }

    fn delete_budget(&mut self, id: &BudgetId, before: Option<&Row>, state: &row::Budget) {
        let Some(before) = before else { return };
        let open = state.held + state.aside;
        if open > 0 {
            self.faults.push(format!("budget '{id}': {open} tokens are held or set aside"));
        }
        let old = declared_fields(state);
        self.affected_accounts.insert(Arc::clone(&old.account));
        self.effects.push(format!("keys of budget '{id}' are refused"));
        let path = format!("/budgets/{}", escape_pointer(id));
        self.changes.push(Change { path, before: json!(old), after: Value::Null });
        self.txn.check(&before.key, before.revision);
        self.txn.delete(&before.key);
    }
}

/// Returns the fields of a budget row that operators set.
fn declared_fields(state: &row::Budget) -> Budget {
    Budget {
        account: state.account.as_str().into(),
        parent: state.parent.as_deref().map(Into::into),
        paid: state.paid,
    }
}

/// Shortens a digest for messages.
fn abbreviate(digest: &str) -> String {
    let mut text: String = digest.chars().take(8).collect();
    text.push('…');
    text
}
