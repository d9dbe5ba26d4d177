//! Dispatch of an admitted request to an upstream.

use base::clock::millis;
use base::prelude::*;
use idem::claim::End;
use ntex::client::error::ClientError;
use ntex::client::{ClientRequest, ClientResponse};
use ntex::http::Method;
use ntex::http::StatusCode;
use ntex::http::header::{AUTHORIZATION, CONTENT_TYPE};
use route::Ticket;
use slog::{info, o};
use tokio::time::{sleep, timeout};

use crate::answer::REQUEST_ID;
use crate::exchange::{Call, Exchange};
use crate::failure::{Failure, is_turned_away};
use crate::intake::{IDEMPOTENCY_KEY, TIMEOUT};
use crate::settle::Tab;
use crate::suspect::Case;
use crate::want::Wish;
use crate::{Refusal, Worker};

/// Upstreams that are tried at most for one request.
const TRIES: usize = 3;
/// Pause before a request looks again for an upstream that is not full.
const CHOOSE_PAUSE: Duration = Duration::from_millis(5);
/// Header with the client account, for the upstream's own records.
const ACCOUNT: &str = "lacewing-account";
/// Longest wait for the record of a request that must not be repeated.
const RECORD_TIME: Duration = Duration::from_secs(2);

/// An answer that has begun and the place at its upstream.
#[derive(Debug)]
pub struct Begun {
    /// Head and body of the answer.
    pub response: ClientResponse,
    /// Place at the upstream, given back when the answer has ended.
    pub ticket: Ticket,
    /// Resolves when the record of the request is durable; `None` if that was awaited already.
    pub durable: Option<ledger::book::Durable>,
}

/// Sends the request to an upstream and returns the answer's beginning.
///
/// Another upstream is tried only after a failure that shows that the request did not run, or
/// if the request is idempotent.
///
/// # Errors
///
/// Returns a refusal if no upstream answered. The hold is settled then.
pub async fn dispatch(worker: &Worker, exchange: &mut Exchange) -> Result<Begun, Refusal> {
    let durable = match record(exchange).await {
        Ok(durable) => durable,
        Err(refusal) => {
            settle(worker, exchange, refusal.outcome);
            return Err(refusal);
        }
    };
    if let Some(claim) = &mut exchange.claim {
        claim.begin();
    }
    match attempt(worker, exchange).await {
        Ok((response, ticket)) => Ok(Begun { response, ticket, durable }),
        Err(refusal) => {
            settle(worker, exchange, refusal.outcome);
            Err(refusal)
        }
    }
}

/// Settles a request that got no answer.
fn settle(worker: &Worker, exchange: &mut Exchange, outcome: Outcome) {
    let Some(tab) = Tab::open(exchange, worker.shared.active.enter()) else { return };
    match outcome {
        Outcome::NotRun => tab.free(),
        // What ran is not known, so the bound is billed.
        Outcome::Completed | Outcome::Unknown => {
            let bound = tab.bound();
            tab.end(End::Unknown, bound);
        }
    }
}

/// Records the request and waits until the record is durable if the request must not be repeated
/// or if too much would run without a record.
async fn record(exchange: &mut Exchange) -> Result<Option<ledger::book::Durable>, Refusal> {
    let idempotent = exchange.idempotent;
    let hold = exchange.hold.as_mut().expect("reserve runs before dispatch");
    let durable = hold.record(!idempotent);
    if idempotent && !hold.must_wait() {
        return Ok(Some(durable));
    }
    if let Ok(Ok(())) = timeout(RECORD_TIME, durable).await {
        Ok(None)
    } else {
        let message = "the request cannot be recorded, so it was not run";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Err(Refusal::not_run(status, "record_unreachable", message).after(RECORD_TIME))
    }
}

