//! Arguments, exit codes and report fields of `lacewing-load`.

use std::process::{Command, Output};

use serde_json::Value;
use test_case::test_case;

/// Report fields that checks outside the repository read.
const REQUIRED_FIELDS: [&str; 22] = [
    "scenario",
    "seed",
    "sent",
    "completed",
    "refused",
    "false_refusals",
    "budget_tokens",
    "spent_tokens",
    "billed_tokens",
    "overspend_tokens",
    "billed_twice",
    "unbilled",
    "nonidempotent_ran_twice",
    "wrong_answers",
    "cut_streams",
    "false_not_run",
    "new_work_after_leave",
    "ttft_ms_p50",
    "ttft_ms_p99",
    "added_ms_p50",
    "added_ms_p99",
    "requests_per_s",
];

fn run_load(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lacewing-load")).args(args).output().unwrap()
}

#[test_case(&["--scenario", "calm", "--seed", "1"]; "an unknown scenario")]
#[test_case(&["--scenario", "steady"]; "no seed")]
#[test_case(&["--scenario", "steady", "--seed", "x"]; "a seed that is no number")]
#[test_case(&["--scenario", "steady", "--seed", "1", "--seconds", "0"]; "no time")]
fn invalid_arguments_exit_with_2(args: &[&str]) {
    let output = run_load(args);
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
}

#[test]
fn a_run_prints_every_field_and_exits_with_0() {
    let output = run_load(&["--scenario", "lost-reply", "--seed", "1", "--seconds", "3", "--json"]);
    let text = String::from_utf8(output.stdout).unwrap();
    let report: Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    let missing: Vec<&str> =
        REQUIRED_FIELDS.into_iter().filter(|field| report.get(field).is_none()).collect();
    assert_eq!(missing, Vec::<&str>::new());
    assert_eq!(output.status.code(), Some(0), "{report}");
    assert!(report["completed"].as_u64().unwrap() > 100);
}
