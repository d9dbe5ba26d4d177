//! Sending of a request to upstreams until one begins to answer.

use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use bytes::{Bytes, BytesMut};
use h1::{Conn, Framing, Request, Response};
use ledger::escrow::Reserved;
use plan::routing::{Route, Table};
use route::poison::{self, Crash, Verdict};
use route::prefix;
use slog::info;
use thiserror::Error;
use tokio::time::timeout;

use crate::dialect::{Meaning, Order};
use crate::fleet::Chosen;
use crate::upstream::{Flight, Upstream};
use crate::{Ask, Front, Refusal};

/// Longest time for a connection to an upstream; several round trips within a region.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// Share of failed connections from which on the fault is taken to be this instance's own path.
const PATH_FAULT: f64 = 0.5;
/// Largest head of an answer, in bytes.
const HEAD_MAX: usize = 32 << 10;
/// Answers to earlier requests that are passed over on one connection.
const STALE_MAX: usize = 3;
/// Largest body of an answer to an earlier request that is passed over, in bytes.
const STALE_BYTES: usize = 256 << 10;
/// Upstreams whose connection is tried at most for one request.
const CONNECTS_MAX: usize = 5;
/// Pause suggested when all upstreams are full or unreachable.
const BUSY: Duration = Duration::from_millis(400);
/// Part of the time left for which a repeatable request waits for one upstream.
const TRY_SHARE: f64 = 0.45;
/// Status from which on an answer is a failure of the upstream.
const FAILED: u16 = 500;
/// Status with which an upstream refuses a request for another one.
const MISDIRECTED: u16 = 421;
/// Bounds of the observed pace, so that one odd run does not decide.
const PACE: std::ops::RangeInclusive<f64> = 0.3..=12.0;

/// A request that is admitted, and what was done for it so far.
#[derive(Debug)]
pub struct Job {
    /// Shared state.
    pub front: Rc<Front>,
    /// Routing under which the request was admitted.
    pub table: Rc<Table>,
    /// Route.
    pub route: Arc<Route>,
    /// Service.
    pub service: ServiceId,
    /// Client account.
    pub account: Option<AccountId>,
    /// Reserved tokens.
    pub reserved: Option<Reserved>,
    /// What the request asks for.
    pub ask: Ask,
    /// Head.
    pub head: Request,
    /// Body.
    pub body: Bytes,
    /// Arrival.
    pub started: Duration,
    /// Time by which the answer must have ended.
    pub deadline: Duration,
    tried: Vec<UpstreamId>,
    /// Upstreams to which the request was sent.
    pub sent: usize,
    /// Whether the request may have run anywhere.
    pub may_have_run: bool,
}

/// An answer that has begun.
#[derive(Debug)]
pub struct Arrived {
    /// Connection, with the bytes after the head.
    pub conn: Conn,
    /// Head.
    pub head: Response,
    /// What the head means.
    pub meaning: Meaning,
    /// Request at the upstream.
    pub flight: Flight,
    /// Whether the connection may be used again after the answer.
    pub is_reusable: bool,
    sent_at: Duration,
    expected: f64,
}

/// Why an upstream gave no answer.
#[derive(Debug, Error)]
enum Failure {
    /// No connection could be opened, so nothing was sent.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// The connection broke after the request was sent.
    #[error("broken: {0}")]
    Broken(h1::Error),
    /// The upstream said that it did not run the request.
    #[error("not run: {0}")]
    NotRun(u16),
    /// The upstream was silent for too long.
    #[error("silent")]
    Silent,
    /// The upstream failed during the run.
    #[error("failed: {0}")]
    Failed(u16),
}

