//! Report of a run: counts, times and broken promises.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;
use serde_json::Value;

use super::count::CountsByCause;
use super::record::Record;

/// Counts of a run; fields that count broken promises are 0 in a good run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Tally {
    /// Requests sent through instances, each counted once however often it was retried.
    pub sent: u64,
    /// Requests whose callers received the complete answer.
    pub completed: u64,
    /// Requests whose last attempt was refused.
    pub refused: u64,
    /// Refusals for lack of budget although enough tokens for the bound were left.
    pub false_refusals: u64,
    /// Tokens paid for budgets without a parent.
    pub budget_tokens: u64,
    /// Tokens that upstreams used for requests through instances.
    pub spent_tokens: u64,
    /// Tokens that the bills in the platform add up to.
    pub billed_tokens: u64,
    /// Tokens spent above the paid ones, summed over all budgets.
    pub overspend_tokens: u64,
    /// Requests with more than one bill above 0 tokens.
    pub billed_twice: u64,
    /// Requests that ran to the end or were answered, but were never billed.
    pub unbilled: u64,
    /// Non-idempotent requests that ran more than once.
    pub nonidempotent_ran_twice: u64,
    /// Answers that are incomplete or belong to another request.
    pub wrong_answers: u64,
    /// Streams cut without an explicit error while their instance was up.
    ///
    /// Streams that end with an explicit error at a planned stop count too.
    pub cut_streams: u64,
    /// Requests that were refused as not run but had run.
    pub false_not_run: u64,
    /// Runs that an upstream started more than 3 s after its drain was confirmed.
    pub new_work_after_leave: u64,
    /// Attempts over all requests.
    pub attempts: u64,
    /// Requests whose last attempt was refused, by `code:outcome`.
    pub refused_by_cause: CountsByCause,
    /// Requests whose last attempt failed, by failure; `no_address` if none was sent.
    pub failed_by_cause: CountsByCause,
    /// Refusals for lack of budget, over all attempts.
    pub budget_refusals: u64,
    /// False refusals with at least 5% of the budget left.
    pub false_refusals_far_from_end: u64,
    /// Bills that repeat a request id.
    pub billed_twice_same_id: u64,
    /// Unbilled requests whose callers were answered.
    pub unbilled_answered: u64,
    /// Requests with an attempt that was refused as not run but had run itself.
    pub false_not_run_same_attempt: u64,
    /// Runs beyond the first one of each request.
    pub repeated_runs: u64,
    /// Streams cut while their instance was killed or paused.
    pub streams_lost_with_instance: u64,
    /// Attempts cut at planned stops, unless their answer had begun as a stream.
    pub cut_requests: u64,
    /// Engine crashes caused by poison requests.
    pub poison_crashes: u64,
    /// Engine crashes beyond two per poison request.
    pub poison_overruns: u64,
    /// Planned stops that failed or timed out.
    pub unclean_exits: u64,
    /// Whether some instance was not ready in time after all faults had ended.
    pub not_ready: bool,
    /// Plans that operators confirmed.
    pub config_confirmed: u64,
    /// Confirmed accounts of racing operators missing from the last configuration.
    pub config_lost: u64,
    /// Reads of an older version after a newer one at the same instance.
    pub config_reverted: u64,
    /// Reads at undisturbed instances that miss a version confirmed over 5 s before.
    pub config_late: u64,
    /// Confirmed plans beyond the first of those created from the same version.
    pub config_double_winners: u64,
    /// Tokens still in pieces or set aside after all instances have stopped.
    pub held_after: u64,
    /// Requests that broke a promise, with their attempts, by the promise's field.
    pub examples: BTreeMap<String, Vec<String>>,
}

/// Most examples kept per promise.
const MAX_EXAMPLES: usize = 3;

/// Field names and counts of the promises that a single request can break.
pub type BrokenCounts = [(&'static str, u64); 7];

impl Tally {
    /// Returns the counts of the promises that a single request can break.
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

    /// Adds a request as an example of a broken promise, unless three are kept already.
    pub fn add_example(&mut self, promise: &str, record: &Record) {
        let examples = self.examples.entry(promise.to_owned()).or_default();
        if examples.len() < MAX_EXAMPLES {
            examples.push(record.summary());
        }
    }
}

/// Response times and rate of a run; all times are in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Times {
    /// Median time to the first event of a stream.
    pub ttft_ms_p50: f64,
    /// 99th percentile of the time to the first event of a stream.
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
    /// Completed requests per second of the sending time.
    pub requests_per_s: f64,
}

/// Time that the system adds to an answer, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct AddedMs {
    /// Difference of the medians of routed and direct answers, as `times::measure` compares them.
    pub p50: f64,
    /// Difference of the 99th percentiles, computed in the same way.
    pub p99: f64,
}

/// Throughput of one instance compared with a pass-through on the same machine.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Throughput {
    /// Requests per second sent to the upstreams directly.
    pub direct_per_s: f64,
    /// Requests per second through a bare pass-through.
    pub pass_through_per_s: f64,
    /// Requests per second through one instance with as many threads as the pass-through.
    pub instance_per_s: f64,
    /// Rate through the instance divided by the rate through the pass-through.
    pub throughput_ratio: f64,
}

/// Report of a run, printed as a table or as one JSON object.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Name of the scenario, as on the command line.
    pub scenario: String,
    /// Seed of the run's random choices.
    pub seed: u64,
    /// Counts, written as fields of the report itself.
    #[serde(flatten)]
    pub tally: Tally,
    /// Response times, written as fields of the report itself.
    #[serde(flatten)]
    pub times: Times,
    /// Comparison of throughput, `None` except for the scenario without faults.
    #[serde(flatten)]
    pub throughput: Option<Throughput>,
    /// Resident memory of the largest idle instance, in kilobytes.
    pub idle_rss_kb: u64,
    /// Transactions that the platform applied until the instances had stopped.
    pub store_commits: u64,
}

impl Report {
    /// Returns the fields of the broken promises; empty for a good run.
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

    /// Renders the report as one line per field.
    ///
    /// # Panics
    ///
    /// Panics if the report cannot be serialized to JSON, which is a bug.
    #[must_use]
    pub fn table(&self) -> String {
        let value = serde_json::to_value(self).expect("a report serializes to JSON");
        let mut text = String::new();
        if let Value::Object(fields) = value {
            for (name, value) in fields {
                writeln!(text, "{name:<28} {value}").expect("writing to a string never fails");
            }
        }
        let broken = self.broken_promises();
        let verdict = if broken.is_empty() { "none".to_owned() } else { broken.join(", ") };
        writeln!(text, "{:<28} {verdict}", "broken promises")
            .expect("writing to a string never fails");
        text
    }
}
