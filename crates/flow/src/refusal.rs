//! Error answers for requests that end without an upstream's answer.

use base::prelude::*;
use ntex::http::StatusCode;
use thiserror::Error;

/// Error answer to a caller, as sent in status, headers and body.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{code}: {message}")]
pub struct Refusal {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Machine-readable cause; also the metric label `code`.
    pub code: &'static str,
    /// Sentence for the `message` of the error body.
    pub message: String,
    /// Tells the caller whether the request ran.
    pub outcome: Outcome,
    /// Value of the header `Retry-After`; `None` omits it.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates the answer to a request that certainly did not run.
    #[must_use]
    pub fn not_run(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self { status, code, message: message.into(), outcome: Outcome::NotRun, retry_after: None }
    }

    /// Creates the answer to a request that may have run (status 502).
    #[must_use]
    pub fn unknown(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            code,
            message: message.into(),
            outcome: Outcome::Unknown,
            retry_after: None,
        }
    }

    /// Creates the answer to a malformed request (status 400).
    #[must_use]
    pub fn invalid(message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, "invalid_request", message)
    }

    /// Sets the delay that `Retry-After` suggests.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

/// `Retry-After` while capacity is short or this instance cannot serve the request.
pub(crate) const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` while the platform's table cannot be reached.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(2);

impl From<ledger::Error> for Refusal {
    fn from(error: ledger::Error) -> Self {
        let message = error.to_string();
        match error {
            ledger::Error::Exhausted { .. } => {
                Self::not_run(StatusCode::PAYMENT_REQUIRED, "insufficient_quota", message)
            }
            ledger::Error::UnknownBudget => {
                Self::not_run(StatusCode::PAYMENT_REQUIRED, "unknown_budget", message)
            }
            ledger::Error::Unreachable => {
                Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "budget_unreachable", message)
                    .with_retry_after(OUTAGE_RETRY_AFTER)
            }
            ledger::Error::Fenced => {
                Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "instance_fenced", message)
                    .with_retry_after(BUSY_RETRY_AFTER)
            }
        }
    }
}

impl From<route::Error> for Refusal {
    fn from(error: route::Error) -> Self {
        let message = error.to_string();
        match error {
            route::Error::NoRoute => Self::not_run(StatusCode::NOT_FOUND, "no_route", message),
            route::Error::NoneAvailable | route::Error::Overloaded => {
                Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "overloaded", message)
                    .with_retry_after(BUSY_RETRY_AFTER)
            }
        }
    }
}

impl From<plan::keyring::Unreachable> for Refusal {
    fn from(error: plan::keyring::Unreachable) -> Self {
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "key_unreachable", error.to_string())
            .with_retry_after(OUTAGE_RETRY_AFTER)
    }
}
