//! The count finds each broken promise in constructed evidence.
//!
//! Each test breaks one promise in valid evidence. If the count missed it, the experiments would
//! pass although the system broke the promise.

use std::time::Duration;

use rig::billing::{Bill, Payment};
use rig::journal::Run;
use rig::load::count::{Evidence, count};
use rig::load::events::{Drain, Span};
use rig::load::record::{Attempt, Ending, Failure, Record, Refused};
use rig::load::workload::{Kind, Request};
use test_case::test_case;

const ADDRESS: &str = "127.0.0.1:1";

fn request(kind: Kind) -> Request {
    Request { kind, name: "r-1".into(), payer_index: 0, output_tokens: 4, poison: false }
}

fn attempt(ending: Ending) -> Attempt {
    Attempt {
        address: ADDRESS.into(),
        start_ms: 1_000,
        end_ms: 2_000,
        request_id: "id-1".into(),
        time_to_first_event: Duration::ZERO,
        total_time: Duration::ZERO,
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

/// One chat that ran once, was answered completely and was billed once.
fn valid_evidence() -> Evidence {
    let mut evidence = Evidence::default();
    evidence
        .records
        .push(Record { request: request(Kind::Stream), attempts: vec![attempt(Ending::Whole)] });
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
fn valid_evidence_breaks_no_promise() {
    let tally = count(&valid_evidence());
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
fn spending_above_the_paid_tokens_counts_as_overspend() {
    let mut evidence = valid_evidence();
    evidence.history.paid[0].paid = 10;
    assert_eq!(count(&evidence).overspend_tokens, 4);
}

#[test]
fn an_answered_run_without_a_bill_counts_as_spent_and_unbilled() {
    let mut evidence = valid_evidence();
    evidence.history.paid[0].paid = 10;
    evidence.history.bills.clear();
    let tally = count(&evidence);
    assert_eq!((tally.overspend_tokens, tally.unbilled), (4, 1));
}

#[test_case("id-1", 1; "of the same request id")]
#[test_case("id-2", 0; "of a repeated attempt")]
fn a_second_bill_counts_as_billed_twice(request: &str, same_id: u64) {
    let mut evidence = valid_evidence();
    evidence.runs.push(run(request, 1_200));
    evidence.history.bills.push(bill(request, 14));
    let tally = count(&evidence);
    assert_eq!((tally.billed_twice, tally.billed_twice_same_id), (1, same_id));
}

#[test]
fn a_bill_of_zero_tokens_does_not_count_as_a_second_bill() {
    let mut evidence = valid_evidence();
    evidence.history.bills.push(bill("id-1", 0));
    assert_eq!(count(&evidence).billed_twice, 0);
}

#[test]
fn a_second_run_of_a_confirm_call_is_counted() {
    let mut evidence = valid_evidence();
    evidence.records[0].request = request(Kind::Confirm);
    evidence.runs.push(run("id-2", 1_200));
    assert_eq!(count(&evidence).nonidempotent_ran_twice, 1);
}

#[test]
fn a_run_of_an_attempt_refused_as_not_run_is_counted() {
    let mut evidence = valid_evidence();
    evidence.records[0].attempts[0].ending = refused("overloaded", "not-run");
    let tally = count(&evidence);
    assert_eq!((tally.false_not_run, tally.false_not_run_same_attempt), (1, 1));
}

#[test]
fn a_run_of_a_later_attempt_does_not_make_an_earlier_refusal_false() {
    let mut evidence = valid_evidence();
    let mut early = attempt(refused("overloaded", "not-run"));
    early.request_id = "id-0".into();
    early.end_ms = 1_050;
    evidence.records[0].attempts.insert(0, early);
    assert_eq!(count(&evidence).false_not_run, 0);
}

#[test_case(10, 0; "a budget without enough")]
#[test_case(1_000, 1; "a budget with enough")]
fn a_budget_refusal_is_false_only_if_enough_tokens_were_left(paid: u64, expected: u64) {
    let mut evidence = valid_evidence();
    evidence.history.paid[0].paid = paid;
    let mut refused_record = evidence.records[0].clone();
    refused_record.request.name = "r-2".into();
    refused_record.attempts[0].request_id = "id-2".into();
    refused_record.attempts[0].ending = refused("insufficient_quota", "not-run");
    evidence.records.push(refused_record);
    assert_eq!(count(&evidence).false_refusals, expected);
}

#[test_case(Failure::Cut, false, false, 1; "without a cause")]
#[test_case(Failure::Cut, true, false, 0; "by the death of the instance")]
#[test_case(Failure::Explicit, false, false, 0; "with an explicit error")]
#[test_case(Failure::Explicit, false, true, 1; "with an explicit error at a planned stop")]
fn a_cut_stream_counts_unless_its_instance_was_killed(
    failure: Failure,
    killed: bool,
    stopped: bool,
    expected: u64,
) {
    let mut evidence = valid_evidence();
    evidence.records[0].attempts[0].ending = Ending::Failed(failure);
    let span = Span { address: ADDRESS.into(), from_ms: 1_500, until_ms: Some(1_600) };
    if killed {
        evidence.events.outages.push(span.clone());
    }
    if stopped {
        evidence.events.planned_stops.push(span);
    }
    assert_eq!(count(&evidence).cut_streams, expected);
}

#[test_case(3_000, 0; "at the end of the allowed time")]
#[test_case(3_001, 1; "after it")]
fn a_run_started_after_the_drain_grace_is_counted(after_ms: u64, expected: u64) {
    let mut evidence = valid_evidence();
    let from_ms = 1_100 - 1_000;
    evidence.runs[0].started_ms = from_ms + after_ms;
    evidence.events.drains.push(Drain { upstream: "engine-1".into(), from_ms, until_ms: None });
    assert_eq!(count(&evidence).new_work_after_leave, expected);
}

#[test_case("marker=r-1 t1 t2 t3 ", true; "whole")]
#[test_case("marker=r-1 t1 t2 ", false; "cut short")]
#[test_case("marker=r-2 t1 t2 t3 ", false; "of another")]
#[test_case("marker=r-1 marker=r-2 t2 t3 ", false; "mixed with another")]
fn only_the_whole_answer_to_the_request_is_accepted(text: &str, accepted: bool) {
    assert_eq!(request(Kind::Whole).is_answered_by(text), accepted);
}
