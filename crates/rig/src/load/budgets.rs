//! Exact state of the budgets over time, rebuilt from payments, runs and bills.

use std::collections::{BTreeMap, HashSet};

use super::count::{Evidence, Index};
use super::record::{Ending, Record};
use super::report::Tally;
use super::workload::PAYERS;

/// False refusals with at least 1/20 (5%) of the paid tokens left are counted separately.
const NEAR_END_DIVISOR: u64 = 20;

/// Tokens spent by one request.
#[derive(Debug, Clone, Copy)]
struct Spending {
    at_ms: u64,
    tokens: u64,
}

/// Payments and spending of one budget, each ordered by time.
#[derive(Debug, Default)]
struct Timeline {
    parent: Option<String>,
    /// Time in milliseconds since the Unix epoch, and the total paid from then on.
    paid: Vec<(u64, u64)>,
    spent: Vec<Spending>,
}

impl Timeline {
    fn paid_until(&self, at_ms: u64) -> u64 {
        self.paid.iter().rev().find(|(from, _)| *from <= at_ms).map_or(0, |(_, paid)| *paid)
    }

    fn spent_until(&self, at_ms: u64) -> u64 {
        let until = self.spent.partition_point(|spending| spending.at_ms <= at_ms);
        self.spent[..until].iter().map(|spending| spending.tokens).sum()
    }

    fn total_paid(&self) -> u64 {
        self.paid.last().map_or(0, |(_, paid)| *paid)
    }

    fn total_spent(&self) -> u64 {
        self.spent.iter().map(|spending| spending.tokens).sum()
    }
}

/// Timelines of all budgets, by budget name.
#[derive(Debug)]
pub struct Budgets {
    timelines: BTreeMap<String, Timeline>,
}

impl Budgets {
    /// Rebuilds the timelines from payments, runs and bills.
    ///
    /// A request costs what was billed for it. If its caller was answered and its largest run used
    /// more, the request costs what that run used. The tokens count as spent when its first run
    /// started, or, without a run, when its last attempt ended.
    #[must_use]
    pub fn new(evidence: &Evidence, index: &Index<'_>) -> Self {
        let mut budgets = Self { timelines: BTreeMap::new() };
        for paid in &evidence.history.paid {
            let timeline = budgets.timelines.entry(paid.budget.clone()).or_default();
            timeline.parent.clone_from(&paid.parent);
            timeline.paid.push((paid.at_ms, paid.paid));
        }
        let mut known = HashSet::new();
        for record in &evidence.records {
            let name = record.request.name.as_str();
            known.insert(name);
            let answered = if record.is_answered() { index.max_run_tokens(name) } else { 0 };
            let tokens = index.charged_tokens(name).max(answered);
            let first = index.runs(name).first().map(|run| run.started_ms);
            let at_ms =
                first.or(record.last_attempt().map(|attempt| attempt.end_ms)).unwrap_or_default();
            budgets.add_spending(
                PAYERS[record.request.payer_index].budget,
                Spending { at_ms, tokens },
            );
        }
        for bill in &evidence.history.bills {
            let name = index
                .names_by_request_id
                .get(bill.request.as_str())
                .copied()
                .unwrap_or(&bill.request);
            if !known.contains(name) {
                budgets.add_spending(
                    &bill.budget,
                    Spending { at_ms: bill.at_ms, tokens: bill.tokens },
                );
            }
        }
        for timeline in budgets.timelines.values_mut() {
            timeline.spent.sort_by_key(|spending| spending.at_ms);
        }
        budgets
    }

    fn add_spending(&mut self, budget: &str, spending: Spending) {
        for name in self.with_parent(budget) {
            if let Some(timeline) = self.timelines.get_mut(&name) {
                timeline.spent.push(spending);
            }
        }
    }

    fn with_parent(&self, budget: &str) -> Vec<String> {
        let parent = self.timelines.get(budget).and_then(|timeline| timeline.parent.clone());
        std::iter::once(budget.to_owned()).chain(parent).collect()
    }

    /// Returns the tokens paid for all budgets without a parent.
    #[must_use]
    pub fn root_paid(&self) -> u64 {
        let roots = self.timelines.values().filter(|timeline| timeline.parent.is_none());
        roots.map(Timeline::total_paid).sum()
    }

    /// Returns the tokens spent above the paid ones, summed over all budgets.
    #[must_use]
    pub fn overspent(&self) -> u64 {
        self.timelines
            .values()
            .map(|timeline| timeline.total_spent().saturating_sub(timeline.total_paid()))
            .sum()
    }

    /// Counts a request's refusals for lack of budget, and the false ones among them.
    pub fn count_refusals(&self, record: &Record, tally: &mut Tally) {
        for attempt in &record.attempts {
            let Ending::Refused(refused) = &attempt.ending else { continue };
            if !refused.is_budget_exhausted() {
                continue;
            }
            tally.budget_refusals += 1;
            // Payments count up to the start of the attempt and spending up to its end: a run that
            // started after the refusal cannot have caused it.
            let timelines = self.with_parent(PAYERS[record.request.payer_index].budget);
            let left =
                timelines.iter().filter_map(|name| self.timelines.get(name)).map(|timeline| {
                    let paid = timeline.paid_until(attempt.start_ms);
                    (paid.saturating_sub(timeline.spent_until(attempt.end_ms)), paid)
                });
            let Some((left, paid)) = left.min() else { continue };
            if left >= record.request.token_bound() {
                tally.false_refusals += 1;
                tally.false_refusals_far_from_end += u64::from(left >= paid / NEAR_END_DIVISOR);
            }
        }
    }
}
