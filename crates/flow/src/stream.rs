//! Relay of a streamed answer, event by event, and the bill for it.

use base::prelude::*;
use futures::channel::{mpsc, oneshot};
use futures::future::{Either, select};
use futures::{SinkExt, StreamExt};
use h1::client;
use idem::Answer;
use idem::claim::End as ClaimEnd;
use ledger::book::Durable;
use ntex::http::StatusCode;
use ntex::http::header::HeaderValue;
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use route::Ticket;
use serde_json::Value;
use tokio::time::timeout;

use crate::dispatch::Dispatched;
use crate::exchange::{Call, Exchange};
use crate::limit::Permit;
use crate::metrics::Observer;
use crate::poison::Check;
use crate::pool::Slot;
use crate::relay::{
    IDLE_TIMEOUT, MAX_ANSWER_BYTES, MAX_REPLAY_BYTES, await_record, lease_lost, upstream_broke_off,
};
use crate::settle::Settlement;
use crate::sse::{Event, Splitter, Usage};
use crate::{Refusal, answer};

/// Events that are buffered for a slow caller.
const MAX_QUEUED_EVENTS: usize = 8;
/// Longest wait for a caller to read; after it, the caller counts as gone.
const CALLER_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Most tokens per choice generated after the last usage report of an interrupted stream.
const MAX_TOKENS_AFTER_CANCEL: Tokens = 32;
const EVENT_STREAM: &str = "text/event-stream";

type Chunk = Result<Bytes, std::io::Error>;

/// Spawns the relay of a stream and returns the caller's answer.
pub fn relay(
    exchange: &mut Exchange,
    dispatched: Dispatched,
    settlement: Settlement,
    observer: Observer,
) -> HttpResponse {
    let (sender, receiver) = mpsc::channel::<Chunk>(MAX_QUEUED_EVENTS);
    let (caller_guard, caller_gone) = oneshot::channel::<()>();
    let (wants_usage, choices) = match &exchange.call {
        Call::Chat(chat) => (chat.wants_usage, chat.choices),
        Call::Service(_) => (true, 1),
    };
    let relay = Relay {
        sender,
        caller_gone,
        deadline: exchange.deadline,
        wants_usage,
        choices,
        usage: None,
        replay_body: exchange.has_idempotency_key().then(Vec::new),
        pending_record: dispatched.pending_record,
        ticket: dispatched.ticket,
        slot: exchange.slot.take(),
        concurrency_permit: exchange.concurrency_permit.take(),
        poison_check: Check::open(&observer.shared().crash_records, exchange),
        settlement,
        observer,
    };
    ntex::rt::spawn(relay.run(dispatched.response));
    // Dropping the body drops `caller_guard`, which resolves `caller_gone` and ends the relay.
    let body = receiver.map(move |chunk| {
        let _guard = &caller_guard;
        chunk
    });
    let content_type = HeaderValue::from_static(EVENT_STREAM);
    let mut builder = answer::completed(StatusCode::OK, Some(&content_type), &exchange.request_id);
    builder.streaming(body)
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Done,
    Broken,
    IdleTimeout,
    Unrecorded,
    DeadlineExceeded,
    CallerGone,
    /// The unfinished answers of this instance hold too many bytes together.
    Overfull,
}

/// Forwards one stream; drops its slot and permit after the settlement.
struct Relay {
    sender: mpsc::Sender<Chunk>,
    caller_gone: oneshot::Receiver<()>,
    deadline: Duration,
    wants_usage: bool,
    choices: u64,
    usage: Option<Usage>,
    replay_body: Option<Vec<u8>>,
    pending_record: Option<Durable>,
    ticket: Ticket,
    slot: Option<Slot>,
    concurrency_permit: Option<Permit>,
    settlement: Settlement,
    observer: Observer,
    poison_check: Check,
}

impl Relay {
    async fn run(mut self, mut response: client::Answer) {
        let end = self.forward_events(&mut response).await;
        // If the answer was not read to its end, this closes the connection and cancels the run.
        drop(response);
        let used = self.billed_tokens(end);
        match end {
            End::Done => {
                self.poison_check.report_completion(&self.ticket);
                self.observer.observe_completion(used);
            }
            End::Overfull => self.send_error(&upstream_broke_off()).await,
            End::IdleTimeout => {
                self.ticket.record_failure();
                self.send_error(&upstream_broke_off()).await;
            }
            End::Broken => {
                self.ticket.record_failure();
                self.poison_check.report_disconnect(&self.ticket).await;
                self.send_error(&upstream_broke_off()).await;
            }
            End::Unrecorded => self.send_error(&lease_lost()).await,
            End::DeadlineExceeded => self.send_error(&deadline_exceeded()).await,
            End::CallerGone => {}
        }
        self.settlement.settle(claim_end(end, self.replay_body), used);
        drop((self.ticket, self.slot, self.concurrency_permit));
    }

