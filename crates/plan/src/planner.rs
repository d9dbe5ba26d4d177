//! Making and confirming plans over the platform's table.

use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use ledger::row;
use rand::Rng;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use store::{Commit, Row, Table, Txn};

use crate::candidate::{self, Candidate, Rows};
use crate::intent::{self, Intent};
use crate::proposal::{Access, AuditEntry, Current, Proposal};
use crate::{AUDIT, CURRENT_ROW, Error, PLANS, VERSION_ROW};

/// Time for which a plan can be confirmed after it was made.
const PLAN_TTL: Duration = Duration::from_mins(10);
/// Most attempts to confirm a plan while other transactions change the same rows.
const MAX_CONFIRM_ATTEMPTS: usize = 32;
/// Most rounds of reading the rows of an intent, since rows name further rows.
const MAX_READ_ROUNDS: usize = 3;
/// Most rows that one scan of the table returns.
const PAGE_ROWS: usize = 1_000;

/// Makes plans from intents, and confirms them.
///
/// All state is in the table, so any number of planners may work on it at the same time.
#[derive(Clone)]
pub struct Planner {
    table: Rc<dyn Table>,
    clock: Arc<dyn Clock>,
}

impl std::fmt::Debug for Planner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Desk").finish_non_exhaustive()
    }
}

impl Planner {
    /// Opens a planner over a table; the clock gives the expiry of plans.
    #[must_use]
    pub fn open(table: Rc<dyn Table>, clock: Arc<dyn Clock>) -> Self {
        Self { table, clock }
    }

    /// Reads the confirmed configuration.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Store`] if the table cannot be reached or the row is malformed.
    pub async fn current(&self) -> Result<Current, Error> {
        let rows = self.table.get(vec![CURRENT_ROW.into()]).await?;
        decode_current(&rows)
    }

    /// Reads up to `limit` entries of the audit log after a version, oldest first.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Store`] if the table cannot be reached or a row is malformed.
    pub async fn audit(&self, after: Version, limit: usize) -> Result<Vec<AuditEntry>, Error> {
        let from = if after == 0 { String::new() } else { audit_row_key(after) };
        let rows = self.table.scan(AUDIT.into(), from, limit).await?;
        rows.iter().map(decode_row).collect()
    }

    /// Makes a plan from an intent and stores it for confirmation.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] or [`Error::Forbidden`] with all reasons against the intent, or
    /// [`Error::Store`].
    pub async fn propose(&self, patch: Value, access: &Access) -> Result<Proposal, Error> {
        let intent = intent::parse(&patch)?;
        let current = self.current().await?;
        let candidate = self.build_candidate(&current, &intent).await?;
        check_access(&candidate, access)?;
        let mut faults = candidate.faults;
        faults.extend(self.find_orphaned_budgets(&current, &candidate.doc, &intent).await?);
        if !faults.is_empty() {
            return Err(Error::Invalid(faults));
        }
        let proposal = Proposal {
            id: format!("{:016x}", rand::rng().random::<u64>()),
            base: current.doc.version,
            changes: candidate.changes,
            effects: candidate.effects,
            intent: patch,
            by: access.name.clone(),
            expires: millis(self.clock.wall() + PLAN_TTL),
            confirmed: None,
        };
        let mut txn = Txn::default();
        txn.put(plan_row_key(&proposal.id), &proposal);
        self.table.commit(txn).await?;
        Ok(proposal)
    }

    /// Applies a plan and returns the new configuration version.
    ///
    /// Confirming it again returns the same version and changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Stale`] with a fresh plan if the configuration has changed meanwhile.
    /// Other errors mean that the plan was not confirmed, except [`Error::Store`]: the reply may
    /// have been lost.
    pub async fn confirm(&self, id: &str, access: &Access) -> Result<Version, Error> {
        for _ in 0..MAX_CONFIRM_ATTEMPTS {
            let rows = self.table.get(vec![plan_row_key(id), CURRENT_ROW.into()]).await?;
            let plan =
                find_row(&rows, &plan_row_key(id)).ok_or_else(|| Error::NotFound(id.into()))?;
            let proposal: Proposal = decode_row(plan)?;
            if let Some(version) = proposal.confirmed {
                return Ok(version);
            }
            let current = decode_current(&rows)?;
            if proposal.base != current.doc.version {
                let by = Access { name: proposal.by, ..access.clone() };
                let fresh = self.propose(proposal.intent, &by).await?;
                return Err(Error::Stale(Box::new(fresh)));
            }
            if proposal.expires < millis(self.clock.wall()) {
                return Err(Error::Expired);
            }
            let version = current.doc.version + 1;
            let txn = self.compose_confirmation(&proposal, plan, &current, access).await?;
            if matches!(self.table.commit(txn).await?, Commit::Applied(_)) {
                return Ok(version);
            }
        }
        Err(Error::Contended)
    }

