//! Delivery of an upstream's answer to the caller, and settlement of its cost.

use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use bytes::{Bytes, BytesMut};
use h1::{Body, Conn, Fields, Framing, Response};
use slog::info;
use tokio::time::{sleep, timeout};

use crate::dispatch::{Answer, Call};
use crate::metric::Metrics;
use crate::serve::CALLER_WRITE_TIMEOUT;
use crate::sse::{Decoder, Event};
use crate::{Refusal, refusal};

/// Largest body of an answer that is buffered whole.
const MAX_ANSWER_BYTES: usize = 2 << 20;
/// Buffered bytes without a complete event at which a stream fails.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// Largest body of an answer that is copied behind its head to be sent in one write.
const MAX_COPIED_BYTES: usize = 16 << 10;
/// Events that are billed after the last relayed one if an answer is interrupted.
///
/// The upstream may have sent them before the connection failed.
const UNSEEN_EVENTS: u64 = 2;
/// Events of an answer after which a crash is not blamed on the parts of the prompt.
///
/// The first one may have been sent just before a crash at the begin of the answer.
const MIN_BEGUN_EVENTS: u64 = 2;
/// Time after the deadline in which an answer sent right at the deadline may arrive.
const DEADLINE_GRACE: Duration = Duration::from_millis(60);
/// Fields that apply to a single connection.
const HOP_BY_HOP_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// How the delivery of an answer to the caller ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The caller was sent a whole answer.
    Complete,
    /// The answer was interrupted; the caller notices because its connection is closed.
    Incomplete,
    /// The caller has disconnected or does not read.
    CallerGone,
}

/// Why an answer did not arrive whole.
#[derive(Debug)]
enum Interruption {
    Upstream(h1::Error),
    /// The connection hangs, since this instance has lost its path to the upstream.
    PathLost,
    /// The connection to the caller has to give way, since the instance holds too much.
    Overfull,
    Deadline,
    CallerGone,
    /// The instance stops, and its grace period ends.
    Stopped,
}

/// Why an interrupted stream does not resume.
#[derive(Debug)]
enum ResumeError {
    /// The caller has disconnected.
    CallerGone,
    /// No retry is allowed, or no other upstream began an answer in time.
    Refused(Refusal),
    /// Another upstream answered with a status other than 200.
    NotAStream,
}

/// Returns true for fields that must not be forwarded.
#[must_use]
pub fn is_hop_by_hop(name: &[u8]) -> bool {
    HOP_BY_HOP_FIELDS.iter().any(|hop| hop.as_bytes().eq_ignore_ascii_case(name))
}

