//! Relay of an upstream's answer to the caller, and the bill for it.

use base::prelude::*;
use h1::client;
use idem::Answer;
use idem::claim::End;
use ledger::book::Durable;
use ntex::http::StatusCode;
use ntex::http::header::HeaderValue;
use ntex::util::{Bytes, BytesMut};
use ntex::web::HttpResponse;
use route::Ticket;
use serde_json::Value;
use tokio::time::timeout;

use crate::dispatch::Dispatched;
use crate::exchange::{Call, Exchange};
use crate::held::Share;
use crate::metrics::Observer;
use crate::poison::Check;
use crate::server::Shared;
use crate::settle::Settlement;
use crate::sse::Usage;
use crate::{Refusal, answer, stream};

/// Largest answer that is not streamed, and largest event of a stream.
pub const MAX_ANSWER_BYTES: usize = 32 << 20;
/// Largest answer that is stored for retries under the same idempotency key.
pub const MAX_REPLAY_BYTES: usize = 256 << 10;
/// Longest time without data from an upstream within an answer.
pub const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Longest wait for the durable record of a request before its answer ends.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// Relays the answer to the caller, as a whole or as a stream.
///
/// # Errors
///
/// Returns a refusal if an answer that is not streamed is incomplete. An incomplete stream ends
/// with an error event instead.
///
/// # Panics
///
/// Panics if no tokens were reserved, which is a bug in the order of the filters.
pub async fn relay(
    shared: &Arc<Shared>,
    exchange: &mut Exchange,
    dispatched: Dispatched,
    started_at: Duration,
) -> Result<HttpResponse, Refusal> {
    let observer = Observer::open(shared, exchange.caller(), started_at);
    let settlement = Settlement::take(exchange, shared.in_flight.enter())
        .expect("the reserve filter runs before relay");
    if exchange.is_streamed() && dispatched.status == StatusCode::OK {
        return Ok(stream::relay(exchange, dispatched, settlement, observer));
    }
    relay_whole(exchange, dispatched, settlement, observer).await
}

async fn relay_whole(
    exchange: &mut Exchange,
    dispatched: Dispatched,
    settlement: Settlement,
    observer: Observer,
) -> Result<HttpResponse, Refusal> {
    let Dispatched { response, status, ticket, pending_record } = dispatched;
    let content_type = response.head.fields.get("content-type");
    let content_type = content_type.and_then(|value| HeaderValue::from_str(value).ok());
    observer.observe_first_byte();
    let poison_check = Check::open(&observer.shared().crash_records, exchange);
    let share = observer.shared().held.open_share();
    let body = match read_answer(response, share, observer.time_left(exchange)).await {
        Ok(body) if is_complete(exchange, status, &body) => body,
        Ok(_) => return Err(settle_incomplete(settlement, upstream_broke_off())),
        Err(error) => {
            error.report(&ticket, &poison_check).await;
            return Err(settle_incomplete(settlement, upstream_broke_off()));
        }
    };
    poison_check.report_completion(&ticket);
    let used = billed_tokens(exchange, status, &body, settlement.bound());
    if !await_record(observer.shared(), pending_record).await {
        settlement.settle(End::Unknown, used);
        return Err(lease_lost());
    }
    settlement
        .settle(End::Completed(replayable_answer(status, content_type.as_ref(), &body)), used);
    drop((ticket, exchange.slot.take()));
    observer.observe_completion(used);
    Ok(answer::completed(status, content_type.as_ref(), &exchange.request_id).body(body))
}

/// Returns the answer as stored for retries; `None` if it is too large.
fn replayable_answer(
    status: StatusCode,
    content_type: Option<&HeaderValue>,
    body: &[u8],
) -> Option<Answer> {
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
    (body.len() <= MAX_REPLAY_BYTES).then(|| Answer {
        status: status.as_u16(),
        content_type: content_type.to_owned(),
        body: body.into(),
    })
}

