//! Admission of requests, and the state that all requests share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use base::prelude::*;
use bytes::{Buf, Bytes, BytesMut};
use futures::FutureExt;
use h1::{Body, Conn, Request, Traffic};
use ledger::escrow::{Escrow, Fault, Reservation};
use plan::routing::{Kind, Route, Table};
use route::origin::Origins;
use route::path::Path;
use route::poison::suspect::Suspects;
use route::retry::{Limiter, Limits};
use slog::{Logger, info};
use tokio::time::timeout;

use crate::connect::Tunnels;
use crate::dispatch::{self, Call};
use crate::gate::Gate;
use crate::link::Queue;
use crate::listener::close_evicted;
use crate::memory::{Holder, Registry};
use crate::metric::Metrics;
use crate::relay::{self, Delivery};
use crate::roster::Roster;
use crate::stop::Stop;
use crate::{Codec, Fleet, Params, Refusal};

/// Retry delay at an instance that has no configuration yet.
const STARTING_RETRY: Duration = Duration::from_millis(500);
/// Retry delay while other instances hold the tokens; they return idle ones in this time.
const ELSEWHERE_RETRY: Duration = Duration::from_millis(1_600);
/// Shortest retry delay in a store outage; an earlier retry would probably fail too.
const MIN_OUTAGE_RETRY: Duration = Duration::from_secs(2);
/// Refusal at a stopping instance; another one can serve at once.
pub(crate) const STOPPING: Refusal =
    Refusal::not_run(503, "stopping").retry_after(Duration::from_millis(100));
/// Shortest retry delay while the link of this instance is saturated.
const LINK_RETRY: Duration = Duration::from_millis(500);
/// Longest time for a write to a caller that does not read.
pub const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes of a request besides its head and body while it runs.
const REQUEST_OVERHEAD_BYTES: usize = 8 << 10;
/// Refusal of a request whose connection has to give way.
pub(crate) const OVERFULL: Refusal =
    Refusal::not_run(503, "overfull").retry_after(Duration::from_secs(1));
/// Size of a typical head of a request.
const TYPICAL_HEAD_BYTES: usize = 500;
/// Shortest interval between two log lines on the gate, which may change many times a second.
const GATE_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for a reservation of tokens.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for the next bytes of a request's body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// State that all requests on the instance's thread share.
#[derive(Debug)]
pub struct Front {
    /// Codec of the header fields of the deployment.
    pub codec: Box<dyn Codec>,
    /// Configuration in force; its version is 0 until one has been read.
    pub routing: RefCell<Rc<Table>>,
    /// Listed upstreams that run the requests.
    pub fleet: Fleet,
    /// This instance's shares of the budgets.
    pub escrow: Escrow,
    /// Requests and parts of prompts that are known or suspected to crash upstreams.
    pub suspects: Rc<dyn Suspects>,
    /// Software versions at which streams began.
    pub origins: Rc<dyn Origins>,
    /// All instances, and the addresses that callers receive.
    pub roster: Rc<Roster>,
    /// Model of the queue at this instance's link, for admission.
    pub link_queue: RefCell<Queue>,
    /// Acceptance of connects by what the link carries.
    pub gate: RefCell<Gate>,
    /// When a change of the gate was last logged.
    pub gate_logged_at: Cell<Option<Duration>>,
    /// Evidence on this instance's path to the upstreams, by service.
    pub paths: RefCell<HashMap<ServiceId, Path>>,
    /// Tunnels through other instances; `None` without links to them.
    pub tunnels: Option<Tunnels>,
    /// Limits on the retries of each service.
    pub retry_limits: Limits,
    /// Requests and retries that count against the limits, by service.
    pub retry_limiters: RefCell<HashMap<ServiceId, Limiter>>,
    /// Time after which sent bytes without acknowledgement fail a connection.
    pub unacked_timeout: Duration,
    /// Clock that gives the times of arrivals, deadlines and records.
    pub clock: Arc<dyn Clock>,
    /// Log of requests and of the state of the instance.
    pub log: Logger,
    /// Metrics of requests, rendered by an auxiliary interface.
    pub metrics: Metrics,
    /// Account of the bytes and descriptors that callers hold.
    pub memory: Rc<Registry>,
    /// Number of requests whose head has been read and whose answer has not ended.
    pub in_flight_requests: Cell<usize>,
    /// Planned stop of the instance.
    pub stop: Stop,
}

