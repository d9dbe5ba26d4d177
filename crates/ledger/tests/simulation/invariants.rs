//! Invariants, checked against the table and against what the requests used.

use std::collections::BTreeMap;

use base::prelude::*;
use ledger::row::{self, Aside, Budget, Entry, Journal, Piece};
use serde::de::DeserializeOwned;

use super::{BUDGETS, PARENT, Simulation};

fn rows<T: DeserializeOwned>(simulation: &Simulation, prefix: &str) -> BTreeMap<String, T> {
    let found = simulation.platform.range(prefix, "", usize::MAX);
    let parsed = found.into_iter().map(|row| {
        let key = row.key.strip_prefix(prefix).unwrap().to_owned();
        (key, serde_json::from_value(row.value).unwrap())
    });
    parsed.collect()
}

/// Sums tokens over the rows whose key ends with the budget's name.
fn sum<T>(rows: &BTreeMap<String, T>, budget: &str, tokens: impl Fn(&T) -> Tokens) -> Tokens {
    let own = rows.iter().filter(|(key, _)| key.rsplit('/').next() == Some(budget));
    own.map(|(_, row)| tokens(row)).sum()
}

fn bills(simulation: &Simulation) -> BTreeMap<String, Vec<(String, Tokens)>> {
    let mut bills: BTreeMap<String, Vec<(String, Tokens)>> = BTreeMap::new();
    for journal in rows::<Journal>(simulation, row::JOURNAL).into_values() {
        for entry in journal.entries {
            if let Entry::Bill(bill) = entry {
                bills.entry(bill.request).or_default().push((bill.budget, bill.tokens));
            }
        }
    }
    bills
}

/// Checks the invariants that hold in every state.
pub fn check(simulation: &Simulation) -> Result<(), String> {
    let budgets: BTreeMap<String, Budget> = rows(simulation, row::BUDGETS);
    let pieces: BTreeMap<String, Piece> = rows(simulation, row::PIECES);
    let asides: BTreeMap<String, Aside> = rows(simulation, row::ASIDE);
    for (name, budget) in &budgets {
        if budget.billed + budget.held + budget.aside > budget.paid {
            return Err(format!("budget {name} exceeds its paid tokens: {budget:?}"));
        }
    }
    for name in BUDGETS {
        let (held, aside) = (budgets[name].held, budgets[name].aside);
        if sum(&pieces, name, |piece| piece.held) != held {
            return Err(format!("pieces of {name} do not sum to `held` of its row: {pieces:?}"));
        }
        if sum(&asides, name, |aside| aside.tokens) != aside {
            return Err(format!("aside rows of {name} do not sum to `aside` of its row"));
        }
    }
    check_parent(&budgets)?;
    check_spent(simulation, &budgets)?;
    match bills(simulation).into_iter().find(|(_, bills)| bills.len() > 1) {
        Some((request, bills)) => Err(format!("request {request} was billed twice: {bills:?}")),
        None => Ok(()),
    }
}

fn check_parent(budgets: &BTreeMap<String, Budget>) -> Result<(), String> {
    let parts = |budget: &Budget| [budget.billed, budget.held, budget.aside];
    let (left, right) = (parts(&budgets["left"]), parts(&budgets["right"]));
    let both: Vec<Tokens> = left.iter().zip(right).map(|(left, right)| left + right).collect();
    if parts(&budgets[PARENT]).as_slice() == both {
        Ok(())
    } else {
        Err(format!("the parent row is not the sum of its budgets: {budgets:?}"))
    }
}

/// Checks that the table covers what upstreams may have spent and what requests have reserved.
fn check_spent(simulation: &Simulation, budgets: &BTreeMap<String, Budget>) -> Result<(), String> {
    for name in BUDGETS {
        let runs = simulation.runs.values().filter(|run| run.budget == name);
        let spent: Tokens = runs.map(|run| run.spent).sum();
        let waiting =
            simulation.nodes.iter().flat_map(|node| node.reserved.iter().chain(&node.recording));
        let reserved: Tokens = waiting
            .filter(|request| request.budget == name)
            .map(|request| request.hold.bound())
            .sum();
        let budget = &budgets[name];
        let covered = budget.billed + budget.held + budget.aside;
        if spent + reserved > covered {
            return Err(format!("{name}: spent {spent} and reserved {reserved} exceed {budget:?}"));
        }
    }
    Ok(())
}

/// Checks the state after all requests and holders have ended.
pub fn check_finished(simulation: &Simulation) -> Result<(), String> {
    let budgets: BTreeMap<String, Budget> = rows(simulation, row::BUDGETS);
    let bills = bills(simulation);
    for name in BUDGETS {
        let budget = &budgets[name];
        let own = bills.values().flatten().filter(|(budget, _)| budget == name);
        let billed: Tokens = own.map(|(_, tokens)| tokens).sum();
        if budget.held != 0 || budget.billed != billed {
            return Err(format!("{name}: bills of {billed} tokens do not match {budget:?}"));
        }
    }
    for (request, run) in &simulation.runs {
        if run.answered && !bills.contains_key(request) {
            return Err(format!("request {request} was answered but not billed"));
        }
    }
    if simulation.dead.is_empty() {
        return check_exact(simulation, &budgets);
    }
    Ok(())
}

/// Checks that the bills equal the actual usage if no holder died.
fn check_exact(simulation: &Simulation, budgets: &BTreeMap<String, Budget>) -> Result<(), String> {
    for name in BUDGETS {
        let runs = simulation.runs.values().filter(|run| run.budget == name);
        let spent: Tokens = runs.map(|run| run.spent).sum();
        if budgets[name].billed != spent || budgets[name].aside != 0 {
            return Err(format!("{name}: {spent} tokens were spent, not {:?}", budgets[name]));
        }
    }
    Ok(())
}
