//! Dispatch of a reserved request to an upstream, with retries at others.

use base::clock::millis;
use base::prelude::*;
use h1::client;
use idem::claim::End;
use ntex::http::StatusCode;
use route::Ticket;
use slog::{info, o};
use tokio::time::{sleep, timeout};

use crate::answer::REQUEST_ID_HEADER;
use crate::criteria::Prefix;
use crate::exchange::{Call, Exchange};
use crate::failure::{Failure, is_rejected};
use crate::poison::Check;
use crate::request::{IDEMPOTENCY_KEY_HEADER, TIMEOUT_HEADER};
use crate::settle::Settlement;
use crate::{Refusal, Worker};

/// Most upstreams that one request is sent to.
const MAX_ATTEMPTS: usize = 3;
/// Interval at which a request polls for an upstream that is not full.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Request header that tells the upstream the client account.
const ACCOUNT_HEADER: &str = "lacewing-account";
const AUTHORIZATION: &str = "authorization";
const CONTENT_TYPE: &str = "content-type";
/// Longest wait for a durable record; after it, the request is refused.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);

/// An upstream's answer whose head has arrived.
#[derive(Debug)]
pub struct Dispatched {
    /// Head of the answer; its body has not been read.
    pub response: client::Answer,
    /// Status of the answer.
    pub status: StatusCode,
    /// Counts the request as in flight at the upstream until dropped.
    pub ticket: Ticket,
    /// Resolves when the record of the request is durable; `None` if it already is.
    pub pending_record: Option<ledger::book::Durable>,
}

/// Sends the request to an upstream and waits for the head of the answer.
///
/// After a failure, the request is sent to another upstream only if it certainly did not run or
/// is idempotent.
///
/// # Errors
///
/// Returns a refusal if no upstream answered; the hold is then already settled.
pub async fn dispatch(worker: &Worker, exchange: &mut Exchange) -> Result<Dispatched, Refusal> {
    let pending_record = match record_request(exchange).await {
        Ok(pending_record) => pending_record,
        Err(refusal) => {
            settle_unanswered(worker, exchange, refusal.outcome);
            return Err(refusal);
        }
    };
    if let Some(claim) = &mut exchange.claim {
        claim.mark_started();
    }
    match attempt_upstreams(worker, exchange).await {
        Ok((response, status, ticket)) => {
            Ok(Dispatched { response, status, ticket, pending_record })
        }
        Err(refusal) => {
            settle_unanswered(worker, exchange, refusal.outcome);
            Err(refusal)
        }
    }
}

/// Settles the hold and the claim of a request that got no answer.
fn settle_unanswered(worker: &Worker, exchange: &mut Exchange, outcome: Outcome) {
    let Some(settlement) = Settlement::take(exchange, worker.shared.in_flight.enter()) else {
        return;
    };
    match outcome {
        Outcome::NotRun => settlement.release(),
        // The request may have run, so its whole bound is billed.
        Outcome::Completed | Outcome::Unknown => {
            let bound = settlement.bound();
            settlement.settle(End::Unknown, bound);
        }
    }
}

/// Records the request in the journal before it is sent.
///
/// Waits until the record is durable if the request is not idempotent, or if the tokens of requests
/// without a durable record exceed the exposure limit.
async fn record_request(exchange: &mut Exchange) -> Result<Option<ledger::book::Durable>, Refusal> {
    let idempotent = exchange.idempotent;
    let hold = exchange.hold.as_mut().expect("the reserve filter runs before dispatch");
    let pending_record = hold.record(!idempotent);
    if idempotent && !hold.must_wait_for_record() {
        return Ok(Some(pending_record));
    }
    if let Ok(Ok(())) = timeout(RECORD_TIMEOUT, pending_record).await {
        Ok(None)
    } else {
        let message = "the request cannot be recorded, so it was not run";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Err(Refusal::not_run(status, "record_unreachable", message)
            .with_retry_after(RECORD_TIMEOUT))
    }
}

