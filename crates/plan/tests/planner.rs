//! Guards against lost, doubled or invalid changes of the configuration.
//!
//! Changes could be lost or doubled when operators confirm plans at the same time and the table's
//! replies get lost.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use base::clock::Manual;
use base::prelude::*;
use futures::FutureExt;
use futures::executor::block_on;
use plan::hash::digest;
use plan::planner::Planner;
use plan::proposal::Access;
use plan::{ActiveDoc, Error};
use proptest::prelude::*;
use serde_json::{Value, json};
use store::memory::Platform;
use store::{Commit, Pending, Row, Table, Txn};

/// A table that applies each commit and loses some of the replies.
#[derive(Default)]
struct LossyTable {
    rows: Platform,
    /// Whether the replies of the next commits are lost.
    ///
    /// The last element stands for the next commit. No reply is lost if the list is empty.
    lost_replies: RefCell<Vec<bool>>,
}

impl Table for LossyTable {
    fn get(&self, keys: Vec<String>) -> Pending<'_, Vec<Row>> {
        Table::get(&self.rows, keys)
    }

    fn scan(&self, prefix: String, after: String, limit: usize) -> Pending<'_, Vec<Row>> {
        Table::scan(&self.rows, prefix, after, limit)
    }

    fn commit(&self, txn: Txn) -> Pending<'_, Commit> {
        async move {
            let applied = self.rows.apply(&txn);
            if self.lost_replies.borrow_mut().pop().unwrap_or_default() {
                return Err(store::Error::Unreachable("the reply is lost".into()));
            }
            Ok(applied)
        }
        .boxed_local()
    }
}

fn open() -> (Rc<LossyTable>, Planner) {
    let table = Rc::new(LossyTable::default());
    let planner = Planner::open(Rc::clone(&table) as Rc<dyn Table>, Arc::new(Manual::default()));
    (table, planner)
}

fn root() -> Access {
    Access::unrestricted("root")
}

fn plan_and_confirm(planner: &Planner, intent: &Value) -> Result<Version, Error> {
    block_on(async {
        let plan = planner.propose(intent.clone(), &root()).await?;
        planner.confirm(&plan.id, &root()).await
    })
}

fn base_intent() -> Value {
    json!({
        "accounts": {"courier": {}, "merchant": {}},
        "budgets": {"courier": {"account": "courier", "paid": 100}},
        "keys": {digest("k"): {"account": "courier", "budget": "courier"}},
    })
}

fn budget(table: &LossyTable, id: &str) -> Value {
    table
        .rows
        .read(&[format!("budget/{id}")])
        .first()
        .map(|row| row.value.clone())
        .unwrap_or_default()
}

fn reasons(result: Result<Version, Error>) -> Vec<String> {
    match result {
        Err(Error::Invalid(reasons) | Error::Forbidden(reasons)) => reasons,
        other => panic!("expected reasons, got {other:?}"),
    }
}

#[test]
fn document_contains_neither_keys_nor_budgets() {
    let (table, planner) = open();
    assert_eq!(plan_and_confirm(&planner, &base_intent()).unwrap(), 1);
    let current = block_on(planner.current()).unwrap();
    let text = serde_json::to_string(&current.doc).unwrap();
    assert!(!text.contains(&digest("k")) && !text.contains("paid"));
    assert_eq!(budget(&table, "courier")["paid"], 100);
    plan_and_confirm(&planner, &json!({"keys": {digest("k"): null}})).unwrap();
    assert!(table.rows.read(&[format!("key/{}", digest("k"))]).is_empty());
    let touched = block_on(planner.current()).unwrap().doc.touched;
    assert!(!touched.is_valid(&digest("k"), 1) && touched.is_valid(&digest("k"), 2));
}

#[test]
fn repeated_top_up_with_the_same_id_is_applied_once() {
    let (table, planner) = open();
    plan_and_confirm(&planner, &base_intent()).unwrap();
    let pay = json!({"budgets": {"courier": {"top_up": {"id": "p-1", "tokens": 50}}}});
    plan_and_confirm(&planner, &pay).unwrap();
    plan_and_confirm(&planner, &pay).unwrap();
    assert_eq!(budget(&table, "courier")["paid"], 150);
    let other = json!({"budgets": {"courier": {"top_up": {"id": "p-1", "tokens": 51}}}});
    assert_eq!(reasons(plan_and_confirm(&planner, &other)).len(), 1);
}

#[test]
fn invalid_plan_is_rejected_with_all_reasons() {
    let (table, planner) = open();
    plan_and_confirm(&planner, &base_intent()).unwrap();
    let mut txn = Txn::default();
    let spent = json!({"account": "courier", "paid": 100, "billed": 60, "held": 20, "aside": 5});
    txn.put("budget/courier", &spent);
    table.rows.apply(&txn);
    let intent = json!({
        "budgets": {"courier": {"paid": 84}, "stray": {"account": "nobody", "paid": 1}},
        "keys": {digest("x"): {"account": "courier", "budget": "none"}},
        "models": {"m": {"upstreams": ["gone"]}, "n": {"upstreams": []}},
    });
    let reasons = reasons(plan_and_confirm(&planner, &intent));
    assert_eq!(reasons.len(), 5, "{reasons:?}");
    let delete = json!({"budgets": {"courier": null}});
    assert!(self::reasons(plan_and_confirm(&planner, &delete))[0].contains("25 tokens are held"));
    let account = json!({"accounts": {"courier": null}});
    assert!(self::reasons(plan_and_confirm(&planner, &account))[0].contains("belongs to it"));
    plan_and_confirm(&planner, &json!({"budgets": {"courier": {"paid": 85}}})).unwrap();
    assert_eq!(budget(&table, "courier")["billed"], 60);
}