    /// Composes the transaction that confirms a plan, on the condition that no row has changed.
    async fn compose_confirmation(
        &self,
        proposal: &Proposal,
        plan: &Row,
        current: &Current,
        access: &Access,
    ) -> Result<Txn, Error> {
        let intent = intent::parse(&proposal.intent)?;
        let candidate = self.build_candidate(current, &intent).await?;
        check_access(&candidate, access)?;
        let mut faults = candidate.faults;
        faults.extend(self.find_orphaned_budgets(current, &candidate.doc, &intent).await?);
        if !faults.is_empty() {
            return Err(Error::Invalid(faults));
        }
        let version = candidate.doc.version;
        let mut txn = candidate.txn;
        txn.check(&plan.key, plan.revision);
        txn.check(CURRENT_ROW, current.revision);
        txn.put(&plan.key, &Proposal { confirmed: Some(version), ..proposal.clone() });
        txn.put(CURRENT_ROW, &candidate.doc);
        txn.put(VERSION_ROW, &json!(version));
        let audit = AuditEntry {
            version,
            plan: proposal.id.clone(),
            planned_by: proposal.by.clone(),
            confirmed_by: access.name.clone(),
            at: millis(self.clock.wall()),
            changes: candidate.changes,
        };
        txn.put(audit_row_key(version), &audit);
        Ok(txn)
    }

    /// Reads the rows that an intent concerns and builds its candidate configuration.
    async fn build_candidate(
        &self,
        current: &Current,
        intent: &Intent,
    ) -> Result<Candidate, Error> {
        let mut rows = Rows::new();
        for _ in 0..MAX_READ_ROUNDS {
            let missing = candidate::missing_rows(intent, &rows);
            if missing.is_empty() {
                break;
            }
            let found = self.table.get(missing.clone()).await?;
            rows.extend(missing.into_iter().map(|key| (key, None)));
            rows.extend(found.into_iter().map(|row| (row.key.clone(), Some(row))));
        }
        candidate::build(current, &rows, intent)
    }

    /// Returns a fault for each budget that would lose its account or its parent.
    ///
    /// Reads all budgets if the intent deletes an account or a budget, and none otherwise.
    async fn find_orphaned_budgets(
        &self,
        current: &Current,
        next: &crate::Doc,
        intent: &Intent,
    ) -> Result<Vec<String>, Error> {
        let is_removed_account = |account: &str| {
            current.doc.accounts.contains_key(account) && !next.accounts.contains_key(account)
        };
        let is_deleted_budget =
            |id: &str| intent.budget_patches.get(id).is_some_and(Value::is_null);
        let removes_account =
            current.doc.accounts.keys().any(|account| is_removed_account(account));
        if !removes_account && !intent.budget_patches.values().any(Value::is_null) {
            return Ok(Vec::new());
        }
        let mut faults = Vec::new();
        let mut after = String::new();
        loop {
            let rows = self.table.scan(row::BUDGETS.into(), after.clone(), PAGE_ROWS).await?;
            for found in &rows {
                let id = found.key.strip_prefix(row::BUDGETS).unwrap_or_default();
                let (account, parent) =
                    (found.value["account"].as_str(), found.value["parent"].as_str());
                if is_deleted_budget(id) {
                    continue;
                }
                if let Some(account) = account.filter(|account| is_removed_account(account)) {
                    faults.push(format!("account '{account}': budget '{id}' belongs to it"));
                }
                if let Some(parent) = parent.filter(|parent| is_deleted_budget(parent)) {
                    faults.push(format!("budget '{parent}': it is the parent of budget '{id}'"));
                }
            }
            match rows.last() {
                Some(last) if rows.len() == PAGE_ROWS => after.clone_from(&last.key),
                _ => return Ok(faults),
            }
        }
    }
}

/// Checks that a candidate changes only what the operator may change.
fn check_access(candidate: &Candidate, access: &Access) -> Result<(), Error> {
    if access.accounts.is_empty() {
        return Ok(());
    }
    let outside =
        candidate.affected_accounts.iter().filter(|account| !access.accounts.contains(account));
    let mut reasons: Vec<String> =
        outside.map(|account| format!("account '{account}' is not this operator's")).collect();
    if candidate.has_global_changes {
        reasons.push("this operator may only change accounts, budgets and keys".into());
    }
    if reasons.is_empty() { Ok(()) } else { Err(Error::Forbidden(reasons)) }
}

fn plan_row_key(id: &str) -> String {
    format!("{PLANS}{id}")
}

fn audit_row_key(version: Version) -> String {
    format!("{AUDIT}{version:016x}")
}

fn decode_current(rows: &[Row]) -> Result<Current, Error> {
    let Some(found) = find_row(rows, CURRENT_ROW) else { return Ok(Current::default()) };
    Ok(Current { revision: found.revision, doc: decode_row(found)? })
}

fn find_row<'a>(rows: &'a [Row], key: &str) -> Option<&'a Row> {
    rows.iter().find(|row| row.key == key)
}

fn decode_row<T: DeserializeOwned>(row: &Row) -> Result<T, Error> {
    serde_json::from_value(row.value.clone())
        .map_err(|error| store::Error::Malformed(format!("row {}: {error}", row.key)).into())
}