async fn attempt(
    worker: &Worker,
    exchange: &Exchange,
) -> Result<(ClientResponse, Ticket), Refusal> {
    let wish = Wish::of(exchange);
    let case = Case::open(&worker.shared.suspects, exchange);
    let mut tried: Vec<UpstreamId> = Vec::new();
    let mut ran = None;
    loop {
        let ticket = match choose(worker, exchange, &wish, &tried).await {
            Ok(ticket) => ticket,
            Err(error) => return Err(ran.unwrap_or_else(|| error.into())),
        };
        let Some(left) = time_left(worker, exchange) else {
            return Err(ran.unwrap_or_else(deadline));
        };
        if !worker.shared.book.gate().is_open() {
            return Err(ran.unwrap_or_else(|| ledger::Error::Fenced.into()));
        }
        if let Err(refusal) = case.admit(&ticket).await {
            return Err(ran.unwrap_or(refusal));
        }
        let wait = left.min(worker.shared.upstream_time);
        let failure = match timeout(wait, send(worker, exchange, &ticket, left)).await {
            Ok(Ok(response)) if !is_turned_away(exchange, &response) => {
                ticket.record_answer_start();
                return Ok((response, ticket));
            }
            Ok(Ok(response)) => Failure::TurnedAway(response.status()),
            Ok(Err(error)) => Failure::Client(error),
            Err(_) if wait == left => Failure::Deadline,
            Err(_) => Failure::Late,
        };
        if failure.is_fault() {
            ticket.record_failure();
        }
        let upstream = Arc::clone(&ticket.upstream().id);
        info!(worker.shared.log, "upstream failed"; o!("request" => exchange.request.to_string(),
            "upstream" => upstream.to_string(), "error" => failure.to_string()));
        tried.push(upstream);
        if !failure.is_not_run() {
            ran = Some(Refusal::unknown("upstream_failed", "the upstream failed during the run"));
            let may_go_on = !failure.is_break() || case.broke(&ticket).await;
            if !may_go_on {
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
        if tried.len() >= TRIES || (failure.is_costly() && !worker.may_retry(exchange)) {
            return Err(ran.unwrap_or_else(|| route::Error::NoneAvailable.into()));
        }
    }
}

/// Chooses an upstream; a request that has its place waits for the moment until one is free.
///
/// The estimated load lags, so upstreams look full for a while after they are not.
async fn choose(
    worker: &Worker,
    exchange: &Exchange,
    wish: &Wish,
    tried: &[UpstreamId],
) -> Result<Ticket, route::Error> {
    let shared = &worker.shared;
    let end = exchange.deadline.min(shared.clock.now() + shared.queue_time);
    loop {
        match shared.fleet.choose(&wish.want(exchange, tried)) {
            Err(route::Error::Overloaded) if shared.clock.now() < end => sleep(CHOOSE_PAUSE).await,
            result => return result,
        }
    }
}

/// Returns the time left for the request, `None` once its deadline has passed.
fn time_left(worker: &Worker, exchange: &Exchange) -> Option<Duration> {
    let left = exchange.deadline.checked_sub(worker.shared.clock.now())?;
    (!left.is_zero()).then_some(left)
}

fn deadline() -> Refusal {
    let message = "the deadline passed before the request could run";
    Refusal::not_run(StatusCode::GATEWAY_TIMEOUT, "deadline_exceeded", message)
}

async fn send(
    worker: &Worker,
    exchange: &Exchange,
    ticket: &Ticket,
    left: Duration,
) -> Result<ClientResponse, ClientError> {
    let upstream = ticket.upstream();
    let path = match &exchange.call {
        Call::Chat(_) => "/v1/chat/completions",
        Call::Service(call) => &call.path,
    };
    let url = format!("http://{}{path}", upstream.address);
    let request = worker.client(exchange.idempotent).request(exchange.method.clone(), url);
    let request = headers(request, exchange, upstream.token.as_deref())
        .set_header(TIMEOUT, millis(left).to_string());
    if exchange.body.is_empty() && exchange.method == Method::GET {
        request.send().await
    } else {
        request.send_body(exchange.body.clone()).await
    }
}

fn headers(mut request: ClientRequest, exchange: &Exchange, token: Option<&str>) -> ClientRequest {
    request = request
        .set_header(ACCOUNT, exchange.caller().account.as_ref())
        .set_header(REQUEST_ID, exchange.request.as_ref());
    if let Some(value) = &exchange.content_type {
        request = request.set_header(CONTENT_TYPE, value.clone());
    }
    if let Some(key) = &exchange.idempotency_key {
        request = request.set_header(IDEMPOTENCY_KEY, key.as_str());
    }
    if let Some(token) = token {
        request = request.set_header(AUTHORIZATION, format!("Bearer {token}"));
    }
    request
}
