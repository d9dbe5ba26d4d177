//! Relay of a streamed answer.

use base::prelude::*;
use futures::channel::{mpsc, oneshot};
use futures::future::{Either, select};
use futures::{SinkExt, StreamExt};
use idem::Answer;
use idem::claim::End as Claimed;
use ledger::book::Durable;
use ntex::client::ClientResponse;
use ntex::http::header::HeaderValue;
use ntex::http::{Payload, StatusCode};
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use route::Ticket;
use serde_json::Value;
use tokio::time::timeout;

use crate::dispatch::Begun;
use crate::exchange::{Call, Exchange};
use crate::limit::Guard;
use crate::meter::Meter;
use crate::pool::Place;
use crate::relay::{ANSWER_MAX, KEPT_MAX, SILENCE, await_record, broken, unrecorded};
use crate::settle::Tab;
use crate::sse::{Event, Splitter, Usage};
use crate::suspect::Case;
use crate::{Refusal, answer};

/// Events that may wait for a slow caller.
const QUEUE: usize = 8;
/// Longest time for which a caller may leave an event unread.
const UNREAD: Duration = Duration::from_secs(30);
/// Tokens that an engine may generate after its last report until it notices a cancellation.
const CANCEL_TOKENS: Tokens = 32;
/// Content type of streams.
const EVENTS: &str = "text/event-stream";

type Chunk = Result<Bytes, std::io::Error>;

/// Starts to relay a stream and returns the answer for the caller.
pub fn relay(exchange: &mut Exchange, begun: Begun, tab: Tab, meter: Meter) -> HttpResponse {
    let (sender, receiver) = mpsc::channel::<Chunk>(QUEUE);
    let (present, gone) = oneshot::channel::<()>();
    let (usage_wanted, choices) = match &exchange.call {
        Call::Chat(chat) => (chat.usage, chat.choices),
        Call::Service(_) => (true, 1),
    };
    let pump = Pump {
        sender,
        gone,
        end_at: exchange.deadline,
        usage_wanted,
        choices,
        usage: None,
        kept: exchange.claim_key().then(Vec::new),
        durable: begun.durable,
        ticket: begun.ticket,
        place: exchange.place.take(),
        running: exchange.running.take(),
        case: Case::open(&meter.shared().suspects, exchange),
        tab,
        meter,
    };
    ntex::rt::spawn(pump.run(begun.response));
    // The sender is dropped together with the body, which ends the run at once.
    let body = receiver.map(move |chunk| {
        let _present = &present;
        chunk
    });
    let content_type = HeaderValue::from_static(EVENTS);
    let mut builder = answer::completed(StatusCode::OK, Some(&content_type), &exchange.request);
    builder.streaming(body)
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Done,
    Broken,
    Silent,
    Unrecorded,
    Late,
    CallerGone,
}

/// Moves the events of one stream.
struct Pump {
    sender: mpsc::Sender<Chunk>,
    gone: oneshot::Receiver<()>,
    end_at: Duration,
    usage_wanted: bool,
    choices: u64,
    usage: Option<Usage>,
    kept: Option<Vec<u8>>,
    durable: Option<Durable>,
    ticket: Ticket,
    place: Option<Place>,
    running: Option<Guard>,
    tab: Tab,
    meter: Meter,
    case: Case,
}

impl Pump {
    async fn run(mut self, response: ClientResponse) {
        let end = self.relay(&response).await;
        // The connection is closed unless the answer was read to its end, which cancels the run.
        drop(response);
        let used = self.used(end);
        match end {
            End::Done => {
                self.case.complete(&self.ticket);
                self.meter.completed(used);
            }
            End::Silent => {
                self.ticket.record_failure();
                self.fail(&broken()).await;
            }
            End::Broken => {
                self.ticket.record_failure();
                self.case.broke(&self.ticket).await;
                self.fail(&broken()).await;
            }
            End::Unrecorded => self.fail(&unrecorded()).await,
            End::Late => self.fail(&late()).await,
            End::CallerGone => {}
        }
        self.tab.end(claimed(end, self.kept), used);
        drop((self.ticket, self.place, self.running));
    }

