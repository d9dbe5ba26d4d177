//! Relay of an upstream's answer to the caller, and settlement of its cost.

use base::prelude::*;
use idem::Answer;
use idem::claim::End;
use ledger::book::Durable;
use ntex::client::ClientResponse;
use ntex::http::StatusCode;
use ntex::http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use ntex::util::{Bytes, BytesMut};
use ntex::web::HttpResponse;
use route::Ticket;
use serde_json::Value;
use tokio::time::timeout;

use crate::dispatch::Begun;
use crate::exchange::{Call, Exchange};
use crate::meter::Meter;
use crate::server::Shared;
use crate::settle::Tab;
use crate::sse::Usage;
use crate::suspect::Case;
use crate::{Refusal, answer, stream};

/// Largest whole answer and largest event, in bytes.
pub const ANSWER_MAX: usize = 32 << 20;
/// Largest answer that is kept for a retry under the same key, in bytes.
pub const KEPT_MAX: usize = 256 << 10;
/// Longest silence of an upstream within an answer.
pub const SILENCE: Duration = Duration::from_mins(1);
/// Longest time for which the end of an answer waits for the record of its request.
const RECORD_TIME: Duration = Duration::from_millis(500);

/// Relays an answer that has begun.
///
/// # Errors
///
/// Returns a refusal if a whole answer breaks off. A stream that breaks off ends with an error
/// event instead.
///
/// # Panics
///
/// Panics if nothing was reserved, which is a bug in the order of the filters.
pub async fn relay(
    shared: &Arc<Shared>,
    exchange: &mut Exchange,
    begun: Begun,
    started: Duration,
) -> Result<HttpResponse, Refusal> {
    let meter = Meter::open(shared, exchange.caller(), started);
    let tab = Tab::open(exchange, shared.active.enter()).expect("reserve runs before relay");
    if exchange.is_streamed() && begun.response.status() == StatusCode::OK {
        return Ok(stream::relay(exchange, begun, tab, meter));
    }
    whole(exchange, begun, tab, meter).await
}

async fn whole(
    exchange: &mut Exchange,
    begun: Begun,
    tab: Tab,
    meter: Meter,
) -> Result<HttpResponse, Refusal> {
    let Begun { response, ticket, durable } = begun;
    let status = response.status();
    let content_type = response.header(CONTENT_TYPE).cloned();
    meter.first();
    let case = Case::open(&meter.shared().suspects, exchange);
    let body = match collect(&response, meter.left(exchange)).await {
        Ok(body) if is_whole(exchange, status, &body) => body,
        Ok(_) => return Err(cut(tab, broken())),
        Err(reason) => {
            reason.note(&ticket, &case).await;
            return Err(cut(tab, broken()));
        }
    };
    case.complete(&ticket);
    let used = used(exchange, status, &body, tab.bound());
    if !await_record(meter.shared(), durable).await {
        tab.end(End::Unknown, used);
        return Err(unrecorded());
    }
    tab.end(End::Completed(kept(status, content_type.as_ref(), &body)), used);
    drop((ticket, exchange.place.take()));
    meter.completed(used);
    Ok(answer::completed(status, content_type.as_ref(), &exchange.request).body(body))
}

/// Returns the answer in the form that is kept for retries, unless it is too large.
fn kept(status: StatusCode, content_type: Option<&HeaderValue>, body: &[u8]) -> Option<Answer> {
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
    (body.len() <= KEPT_MAX).then(|| Answer {
        status: status.as_u16(),
        content_type: content_type.to_owned(),
        body: body.into(),
    })
}

/// Returns false for an engine's answer that was cut where the transport cannot show it.
fn is_whole(exchange: &Exchange, status: StatusCode, body: &[u8]) -> bool {
    match &exchange.call {
        Call::Chat(_) if status == StatusCode::OK => {
            serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
        }
        Call::Chat(_) | Call::Service(_) => true,
    }
}

/// Returns the tokens to bill for a whole answer.
fn used(exchange: &Exchange, status: StatusCode, body: &[u8], bound: Tokens) -> Tokens {
    match &exchange.call {
        Call::Service(_) => bound,
        // An engine that rejects a request has not generated anything.
        Call::Chat(_) if status.is_client_error() => 0,
        Call::Chat(_) => {
            let object: Option<Value> = serde_json::from_slice(body).ok();
            object.as_ref().and_then(Usage::of).map_or(bound, Usage::total)
        }
    }
}

/// Ends a request whose answer was cut; what ran is not known, so the bound is billed.
fn cut(tab: Tab, refusal: Refusal) -> Refusal {
    let bound = tab.bound();
    tab.end(End::Unknown, bound);
    refusal
}

/// Why an answer is not whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    /// The connection broke or the answer is too large.
    Broken,
    /// The upstream was silent for too long.
    Silent,
    /// The deadline of the request passed.
    Late,
}

impl Cut {
    /// Notes at the upstream and at the request what the cut says about them.
    async fn note(self, ticket: &Ticket, case: &Case) {
        if self != Self::Late {
            ticket.record_failure();
        }
        if self == Self::Broken {
            case.broke(ticket).await;
        }
    }
}

async fn collect(response: &ClientResponse, left: Duration) -> Result<Bytes, Cut> {
    timeout(left, gather(response)).await.unwrap_or(Err(Cut::Late))
}

async fn gather(response: &ClientResponse) -> Result<Bytes, Cut> {
    let length = length(response);
    let mut payload = response.take_payload();
    let mut body = BytesMut::new();
    loop {
        match timeout(SILENCE, payload.recv()).await {
            Ok(None) if length.is_none_or(|length| length == body.len()) => {
                return Ok(body.freeze());
            }
            Ok(Some(Ok(chunk))) if body.len() + chunk.len() <= ANSWER_MAX => {
                body.extend_from_slice(&chunk);
            }
            Ok(_) => return Err(Cut::Broken),
            Err(_) => return Err(Cut::Silent),
        }
    }
}

fn length(response: &ClientResponse) -> Option<usize> {
    response.header(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Returns the answer for an upstream that broke off.
#[must_use]
pub fn broken() -> Refusal {
    Refusal::unknown("upstream_broke_off", "the upstream broke off its answer")
}

/// Waits until the record of the request is durable, so that it is billed in any case.
///
/// Returns false if the answer must not be given: this instance has lost its lease, or was
/// paused and has not confirmed it, so that nobody may ever bill the request.
pub async fn await_record(shared: &Shared, durable: Option<Durable>) -> bool {
    let Some(durable) = durable else { return true };
    match timeout(RECORD_TIME, durable).await {
        Ok(result) => result.is_ok(),
        // With the platform out the answer is not held back any longer.
        Err(_) => shared.book.gate().is_open(),
    }
}

/// Returns the answer for a run that may never be billed.
#[must_use]
pub fn unrecorded() -> Refusal {
    Refusal::unknown("lease_lost", "the request ran, but this instance may no longer bill it")
}