/// What happens to the caller's connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// The connection stays open for the next request.
    Keep,
    /// The connection is closed once the caller has received the answer.
    Close,
    /// The connection is closed at once: the caller disconnected or must notice an interruption.
    Abort,
}

/// Guard that counts a request in flight until the guard is dropped.
#[derive(Debug)]
struct InFlightRequest<'a>(&'a Front);

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        self.0.in_flight_requests.set(self.0.in_flight_requests.get() - 1);
    }
}

impl Front {
    fn track_request(&self) -> InFlightRequest<'_> {
        self.in_flight_requests.set(self.in_flight_requests.get() + 1);
        InFlightRequest(self)
    }

    /// Returns true if a connection may serve another request after this one.
    ///
    /// A stop closes all connections, an overload a random part of them.
    #[must_use]
    pub fn may_keep_connection(&self, head: &Request) -> bool {
        head.keep_alive
            && !self.stop.has_begun()
            && rand::random::<f64>() >= self.roster.close_ratio()
    }

    /// Returns true if connects of callers are accepted now.
    pub(crate) fn admits_connects(&self) -> bool {
        let now = self.clock.now();
        let total = Traffic::total();
        let was_closed = self.gate.borrow().is_closed();
        let is_open = self.gate.borrow_mut().admits(total, now);
        if !is_open && !was_closed {
            self.metrics.gate_closings.inc();
            let delay = self.gate.borrow_mut().delay(total, now);
            self.log_gate("connects refused", delay, Duration::ZERO);
        }
        is_open
    }

    /// Logs and counts that connects of callers are accepted again.
    pub(crate) fn record_reopened(&self, closed_at: Duration) {
        let now = self.clock.now();
        let closed_for = now.saturating_sub(closed_at);
        self.metrics.gate_closed_seconds.inc_by(closed_for.as_secs_f64());
        let delay = self.gate.borrow_mut().delay(Traffic::total(), now);
        self.log_gate("connects accepted again", delay, closed_for);
    }

    /// Logs a change of the gate, at most one in [`GATE_LOG_INTERVAL`].
    fn log_gate(&self, event: &'static str, delay: Duration, closed_for: Duration) {
        let now = self.clock.now();
        let logged_at = self.gate_logged_at.get();
        if logged_at.is_some_and(|at| now < at + GATE_LOG_INTERVAL) {
            return;
        }
        self.gate_logged_at.set(Some(now));
        info!(self.log, "{}", event; "link_delay_ms" => base::clock::millis(delay),
            "closed_ms" => base::clock::millis(closed_for),
            "in_flight" => self.in_flight_requests.get(),
            "closings" => self.metrics.gate_closings.get());
    }

    /// Serves one request whose head has been read.
    ///
    /// A request that can be decided from its head is answered before its body is read.
    pub async fn serve(
        self: &Rc<Self>,
        conn: &mut Conn,
        head: Request,
        holder: &Rc<Holder>,
    ) -> Disposition {
        let _in_flight = self.track_request();
        self.roster.count_request();
        let arrival = self.clock.now();
        let table = Rc::clone(&self.routing.borrow());
        let params = match self.codec.decode_request(&head) {
            Ok(params) => params,
            Err(reason) => {
                info!(self.log, "request malformed"; "reason" => reason);
                let refusal = Refusal::not_run(400, "malformed");
                let may_keep = skip_body(conn, &head);
                return self.refuse(conn, &head, None, &refusal, arrival, may_keep).await;
            }
        };
        if let Err(refusal) = self.check_head(&table, &head, &params, arrival) {
            let may_keep = refusal.retry_after.is_none() && skip_body(conn, &head);
            return self.refuse(conn, &head, Some(&params), &refusal, arrival, may_keep).await;
        }
        let read = tokio::select! {
            biased;
            resource = holder.wait_evicted() => Err(resource),
            body = self.read_body(conn, &head, &table) => Ok(body),
        };
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(Some(refusal))) => {
                self.refuse(conn, &head, Some(&params), &refusal, arrival, false).await;
                return Disposition::Close;
            }
            Ok(Err(None)) => return Disposition::Abort,
            Err(resource) => {
                self.refuse(conn, &head, Some(&params), &OVERFULL, arrival, false).await;
                return close_evicted(resource);
            }
        };
        self.gate.borrow_mut().record_request(body.len() + TYPICAL_HEAD_BYTES);
        holder.begin_run(body.len() + REQUEST_OVERHEAD_BYTES, conn.input.capacity());
        // A caller may have left while its connection waited for a full link.
        if self.is_congested() && conn.wait_closed().now_or_never().is_some() {
            self.log_caller_gone(&params, "before admission", arrival);
            return Disposition::Abort;
        }
        let admitted = tokio::select! {
            biased;
            admitted = self.admit(&table, &head, &params, body.len(), arrival) => admitted,
            () = conn.wait_closed() => {
                self.log_caller_gone(&params, "before dispatch", arrival);
                return Disposition::Abort;
            }
        };
        let (route, account, reserved) = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => {
                // With a retry delay the connection is closed, so that the retry may reach another
                // instance, which may still have tokens.
                let may_keep = refusal.status == 402 || refusal.retry_after.is_none();
                return self.refuse(conn, &head, Some(&params), &refusal, arrival, may_keep).await;
            }
        };
        let keep_open = self.may_keep_connection(&head);
        let holder = Rc::clone(holder);
        let call =
            Call::open(self, table, route, account, reserved, params, head, body, holder, arrival);
        let delivery = relay::deliver(call, conn, keep_open).await;
        match delivery {
            Delivery::Complete if keep_open => Disposition::Keep,
            Delivery::Complete => Disposition::Close,
            Delivery::Incomplete | Delivery::CallerGone => Disposition::Abort,
        }
    }

    /// Reads the whole body. The error `None` means that the caller has disconnected.
    async fn read_body(
        &self,
        conn: &mut Conn,
        head: &Request,
        table: &Table,
    ) -> Result<Bytes, Option<Refusal>> {
        let max_body_bytes = table.limits.max_body_bytes;
        if matches!(head.framing, h1::Framing::Length(length) if length > max_body_bytes as u64) {
            return Err(Some(Refusal::not_run(413, "body_too_large")));
        }
        if !Body::open(head.framing).is_done()
            && head.fields.contains_token("expect", "100-continue")
        {
            conn.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_gone| None)?;
        }
        let body = conn.read_body(head.framing, max_body_bytes, Some(BODY_IDLE_TIMEOUT)).await;
        body.map_err(|error| match error {
            h1::Error::BodyTooLarge(_) => Some(Refusal::not_run(413, "body_too_large")),
            h1::Error::IdleTimeout => Some(Refusal::not_run(408, "body_timeout")),
            h1::Error::Malformed(_) | h1::Error::HeadTooLarge(_) => {
                Some(Refusal::not_run(400, "malformed_body"))
            }
            h1::Error::UnexpectedEof | h1::Error::Unsolicited | h1::Error::Io(_) => None,
        })
    }

    /// Checks what is known before the body; returns the route and the client account.
    fn check_head(
        &self,
        table: &Table,
        head: &Request,
        params: &Params,
        arrival: Duration,
    ) -> Result<(Arc<Route>, Option<AccountId>), Refusal> {
        if table.version == 0 {
            return Err(Refusal::not_run(503, "not_configured").retry_after(STARTING_RETRY));
        }
        let now = self.clock.now();
        if !self.stop.admits(now, None) {
            return Err(STOPPING);
        }
        let host = head.fields.get("host").unwrap_or_default();
        let route = table.find_route(host, head.path()).ok_or(Refusal::not_run(404, "no_route"))?;
        let deadline = arrival + params.time_limit(route);
        if route.kind == Kind::NonIdempotent && !self.stop.admits(now, Some(deadline)) {
            return Err(STOPPING);
        }
        let key_account = params.api_key.as_ref().and_then(|key| table.accounts_by_key.get(key));
        let needs_key = !table.accounts.is_empty() && !route.allows_anonymous;
        if needs_key && key_account.is_none() {
            return Err(Refusal::not_run(401, "unknown_key"));
        }
        Ok((Arc::clone(route), key_account.map(Arc::clone)))
    }

    async fn admit(
        &self,
        table: &Table,
        head: &Request,
        params: &Params,
        body_len: usize,
        arrival: Duration,
    ) -> Result<(Arc<Route>, Option<AccountId>, Option<Reservation>), Refusal> {
        let (route, account) = self.check_head(table, head, params, arrival)?;
        let mut targets = route.targets.iter().filter(|target| target.weight > 0).peekable();
        if targets.peek().is_some()
            && targets.all(|target| self.fleet.is_service_evacuated(&target.service))
        {
            return Err(dispatch::evacuated_refusal());
        }
        let delay = self.gate.borrow_mut().delay(Traffic::total(), arrival);
        self.link_queue.borrow_mut().correct(delay, arrival);
        self.link_queue
            .borrow_mut()
            .admit(&route, body_len, arrival)
            .map_err(|wait| Refusal::not_run(503, "link_busy").retry_after(wait.max(LINK_RETRY)))?;
        let reserved = match &account {
            Some(account) if params.bound() > 0 => {
                let rank = table.accounts.get(account).and_then(|account| account.priority);
                let rank = rank.unwrap_or(route.priority);
                Some(self.reserve(account, params, rank, arrival).await?)
            }
            _ => None,
        };
        Ok((route, account, reserved))
    }

    async fn reserve(
        &self,
        account: &AccountId,
        params: &Params,
        rank: u8,
        arrival: Duration,
    ) -> Result<Reservation, Refusal> {
        let bound = params.bound();
        self.escrow.reserve(account, bound, rank, RESERVE_TIMEOUT).await.map_err(|fault| {
            let waited = self.clock.now().saturating_sub(arrival);
            let (free, usable) = self.escrow.balance(account);
            info!(self.log, "tokens not reserved"; "request" => params.request_id.as_ref(),
                "account" => account.as_ref(), "bound" => bound, "fault" => %fault,
                "free" => free, "usable" => usable,
                "waited_ms" => base::clock::millis(waited));
            match fault {
                Fault::Exhausted => Refusal::not_run(402, "budget_exhausted"),
                Fault::HeldElsewhere => {
                    Refusal::not_run(429, "budget_elsewhere").retry_after(ELSEWHERE_RETRY)
                }
                Fault::Unreachable(wait) => {
                    let retry_after = wait.unwrap_or_default().max(MIN_OUTAGE_RETRY);
                    Refusal::not_run(503, "budget_unreachable").retry_after(retry_after)
                }
            }
        })
    }

    fn log_caller_gone(&self, params: &Params, stage: &'static str, arrival: Duration) {
        let elapsed = self.clock.now().saturating_sub(arrival);
        info!(self.log, "caller disconnected"; "request" => params.request_id.as_ref(),
            "at" => stage, "after_ms" => base::clock::millis(elapsed));
        self.metrics.count_request("", "caller_gone");
    }

    /// Writes a refusal, and logs and counts it.
    ///
    /// `params` are `None` if the head could not be decoded.
    pub async fn refuse(
        &self,
        conn: &mut Conn,
        head: &Request,
        params: Option<&Params>,
        refusal: &Refusal,
        arrival: Duration,
        may_keep: bool,
    ) -> Disposition {
        let keep_open = may_keep && self.may_keep_connection(head);
        let mut out = BytesMut::new();
        let request =
            params.map(|params| (self.codec.request_id_field(), params.request_id.as_ref()));
        refusal.write(request, keep_open, &mut out);
        let elapsed = self.clock.now().saturating_sub(arrival);
        info!(self.log, "request refused";
            "request" => params.map_or("", |params| &params.request_id), "target" => &head.target,
            "status" => refusal.status, "code" => refusal.code,
            "outcome" => %refusal.outcome, "config" => self.routing.borrow().version,
            "after_ms" => base::clock::millis(elapsed));
        self.metrics.count_request("", refusal.code);
        match timeout(CALLER_WRITE_TIMEOUT, conn.write_all(&out)).await {
            Ok(Ok(())) if keep_open => Disposition::Keep,
            Ok(Ok(())) => Disposition::Close,
            Ok(Err(_)) | Err(_) => Disposition::Abort,
        }
    }
}

/// Skips a body that has already arrived; false if the connection must be closed instead.
fn skip_body(conn: &mut Conn, head: &Request) -> bool {
    let h1::Framing::Length(length) = head.framing else { return false };
    let arrived = usize::try_from(length).ok().filter(|length| *length <= conn.input.len());
    arrived.inspect(|length| conn.input.advance(*length)).is_some()
}