async fn attempt_upstreams(
    worker: &Worker,
    exchange: &Exchange,
) -> Result<(client::Answer, StatusCode, Ticket), Refusal> {
    let prefix = Prefix::new(exchange);
    let poison_check = Check::open(&worker.shared.crash_records, exchange);
    let mut tried: Vec<UpstreamId> = Vec::new();
    let mut may_have_run = None;
    loop {
        let ticket = match choose_upstream(worker, exchange, &prefix, &tried).await {
            Ok(ticket) => ticket,
            Err(error) => return Err(may_have_run.unwrap_or_else(|| error.into())),
        };
        let Some(remaining) = time_left(worker, exchange) else {
            return Err(may_have_run.unwrap_or_else(deadline_exceeded));
        };
        if !worker.shared.ledger.gate().is_open() {
            return Err(may_have_run.unwrap_or_else(|| ledger::Error::Fenced.into()));
        }
        if let Err(refusal) = poison_check.admit(&ticket).await {
            return Err(may_have_run.unwrap_or(refusal));
        }
        let answer_timeout = remaining.min(worker.shared.upstream_timeout);
        let failure = match timeout(answer_timeout, send(exchange, &ticket, remaining)).await {
            Ok(Ok((response, status))) if !is_rejected(exchange, status) => {
                ticket.record_answer_start();
                return Ok((response, status, ticket));
            }
            Ok(Ok((_, status))) => Failure::Rejected(status),
            Ok(Err(error)) => Failure::Client(error),
            Err(_) if answer_timeout == remaining => Failure::DeadlineExceeded,
            Err(_) => Failure::Timeout,
        };
        if failure.is_upstream_fault() {
            ticket.record_failure();
        }
        let upstream = Arc::clone(&ticket.upstream().id);
        info!(worker.shared.log, "upstream attempt failed"; o!(
            "request" => exchange.request_id.to_string(),
            "upstream" => upstream.to_string(), "error" => failure.to_string()));
        tried.push(upstream);
        if !failure.proves_not_run() {
            may_have_run =
                Some(Refusal::unknown("upstream_failed", "the upstream failed during the run"));
            let may_continue =
                !failure.is_disconnect() || poison_check.report_disconnect(&ticket).await;
            if !may_continue {
                return Err(Refusal::unknown(
                    "request_crashes_upstreams",
                    "upstreams crashed each time they ran this request",
                ));
            }
            if !exchange.idempotent {
                return Err(Refusal::unknown(
                    "upstream_failed",
                    "the upstream failed; the request may have run and is not repeated",
                ));
            }
        }
        if tried.len() >= MAX_ATTEMPTS
            || (failure.needs_retry_budget() && !worker.withdraw_retry(exchange))
        {
            return Err(may_have_run.unwrap_or_else(|| route::Error::NoneAvailable.into()));
        }
    }
}

/// Chooses an upstream, and polls while all candidates look full.
///
/// The request already holds a slot, but load estimates lag: an upstream may look full for a short
/// time after a request there has ended.
async fn choose_upstream(
    worker: &Worker,
    exchange: &Exchange,
    prefix: &Prefix,
    tried: &[UpstreamId],
) -> Result<Ticket, route::Error> {
    let shared = &worker.shared;
    let end = exchange.deadline.min(shared.clock.now() + shared.max_queue_time);
    loop {
        match shared.upstreams.choose(&prefix.criteria(exchange, tried)) {
            Err(route::Error::Overloaded) if shared.clock.now() < end => sleep(POLL_INTERVAL).await,
            result => return result,
        }
    }
}

/// Returns the time until the deadline; `None` once it has passed.
fn time_left(worker: &Worker, exchange: &Exchange) -> Option<Duration> {
    let remaining = exchange.deadline.checked_sub(worker.shared.clock.now())?;
    (!remaining.is_zero()).then_some(remaining)
}

fn deadline_exceeded() -> Refusal {
    let message = "the deadline passed before the request could run";
    Refusal::not_run(StatusCode::GATEWAY_TIMEOUT, "deadline_exceeded", message)
}

/// Sends the request on a connection of its own.
///
/// The published protocols name no request in an answer. On a connection that has carried another
/// request, an answer that is written twice, or late, could not be told from the one that is due.
async fn send(
    exchange: &Exchange,
    ticket: &Ticket,
    remaining: Duration,
) -> Result<(client::Answer, StatusCode), client::Failure> {
    let upstream = ticket.upstream();
    let target = match &exchange.call {
        Call::Chat(_) => "/v1/chat/completions",
        Call::Service(call) => &call.path,
    };
    let timeout = millis(remaining).to_string();
    let authorization = upstream.token.as_ref().map(|token| format!("Bearer {token}"));
    let mut fields = vec![
        (ACCOUNT_HEADER, exchange.caller().account.as_bytes()),
        (REQUEST_ID_HEADER, exchange.request_id.as_bytes()),
        (TIMEOUT_HEADER, timeout.as_bytes()),
    ];
    fields.extend(exchange.content_type.as_ref().map(|value| (CONTENT_TYPE, value.as_bytes())));
    let key = exchange.idempotency_key.as_ref();
    fields.extend(key.map(|key| (IDEMPOTENCY_KEY_HEADER, key.as_bytes())));
    fields.extend(authorization.as_ref().map(|value| (AUTHORIZATION, value.as_bytes())));
    let request = client::Request {
        method: exchange.method.as_str(),
        target,
        fields: &fields,
        body: &exchange.body,
    };
    let answer = client::send(upstream.address, &request).await?;
    let status = StatusCode::from_u16(answer.head.status)
        .map_err(|_invalid| h1::Error::Malformed("the status is none of the protocol"))?;
    Ok((answer, status))
}
