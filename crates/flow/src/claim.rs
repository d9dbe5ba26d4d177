//! Filter: claim of the request's idempotency key.

use base::prelude::*;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use idem::claim::Request;
use idem::{Claims, Decision, row};
use ntex::http::StatusCode;

use crate::{Exchange, Filter, Refusal};

/// `Retry-After` if an earlier request under the same key is still running.
const RUNNING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` while claims cannot be written to the platform's table.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Claims the idempotency key, or finds the answer of an earlier request under it.
#[derive(Debug, Clone)]
pub struct Claim {
    claims: Claims,
}

impl Claim {
    /// Creates the filter with the instance's claims.
    #[must_use]
    pub fn open(claims: Claims) -> Self {
        Self { claims }
    }

    async fn claim(&self, exchange: &mut Exchange) -> Result<(), Refusal> {
        let Some(request) = claim_request(exchange) else { return Ok(()) };
        match self.claims.claim(request).await {
            Decision::Granted(claim) => {
                exchange.request_id = Arc::clone(claim.request_id());
                exchange.claim = Some(claim);
                Ok(())
            }
            Decision::Completed(Some(answer)) => {
                exchange.replay = Some(answer);
                Ok(())
            }
            Decision::Completed(None) => Err(answer_not_kept()),
            Decision::Mismatch => Err(key_reused()),
            Decision::Running => Err(still_running()),
            Decision::Unknown => Err(outcome_unknown()),
            Decision::Unreachable => Err(claim_unreachable()),
        }
    }
}

impl Filter for Claim {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<(), Refusal>> {
        self.claim(exchange).boxed_local()
    }
}

fn claim_request(exchange: &Exchange) -> Option<Request> {
    let name = exchange.idempotency_key.as_deref()?;
    let account = Arc::clone(&exchange.caller().account);
    Some(Request {
        row_key: row::key(&account, name).into(),
        account,
        id: Arc::clone(&exchange.request_id),
        digest: exchange.request_digest.clone()?,
        idempotent: exchange.idempotent,
    })
}

fn key_reused() -> Refusal {
    let message = "the idempotency key was used for another request";
    Refusal::not_run(StatusCode::UNPROCESSABLE_ENTITY, "idempotency_key_reused", message)
}

fn still_running() -> Refusal {
    let message = "a request with this idempotency key runs now";
    Refusal { status: StatusCode::CONFLICT, ..Refusal::unknown("request_running", message) }
        .with_retry_after(RUNNING_RETRY_AFTER)
}

fn outcome_unknown() -> Refusal {
    let message = "the request with this idempotency key may have run and is not repeated";
    Refusal { status: StatusCode::CONFLICT, ..Refusal::unknown("outcome_unknown", message) }
}

fn answer_not_kept() -> Refusal {
    let message = "the request with this idempotency key ran; its answer was not kept";
    Refusal {
        status: StatusCode::CONFLICT,
        outcome: Outcome::Completed,
        ..Refusal::unknown("answer_not_kept", message)
    }
}

fn claim_unreachable() -> Refusal {
    let message = "the idempotency key cannot be recorded, so the request was not run";
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "claim_unreachable", message)
        .with_retry_after(OUTAGE_RETRY_AFTER)
}
