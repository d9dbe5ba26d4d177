//! Counts broken promises from journals, the platform's history and callers' records.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::budgets::Budgets;
use super::events::Events;
use super::record::{Attempt, Ending, Failure, Record};
use super::report::{BrokenCounts, Tally};
use super::workload::{Kind, SERVICE_CALL_TOKENS};
use crate::billing::History;
use crate::journal::Run;

/// Time after the drain is confirmed in which new requests may still reach the upstream.
const DRAIN_GRACE_MS: u64 = 3_000;
/// Most engines that one poison request may crash.
const MAX_CRASHES_PER_POISON: u64 = 2;
/// Name prefix of requests sent directly to an upstream, which are not counted.
pub const DIRECT_PREFIX: &str = "direct";

/// Everything that was observed during a run.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// All requests with their attempts, as the callers saw them.
    pub records: Vec<Record>,
    /// Runs from the upstreams' journals.
    pub runs: Vec<Run>,
    /// Bills and payments that the platform applied.
    pub history: History,
    /// Faults, operators' actions and version reads of the run.
    pub events: Events,
}

/// Index of runs and bills by the name that the caller gave the request.
#[derive(Debug)]
pub struct Index<'a> {
    /// Runs by request name, ordered by their start.
    pub runs_by_name: HashMap<&'a str, Vec<&'a Run>>,
    /// Request names by the request id that the system assigned.
    pub names_by_request_id: HashMap<&'a str, &'a str>,
    /// Billed tokens by request name; bills of 0 tokens are left out.
    pub charges_by_name: HashMap<&'a str, Vec<u64>>,
}

impl<'a> Index<'a> {
    /// Indexes the evidence; runs of direct requests are left out.
    #[must_use]
    pub fn new(evidence: &'a Evidence) -> Self {
        let mut runs_by_name: HashMap<&str, Vec<&Run>> = HashMap::new();
        let mut names_by_request_id = HashMap::new();
        for run in evidence.runs.iter().filter(|run| is_routed(run)) {
            runs_by_name.entry(run.idempotency_key.as_str()).or_default().push(run);
            names_by_request_id.insert(run.request_id.as_str(), run.idempotency_key.as_str());
        }
        for list in runs_by_name.values_mut() {
            list.sort_by_key(|run| run.started_ms);
        }
        for record in &evidence.records {
            for attempt in record.attempts.iter().filter(|attempt| !attempt.request_id.is_empty()) {
                names_by_request_id
                    .insert(attempt.request_id.as_str(), record.request.name.as_str());
            }
        }
        let mut charges_by_name: HashMap<&str, Vec<u64>> = HashMap::new();
        for bill in evidence.history.bills.iter().filter(|bill| bill.tokens > 0) {
            let name =
                names_by_request_id.get(bill.request.as_str()).copied().unwrap_or(&bill.request);
            charges_by_name.entry(name).or_default().push(bill.tokens);
        }
        Self { runs_by_name, names_by_request_id, charges_by_name }
    }

