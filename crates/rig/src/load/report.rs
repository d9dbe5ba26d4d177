//! The result of a run.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;
use serde_json::Value;

use super::count::CountsByCause;
use super::record::Record;

/// What was counted.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Tally {
    /// Requests that callers wanted answered.
    pub sent: u64,
    /// Requests whose callers have their whole answers.
    pub completed: u64,
    /// Requests whose callers gave up after a refusal.
    pub refused: u64,
    /// Refusals for lack of budget although the budget still held enough.
    pub false_refusals: u64,
    /// Tokens paid for budgets without a parent.
    pub budget_tokens: u64,
    /// Tokens that upstreams used.
    pub spent_tokens: u64,
    /// Tokens billed in the platform.
    pub billed_tokens: u64,
    /// Tokens spent beyond what was paid, over all budgets.
    pub overspend_tokens: u64,
    /// Requests with more than one charge.
    pub billed_twice: u64,
    /// Requests that ran to their end or were answered and have no charge.
    pub unbilled: u64,
    /// Requests that must not be repeated and have more than one run.
    pub nonidempotent_ran_twice: u64,
    /// Answers that are not the caller's own or not whole.
    pub wrong_answers: u64,
    /// Streams without an end or an explicit error; at planned stops streams with any error.
    pub cut_streams: u64,
    /// Requests said not to have run that had run.
    pub false_not_run: u64,
    /// Runs that an upstream started more than 3 s after it was marked as leaving.
    pub new_work_after_leave: u64,
    /// Attempts of all requests.
    pub attempts: u64,
    /// Requests given up after a refusal, by code and outcome.
    pub refused_by_cause: CountsByCause,
    /// Requests given up after a failure, by kind.
    pub failed_by_cause: CountsByCause,
    /// Refusals for lack of budget.
    pub budget_refusals: u64,
    /// False refusals with at least 5% of the budget left.
    pub false_refusals_far_from_end: u64,
    /// Doubled charges of one request id.
    pub billed_twice_same_id: u64,
    /// Requests without a charge whose callers were answered.
    pub unbilled_answered: u64,
    /// Attempts said not to have run that had run themselves.
    pub false_not_run_same_attempt: u64,
    /// Runs beyond the first of their request.
    pub repeated_runs: u64,
    /// Streams that ended with a killed or paused instance.
    pub streams_lost_with_instance: u64,
    /// Whole answers that broke off at planned stops.
    pub cut_requests: u64,
    /// Engines that requests crashed.
    pub poison_crashes: u64,
    /// Crashes beyond two for each crashing request.
    pub poison_overruns: u64,
    /// Planned stops that failed or took too long.
    pub unclean_exits: u64,
    /// Whether instances did not come back after all faults.
    pub not_ready: bool,
    /// Configurations confirmed.
    pub config_confirmed: u64,
    /// Confirmed changes missing at the end.
    pub config_lost: u64,
    /// Readings of an older version after a newer one at one instance.
    pub config_reverted: u64,
    /// Readings of a version that should have been replaced 5 s before.
    pub config_late: u64,
    /// Second winners of plans made from one version.
    pub config_double_winners: u64,
    /// Tokens in pieces or set aside after everything has settled.
    pub held_after: u64,
    /// Some of the requests for which a promise was broken, with their attempts.
    pub examples: BTreeMap<String, Vec<String>>,
}

/// Examples kept for each promise.
const MAX_EXAMPLES: usize = 3;

/// Counts of the promises that single requests can break.
pub type BrokenCounts = [(&'static str, u64); 7];

impl Tally {
    /// Returns how often single requests broke a promise.
    #[must_use]
    pub fn broken_by_requests(&self) -> BrokenCounts {
        [
            ("billed_twice", self.billed_twice),
            ("unbilled", self.unbilled),
            ("nonidempotent_ran_twice", self.nonidempotent_ran_twice),
            ("wrong_answers", self.wrong_answers),
            ("cut_streams", self.cut_streams),
            ("cut_requests", self.cut_requests),
            ("false_not_run", self.false_not_run),
        ]
    }

    /// Keeps a request as an example of a broken promise, if there are few yet.
    pub fn add_example(&mut self, promise: &str, record: &Record) {
        let examples = self.examples.entry(promise.to_owned()).or_default();
        if examples.len() < MAX_EXAMPLES {
            examples.push(record.summary());
        }
    }
}

/// Times of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Times {
    /// Median time to the first token of a stream.
    pub ttft_ms_p50: f64,
    /// 99th percentile of the time to the first token of a stream.
    pub ttft_ms_p99: f64,
    /// Median time that the system adds to a whole answer.
    pub added_ms_p50: f64,
    /// 99th percentile of the time that the system adds to a whole answer.
    pub added_ms_p99: f64,
    /// Median time that the system adds to the first byte.
    pub added_first_ms_p50: f64,
    /// 99th percentile of the time that the system adds to the first byte.
    pub added_first_ms_p99: f64,
    /// Time added to whole answers, by kind of request.
    pub added_by_kind: BTreeMap<String, AddedMs>,
    /// Requests completed in a second.
    pub requests_per_s: f64,
}

/// Time that the system adds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct AddedMs {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Comparison of throughput in the same run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Throughput {
    /// Requests a second straight at the upstreams.
    pub direct_per_s: f64,
    /// Requests a second through a bare pass-through.
    pub pass_through_per_s: f64,
    /// Requests a second through one instance with as many threads.
    pub instance_per_s: f64,
    /// Instance over pass-through.
    pub throughput_ratio: f64,
}

/// The result of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed.
    pub seed: u64,
    /// What was counted.
    #[serde(flatten)]
    pub tally: Tally,
    /// Times.
    #[serde(flatten)]
    pub times: Times,
    /// Comparison of throughput, where the scenario makes it.
    #[serde(flatten)]
    pub throughput: Option<Throughput>,
    /// Resident memory of the largest idle instance, in kilobytes.
    pub idle_rss_kb: u64,
    /// Transactions that the platform applied.
    pub store_commits: u64,
}

impl Report {
    /// Returns the names of the broken promises.
    #[must_use]
    pub fn broken_promises(&self) -> Vec<&'static str> {
        let tally = &self.tally;
        let before = [("overspend_tokens", tally.overspend_tokens)];
        let after = [
            ("new_work_after_leave", tally.new_work_after_leave),
            ("poison_overruns", tally.poison_overruns),
            ("unclean_exits", tally.unclean_exits),
            ("not_ready", u64::from(tally.not_ready)),
            ("config_lost", tally.config_lost),
            ("config_reverted", tally.config_reverted),
            ("config_late", tally.config_late),
            ("config_double_winners", tally.config_double_winners),
        ];
        let promises = before.into_iter().chain(tally.broken_by_requests()).chain(after);
        promises.filter(|(_, count)| *count > 0).map(|(name, _)| name).collect()
    }

    /// Renders the report for people.
    ///
    /// # Panics
    ///
    /// Panics if the report cannot be written as JSON, which is a bug.
    #[must_use]
    pub fn table(&self) -> String {
        let value = serde_json::to_value(self).expect("a report is plain JSON");
        let mut text = String::new();
        if let Value::Object(fields) = value {
            for (name, value) in fields {
                writeln!(text, "{name:<28} {value}").expect("a string takes any text");
            }
        }
        let broken = self.broken_promises();
        let verdict = if broken.is_empty() { "none".to_owned() } else { broken.join(", ") };
        writeln!(text, "{:<28} {verdict}", "broken promises").expect("a string takes any text");
        text
    }
}
