//! The count finds each broken promise in evidence made by hand.

use std::time::Duration;

use rig::billing::{Bill, Payment};
use rig::journal::Run;
use rig::load::count::{Evidence, count};
use rig::load::events::{Mark, Span};
use rig::load::mix::{Ask, Kind};
use rig::load::record::{Attempt, Ending, Failure, Record, Refused};
use test_case::test_case;

const ADDRESS: &str = "127.0.0.1:1";

fn ask(kind: Kind) -> Ask {
    Ask { kind, name: "r-1".into(), payer: 0, tokens: 4, poison: false }
}

fn attempt(ending: Ending) -> Attempt {
    Attempt {
        address: ADDRESS.into(),
        start_ms: 1_000,
        end_ms: 2_000,
        request_id: "id-1".into(),
        first: Duration::ZERO,
        whole: Duration::ZERO,
        ending,
    }
}

fn refused(code: &str, outcome: &str) -> Ending {
    Ending::Refused(Refused {
        status: 402,
        code: code.into(),
        outcome: outcome.into(),
        retry_after: None,
    })
}

fn run(request_id: &str, started_ms: u64) -> Run {
    Run {
        upstream: "engine-1".into(),
        account: "courier".into(),
        idempotency_key: "r-1".into(),
        request_id: request_id.into(),
        path: "/v1/chat/completions".into(),
        prompt_tokens: 10,
        completion_tokens: 4,
        finished: true,
        started_ms,
        ..Run::default()
    }
}

fn bill(request: &str, tokens: u64) -> Bill {
    Bill { request: request.into(), budget: "courier".into(), tokens, at_ms: 1_500 }
}

/// One chat that was answered and billed as it should be.
fn good() -> Evidence {
    let mut evidence = Evidence::default();
    evidence
        .records
        .push(Record { ask: ask(Kind::Stream), attempts: vec![attempt(Ending::Whole)] });
    evidence.runs.push(run("id-1", 1_100));
    evidence.history.bills.push(bill("id-1", 14));
    evidence.history.paid.push(Payment {
        budget: "courier".into(),
        parent: None,
        paid: 1_000,
        at_ms: 1,
    });
    evidence
}

#[test]
fn good_evidence_breaks_no_promise() {
    let tally = count(&good());
    assert_eq!((tally.sent, tally.completed, tally.refused), (1, 1, 0));
    assert_eq!((tally.budget_tokens, tally.spent_tokens, tally.billed_tokens), (1_000, 14, 14));
    let broken = tally.overspend_tokens
        + tally.billed_twice
        + tally.unbilled
        + tally.nonidempotent_ran_twice
        + tally.wrong_answers
        + tally.cut_streams
        + tally.false_not_run
        + tally.new_work_after_leave
        + tally.false_refusals;
    assert_eq!(broken, 0);
}

#[test]
fn spending_beyond_what_was_paid_is_overspend() {
    let mut evidence = good();
    evidence.history.paid[0].paid = 10;
    assert_eq!(count(&evidence).overspend_tokens, 4);
}

#[test]
fn an_answered_run_without_a_bill_still_counts_as_spent() {
    let mut evidence = good();
    evidence.history.paid[0].paid = 10;
    evidence.history.bills.clear();
    let tally = count(&evidence);
    assert_eq!((tally.overspend_tokens, tally.unbilled), (4, 1));
}

#[test_case("id-1", 1; "of the same request id")]
#[test_case("id-2", 0; "of a repeated attempt")]
fn a_second_bill_is_counted(request: &str, same_id: u64) {
    let mut evidence = good();
    evidence.runs.push(run(request, 1_200));
    evidence.history.bills.push(bill(request, 14));
    let tally = count(&evidence);
    assert_eq!((tally.billed_twice, tally.billed_twice_same_id), (1, same_id));
}

#[test]
fn a_released_attempt_is_no_second_bill() {
    let mut evidence = good();
    evidence.history.bills.push(bill("id-1", 0));
    assert_eq!(count(&evidence).billed_twice, 0);
}

#[test]
fn a_confirmation_that_ran_twice_is_counted() {
    let mut evidence = good();
    evidence.records[0].ask = ask(Kind::Confirm);
    evidence.runs.push(run("id-2", 1_200));
    assert_eq!(count(&evidence).nonidempotent_ran_twice, 1);
}

#[test]
fn a_run_after_not_run_was_said_of_it_is_counted() {
    let mut evidence = good();
    evidence.records[0].attempts[0].ending = refused("overloaded", "not-run");
    let tally = count(&evidence);
    assert_eq!((tally.false_not_run, tally.false_not_run_same_attempt), (1, 1));
}

#[test]
fn a_run_of_a_later_attempt_does_not_belie_an_earlier_refusal() {
    let mut evidence = good();
    let mut early = attempt(refused("overloaded", "not-run"));
    early.request_id = "id-0".into();
    early.end_ms = 1_050;
    evidence.records[0].attempts.insert(0, early);
    assert_eq!(count(&evidence).false_not_run, 0);
}

#[test_case(10, 0; "a budget without enough")]
#[test_case(1_000, 1; "a budget with enough")]
fn false_refusals_are_found_with_perfect_knowledge(paid: u64, expected: u64) {
    let mut evidence = good();
    evidence.history.paid[0].paid = paid;
    let mut poor = evidence.records[0].clone();
    poor.ask.name = "r-2".into();
    poor.attempts[0].request_id = "id-2".into();
    poor.attempts[0].ending = refused("insufficient_quota", "not-run");
    evidence.records.push(poor);
    assert_eq!(count(&evidence).false_refusals, expected);
}

#[test_case(Failure::Cut, false, false, 1; "without a cause")]
#[test_case(Failure::Cut, true, false, 0; "by the death of the instance")]
#[test_case(Failure::Explicit, false, false, 0; "with an explicit error")]
#[test_case(Failure::Explicit, false, true, 1; "with an explicit error at a planned stop")]
fn cut_streams_are_counted(failure: Failure, killed: bool, stopped: bool, expected: u64) {
    let mut evidence = good();
    evidence.records[0].attempts[0].ending = Ending::Failed(failure);
    let span = Span { address: ADDRESS.into(), from_ms: 1_500, until_ms: Some(1_600) };
    if killed {
        evidence.events.unplanned.push(span.clone());
    }
    if stopped {
        evidence.events.planned.push(span);
    }
    assert_eq!(count(&evidence).cut_streams, expected);
}

#[test_case(3_000, 0; "at the end of the allowed time")]
#[test_case(3_001, 1; "after it")]
fn work_after_a_mark_is_counted(after_ms: u64, expected: u64) {
    let mut evidence = good();
    let from_ms = 1_100 - 1_000;
    evidence.runs[0].started_ms = from_ms + after_ms;
    evidence.events.marks.push(Mark { upstream: "engine-1".into(), from_ms, until_ms: None });
    assert_eq!(count(&evidence).new_work_after_leave, expected);
}

#[test_case("marker=r-1 t1 t2 t3 ", true; "whole")]
#[test_case("marker=r-1 t1 t2 ", false; "cut short")]
#[test_case("marker=r-2 t1 t2 t3 ", false; "of another")]
#[test_case("marker=r-1 marker=r-2 t2 t3 ", false; "mixed with another")]
fn only_the_callers_own_whole_answer_is_right(text: &str, right: bool) {
    assert_eq!(ask(Kind::Whole).is_answered_by(text), right);
}