    /// Returns the tokens to bill; the bound if the engine never reported its usage.
    fn billed_tokens(&self, end: End) -> Tokens {
        let bound = self.settlement.bound();
        let reported = self.usage.map_or(bound, Usage::total_tokens);
        match end {
            End::Done => reported,
            // The engine may have generated more tokens after its last usage report.
            _ => bound.min(reported.saturating_add(MAX_TOKENS_AFTER_CANCEL * self.choices)),
        }
    }

    async fn forward_events(&mut self, response: &mut client::Answer) -> End {
        let mut splitter = Splitter::default();
        let mut share = self.observer.shared().held.open_share();
        let mut first = true;
        loop {
            let chunk = match self.receive(response).await {
                Ok(chunk) => chunk,
                Err(end) => return end,
            };
            splitter.push(&chunk);
            if splitter.pending_bytes() > MAX_ANSWER_BYTES {
                return End::Broken;
            }
            if !share.set(splitter.pending_bytes()) {
                return End::Overfull;
            }
            if std::mem::take(&mut first) {
                self.observer.observe_first_byte();
            }
            for event in splitter.by_ref() {
                if let Some(end) = self.forward(event).await {
                    return end;
                }
            }
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.observer.shared().clock.now())
    }

    /// Waits for data from the upstream, or until the caller disconnects.
    async fn receive(&mut self, response: &mut client::Answer) -> Result<bytes::Bytes, End> {
        let time_left = self.time_left();
        let chunk = Box::pin(timeout(IDLE_TIMEOUT.min(time_left), response.read()));
        match select(chunk, &mut self.caller_gone).await {
            Either::Left((Ok(Ok(Some(chunk))), _)) => Ok(chunk),
            Either::Left((Err(_), _)) if time_left <= IDLE_TIMEOUT => Err(End::DeadlineExceeded),
            Either::Left((Err(_), _)) => Err(End::IdleTimeout),
            Either::Left(_) => Err(End::Broken),
            Either::Right(_) => Err(End::CallerGone),
        }
    }

    async fn forward(&mut self, event: Event) -> Option<End> {
        let done = event.is_done();
        let object = event.usage_object();
        if let Some(object) = &object {
            self.usage = Usage::from_object(object).or(self.usage);
        }
        if done {
            let pending_record = self.pending_record.take();
            if !await_record(self.observer.shared(), pending_record).await {
                return Some(End::Unrecorded);
            }
        }
        let is_usage_only = object.is_some_and(|object| has_no_choices(&object));
        if is_usage_only && !self.wants_usage {
            return None;
        }
        self.keep_for_replay(&event.raw);
        match timeout(CALLER_READ_TIMEOUT.min(self.time_left()), self.sender.send(Ok(event.raw)))
            .await
        {
            Ok(Ok(())) => done.then_some(End::Done),
            Ok(Err(_)) | Err(_) => Some(End::CallerGone),
        }
    }

    /// Stores the event for a retry, unless the whole answer gets too large.
    fn keep_for_replay(&mut self, raw: &[u8]) {
        if let Some(body) = &mut self.replay_body {
            body.extend_from_slice(raw);
            if body.len() > MAX_REPLAY_BYTES {
                self.replay_body = None;
            }
        }
    }

    /// Sends an error event, which marks the stream as incomplete.
    async fn send_error(&mut self, refusal: &Refusal) {
        let body = answer::error_body(refusal);
        let event = Bytes::from(format!("event: error\ndata: {body}\n\n"));
        // A failed send means that the caller disconnected or stopped reading.
        drop(timeout(CALLER_READ_TIMEOUT, self.sender.send(Ok(event))).await);
    }
}

fn claim_end(end: End, replay_body: Option<Vec<u8>>) -> ClaimEnd {
    if end != End::Done {
        return ClaimEnd::Unknown;
    }
    let status = StatusCode::OK.as_u16();
    ClaimEnd::Completed(replay_body.map(|body| Answer {
        status,
        content_type: EVENT_STREAM.to_owned(),
        body: body.into(),
    }))
}

fn deadline_exceeded() -> Refusal {
    Refusal::unknown("deadline_exceeded", "the deadline passed before the answer was complete")
}

/// Returns true for a chunk without choices, as the final usage chunk is.
fn has_no_choices(object: &Value) -> bool {
    object.get("choices").and_then(Value::as_array).is_none_or(Vec::is_empty)
}
