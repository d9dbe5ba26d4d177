//! Delivery of an upstream's answer to the caller, and settlement of its cost.

use base::clock::millis;
use base::prelude::*;
use bytes::{Bytes, BytesMut};
use h1::{Body, Conn, Fields, Response};
use slog::info;
use tokio::time::{sleep, timeout};

use crate::dispatch::{Arrived, Job};
use crate::events::{Event, Events};
use crate::metric::Metrics;
use crate::{Refusal, refusal};

/// Largest answer that is held whole, in bytes.
const WHOLE_MAX: usize = 8 << 20;
/// Largest event, in bytes.
const EVENT_MAX: usize = 1 << 20;
/// Longest time for which a caller may leave an answer unread.
const UNREAD: Duration = Duration::from_secs(5);
/// Events that an upstream may have sent after the last one that was read here.
const UNSEEN_EVENTS: u64 = 2;
/// Time after the deadline for an answer that the upstream gives right at the deadline.
const GRACE: Duration = Duration::from_millis(60);
/// Fields that concern one connection only.
const HOP: [&str; 9] = [
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

/// How the delivery of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The caller has a whole answer.
    Done,
    /// The answer broke off, which the caller must see.
    Broken,
    /// The caller is gone.
    Gone,
}

/// Why an answer did not arrive whole.
#[derive(Debug)]
enum Cut {
    Upstream(h1::Error),
    Late,
    Gone,
}

/// Why a stream that broke off does not go on.
#[derive(Debug)]
enum Halt {
    /// The caller is gone.
    Gone,
    /// No other upstream began an answer.
    Refused(Refusal),
    /// Another upstream answered with something else than a stream.
    Unfit,
}

/// Returns true for fields that are not passed on.
#[must_use]
pub fn is_hop(name: &[u8]) -> bool {
    HOP.iter().any(|hop| hop.as_bytes().eq_ignore_ascii_case(name))
}

/// Sends a request, relays the answer and settles the cost.
pub async fn deliver(mut job: Job, conn: &mut Conn, keep: bool) -> Delivery {
    loop {
        let arrived = {
            let grace = job.left() + GRACE;
            tokio::select! {
                biased;
                arrived = job.send(None) => arrived,
                () = conn.wait_closed() => {
                    return gone(job, "before the answer");
                }
                () = sleep(grace) => Err(Refusal::unknown(504, "deadline_exceeded")),
            }
        };
        let arrived = match arrived {
            Ok(arrived) => arrived,
            Err(refusal) => return refuse(job, conn, &refusal, keep).await,
        };
        if job.route.kind.is_stream() && arrived.head.status == 200 {
            return Stream::open(job, arrived).run(conn, keep).await;
        }
        arrived.observe(job.front.clock.now());
        match whole(&job, conn, arrived).await {
            Ok((head, body)) => return answer(job, conn, &head, &body, keep).await,
            Err(Cut::Gone) => return gone(job, "during the answer"),
            Err(Cut::Late) => {
                let refusal = Refusal::unknown(504, "deadline_exceeded");
                return refuse(job, conn, &refusal, keep).await;
            }
            Err(Cut::Upstream(error)) => {
                job.may_have_run = true;
                info!(job.front.log, "answer broke off"; "request" => job.ask.request.as_ref(),
                    "error" => %error);
                if !job.may_resume() {
                    let refusal = Refusal::unknown(502, "upstream_broke_off");
                    return refuse(job, conn, &refusal, keep).await;
                }
            }
        }
    }
}

/// Reads a whole answer while the caller is there.
async fn whole(job: &Job, conn: &mut Conn, arrived: Arrived) -> Result<(Response, Bytes), Cut> {
    let Arrived { conn: mut upstream, head, meaning, flight, is_reusable, .. } = arrived;
    let body = tokio::select! {
        biased;
        body = upstream.read_body(head.framing, WHOLE_MAX, None) => body.map_err(Cut::Upstream)?,
        () = conn.wait_closed() => return Err(Cut::Gone),
        () = sleep(job.left() + GRACE) => return Err(Cut::Late),
    };
    if is_reusable {
        flight.upstream().keep(upstream, meaning.keep_alive, job.front.clock.now());
    }
    Ok((head, body))
}

async fn answer(
    mut job: Job,
    conn: &mut Conn,
    head: &Response,
    body: &Bytes,
    keep: bool,
) -> Delivery {
    let mut out = BytesMut::with_capacity(512 + body.len());
    write_head(head.status, &head.fields, &mut out);
    let own = body.len().to_string();
    let is_head = job.head.method == "HEAD";
    let stated = head.fields.get("content-length").filter(|_| is_head);
    let length = stated.unwrap_or(&own);
    out.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
    write_end(keep, &mut out);
    out.extend_from_slice(body);
    // A failed run has read the prompt.
    let used = if head.status < 400 { job.ask.bound() } else { prompt(&job) };
    settle(&mut job, used);
    log_answer(&job, head.status, 0, "whole");
    deliver_last(conn, &out).await
}