#[test]
fn operator_cannot_change_other_accounts() {
    let (_table, planner) = open();
    plan_and_confirm(&planner, &base_intent()).unwrap();
    let access = Access { name: "team".into(), accounts: vec!["courier".into()] };
    let propose = |intent: Value| block_on(planner.propose(intent, &access)).map(|plan| plan.base);
    propose(json!({"budgets": {"courier": {"paid": 200}}})).unwrap();
    let foreign = json!({"budgets": {"m": {"account": "merchant", "paid": 1}}});
    assert_eq!(reasons(propose(foreign)).len(), 1);
    let upstream =
        json!({"upstreams": {"e": {"kind": "engine", "address": "127.0.0.1:1", "domain": "a"}}});
    assert_eq!(reasons(propose(upstream)).len(), 1);
    let stolen = json!({"keys": {digest("k"): {"account": "merchant", "budget": "courier"}}});
    assert!(reasons(propose(stolen))[0].contains("merchant"));
}

#[test]
fn plan_that_removes_the_last_route_lists_it_as_an_effect() {
    let (_table, planner) = open();
    let engine = json!({"kind": "engine", "address": "127.0.0.1:1", "domain": "a"});
    plan_and_confirm(
        &planner,
        &json!({"upstreams": {"e": engine}, "models": {"m": {"upstreams": ["e"]}}}),
    )
    .unwrap();
    let drain = json!({"upstreams": {"e": {"draining": true}}});
    let plan = block_on(planner.propose(drain, &root())).unwrap();
    assert_eq!(plan.effects.len(), 2, "{:?}", plan.effects);
}

/// An operator confirms its previous plan repeatedly, then makes a new plan.
#[derive(Debug, Clone)]
struct Attempt {
    operator: usize,
    lost_replies: Vec<bool>,
    confirms: usize,
}

fn attempt_strategy() -> impl Strategy<Value = Attempt> {
    let lost_replies = proptest::collection::vec(any::<bool>(), 0..4);
    (0_usize..4, lost_replies, 1_usize..4).prop_map(|(operator, lost_replies, confirms)| Attempt {
        operator,
        lost_replies,
        confirms,
    })
}

proptest! {
    #[test]
    fn racing_confirmations_have_one_winner_per_version_and_keep_all_changes(
        attempts in proptest::collection::vec(attempt_strategy(), 1..14),
    ) {
        let (table, planner) = open();
        plan_and_confirm(&planner, &base_intent()).unwrap();
        let mut open_plans: Vec<Option<String>> = vec![None; 4];
        let mut confirmed_plans = BTreeSet::new();
        let mut versions = BTreeSet::new();
        let mut active_version = 0;
        let active = ActiveDoc::default();
        for (number, attempt) in attempts.iter().enumerate() {
            // The operator first confirms the plan of its previous attempt; other operators may
            // have confirmed theirs in between.
            if let Some(id) = open_plans[attempt.operator].take() {
                table.lost_replies.replace(attempt.lost_replies.clone());
                let mut confirmed_version = None;
                for _ in 0..attempt.confirms {
                    match block_on(planner.confirm(&id, &root())) {
                        Ok(version) => {
                            prop_assert!(confirmed_version.is_none_or(|known| known == version));
                            confirmed_version = Some(version);
                        }
                        Err(Error::Stale(_)) => prop_assert!(confirmed_version.is_none()),
                        Err(Error::Store(_)) => {}
                        Err(error) => prop_assert!(false, "{error}"),
                    }
                }
                table.lost_replies.replace(Vec::new());
                // Without lost replies, this call shows whether the plan was confirmed.
                let last = block_on(planner.confirm(&id, &root()));
                if let Ok(version) = last {
                    prop_assert!(confirmed_version.is_none_or(|known| known == version));
                    prop_assert!(versions.insert(version), "two winners of version {version}");
                    confirmed_plans.insert(id);
                } else {
                    prop_assert!(confirmed_version.is_none(), "a confirmation was lost");
                }
            }
            let current = block_on(planner.current()).unwrap();
            active.replace_if_newer(current.doc);
            prop_assert!(active.load().version >= active_version);
            active_version = active.load().version;
            let name = format!("a-{number}");
            let intent = json!({
                "accounts": {name: {}},
                "budgets": {"courier": {"top_up": {"id": format!("t-{number}"), "tokens": 3}}},
            });
            let plan = block_on(planner.propose(intent, &root())).unwrap();
            open_plans[attempt.operator] = Some(plan.id);
        }
        let confirmed = confirmed_plans.len() as u64;
        let audit = block_on(planner.audit(0, 1_000)).unwrap();
        let by_audit: BTreeSet<String> = audit.iter().skip(1).map(|entry| entry.plan.clone()).collect();
        prop_assert_eq!(by_audit, confirmed_plans);
        let doc = block_on(planner.current()).unwrap().doc;
        prop_assert_eq!(doc.version, 1 + confirmed);
        prop_assert_eq!(doc.accounts.len() as u64, 2 + confirmed);
        prop_assert_eq!(budget(&table, "courier")["paid"].as_u64(), Some(100 + 3 * confirmed));
    }
}
