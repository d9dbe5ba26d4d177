//! Counts of what was promised, from journals, the platform's history and callers' records.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::events::Events;
use super::mix::{Kind, SERVICE_COST};
use super::money::Money;
use super::record::{Attempt, Ending, Failure, Record};
use super::report::{Broken, Tally};
use crate::billing::History;
use crate::journal::Run;

/// Time after its mark from which an upstream must get nothing new.
const LEAVE_MS: u64 = 3_000;
/// Engines that one request may crash at most.
const CRASHES_MAX: u64 = 2;
/// Prefix of the names of requests that went straight to an upstream.
pub const DIRECT: &str = "direct";

/// Everything that a run left behind.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// What callers saw.
    pub records: Vec<Record>,
    /// What upstreams ran.
    pub runs: Vec<Run>,
    /// What the platform was told.
    pub history: History,
    /// What was done.
    pub events: Events,
}

/// Runs and bills by the caller's name for the request.
#[derive(Debug)]
pub struct Index<'a> {
    /// Runs in the order in which they started.
    pub runs: HashMap<&'a str, Vec<&'a Run>>,
    /// Names by the system's id of the request.
    pub names: HashMap<&'a str, &'a str>,
    /// Charges above 0 by name.
    pub charges: HashMap<&'a str, Vec<u64>>,
}

impl<'a> Index<'a> {
    /// Builds the index.
    #[must_use]
    pub fn open(evidence: &'a Evidence) -> Self {
        let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
        let mut names = HashMap::new();
        for run in evidence.runs.iter().filter(|run| is_counted(run)) {
            runs.entry(run.idempotency_key.as_str()).or_default().push(run);
            names.insert(run.request_id.as_str(), run.idempotency_key.as_str());
        }
        for list in runs.values_mut() {
            list.sort_by_key(|run| run.started_ms);
        }
        for record in &evidence.records {
            for attempt in record.attempts.iter().filter(|made| !made.request_id.is_empty()) {
                names.insert(attempt.request_id.as_str(), record.ask.name.as_str());
            }
        }
        let mut charges: HashMap<&str, Vec<u64>> = HashMap::new();
        for bill in evidence.history.bills.iter().filter(|bill| bill.tokens > 0) {
            let name = names.get(bill.request.as_str()).copied().unwrap_or(&bill.request);
            charges.entry(name).or_default().push(bill.tokens);
        }
        Self { runs, names, charges }
    }