/// Returns false if an engine's successful answer is not valid JSON.
///
/// An engine may end a truncated answer in order.
fn is_complete(exchange: &Exchange, status: StatusCode, body: &[u8]) -> bool {
    match &exchange.call {
        Call::Chat(_) if status == StatusCode::OK => {
            serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
        }
        Call::Chat(_) | Call::Service(_) => true,
    }
}

/// Returns the tokens to bill for a complete answer.
fn billed_tokens(exchange: &Exchange, status: StatusCode, body: &[u8], bound: Tokens) -> Tokens {
    match &exchange.call {
        Call::Service(_) => bound,
        // An engine that answers with a client error has not generated any tokens.
        Call::Chat(_) if status.is_client_error() => 0,
        Call::Chat(_) => {
            let object: Option<Value> = serde_json::from_slice(body).ok();
            object.as_ref().and_then(Usage::from_object).map_or(bound, Usage::total_tokens)
        }
    }
}

/// Settles a request with an incomplete answer.
///
/// The used tokens are not known, so the whole bound is billed.
fn settle_incomplete(settlement: Settlement, refusal: Refusal) -> Refusal {
    let bound = settlement.bound();
    settlement.settle(End::Unknown, bound);
    refusal
}

/// Reason why the body of an answer is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadError {
    /// The connection broke, or the body is too large or shorter than announced.
    Broken,
    /// The upstream sent no data for [`IDLE_TIMEOUT`].
    IdleTimeout,
    DeadlineExceeded,
    /// The unfinished answers of this instance hold too many bytes together.
    Overfull,
}

impl ReadError {
    /// Counts the failure against the upstream's health, and reports a possible crash.
    async fn report(self, ticket: &Ticket, poison_check: &Check) {
        if !matches!(self, Self::DeadlineExceeded | Self::Overfull) {
            ticket.record_failure();
        }
        if self == Self::Broken {
            poison_check.report_disconnect(ticket).await;
        }
    }
}

async fn read_answer(
    answer: client::Answer,
    share: Share,
    left: Duration,
) -> Result<Bytes, ReadError> {
    timeout(left, read_parts(answer, share)).await.unwrap_or(Err(ReadError::DeadlineExceeded))
}

async fn read_parts(mut answer: client::Answer, mut share: Share) -> Result<Bytes, ReadError> {
    let mut body = BytesMut::new();
    loop {
        match timeout(IDLE_TIMEOUT, answer.read()).await {
            Ok(Ok(None)) => return Ok(body.freeze()),
            Ok(Ok(Some(part))) if body.len() + part.len() <= MAX_ANSWER_BYTES => {
                body.extend_from_slice(&part);
                if !share.set(body.len()) {
                    return Err(ReadError::Overfull);
                }
            }
            Ok(_) => return Err(ReadError::Broken),
            Err(_) => return Err(ReadError::IdleTimeout),
        }
    }
}

/// Returns the refusal for an answer that the upstream did not complete.
#[must_use]
pub fn upstream_broke_off() -> Refusal {
    Refusal::unknown("upstream_broke_off", "the upstream broke off its answer")
}

/// Waits until the record is durable, so that the request is certainly billed.
///
/// Returns false if the answer must be withheld: this instance lost its lease, or was paused and
/// has not confirmed the lease since, so the request might never be billed.
pub async fn await_record(shared: &Shared, pending_record: Option<Durable>) -> bool {
    let Some(pending_record) = pending_record else { return true };
    match timeout(RECORD_TIMEOUT, pending_record).await {
        Ok(result) => result.is_ok(),
        // An outage of the platform only withholds the answer of a fenced or paused instance.
        Err(_) => shared.ledger.gate().is_open(),
    }
}

/// Returns the refusal for a completed run that may never be billed.
#[must_use]
pub fn lease_lost() -> Refusal {
    Refusal::unknown("lease_lost", "the request ran, but this instance may no longer bill it")
}
