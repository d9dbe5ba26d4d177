//! Response times, and the time that the system adds to them.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;

use super::record::{Attempt, Record};
use super::report::{AddedMs, Times};
use super::workload::Kind;

/// Class of requests with comparable times: kind and output tokens.
type Class = (u8, u64);
/// Function that returns an attempt's time to its first event, or its total time.
type Timing = fn(&Attempt) -> Duration;

/// Compares the times of routed answers with those of direct answers.
///
/// The median direct time of requests of the same kind and size is subtracted from each time.
/// The added time is the routed quantile of these differences minus the direct one.
#[must_use]
pub fn measure(records: &[Record], direct: &[Record], duration: Duration) -> Times {
    let whole: Timing = |attempt| attempt.total_time;
    let first: Timing = |attempt| attempt.time_to_first_event;
    let streams = answered_at_first_attempt(records)
        .filter(|(record, _)| record.request.kind == Kind::Stream);
    let mut ttft: Vec<f64> =
        streams.map(|(_, attempt)| as_ms(attempt.time_to_first_event)).collect();
    ttft.sort_by(f64::total_cmp);
    let answers = records.iter().filter(|record| record.is_answered()).count();
    let whole = added_time(records, direct, whole);
    let first = added_time(records, direct, first);
    Times {
        ttft_ms_p50: quantile(&ttft, 0.5),
        ttft_ms_p99: quantile(&ttft, 0.99),
        added_ms_p50: whole.p50,
        added_ms_p99: whole.p99,
        added_first_ms_p50: first.p50,
        added_first_ms_p99: first.p99,
        added_by_kind: added_by_kind(records, direct),
        requests_per_s: round(as_f64(answers) / duration.as_secs_f64()),
    }
}

fn added_by_kind(records: &[Record], direct: &[Record]) -> BTreeMap<String, AddedMs> {
    let kinds = [Kind::Whole, Kind::Stream, Kind::Lookup, Kind::Confirm];
    let added = kinds.into_iter().map(|kind| {
        let only = |records: &[Record]| -> Vec<Record> {
            records.iter().filter(|record| record.request.kind == kind).cloned().collect()
        };
        let added = added_time(&only(records), &only(direct), |attempt| attempt.total_time);
        (format!("{kind:?}").to_lowercase(), added)
    });
    added.collect()
}

fn added_time(records: &[Record], direct: &[Record], timing: Timing) -> AddedMs {
    let medians = median_ms(direct, timing);
    let routed = relative_ms(records, &medians, timing);
    let direct = relative_ms(direct, &medians, timing);
    let at = |fraction| round(quantile(&routed, fraction) - quantile(&direct, fraction));
    AddedMs { p50: at(0.5), p99: at(0.99) }
}

/// Returns the requests that were answered at the first attempt, with that attempt.
fn answered_at_first_attempt(records: &[Record]) -> impl Iterator<Item = (&Record, &Attempt)> {
    records.iter().filter(|record| record.is_answered() && record.attempts.len() == 1).filter_map(
        |record| {
            let attempt = record.last_attempt()?;
            Some((record, attempt))
        },
    )
}

fn class(record: &Record) -> Class {
    match record.request.kind {
        Kind::Whole => (0, record.request.output_tokens),
        Kind::Stream => (1, record.request.output_tokens),
        Kind::Lookup | Kind::Confirm => (2, 0),
    }
}

fn median_ms(records: &[Record], timing: Timing) -> HashMap<Class, f64> {
    let mut classes: HashMap<Class, Vec<f64>> = HashMap::new();
    for (record, attempt) in answered_at_first_attempt(records) {
        classes.entry(class(record)).or_default().push(as_ms(timing(attempt)));
    }
    let medians = classes.into_iter().map(|(class, mut times)| {
        times.sort_by(f64::total_cmp);
        (class, quantile(&times, 0.5))
    });
    medians.collect()
}

fn relative_ms(records: &[Record], medians: &HashMap<Class, f64>, timing: Timing) -> Vec<f64> {
    let times = answered_at_first_attempt(records).filter_map(|(record, attempt)| {
        Some(as_ms(timing(attempt)) - medians.get(&class(record))?)
    });
    let mut times: Vec<f64> = times.collect();
    times.sort_by(f64::total_cmp);
    times
}

fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "below the length")]
    let index = (as_f64(sorted.len().saturating_sub(1)) * fraction).round() as usize;
    round(sorted.get(index).copied().unwrap_or(0.0))
}

fn as_ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn as_f64(count: usize) -> f64 {
    count as f64
}