async fn refuse(mut job: Job, conn: &mut Conn, refusal: &Refusal, keep: bool) -> Delivery {
    let used = match refusal.outcome {
        Outcome::NotRun => 0,
        // Nothing was passed on, but the prompt may have been read and a first event sent.
        Outcome::Completed | Outcome::Unknown => prompt(&job) + unseen(&job),
    };
    settle(&mut job, used);
    log_answer(&job, refusal.status, 0, refusal.code);
    let request = (job.front.dialect.request_field(), job.ask.request.as_ref());
    let mut out = BytesMut::new();
    refusal.write(Some(request), keep, &mut out);
    deliver_last(conn, &out).await
}

async fn deliver_last(conn: &mut Conn, out: &[u8]) -> Delivery {
    match timeout(UNREAD, conn.write_all(out)).await {
        Ok(Ok(())) => Delivery::Done,
        Ok(Err(_)) | Err(_) => Delivery::Gone,
    }
}

fn gone(mut job: Job, at: &'static str) -> Delivery {
    let used = if job.sent > 0 { prompt(&job) + unseen(&job) } else { 0 };
    settle(&mut job, used);
    log_answer(&job, 0, 0, at);
    Delivery::Gone
}

fn prompt(job: &Job) -> Tokens {
    job.ask.size.map_or(0, |size| size.prompt)
}

fn event_tokens(job: &Job) -> Tokens {
    job.table.services.get(&job.service).map_or(1, |service| service.event_tokens)
}

fn unseen(job: &Job) -> Tokens {
    UNSEEN_EVENTS * event_tokens(job)
}

fn settle(job: &mut Job, used: Tokens) {
    if let Some(reserved) = job.reserved.take() {
        reserved.settle(used);
    }
}

fn log_answer(job: &Job, status: u16, events: u64, end: &str) {
    let front = &job.front;
    let after = front.clock.now().saturating_sub(job.started);
    let account = job.account.as_deref().unwrap_or_default();
    info!(front.log, "request ended"; "request" => job.ask.request.as_ref(),
        "route" => job.route.name.as_ref(), "account" => account, "service" => &*job.service,
        "config" => job.table.version, "status" => status, "end" => end, "events" => events,
        "sent" => job.sent, "after_ms" => millis(after),
        "prompt" => prompt(job), "output_max" => job.ask.size.map_or(0, |size| size.output));
    front.metrics.count(&job.route.name, end);
    Metrics::observe(&front.metrics.whole, account, after);
}