    /// Returns the runs of a request.
    #[must_use]
    pub fn runs(&self, name: &str) -> &[&'a Run] {
        self.runs.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns the tokens charged for a request.
    #[must_use]
    pub fn charged(&self, name: &str) -> u64 {
        self.charges.get(name).map_or(0, |charges| charges.iter().sum())
    }

    /// Returns what one whole run of a request used.
    #[must_use]
    pub fn cost(&self, name: &str) -> u64 {
        self.runs(name).iter().map(|run| cost(run)).max().unwrap_or(0)
    }
}

/// Returns true for runs that came through the system.
fn is_counted(run: &Run) -> bool {
    !run.idempotency_key.starts_with(DIRECT)
}

/// Returns what a run used.
#[must_use]
pub fn cost(run: &Run) -> u64 {
    if run.path.contains("chat") {
        run.prompt_tokens + run.completion_tokens
    } else if run.finished {
        SERVICE_COST
    } else {
        0
    }
}

/// Counts a run.
#[must_use]
pub fn count(evidence: &Evidence) -> Tally {
    let index = Index::open(evidence);
    let money = Money::open(evidence, &index);
    let mut tally = Tally::default();
    for record in &evidence.records {
        let before = tally.broken_by_requests();
        count_ending(record, &mut tally);
        count_streams(record, &evidence.events, &mut tally);
        count_bills(record, &index, &mut tally);
        count_runs(record, &index, &mut tally);
        money.count_refusals(record, &mut tally);
        keep_examples(&before, record, &mut tally);
    }
    count_same_id(evidence, &mut tally);
    tally.budget_tokens = money.paid();
    tally.overspend_tokens = money.overspend();
    tally.spent_tokens = index.runs.values().flatten().map(|run| cost(run)).sum();
    tally.billed_tokens = evidence.history.bills.iter().map(|bill| bill.tokens).sum();
    tally.new_work_after_leave = work_after_leave(evidence);
    count_events(&evidence.events, &mut tally);
    tally
}

fn keep_examples(before: &Broken, record: &Record, tally: &mut Tally) {
    for (old, (promise, count)) in before.iter().zip(tally.broken_by_requests()) {
        if count > old.1 {
            tally.example(promise, record);
        }
    }
}

fn count_ending(record: &Record, tally: &mut Tally) {
    tally.sent += 1;
    tally.attempts += record.attempts.len() as u64;
    tally.completed += u64::from(record.is_answered());
    let wrong = record.attempts.iter().filter(|attempt| attempt.ending == Ending::Wrong).count();
    tally.wrong_answers += wrong as u64;
    match record.last().map(|attempt| &attempt.ending) {
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

/// Counts streams that were cut, and at planned stops everything that was.
fn count_streams(record: &Record, events: &Events, tally: &mut Tally) {
    for attempt in &record.attempts {
        let Ending::Failed(failure) = attempt.ending else { continue };
        let during = |spans: &[super::events::Span]| {
            spans
                .iter()
                .any(|span| span.overlaps(&attempt.address, attempt.start_ms, attempt.end_ms))
        };
        let planned = during(&events.planned);
        match failure {
            Failure::Cut if during(&events.unplanned) => tally.streams_lost_with_instance += 1,
            Failure::Cut => tally.cut_streams += 1,
            Failure::Explicit if planned => tally.cut_streams += 1,
            Failure::Transport | Failure::Broken if planned => tally.cut_requests += 1,
            _ => {}
        }
    }
}

fn count_bills(record: &Record, index: &Index<'_>, tally: &mut Tally) {
    let name = record.ask.name.as_str();
    let charges = index.charges.get(name).map_or(0, Vec::len);
    tally.billed_twice += u64::from(charges > 1);
    let ended = index.runs(name).iter().any(|run| run.finished);
    if charges == 0 && (ended || record.is_answered()) {
        tally.unbilled += 1;
        tally.unbilled_answered += u64::from(record.is_answered());
    }
}

/// Counts request ids that were billed more than once, a part of all doubled bills.
fn count_same_id(evidence: &Evidence, tally: &mut Tally) {
    let mut seen = HashSet::new();
    for bill in evidence.history.bills.iter().filter(|bill| bill.tokens > 0) {
        tally.billed_twice_same_id += u64::from(!seen.insert(bill.request.as_str()));
    }
}

fn count_runs(record: &Record, index: &Index<'_>, tally: &mut Tally) {
    let runs = index.runs(&record.ask.name);
    if record.ask.kind == Kind::Confirm && runs.len() > 1 {
        tally.nonidempotent_ran_twice += 1;
    }
    tally.repeated_runs += runs.len().saturating_sub(1) as u64;
    let denied: Vec<&Attempt> = record.attempts.iter().filter(|made| is_not_run(made)).collect();
    let same = denied.iter().any(|made| runs.iter().any(|run| run.request_id == made.request_id));
    let earlier = denied.iter().any(|made| runs.iter().any(|run| run.started_ms <= made.end_ms));
    tally.false_not_run += u64::from(same || earlier);
    tally.false_not_run_same_attempt += u64::from(same);
}

fn is_not_run(attempt: &Attempt) -> bool {
    matches!(&attempt.ending, Ending::Refused(refused) if refused.is_not_run())
}

fn work_after_leave(evidence: &Evidence) -> u64 {
    let late = |run: &&Run| {
        evidence.events.marks.iter().any(|mark| {
            mark.upstream == run.upstream
                && run.started_ms > mark.from_ms + LEAVE_MS
                && mark.until_ms.is_none_or(|end| run.started_ms < end)
        })
    };
    evidence.runs.iter().filter(|run| is_counted(run)).filter(late).count() as u64
}

fn count_events(events: &Events, tally: &mut Tally) {
    tally.poison_crashes = events.crashes;
    tally.poison_overruns = events.crashes.saturating_sub(events.poisons * CRASHES_MAX);
    tally.unclean_exits = events.unclean_exits;
    tally.not_ready = events.not_ready;
    tally.config_confirmed = events.confirmed.len() as u64;
    tally.config_lost = events.lost;
    tally.config_reverted = events.reverted;
    tally.config_late = events.late;
    tally.config_double_winners = events.double_winners;
}

/// Counts by cause.
pub type Causes = BTreeMap<String, u64>;