/// Sends a request, relays the answer and settles the reserved tokens.
pub async fn deliver(mut call: Call, conn: &mut Conn, keep_open: bool) -> Delivery {
    let found = tokio::select! {
        biased;
        found = call.find_origin() => found,
        () = conn.wait_closed() => return abandon(call, "before the answer"),
    };
    let last_event_id = match found {
        Ok(last_event_id) => last_event_id,
        Err(refusal) => return write_refusal(call, conn, &refusal, keep_open).await,
    };
    let front = Rc::clone(&call.front);
    loop {
        let answer = {
            let time_left = call.time_left() + DEADLINE_GRACE;
            tokio::select! {
                biased;
                answer = call.send(last_event_id) => Some(answer),
                () = conn.wait_closed() => {
                    return abandon(call, "before the answer");
                }
                () = sleep(time_left) => Some(Err(Refusal::unknown(504, "deadline_exceeded"))),
                () = front.stop.wait_ended() => None,
            }
        };
        let answer = match answer.unwrap_or_else(|| Err(call.stopped_refusal())) {
            Ok(answer) => answer,
            Err(refusal) => return write_refusal(call, conn, &refusal, keep_open).await,
        };
        if call.route.kind.is_stream() && answer.head.status == 200 {
            return Stream::open(call, answer).run(conn, keep_open).await;
        }
        let now = call.front.clock.now();
        answer.record_slowness(now);
        call.answered_at = Some(now);
        let upstream = Rc::clone(answer.flight.upstream());
        match read_answer(&call, conn, answer).await {
            Ok((head, body)) => {
                if head.status < 400 {
                    call.record_whole_answer();
                }
                return write_answer(call, conn, &head, &body, keep_open).await;
            }
            Err(Interruption::CallerGone) => return abandon(call, "during the answer"),
            Err(Interruption::Deadline) => {
                let refusal = Refusal::unknown(504, "deadline_exceeded");
                return write_refusal(call, conn, &refusal, keep_open).await;
            }
            Err(Interruption::Overfull) => {
                return write_refusal(call, conn, &Refusal::unknown(502, "overfull"), false).await;
            }
            Err(Interruption::Stopped) => {
                let refusal = call.stopped_refusal();
                return write_refusal(call, conn, &refusal, false).await;
            }
            Err(interruption) => {
                call.holder.resume_run();
                call.may_have_run = true;
                if let Interruption::Upstream(error) = &interruption {
                    call.detect_crash(&upstream, error, false).await;
                }
                info!(call.front.log, "answer broke off";
                    "request" => call.params.request_id.as_ref(), "cause" => ?interruption,
                    "upstream" => upstream.entry.id.as_ref());
                if !call.may_resume() {
                    let refusal = Refusal::unknown(502, "upstream_broke_off");
                    return write_refusal(call, conn, &refusal, keep_open).await;
                }
            }
        }
    }
}

/// Reads a whole answer unless the caller disconnects or the deadline passes.
async fn read_answer(
    call: &Call,
    conn: &mut Conn,
    answer: Answer,
) -> Result<(Response, Bytes), Interruption> {
    let Answer { conn: mut upstream, head, metadata, flight, is_reusable, .. } = answer;
    call.holder.begin_answer();
    upstream.set_gauge(Some(call.holder.answer_gauge()));
    let body = tokio::select! {
        biased;
        _ = call.holder.wait_evicted() => return Err(Interruption::Overfull),
        body = upstream.read_body(head.framing, MAX_ANSWER_BYTES, None) =>
            body.map_err(Interruption::Upstream)?,
        () = conn.wait_closed() => return Err(Interruption::CallerGone),
        () = flight.wait_cut_off(), if call.can_go_on() => return Err(Interruption::PathLost),
        () = sleep(call.time_left() + DEADLINE_GRACE) => return Err(Interruption::Deadline),
        () = call.front.stop.wait_ended() => return Err(Interruption::Stopped),
    };
    upstream.set_gauge(None);
    if is_reusable {
        flight.release(upstream, metadata.keep_alive, call.front.clock.now());
    }
    Ok((head, body))
}

async fn write_answer(
    mut call: Call,
    conn: &mut Conn,
    head: &Response,
    body: &Bytes,
    keep_open: bool,
) -> Delivery {
    call.body = Bytes::new();
    call.holder.release_request(body.len());
    let is_copied = body.len() <= MAX_COPIED_BYTES;
    let mut out = BytesMut::with_capacity(512 + if is_copied { body.len() } else { 0 });
    write_head(head.status, &head.fields, &mut out);
    let body_len = body.len().to_string();
    let is_head_request = call.head.method == "HEAD";
    let stated_length = head.fields.get("content-length").filter(|_| is_head_request);
    let length = stated_length.unwrap_or(&body_len);
    out.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
    write_head_end(keep_open, &mut out);
    if is_copied {
        out.extend_from_slice(body);
    }
    // A failed run costs only the prompt, which the upstream may have processed.
    let used = if head.status < 400 { call.params.bound() } else { prompt_tokens(&call) };
    settle(&mut call, used);
    record_end(&call, head.status, 0, "whole");
    let write = async {
        match write_last(conn, &out).await {
            Delivery::Complete if !is_copied => write_last(conn, body).await,
            delivery => delivery,
        }
    };
    tokio::select! {
        biased;
        _ = call.holder.wait_evicted() => Delivery::CallerGone,
        delivery = write => delivery,
    }
}

