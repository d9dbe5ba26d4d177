//! Checks that the invariants report each rule that is broken on purpose.
//!
//! Guards against checks that pass although the ledger is faulty. Each case corrupts transactions
//! or the request path and runs generated histories until a check fails.

mod simulation;

use base::prelude::*;
use ledger::row;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{Value, json};
use store::{Txn, Write};
use test_case::test_case;

use simulation::op::history;
use simulation::{Mutation, RequestPath, Simulation};

/// Seed of all generated histories in this file.
const SEED: [u8; 32] = [7; 32];
/// Histories that are tried for each broken rule.
const HISTORIES: usize = 600;

/// Returns the first violation that the checks report.
fn violation(mutation: Option<Mutation>, request_path: RequestPath) -> Option<String> {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    (0..HISTORIES).find_map(|_| {
        let ops = history().new_tree(&mut runner).unwrap().current();
        let mut simulation = Simulation::open(3, mutation, request_path);
        let violated = ops.iter().find_map(|op| simulation.apply(op).err());
        violated.or_else(|| simulation.finish().err())
    })
}

fn values<'a>(txn: &'a mut Txn, prefix: &'a str) -> impl Iterator<Item = &'a mut Value> {
    let writes = txn.writes.iter_mut().filter(move |write| write.key.starts_with(prefix));
    writes.filter_map(|write| write.value.as_mut())
}

fn add(value: &mut Value, field: &str, tokens: Tokens) {
    value[field] = json!(value[field].as_u64().unwrap_or_default() + tokens);
}

/// A holder writes without the check that it is not fenced.
fn remove_holder_check(txn: &mut Txn) {
    txn.checks.retain(|check| !check.key.starts_with(row::HOLDERS));
}

/// A budget row is written without the check that it is unchanged.
fn remove_budget_check(txn: &mut Txn) {
    txn.checks.retain(|check| !check.key.starts_with(row::BUDGETS));
}

/// Pieces grow by more than the budget row grants.
fn enlarge_pieces(txn: &mut Txn) {
    values(txn, row::PIECES).for_each(|piece| add(piece, "held", 50));
}

/// A budget grants tokens although none are available.
fn overdraw_budget(txn: &mut Txn) {
    values(txn, row::BUDGETS).for_each(|budget| add(budget, "held", 1_000));
}

/// A part of a bill is folded into the budget row twice.
fn fold_twice(txn: &mut Txn) {
    let billed = |budget: &&mut Value| budget["billed"].as_u64() > Some(0);
    values(txn, row::BUDGETS).filter(billed).for_each(|budget| add(budget, "billed", 1));
}

/// Recovery sets nothing aside of what a dead holder may have spent.
fn skip_set_aside(txn: &mut Txn) {
    txn.writes.retain(|write| !write.key.starts_with(row::ASIDE));
    values(txn, row::BUDGETS).for_each(|budget| budget["aside"] = json!(0));
}

/// Recovery leaves out the bills for requests that were recorded but not billed.
fn skip_recovered_bills(txn: &mut Txn) {
    txn.writes.retain(|write| !write.key.contains("/recovered/"));
}

/// Recovery writes each of its bills to the journal twice.
fn repeat_recovered_bills(txn: &mut Txn) {
    let recovered = txn.writes.iter_mut().filter(|write| write.key.contains("/recovered/"));
    for value in recovered.filter_map(|write| write.value.as_mut()) {
        let entries = value["entries"].as_array_mut().unwrap();
        entries.extend(entries.clone());
    }
}

/// Each transaction writes its journal row twice and skips the check of the holder row.
fn duplicate_journal(txn: &mut Txn) {
    remove_holder_check(txn);
    let journal = txn.writes.iter().filter(|write| write.key.starts_with(row::JOURNAL));
    let copies: Vec<Write> = journal.cloned().collect();
    for mut copy in copies {
        copy.key.push_str("-copy");
        txn.writes.push(copy);
    }
}

#[test_case(remove_holder_check, "" ; "writes are not fenced")]
#[test_case(remove_budget_check, "" ; "budget rows are overwritten")]
#[test_case(enlarge_pieces, "pieces of" ; "pieces are larger than what was taken")]
#[test_case(overdraw_budget, "exceeds its paid tokens" ; "more is taken than was paid")]
#[test_case(fold_twice, "" ; "bills are folded twice")]
#[test_case(skip_set_aside, "spent" ; "the remainder of a dead holder is released")]
#[test_case(skip_recovered_bills, "bills of" ; "a dead holder's requests are not billed")]
#[test_case(repeat_recovered_bills, "billed twice" ; "a dead holder's requests are billed twice")]
#[test_case(duplicate_journal, "billed twice" ; "a bill is written twice")]
fn corrupted_transaction_is_reported(mutation: Mutation, message: &str) {
    let found = violation(Some(mutation), RequestPath::Correct)
        .expect("a check must report the corrupted transaction");
    assert!(found.contains(message), "{found}");
}

#[test_case(
    RequestPath::AnswersBeforeRecord, "answered but not billed" ;
    "answers do not wait for their record"
)]
#[test_case(
    RequestPath::IgnoresExposureLimit, "spent" ;
    "requests without a record exceed the exposure limit"
)]
fn faulty_request_path_is_reported(request_path: RequestPath, message: &str) {
    let found = violation(None, request_path).expect("a check must report the faulty request path");
    assert!(found.contains(message), "{found}");
}

#[test]
fn unmodified_code_passes_the_same_histories() {
    assert_eq!(violation(None, RequestPath::Correct), None);
}
