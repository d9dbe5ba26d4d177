//! What callers saw.

use base::prelude::*;

use super::workload::Request;

/// Why an attempt brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened, so nothing was sent.
    Connect,
    /// The connection broke before an answer began.
    Transport,
    /// The caller waited too long.
    Timeout,
    /// A stream ended without its last event or an explicit error.
    Cut,
    /// A stream ended with an explicit error.
    Explicit,
    /// A whole answer broke off.
    Broken,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer arrived and is right.
    Whole,
    /// An answer arrived that is not the caller's own or not whole.
    Wrong,
    /// The system refused.
    Refused(Refused),
    /// No answer arrived.
    Failed(Failure),
}

/// A refusal as the caller read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// HTTP status.
    pub status: u16,
    /// Machine-readable cause.
    pub code: String,
    /// Value of the outcome header.
    pub outcome: String,
    /// Seconds after which to come back.
    pub retry_after: Option<u64>,
}

impl Refused {
    /// Returns true if the request is promised not to have run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.outcome == Outcome::NotRun.as_str()
    }

    /// Returns true if the budget was said to be used up.
    #[must_use]
    pub fn is_budget_exhausted(&self) -> bool {
        self.code == "insufficient_quota"
    }
}

/// One try of a caller at one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// Address of the instance.
    pub address: String,
    /// Start in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// End in milliseconds since the Unix epoch.
    pub end_ms: u64,
    /// Id of the request as the answer named it; empty if no answer came.
    pub request_id: String,
    /// Time to the first event or to the whole answer.
    pub time_to_first_event: Duration,
    /// Time to the end.
    pub total_time: Duration,
    /// How it ended.
    pub ending: Ending,
}

/// One request of a caller with all its attempts.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// What was asked.
    pub request: Request,
    /// Attempts in their order; at least one.
    pub attempts: Vec<Attempt>,
}

impl Record {
    /// Returns the last attempt.
    #[must_use]
    pub fn last_attempt(&self) -> Option<&Attempt> {
        self.attempts.last()
    }

    /// Returns true if the caller has its whole answer.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.last_attempt().is_some_and(|attempt| attempt.ending == Ending::Whole)
    }

    /// Describes the request and its attempts in one line.
    #[must_use]
    pub fn summary(&self) -> String {
        let start = self.attempts.first().map_or(0, |attempt| attempt.start_ms);
        let attempts = self.attempts.iter().map(|attempt| {
            let (from, until) = (attempt.start_ms - start, attempt.end_ms - start);
            format!(
                "{from}..{until} ms at {} {}: {:?}",
                attempt.address, attempt.request_id, attempt.ending
            )
        });
        let attempts: Vec<String> = attempts.collect();
        let Request { kind, name, .. } = &self.request;
        format!(
            "{name} {kind:?} of {} at {start}: {}",
            self.request.payer().budget,
            attempts.join("; ")
        )
    }

    /// Returns the refusal with which the caller gave up.
    #[must_use]
    pub fn final_refusal(&self) -> Option<&Refused> {
        match self.last_attempt().map(|attempt| &attempt.ending) {
            Some(Ending::Refused(refused)) => Some(refused),
            _ => None,
        }
    }
}