async fn write_refusal(
    mut call: Call,
    conn: &mut Conn,
    refusal: &Refusal,
    keep_open: bool,
) -> Delivery {
    let used = match refusal.outcome {
        Outcome::NotRun => 0,
        // No event was relayed, but the prompt may have been processed and first events sent.
        Outcome::Completed | Outcome::Unknown => prompt_tokens(&call) + unseen_tokens(&call),
    };
    settle(&mut call, used);
    record_end(&call, refusal.status, 0, refusal.code);
    let request = (call.front.codec.request_id_field(), call.params.request_id.as_ref());
    let mut out = BytesMut::new();
    refusal.write(Some(request), keep_open, &mut out);
    write_last(conn, &out).await
}

async fn write_last(conn: &mut Conn, out: &[u8]) -> Delivery {
    match timeout(CALLER_WRITE_TIMEOUT, conn.write_all(out)).await {
        Ok(Ok(())) => Delivery::Complete,
        Ok(Err(_)) | Err(_) => Delivery::CallerGone,
    }
}

fn abandon(mut call: Call, stage: &'static str) -> Delivery {
    let used = if call.sent_count > 0 { prompt_tokens(&call) + unseen_tokens(&call) } else { 0 };
    settle(&mut call, used);
    record_end(&call, 0, 0, stage);
    Delivery::CallerGone
}

fn prompt_tokens(call: &Call) -> Tokens {
    call.params.generation.map_or(0, |generation| generation.prompt_tokens)
}

fn event_tokens(call: &Call) -> Tokens {
    call.routing.services.get(&call.service).map_or(1, |service| service.tokens_per_event)
}

fn unseen_tokens(call: &Call) -> Tokens {
    UNSEEN_EVENTS * event_tokens(call)
}

fn settle(call: &mut Call, used_tokens: Tokens) {
    if let Some(reserved) = call.reserved.take() {
        reserved.settle(used_tokens);
    }
}

fn record_end(call: &Call, status: u16, events: u64, end: &str) {
    let front = &call.front;
    let elapsed = front.clock.now().saturating_sub(call.arrival);
    let account = call.account.as_deref().unwrap_or_default();
    let selection = call.last_selection.as_ref();
    let work = selection.and_then(|selection| selection.work);
    let first_time = call.answered_at.map(|at| at.saturating_sub(call.arrival));
    info!(front.log, "request ended"; "request" => call.params.request_id.as_ref(),
        "route" => call.route.name.as_ref(), "account" => account, "service" => &*call.service,
        "config" => call.routing.version, "status" => status, "end" => end, "events" => events,
        "sent" => call.sent_count, "after_ms" => millis(elapsed),
        "prompt" => prompt_tokens(call),
        "output_max" => call.params.generation.map_or(0, |size| size.max_output_tokens),
        "upstream" => selection.map(|selection| selection.upstream.entry.id.as_ref()),
        "domain" => selection.map(|selection| selection.upstream.entry.domain.as_ref()),
        "expected_ms" => selection.map(|selection| selection.expected_seconds * 1e3),
        "prefill" => work.map(|work| work.prefill_tokens),
        "cached" => selection.map(|selection| selection.cached_tokens),
        "queued" => work.map(|work| work.queued_tokens.round()),
        "factor" => work.map(|work| work.factor),
        "uncertainty" => work.map(|work| work.uncertainty),
        "tokens_per_ms" => work.map(|work| 1e-3 / work.token_seconds),
        "output" => call.output_tokens,
        "first_ms" => first_time.map(millis));
    front.metrics.count_request(&call.route.name, end);
    Metrics::observe(&front.metrics.whole_answer_seconds, account, elapsed);
}