impl Job {
    /// Opens the job of an admitted request.
    #[expect(clippy::too_many_arguments, reason = "each is found by another step")]
    #[must_use]
    pub fn open(
        front: &Rc<Front>,
        table: Rc<Table>,
        route: Arc<Route>,
        account: Option<AccountId>,
        reserved: Option<Reserved>,
        ask: Ask,
        head: Request,
        body: Bytes,
        started: Duration,
    ) -> Self {
        let number = prefix::mix(prefix::extend_hash(prefix::mix(3), ask.request.as_bytes()));
        let service = route.service(number).map_or_else(|| "".into(), Arc::clone);
        let patience = ask.patience.map_or(route.timeout, |time| time.min(route.timeout));
        Self {
            front: Rc::clone(front),
            table,
            service,
            route,
            account,
            reserved,
            ask,
            head,
            body,
            started,
            deadline: started + patience,
            tried: Vec::new(),
            sent: 0,
            may_have_run: false,
        }
    }

    /// Returns the time left, zero once the deadline has passed.
    #[must_use]
    pub fn left(&self) -> Duration {
        self.deadline.saturating_sub(self.front.clock.now())
    }

    /// Sends the request until an upstream begins an answer that is worth relaying.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller if there is none.
    pub async fn send(&mut self, last_event: Option<u64>) -> Result<Arrived, Refusal> {
        self.judge()?;
        let mut connects = 0;
        loop {
            let left = self.left();
            if left.is_zero() {
                return Err(self.late());
            }
            let now = self.front.clock.now();
            let chosen = self.front.fleet.choose(&self.service, &self.ask, &self.tried, now);
            let Some(chosen) = chosen else { return Err(self.unavailable()) };
            if self.sent == 0 && connects == 0 {
                self.count_request(now);
            }
            let id = Arc::clone(&chosen.upstream.entry.id);
            let failure = match self.attempt(&chosen, last_event, left).await {
                Ok(arrived) if arrived.meaning.is_not_run => {
                    let status = arrived.head.status;
                    self.recycle(arrived).await;
                    Failure::NotRun(status)
                }
                Ok(arrived) if arrived.head.status < FAILED => {
                    // If the answer breaks off, the rest is asked of another upstream.
                    self.tried.push(id);
                    return Ok(arrived);
                }
                Ok(arrived) => {
                    let failure = Failure::Failed(arrived.head.status);
                    self.note(&chosen, &failure);
                    self.tried.push(id);
                    let now = self.front.clock.now();
                    let fleet = &self.front.fleet;
                    let other = fleet.choose(&self.service, &self.ask, &self.tried, now);
                    if other.is_none() || !self.may_send_again(&failure) {
                        return Ok(arrived);
                    }
                    self.may_have_run = true;
                    continue;
                }
                Err(failure) => failure,
            };
            self.note(&chosen, &failure);
            self.tried.push(id);
            if matches!(failure, Failure::Connect(_)) {
                connects += 1;
                if connects >= CONNECTS_MAX {
                    return Err(self.unavailable());
                }
                continue;
            }
            self.may_have_run |= !matches!(failure, Failure::NotRun(_));
            if !self.may_send_again(&failure) {
                return Err(self.give_up(&failure));
            }
        }
    }

    /// Returns true if the request may go to another upstream after this failure.
    fn may_send_again(&self, failure: &Failure) -> bool {
        let is_safe = matches!(failure, Failure::NotRun(_)) || self.route.kind.is_repeatable();
        is_safe && self.sent < self.route.attempts && self.take_retry()
    }

    /// Takes a retry from the allowance of the service.
    fn take_retry(&self) -> bool {
        let front = &self.front;
        let mut allowances = front.allowances.borrow_mut();
        let allowance = allowances.entry(Arc::clone(&self.service)).or_default();
        allowance.try_retry(&front.terms, front.roster.sharers(), front.clock.now())
    }

    /// Returns true if a stream that broke off may go on at another upstream.
    #[must_use]
    pub fn may_resume(&self) -> bool {
        self.route.kind.is_repeatable() && self.sent < self.route.attempts && self.take_retry()
    }

    fn count_request(&self, now: Duration) {
        let mut allowances = self.front.allowances.borrow_mut();
        let allowance = allowances.entry(Arc::clone(&self.service)).or_default();
        allowance.record_request(&self.front.terms, now);
    }