fn write_head(status: u16, fields: &Fields, out: &mut BytesMut) {
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", refusal::reason(status)).as_bytes());
    for (name, value) in fields.iter() {
        if is_hop(name) || name.eq_ignore_ascii_case(b"content-length") {
            continue;
        }
        out.extend_from_slice(name);
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
}

fn write_end(keep: bool, out: &mut BytesMut) {
    out.extend_from_slice(if keep { b"\r\n" } else { b"Connection: close\r\n\r\n" });
}

/// A stream on its way to the caller.
struct Stream {
    job: Job,
    head: Response,
    arrived: Arrived,
    body: Body,
    events: Events,
    last_event: Option<u64>,
    delivered: u64,
    has_begun: bool,
}

impl Stream {
    fn open(job: Job, arrived: Arrived) -> Self {
        let body = Body::open(arrived.head.framing);
        let head = arrived.head.clone();
        let last_event = job.ask.last_event;
        Self {
            job,
            head,
            arrived,
            body,
            events: Events::default(),
            last_event,
            delivered: 0,
            has_begun: false,
        }
    }

    async fn run(mut self, conn: &mut Conn, keep: bool) -> Delivery {
        loop {
            match self.pump(conn, keep).await {
                Ok(()) => return self.finish(conn, keep).await,
                Err(Cut::Gone) => return self.end("caller gone", Delivery::Gone),
                Err(Cut::Late) if !self.has_begun => {
                    let refusal = Refusal::unknown(504, "deadline_exceeded");
                    return refuse(self.job, conn, &refusal, keep).await;
                }
                Err(Cut::Late) => return self.end("deadline in stream", Delivery::Broken),
                Err(Cut::Upstream(error)) => {
                    let now = self.job.front.clock.now();
                    self.arrived.flight.upstream().fail(now);
                    info!(self.job.front.log, "stream broke off";
                        "request" => self.job.ask.request.as_ref(), "error" => %error,
                        "upstream" => self.arrived.flight.upstream().entry.id.as_ref(),
                        "last_event" => self.last_event);
                    match self.resume(conn).await {
                        Ok(()) => {}
                        Err(Halt::Gone) => return self.end("caller gone", Delivery::Gone),
                        Err(Halt::Refused(refusal)) if !self.has_begun => {
                            return refuse(self.job, conn, &refusal, keep).await;
                        }
                        Err(Halt::Refused(_) | Halt::Unfit) => {
                            return self.end("stream broke off", Delivery::Broken);
                        }
                    }
                }
            }
        }
    }

    /// Goes on at another upstream.
    async fn resume(&mut self, conn: &mut Conn) -> Result<(), Halt> {
        self.job.may_have_run = true;
        if !self.job.may_resume() {
            return Err(Halt::Refused(Refusal::unknown(502, "upstream_broke_off")));
        }
        let (last, left) = (self.last_event, self.job.left());
        let arrived = tokio::select! {
            biased;
            result = self.job.send(last) => result.map_err(Halt::Refused)?,
            () = conn.wait_closed() => return Err(Halt::Gone),
            () = sleep(left) => {
                return Err(Halt::Refused(Refusal::unknown(504, "deadline_exceeded")));
            }
        };
        if arrived.head.status != 200 {
            return Err(Halt::Unfit);
        }
        self.body = Body::open(arrived.head.framing);
        self.events = Events::default();
        if !self.has_begun {
            self.head = arrived.head.clone();
        }
        self.arrived = arrived;
        Ok(())
    }

    /// Passes events on until the upstream's answer is complete.
    async fn pump(&mut self, conn: &mut Conn, keep: bool) -> Result<(), Cut> {
        loop {
            while let Some(part) =
                self.body.decode(&mut self.arrived.conn.input).map_err(Cut::Upstream)?
            {
                self.events.push(&part);
            }
            self.pass_on(conn, keep).await?;
            if self.body.is_done() {
                let is_whole = self.events.pending() == 0;
                return if is_whole {
                    Ok(())
                } else {
                    Err(Cut::Upstream(h1::Error::UnexpectedEof))
                };
            }
            if self.events.pending() > EVENT_MAX {
                let error = h1::Error::Malformed("an event is too large");
                return Err(Cut::Upstream(error));
            }
            let left = self.job.left() + GRACE;
            tokio::select! {
                biased;
                more = self.arrived.conn.fill_body(&mut self.body) => more.map_err(Cut::Upstream)?,
                () = conn.wait_closed() => return Err(Cut::Gone),
                () = sleep(left) => return Err(Cut::Late),
            }
        }
    }

    /// Writes the whole events that have arrived, in one chunk.
    async fn pass_on(&mut self, conn: &mut Conn, keep: bool) -> Result<(), Cut> {
        let mut chunk = BytesMut::new();
        let mut count = 0;
        for Event { raw, id } in self.events.by_ref() {
            if id.is_some() && id <= self.last_event {
                continue;
            }
            self.last_event = id.or(self.last_event);
            chunk.extend_from_slice(&raw);
            count += u64::from(id.is_some());
        }
        if chunk.is_empty() {
            return Ok(());
        }
        let front = &self.job.front;
        let now = front.clock.now();
        let mut out = BytesMut::with_capacity(chunk.len() + 512);
        if !self.has_begun {
            self.has_begun = true;
            self.arrived.observe(now);
            let account = self.job.account.as_deref().unwrap_or_default();
            let first = now.saturating_sub(self.job.started);
            Metrics::observe(&front.metrics.first, account, first);
            write_head(self.head.status, &self.head.fields, &mut out);
            out.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
            write_end(keep, &mut out);
            let chain = self.job.ask.chain();
            let shared = &chain[..self.job.ask.shared()];
            self.arrived.flight.upstream().store(shared, now);
        }
        self.arrived.flight.sign(now);
        out.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        out.extend_from_slice(&chunk);
        out.extend_from_slice(b"\r\n");
        self.delivered += count;
        match timeout(UNREAD, conn.write_all(&out)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Cut::Gone),
        }
    }

    async fn finish(mut self, conn: &mut Conn, keep: bool) -> Delivery {
        let used = self.used(0);
        settle(&mut self.job, used);
        log_answer(&self.job, self.head.status, self.delivered, "stream complete");
        let Arrived { conn: upstream, meaning, flight, is_reusable, .. } = self.arrived;
        if is_reusable {
            let now = self.job.front.clock.now();
            flight.upstream().keep(upstream, meaning.keep_alive, now);
        }
        let mut out = BytesMut::new();
        if !self.has_begun {
            write_head(self.head.status, &self.head.fields, &mut out);
            out.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
            write_end(keep, &mut out);
        }
        out.extend_from_slice(b"0\r\n\r\n");
        deliver_last(conn, &out).await
    }

    fn used(&self, unseen: u64) -> Tokens {
        let size = self.job.ask.size.unwrap_or_default();
        let output = (self.delivered + unseen) * event_tokens(&self.job);
        size.prompt + output.min(size.output)
    }

    fn end(&mut self, end: &str, delivery: Delivery) -> Delivery {
        let used = self.used(UNSEEN_EVENTS);
        settle(&mut self.job, used);
        log_answer(&self.job, self.head.status, self.delivered, end);
        delivery
    }
}