fn write_head(status: u16, fields: &Fields, out: &mut BytesMut) {
    out.extend_from_slice(
        format!("HTTP/1.1 {status} {}\r\n", refusal::reason_phrase(status)).as_bytes(),
    );
    for (name, value) in fields.iter() {
        if is_hop_by_hop(name) || name.eq_ignore_ascii_case(b"content-length") {
            continue;
        }
        out.extend_from_slice(name);
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
}

fn write_head_end(keep_open: bool, out: &mut BytesMut) {
    out.extend_from_slice(if keep_open { b"\r\n" } else { b"Connection: close\r\n\r\n" });
}

/// A stream of events that is relayed to the caller.
struct Stream {
    call: Call,
    head: Response,
    answer: Answer,
    body: Body,
    decoder: Decoder,
    last_event_id: Option<u64>,
    delivered_events: u64,
    /// Events of the present answer; a resumed stream has several answers.
    answer_events: u64,
    /// Whether an event of the present answer was relayed.
    has_relayed_answer: bool,
    has_begun: bool,
}

impl Stream {
    fn open(call: Call, answer: Answer) -> Self {
        let body = Body::open(answer.head.framing);
        let head = answer.head.clone();
        let last_event_id = call.params.last_event_id;
        Self {
            call,
            head,
            answer,
            body,
            decoder: Decoder::default(),
            last_event_id,
            delivered_events: 0,
            answer_events: 0,
            has_relayed_answer: false,
            has_begun: false,
        }
    }

    async fn run(mut self, conn: &mut Conn, keep_open: bool) -> Delivery {
        loop {
            match self.forward_events(conn, keep_open).await {
                Ok(()) => return self.finish(conn, keep_open).await,
                Err(Interruption::CallerGone) => {
                    return self.end("caller gone", Delivery::CallerGone);
                }
                Err(Interruption::Deadline) if !self.has_begun => {
                    let refusal = Refusal::unknown(504, "deadline_exceeded");
                    return write_refusal(self.call, conn, &refusal, keep_open).await;
                }
                Err(Interruption::Deadline) => {
                    return self.end("deadline in stream", Delivery::Incomplete);
                }
                Err(Interruption::Stopped) if !self.has_begun => {
                    let refusal = self.call.stopped_refusal();
                    return write_refusal(self.call, conn, &refusal, keep_open).await;
                }
                Err(Interruption::Stopped) => {
                    return self.end("stopped in stream", Delivery::Incomplete);
                }
                Err(Interruption::Upstream(error)) => {
                    let now = self.call.front.clock.now();
                    self.answer.flight.upstream().record_failure(now);
                    let upstream = Rc::clone(self.answer.flight.upstream());
                    let has_begun = self.answer_events >= MIN_BEGUN_EVENTS;
                    self.call.detect_crash(&upstream, &error, has_begun).await;
                    info!(self.call.front.log, "stream broke off";
                        "request" => self.call.params.request_id.as_ref(), "error" => %error,
                        "upstream" => self.answer.flight.upstream().entry.id.as_ref(),
                        "last_event" => self.last_event_id);
                }
                Err(Interruption::Overfull) if !self.has_begun => {
                    let refusal = Refusal::unknown(502, "overfull");
                    return write_refusal(self.call, conn, &refusal, false).await;
                }
                Err(Interruption::Overfull) => {
                    return self.end("overfull in stream", Delivery::Incomplete);
                }
                Err(Interruption::PathLost) => {
                    info!(self.call.front.log, "stream hangs";
                        "request" => self.call.params.request_id.as_ref(),
                        "upstream" => self.answer.flight.upstream().entry.id.as_ref(),
                        "last_event" => self.last_event_id);
                }
            }
            match self.resume(conn).await {
                Ok(()) => {}
                Err(ResumeError::CallerGone) => {
                    return self.end("caller gone", Delivery::CallerGone);
                }
                Err(ResumeError::Refused(refusal)) if !self.has_begun => {
                    return write_refusal(self.call, conn, &refusal, keep_open).await;
                }
                Err(ResumeError::Refused(_) | ResumeError::NotAStream) => {
                    return self.end("stream broke off", Delivery::Incomplete);
                }
            }
        }
    }

    /// Resumes the stream at another upstream after the last relayed event.
    async fn resume(&mut self, conn: &mut Conn) -> Result<(), ResumeError> {
        self.call.may_have_run = true;
        if !self.call.may_resume() {
            return Err(ResumeError::Refused(Refusal::unknown(502, "upstream_broke_off")));
        }
        let (last_event_id, time_left) = (self.last_event_id, self.call.time_left());
        let front = Rc::clone(&self.call.front);
        let answer = tokio::select! {
            biased;
            result = self.call.send(last_event_id) => result.map_err(ResumeError::Refused)?,
            () = conn.wait_closed() => return Err(ResumeError::CallerGone),
            () = sleep(time_left) => {
                return Err(ResumeError::Refused(Refusal::unknown(504, "deadline_exceeded")));
            }
            () = front.stop.wait_ended() => {
                return Err(ResumeError::Refused(self.call.stopped_refusal()));
            }
        };
        if answer.head.status != 200 {
            return Err(ResumeError::NotAStream);
        }
        self.body = Body::open(answer.head.framing);
        self.decoder = Decoder::default();
        self.answer_events = 0;
        self.has_relayed_answer = false;
        if !self.has_begun {
            self.head = answer.head.clone();
        }
        self.answer = answer;
        Ok(())
    }

    /// Forwards events to the caller until the upstream's answer is complete.
    async fn forward_events(
        &mut self,
        conn: &mut Conn,
        keep_open: bool,
    ) -> Result<(), Interruption> {
        loop {
            while let Some(part) =
                self.body.decode(&mut self.answer.conn.input).map_err(Interruption::Upstream)?
            {
                self.decoder.push(&part);
            }
            self.write_events(conn, keep_open).await?;
            if self.body.is_done() {
                // Without a length, a stream that has no event at all has been broken off.
                let is_whole = self.decoder.pending_bytes() == 0
                    && (self.answer_events > 0 || self.answer.head.framing != Framing::UntilClose);
                return if is_whole {
                    Ok(())
                } else {
                    Err(Interruption::Upstream(h1::Error::UnexpectedEof))
                };
            }
            self.call.holder.record_partial_event(self.decoder.pending_bytes());
            if self.decoder.pending_bytes() > MAX_EVENT_BYTES {
                let error = h1::Error::Malformed("an event is too large");
                return Err(Interruption::Upstream(error));
            }
            let time_left = self.call.time_left() + DEADLINE_GRACE;
            let may_go_on = self.call.can_go_on();
            // An upstream that sends without a pause would never let the timer be polled.
            if self.call.is_overdue(DEADLINE_GRACE) {
                return Err(Interruption::Deadline);
            }
            tokio::select! {
                biased;
                _ = self.call.holder.wait_evicted() => return Err(Interruption::Overfull),
                more = self.answer.conn.fill_body(&mut self.body) =>
                    more.map_err(Interruption::Upstream)?,
                () = conn.wait_closed() => return Err(Interruption::CallerGone),
                () = self.answer.flight.wait_cut_off(), if may_go_on => {
                    return Err(Interruption::PathLost);
                }
                () = sleep(time_left) => return Err(Interruption::Deadline),
                () = self.call.front.stop.wait_ended() => return Err(Interruption::Stopped),
            }
        }
    }

    /// Writes all complete events that the caller lacks, together as one chunk.
    async fn write_events(&mut self, conn: &mut Conn, keep_open: bool) -> Result<(), Interruption> {
        self.call.review_origin();
        let mut chunk = BytesMut::new();
        let mut count = 0;
        let events_before = self.answer_events;
        let last_relayed_id = self.last_event_id;
        for Event { raw, id } in self.decoder.by_ref() {
            self.answer_events += 1;
            if id.is_some() && id <= self.last_event_id {
                continue;
            }
            self.last_event_id = id.or(self.last_event_id);
            chunk.extend_from_slice(&raw);
            count += u64::from(id.is_some());
        }
        if events_before < MIN_BEGUN_EVENTS && self.answer_events >= MIN_BEGUN_EVENTS {
            self.call.record_begun_answer();
        }
        if chunk.is_empty() {
            return Ok(());
        }
        if !std::mem::replace(&mut self.has_relayed_answer, true)
            && !self.call.record_origin(&self.answer.flight)
        {
            // The stream may still go on at another upstream, after the last event that was relayed.
            self.last_event_id = last_relayed_id;
            return Err(Interruption::Upstream(h1::Error::Malformed("another software version")));
        }
        let front = &self.call.front;
        let now = front.clock.now();
        let mut out = BytesMut::with_capacity(chunk.len() + 512);
        if !self.has_begun {
            self.has_begun = true;
            self.call.answered_at = Some(now);
            self.answer.record_slowness(now);
            let account = self.call.account.as_deref().unwrap_or_default();
            let first_byte_time = now.saturating_sub(self.call.arrival);
            Metrics::observe(&front.metrics.first_byte_seconds, account, first_byte_time);
            write_head(self.head.status, &self.head.fields, &mut out);
            out.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
            write_head_end(keep_open, &mut out);
            let prefix_hashes = self.call.params.prefix_hashes();
            let shared_hashes = &prefix_hashes[..self.call.params.shared_part_count()];
            self.answer.flight.upstream().record_cached(shared_hashes, now);
        }
        self.answer.flight.record_progress(count, now);
        out.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        out.extend_from_slice(&chunk);
        out.extend_from_slice(b"\r\n");
        self.delivered_events += count;
        self.call.holder.record_stream(out.capacity() + self.decoder.pending_bytes());
        // The caller no longer waits after its deadline.
        let time_left = self.call.time_left() + DEADLINE_GRACE;
        match timeout(CALLER_WRITE_TIMEOUT.min(time_left), conn.write_all(&out)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Interruption::CallerGone),
        }
    }

    async fn finish(mut self, conn: &mut Conn, keep_open: bool) -> Delivery {
        let used = self.used_tokens(0);
        settle(&mut self.call, used);
        record_end(&self.call, self.head.status, self.delivered_events, "stream complete");
        let Answer { conn: upstream, metadata, flight, is_reusable, .. } = self.answer;
        // Without a length, a stream that broke off after its first event looks complete as well.
        if self.answer_events >= MIN_BEGUN_EVENTS || self.answer.head.framing != Framing::UntilClose
        {
            self.call.record_whole_answer();
            if self.call.params.generation.is_some() && !self.call.params.is_resumption() {
                let (route, account) = (&self.call.route.name, self.call.account.as_ref());
                let tokens = self.delivered_events * event_tokens(&self.call);
                let hint = self.call.params.length_hint;
                self.call.front.fleet.record_output(route, account, hint, tokens);
            }
        }
        if is_reusable {
            let now = self.call.front.clock.now();
            flight.release(upstream, metadata.keep_alive, now);
        }
        let mut out = BytesMut::new();
        if !self.has_begun {
            write_head(self.head.status, &self.head.fields, &mut out);
            out.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
            write_head_end(keep_open, &mut out);
        }
        out.extend_from_slice(b"0\r\n\r\n");
        write_last(conn, &out).await
    }

    fn used_tokens(&self, unseen_events: u64) -> Tokens {
        let generation = self.call.params.generation.unwrap_or_default();
        let output = (self.delivered_events + unseen_events) * event_tokens(&self.call);
        generation.prompt_tokens + output.min(generation.max_output_tokens)
    }

    fn end(&mut self, end: &str, delivery: Delivery) -> Delivery {
        let used = self.used_tokens(UNSEEN_EVENTS);
        settle(&mut self.call, used);
        record_end(&self.call, self.head.status, self.delivered_events, end);
        delivery
    }
}