    /// Refuses a request that is known to crash upstreams.
    fn judge(&self) -> Result<(), Refusal> {
        let suspects = &self.front.suspects;
        if suspects.is_empty() {
            return Ok(());
        }
        match suspects.lookup(&self.fingerprint()) {
            Verdict::Guilty if self.may_have_run => Err(Refusal::unknown(502, "crashes_upstreams")),
            Verdict::Guilty => Err(Refusal::not_run(502, "crashes_upstreams")),
            Verdict::Clear | Verdict::Suspect => Ok(()),
        }
    }

    fn fingerprint(&self) -> poison::Fingerprint {
        let account = self.account.as_deref().unwrap_or_default();
        poison::fingerprint(account, &self.head.target, &self.body)
    }

    async fn attempt(
        &mut self,
        chosen: &Chosen,
        last_event: Option<u64>,
        left: Duration,
    ) -> Result<Arrived, Failure> {
        let front = Rc::clone(&self.front);
        let upstream = &chosen.upstream;
        let now = front.clock.now();
        let mut conn = if let Some(conn) = upstream.reuse(now) {
            conn
        } else {
            let patience = CONNECT_TIME.min(left);
            let opened = Conn::open(upstream.entry.address, patience, front.silence).await;
            let failed = if opened.is_err() { 1.0 } else { 0.0 };
            front.connects.borrow_mut().observe(failed, front.clock.now());
            opened.map_err(Failure::Connect)?
        };
        if upstream.leaving.get() {
            return Err(Failure::Connect(std::io::ErrorKind::NotConnected.into()));
        }
        if let Some(reserved) = &mut self.reserved {
            reserved.begin();
        }
        self.sent += 1;
        let sent_at = front.clock.now();
        let flight = Flight::open(Rc::clone(upstream), &self.ask, chosen.cached, sent_at);
        let message = self.message(upstream, last_event);
        let may_try_more = self.route.kind.is_repeatable() && self.sent < self.route.attempts;
        let wait = if may_try_more { self.left().mul_f64(TRY_SHARE) } else { self.left() };
        let result = timeout(wait, self.exchange(&mut conn, &message)).await;
        let (head, meaning, is_reusable) = match result {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                self.check_crash(upstream, &error);
                return Err(Failure::Broken(error));
            }
            Err(_) => return Err(Failure::Silent),
        };
        if (200..300).contains(&head.status) && !meaning.is_signed {
            return Err(Failure::Broken(h1::Error::Malformed("a success without a signature")));
        }
        let now = front.clock.now();
        if let Some((running, waiting, _)) = meaning.load {
            upstream.report(running, waiting, now);
        }
        let expected = chosen.expected;
        Ok(Arrived { conn, head, meaning, flight, is_reusable, sent_at, expected })
    }

    fn message(&self, upstream: &Upstream, last_event: Option<u64>) -> BytesMut {
        let mut message = BytesMut::with_capacity(1024 + self.body.len());
        let rank = self.account.as_ref().and_then(|id| self.table.accounts.get(id)?.rank);
        let order = Order {
            head: &self.head,
            body: self.body.len(),
            upstream: &upstream.entry.id,
            address: upstream.entry.address,
            account: self.account.as_deref(),
            left: self.left(),
            rank: Some(rank.unwrap_or(self.route.rank)),
            last_event,
        };
        self.front.dialect.order(&order, &mut message);
        message.extend_from_slice(&self.body);
        message
    }

    /// Exchanges the request for the head of its answer, passing over answers to earlier ones.
    async fn exchange(
        &self,
        conn: &mut Conn,
        message: &[u8],
    ) -> Result<(Response, Meaning, bool), h1::Error> {
        let (mut head, mut is_whole) = conn.exchange(message, HEAD_MAX).await?;
        if self.head.method == "HEAD" {
            // The length is that of the body that a GET would bring.
            head.framing = Framing::Length(0);
        }
        let mut is_first = true;
        for _ in 0..STALE_MAX {
            let meaning = self.front.dialect.meaning(&head, &self.ask);
            if meaning.is_own {
                let is_reusable = is_whole && is_first && head.keep_alive;
                return Ok((head, meaning, is_reusable));
            }
            if !is_whole {
                break;
            }
            conn.read_body(head.framing, STALE_BYTES, None).await?;
            is_first = false;
            (head, is_whole) = conn.exchange(&[], HEAD_MAX).await?;
        }
        Err(h1::Error::Malformed("the answer belongs to another request"))
    }

    /// Notes what a failure says about the upstream.
    fn note(&self, chosen: &Chosen, failure: &Failure) {
        let now = self.front.clock.now();
        let upstream = &chosen.upstream;
        match failure {
            Failure::Connect(_) => {
                if self.front.connects.borrow().value_at(now) < PATH_FAULT {
                    upstream.eject(now);
                }
            }
            // Another upstream has the address now.
            Failure::NotRun(MISDIRECTED) => upstream.eject(now),
            // A full upstream is not a faulty one, and its load is known now.
            Failure::NotRun(_) => {}
            Failure::Broken(_) | Failure::Silent | Failure::Failed(_) => upstream.fail(now),
        }
        info!(self.front.log, "attempt failed"; "request" => self.ask.request.as_ref(),
            "upstream" => upstream.entry.id.as_ref(), "failure" => %failure,
            "fleet" => self.front.fleet.version(), "among" => chosen.among,
            "expected_ms" => chosen.expected * 1e3, "sent" => self.sent,
            "after_ms" => millis(now.saturating_sub(self.started)));
    }

    /// Finds out whether a broken connection was a crash, and reports it.
    fn check_crash(&self, upstream: &Rc<Upstream>, error: &h1::Error) {
        if !matches!(error, h1::Error::UnexpectedEof | h1::Error::Io(_)) {
            return;
        }
        let front = Rc::clone(&self.front);
        let upstream = Rc::clone(upstream);
        let crash = Crash {
            fingerprint: self.fingerprint(),
            run_id: self.ask.request.to_string(),
            upstream: Arc::clone(&upstream.entry.id),
        };
        ntex::rt::spawn(async move {
            let address = upstream.entry.address;
            match Conn::open(address, CONNECT_TIME, front.silence).await {
                // An upstream that still accepts connections lost an answer and did not crash.
                Ok(conn) => upstream.keep(conn, None, front.clock.now()),
                Err(error) => {
                    upstream.eject(front.clock.now());
                    info!(front.log, "upstream crashed"; "request" => &crash.run_id,
                        "upstream" => crash.upstream.as_ref(), "error" => %error);
                    let verdict = front.suspects.report_crash(crash).await;
                    info!(front.log, "crash reported"; "verdict" => ?verdict);
                }
            }
        });
    }

    /// Reads the rest of an answer that is not relayed and keeps the connection.
    async fn recycle(&self, arrived: Arrived) {
        let Arrived { mut conn, head, meaning, is_reusable, flight, .. } = arrived;
        if is_reusable && conn.read_body(head.framing, STALE_BYTES, None).await.is_ok() {
            let now = self.front.clock.now();
            flight.upstream().keep(conn, meaning.keep_alive, now);
        }
    }

    fn late(&self) -> Refusal {
        if self.may_have_run || self.sent > 0 {
            Refusal::unknown(504, "deadline_exceeded")
        } else {
            Refusal::not_run(504, "deadline_exceeded")
        }
    }

    fn unavailable(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::unknown(502, "upstream_failed");
        }
        Refusal::not_run(503, "no_upstream").after(BUSY)
    }

    fn give_up(&self, failure: &Failure) -> Refusal {
        match failure {
            _ if self.may_have_run && self.left().is_zero() => self.late(),
            _ if self.may_have_run => Refusal::unknown(502, "upstream_failed"),
            _ => Refusal::not_run(503, "upstream_full").after(BUSY),
        }
    }
}

impl Arrived {
    /// Notes how long the upstream took.
    pub fn observe(&self, now: Duration) {
        let time = now.saturating_sub(self.sent_at).as_secs_f64();
        let pace = (time / self.expected.max(0.005)).clamp(*PACE.start(), *PACE.end());
        self.flight.upstream().observe(pace, now);
    }
}