    /// Returns the tokens to bill.
    fn used(&self, end: End) -> Tokens {
        let bound = self.tab.bound();
        let reported = self.usage.map_or(bound, Usage::total);
        match end {
            End::Done => reported,
            // The engine may have gone on for a moment after its last report.
            _ => bound.min(reported.saturating_add(CANCEL_TOKENS * self.choices)),
        }
    }

    async fn relay(&mut self, response: &ClientResponse) -> End {
        let mut payload = response.take_payload();
        let mut splitter = Splitter::default();
        let mut first = true;
        loop {
            let chunk = match self.receive(&mut payload).await {
                Ok(chunk) => chunk,
                Err(end) => return end,
            };
            splitter.push(&chunk);
            if splitter.pending() > ANSWER_MAX {
                return End::Broken;
            }
            if std::mem::take(&mut first) {
                self.meter.first();
            }
            for event in splitter.by_ref() {
                if let Some(end) = self.event(event).await {
                    return end;
                }
            }
        }
    }

    fn left(&self) -> Duration {
        self.end_at.saturating_sub(self.meter.shared().clock.now())
    }

    /// Waits for the upstream while the caller is there.
    async fn receive(&mut self, payload: &mut Payload) -> Result<Bytes, End> {
        let left = self.left();
        let chunk = Box::pin(timeout(SILENCE.min(left), payload.recv()));
        match select(chunk, &mut self.gone).await {
            Either::Left((Ok(Some(Ok(chunk))), _)) => Ok(chunk),
            Either::Left((Err(_), _)) if left <= SILENCE => Err(End::Late),
            Either::Left((Err(_), _)) => Err(End::Silent),
            Either::Left(_) => Err(End::Broken),
            Either::Right(_) => Err(End::CallerGone),
        }
    }

    async fn event(&mut self, event: Event) -> Option<End> {
        let done = event.is_done();
        let object = event.usage_object();
        if let Some(object) = &object {
            self.usage = Usage::of(object).or(self.usage);
        }
        if done {
            let durable = self.durable.take();
            if !await_record(self.meter.shared(), durable).await {
                return Some(End::Unrecorded);
            }
        }
        let only_usage = object.is_some_and(|object| is_empty(&object));
        if only_usage && !self.usage_wanted {
            return None;
        }
        self.keep(&event.raw);
        match timeout(UNREAD.min(self.left()), self.sender.send(Ok(event.raw))).await {
            Ok(Ok(())) => done.then_some(End::Done),
            Ok(Err(_)) | Err(_) => Some(End::CallerGone),
        }
    }

    /// Keeps an event for a retry under the same key, while the answer is small.
    fn keep(&mut self, raw: &[u8]) {
        if let Some(kept) = &mut self.kept {
            kept.extend_from_slice(raw);
            if kept.len() > KEPT_MAX {
                self.kept = None;
            }
        }
    }

    /// Tells the caller that the stream is not complete.
    async fn fail(&mut self, refusal: &Refusal) {
        let body = answer::error_body(refusal);
        let event = Bytes::from(format!("event: error\ndata: {body}\n\n"));
        // A caller that has gone away or does not read needs no explanation.
        drop(timeout(UNREAD, self.sender.send(Ok(event))).await);
    }
}

fn claimed(end: End, kept: Option<Vec<u8>>) -> Claimed {
    if end != End::Done {
        return Claimed::Unknown;
    }
    let status = StatusCode::OK.as_u16();
    Claimed::Completed(kept.map(|body| Answer {
        status,
        content_type: EVENTS.to_owned(),
        body: body.into(),
    }))
}

fn late() -> Refusal {
    Refusal::unknown("deadline_exceeded", "the deadline passed before the answer was complete")
}

/// Returns true for a chunk that carries no choices.
fn is_empty(object: &Value) -> bool {
    object.get("choices").and_then(Value::as_array).is_none_or(Vec::is_empty)
}
