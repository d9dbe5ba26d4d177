//! Records of requests and their attempts, as the callers saw them.

use base::prelude::*;

use super::workload::Request;

/// Reason why an attempt got neither a complete answer nor a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be opened, so nothing was sent.
    Connect,
    /// The connection closed before the response head arrived.
    Transport,
    /// The head or a part of the body did not arrive in time.
    Timeout,
    /// A stream ended without its last event or an explicit error.
    Cut,
    /// A stream ended with an explicit error.
    Explicit,
    /// The body of an answer that is no stream, or of a refusal, was cut.
    ///
    /// Also stands for a refusal whose body did not arrive in time.
    Broken,
}

/// Result of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The complete answer to this request arrived.
    Whole,
    /// An answer arrived that is incomplete or belongs to another request.
    Wrong,
    /// The system answered with an error code.
    Refused(Refused),
    /// No complete answer arrived.
    Failed(Failure),
}

/// Refusal: an answer with an error code.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// HTTP status of the answer, any but 200.
    pub status: u16,
    /// Value of `error.code` in the body, empty if missing.
    pub code: String,
    /// Value of the outcome header, empty if missing.
    pub outcome: String,
    /// Value of `retry-after` in seconds, `None` if missing.
    pub retry_after: Option<u64>,
}

impl Refused {
    /// Returns true if the answer states that the request did not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.outcome == Outcome::NotRun.as_str()
    }

    /// Returns true if the request was refused for lack of budget.
    #[must_use]
    pub fn is_budget_exhausted(&self) -> bool {
        self.code == "insufficient_quota"
    }
}

/// One attempt of a caller at one address.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// Address of the instance, or of the upstream for direct requests.
    pub address: String,
    /// Start in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// End in milliseconds since the Unix epoch.
    pub end_ms: u64,
    /// Request id from the answer's header, empty without an answer.
    pub request_id: String,
    /// Time to the first event of a stream, else to the whole answer.
    pub time_to_first_event: Duration,
    /// Time to the end of the attempt.
    pub total_time: Duration,
    /// Answer, refusal or failure.
    pub ending: Ending,
}

/// One request of a caller with all its attempts.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Request that all attempts sent.
    pub request: Request,
    /// Attempts in the order of sending; empty if no address was found.
    pub attempts: Vec<Attempt>,
}

impl Record {
    /// Returns the last attempt, `None` if no address was found.
    #[must_use]
    pub fn last_attempt(&self) -> Option<&Attempt> {
        self.attempts.last()
    }

    /// Returns true if the last attempt brought the complete answer.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.last_attempt().is_some_and(|attempt| attempt.ending == Ending::Whole)
    }

    /// Returns the request and its attempts as one line for the report.
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

    /// Returns the refusal after which the caller gave up, if there was one.
    #[must_use]
    pub fn final_refusal(&self) -> Option<&Refused> {
        match self.last_attempt().map(|attempt| &attempt.ending) {
            Some(Ending::Refused(refused)) => Some(refused),
            _ => None,
        }
    }
}