    /// Returns the runs of a request, ordered by their start.
    #[must_use]
    pub fn runs(&self, name: &str) -> &[&'a Run] {
        self.runs_by_name.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns the tokens billed for a request, over all its bills.
    #[must_use]
    pub fn charged_tokens(&self, name: &str) -> u64 {
        self.charges_by_name.get(name).map_or(0, |charges| charges.iter().sum())
    }

    /// Returns the tokens of the largest run of a request, 0 without a run.
    #[must_use]
    pub fn max_run_tokens(&self, name: &str) -> u64 {
        self.runs(name).iter().map(|run| used_tokens(run)).max().unwrap_or(0)
    }
}

/// Returns true for runs that an instance forwarded.
fn is_routed(run: &Run) -> bool {
    !run.idempotency_key.starts_with(DIRECT_PREFIX)
}

/// Returns the tokens that a run used; an unfinished service call used none.
#[must_use]
pub fn used_tokens(run: &Run) -> u64 {
    if run.path.contains("chat") {
        run.prompt_tokens + run.completion_tokens
    } else if run.finished {
        SERVICE_CALL_TOKENS
    } else {
        0
    }
}

/// Counts requests, answers and broken promises.
#[must_use]
pub fn count(evidence: &Evidence) -> Tally {
    let index = Index::new(evidence);
    let budgets = Budgets::new(evidence, &index);
    let mut tally = Tally::default();
    for record in &evidence.records {
        let before = tally.broken_by_requests();
        count_ending(record, &mut tally);
        count_streams(record, &evidence.events, &mut tally);
        count_bills(record, &index, &mut tally);
        count_runs(record, &index, &mut tally);
        budgets.count_refusals(record, &mut tally);
        add_examples(&before, record, &mut tally);
    }
    count_same_id_bills(evidence, &mut tally);
    tally.budget_tokens = budgets.root_paid();
    tally.overspend_tokens = budgets.overspent();
    tally.spent_tokens = index.runs_by_name.values().flatten().map(|run| used_tokens(run)).sum();
    tally.billed_tokens = evidence.history.bills.iter().map(|bill| bill.tokens).sum();
    tally.new_work_after_leave = new_work_after_drain(evidence);
    count_events(&evidence.events, &mut tally);
    tally
}

fn add_examples(before: &BrokenCounts, record: &Record, tally: &mut Tally) {
    for (old, (promise, count)) in before.iter().zip(tally.broken_by_requests()) {
        if count > old.1 {
            tally.add_example(promise, record);
        }
    }
}

fn count_ending(record: &Record, tally: &mut Tally) {
    tally.sent += 1;
    tally.attempts += record.attempts.len() as u64;
    tally.completed += u64::from(record.is_answered());
    let wrong = record.attempts.iter().filter(|attempt| attempt.ending == Ending::Wrong).count();
    tally.wrong_answers += wrong as u64;
    match record.last_attempt().map(|attempt| &attempt.ending) {
        Some(Ending::Refused(refused)) => {
            tally.refused += 1;
            let cause = format!("{}:{}", refused.code, refused.outcome);
            *tally.refused_by_cause.entry(cause).or_default() += 1;
        }
        Some(Ending::Failed(failure)) => {
            let cause = format!("{failure:?}").to_lowercase();
            *tally.failed_by_cause.entry(cause).or_default() += 1;
        }
        Some(Ending::Whole | Ending::Wrong) => {}
        None => *tally.failed_by_cause.entry("no_address".into()).or_default() += 1,
    }
}

/// Counts cut streams and cut requests of one record.
///
/// A stream cut during an outage of its instance counts as lost with the instance. Explicit stream
/// errors and cut requests count only during planned stops.
fn count_streams(record: &Record, events: &Events, tally: &mut Tally) {
    for attempt in &record.attempts {
        let Ending::Failed(failure) = attempt.ending else { continue };
        let during = |spans: &[super::events::Span]| {
            spans
                .iter()
                .any(|span| span.overlaps(&attempt.address, attempt.start_ms, attempt.end_ms))
        };
        let planned = during(&events.planned_stops);
        match failure {
            Failure::Cut if during(&events.outages) => tally.streams_lost_with_instance += 1,
            Failure::Cut => tally.cut_streams += 1,
            Failure::Explicit if planned => tally.cut_streams += 1,
            Failure::Transport | Failure::Broken if planned => tally.cut_requests += 1,
            _ => {}
        }
    }
}

fn count_bills(record: &Record, index: &Index<'_>, tally: &mut Tally) {
    let name = record.request.name.as_str();
    let charges = index.charges_by_name.get(name).map_or(0, Vec::len);
    tally.billed_twice += u64::from(charges > 1);
    let ended = index.runs(name).iter().any(|run| run.finished);
    if charges == 0 && (ended || record.is_answered()) {
        tally.unbilled += 1;
        tally.unbilled_answered += u64::from(record.is_answered());
    }
}

/// Counts bills that repeat a request id.
///
/// `billed_twice` also counts requests whose attempts were billed under different ids.
fn count_same_id_bills(evidence: &Evidence, tally: &mut Tally) {
    let mut seen = HashSet::new();
    for bill in evidence.history.bills.iter().filter(|bill| bill.tokens > 0) {
        tally.billed_twice_same_id += u64::from(!seen.insert(bill.request.as_str()));
    }
}

fn count_runs(record: &Record, index: &Index<'_>, tally: &mut Tally) {
    let runs = index.runs(&record.request.name);
    if record.request.kind == Kind::Confirm && runs.len() > 1 {
        tally.nonidempotent_ran_twice += 1;
    }
    tally.repeated_runs += runs.len().saturating_sub(1) as u64;
    let not_run: Vec<&Attempt> =
        record.attempts.iter().filter(|attempt| is_not_run(attempt)).collect();
    let same =
        not_run.iter().any(|attempt| runs.iter().any(|run| run.request_id == attempt.request_id));
    let before_refusal =
        not_run.iter().any(|attempt| runs.iter().any(|run| run.started_ms <= attempt.end_ms));
    tally.false_not_run += u64::from(same || before_refusal);
    tally.false_not_run_same_attempt += u64::from(same);
}

fn is_not_run(attempt: &Attempt) -> bool {
    matches!(&attempt.ending, Ending::Refused(refused) if refused.is_not_run())
}

fn new_work_after_drain(evidence: &Evidence) -> u64 {
    let late = |run: &&Run| {
        evidence.events.drains.iter().any(|drain| {
            drain.upstream == run.upstream
                && run.started_ms > drain.from_ms + DRAIN_GRACE_MS
                && drain.until_ms.is_none_or(|end| run.started_ms < end)
        })
    };
    evidence.runs.iter().filter(|run| is_routed(run)).filter(late).count() as u64
}

fn count_events(events: &Events, tally: &mut Tally) {
    tally.poison_crashes = events.engine_crashes;
    tally.poison_overruns =
        events.engine_crashes.saturating_sub(events.poison_requests * MAX_CRASHES_PER_POISON);
    tally.unclean_exits = events.unclean_exits;
    tally.not_ready = events.not_ready;
    tally.config_confirmed = events.confirmations.len() as u64;
    tally.config_lost = events.lost_changes;
    tally.config_reverted = events.reverted_reads;
    tally.config_late = events.late_reads;
    tally.config_double_winners = events.double_winners;
}

/// Numbers of requests by cause: `code:outcome` of a refusal, or the name of a failure.
pub type CountsByCause = BTreeMap<String, u64>;
