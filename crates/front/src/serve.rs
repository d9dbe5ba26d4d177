//! One request from its head to its answer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use base::prelude::*;
use bytes::{Bytes, BytesMut};
use h1::{Body, Conn, Request};
use ledger::escrow::{Escrow, Fault, Reservation};
use plan::routing::{Route, Table};
use route::allowance::{Allowance, Terms};
use route::place::Trend;
use route::poison::Suspects;
use slog::{Logger, info};

use crate::dispatch::Call;
use crate::link::Queue;
use crate::metric::Metrics;
use crate::relay::{self, Delivery};
use crate::roster::Roster;
use crate::{Codec, Fleet, Params, Refusal};

/// Pause suggested to callers at an instance that has no configuration yet.
const STARTING_RETRY: Duration = Duration::from_millis(500);
/// Pause suggested while other instances hold the tokens; they give idle ones back in this time.
const ELSEWHERE_RETRY: Duration = Duration::from_millis(1_600);
/// Least pause suggested while the store is out; those who come back sooner meet the same state.
const OUTAGE_RETRY_MIN: Duration = Duration::from_secs(2);
/// Pause suggested by an instance that is about to stop; another one can serve at once.
const STOPPING_RETRY: Duration = Duration::from_millis(100);
/// Least pause suggested while the link of this instance is full.
const LINK_RETRY: Duration = Duration::from_millis(500);
/// Longest wait for tokens from the store.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest silence within a request's body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// What the path of a request shares on one thread.
#[derive(Debug)]
pub struct Front {
    /// Header fields of the deployment.
    pub codec: Box<dyn Codec>,
    /// Routing in force.
    pub routing: RefCell<Rc<Table>>,
    /// Upstreams.
    pub fleet: Fleet,
    /// Shares of the budgets.
    pub keeper: Escrow,
    /// Requests that crash upstreams.
    pub suspects: Rc<dyn Suspects>,
    /// Other instances.
    pub roster: Rc<Roster>,
    /// Load of the own link.
    pub link_queue: RefCell<Queue>,
    /// Share of recent connections to upstreams that failed.
    pub connect_failure_ratio: RefCell<Trend>,
    /// Limits on retries.
    pub retry_terms: Terms,
    /// Retries by service.
    pub retry_allowances: RefCell<HashMap<ServiceId, Allowance>>,
    /// Time after which sent bytes without acknowledgement end a connection.
    pub unacked_timeout: Duration,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Log.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// Requests in flight.
    pub active_requests: Cell<usize>,
    /// Time since which the instance is stopping.
    pub stopping_since: Cell<Option<Duration>>,
    /// Whether new requests are refused because the stop is near.
    pub is_draining: Cell<bool>,
}

/// What becomes of the caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// The next request may come.
    Keep,
    /// The connection is closed in order.
    Close,
    /// The connection is closed at once: the caller is gone or must see a broken answer.
    Abort,
}

/// A request that is counted until it ends.
#[derive(Debug)]
struct ActiveRequest<'a>(&'a Front);

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
    }
}

impl Front {
    fn track_request(&self) -> ActiveRequest<'_> {
        self.active_requests.set(self.active_requests.get() + 1);
        ActiveRequest(self)
    }

    /// Returns true if a connection may take another request after this one.
    #[must_use]
    pub fn may_keep_connection(&self, head: &Request) -> bool {
        head.keep_alive
            && self.stopping_since.get().is_none()
            && rand::random::<f64>() >= self.roster.close_ratio()
    }

    /// Serves one request whose head has been read.
    pub async fn serve(self: &Rc<Self>, conn: &mut Conn, head: Request) -> Disposition {
        let _active = self.track_request();
        self.roster.count_request();
        let arrival = self.clock.now();
        let table = Rc::clone(&self.routing.borrow());
        let body = match self.read_body(conn, &head, &table).await {
            Ok(body) => body,
            Err(Some(refusal)) => {
                self.refuse(conn, &head, None, &refusal, arrival, false).await;
                return Disposition::Close;
            }
            Err(None) => return Disposition::Abort,
        };
        let params = match self.codec.decode_request(&head) {
            Ok(params) => params,
            Err(reason) => {
                info!(self.log, "request malformed"; "reason" => reason);
                let refusal = Refusal::not_run(400, "malformed");
                return self.refuse(conn, &head, None, &refusal, arrival, true).await;
            }
        };
        let admitted = tokio::select! {
            biased;
            admitted = self.admit(&table, &head, &params, body.len(), arrival) => admitted,
            () = conn.closed() => {
                self.log_caller_gone(&params, "before dispatch", arrival);
                return Disposition::Abort;
            }
        };
        let (route, account, reserved) = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => {
                // Another instance may still have tokens, so the caller should come back there.
                let may_keep = refusal.status == 402 || refusal.retry_after.is_none();
                return self.refuse(conn, &head, Some(&params), &refusal, arrival, may_keep).await;
            }
        };
        let keep_open = self.may_keep_connection(&head);
        let call = Call::open(self, table, route, account, reserved, params, head, body, arrival);
        let delivery = relay::deliver(call, conn, keep_open).await;
        match delivery {
            Delivery::Complete if keep_open => Disposition::Keep,
            Delivery::Complete => Disposition::Close,
            Delivery::Incomplete | Delivery::CallerGone => Disposition::Abort,
        }
    }

    /// Reads the whole body; `None` as an error means that the caller is gone.
    async fn read_body(
        &self,
        conn: &mut Conn,
        head: &Request,
        table: &Table,
    ) -> Result<Bytes, Option<Refusal>> {
        let body_bytes_max = table.limits.max_body_bytes;
        if matches!(head.framing, h1::Framing::Length(length) if length > body_bytes_max as u64) {
            return Err(Some(Refusal::not_run(413, "body_too_large")));
        }
        if !Body::open(head.framing).is_done() && head.fields.lists("expect", "100-continue") {
            conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_gone| None)?;
        }
        let body = conn.body(head.framing, body_bytes_max, Some(BODY_IDLE_TIMEOUT)).await;
        body.map_err(|error| match error {
            h1::Error::BodyTooLarge(_) => Some(Refusal::not_run(413, "body_too_large")),
            h1::Error::Silent => Some(Refusal::not_run(408, "body_timeout")),
            h1::Error::Malformed(_) | h1::Error::HeadTooLarge(_) => {
                Some(Refusal::not_run(400, "malformed_body"))
            }
            h1::Error::Ended | h1::Error::Io(_) => None,
        })
    }

    async fn admit(
        &self,
        table: &Table,
        head: &Request,
        params: &Params,
        body_len: usize,
        arrival: Duration,
    ) -> Result<(Arc<Route>, Option<AccountId>, Option<Reservation>), Refusal> {
        if table.version == 0 {
            return Err(Refusal::not_run(503, "not_configured").retry_after(STARTING_RETRY));
        }
        if self.is_draining.get() {
            return Err(Refusal::not_run(503, "stopping").retry_after(STOPPING_RETRY));
        }
        let host = head.fields.get("host").unwrap_or_default();
        let route = table.find_route(host, head.path()).ok_or(Refusal::not_run(404, "no_route"))?;
        let key_account = params.api_key.as_ref().and_then(|key| table.accounts_by_key.get(key));
        let needs_key = !table.accounts.is_empty() && !route.allows_anonymous;
        if needs_key && key_account.is_none() {
            return Err(Refusal::not_run(401, "unknown_key"));
        }
        let account = key_account.map(Arc::clone);
        self.link_queue
            .borrow_mut()
            .admit(route, body_len, arrival)
            .map_err(|wait| Refusal::not_run(503, "link_busy").retry_after(wait.max(LINK_RETRY)))?;
        let reserved = match &account {
            Some(account) if params.bound() > 0 => {
                Some(self.reserve(account, params, arrival).await?)
            }
            _ => None,
        };
        Ok((Arc::clone(route), account, reserved))
    }

    async fn reserve(
        &self,
        account: &AccountId,
        params: &Params,
        arrival: Duration,
    ) -> Result<Reservation, Refusal> {
        let bound = params.bound();
        self.keeper.reserve(account, bound, RESERVE_TIMEOUT).await.map_err(|fault| {
            let waited = self.clock.now().saturating_sub(arrival);
            let (free, usable) = self.keeper.balance(account);
            info!(self.log, "budget short"; "request" => params.request_id.as_ref(),
                "account" => account.as_ref(), "bound" => bound, "fault" => %fault,
                "free" => free, "usable" => usable,
                "waited_ms" => base::clock::millis(waited));
            match fault {
                Fault::Exhausted => Refusal::not_run(402, "budget_exhausted"),
                Fault::HeldElsewhere => {
                    Refusal::not_run(429, "budget_elsewhere").retry_after(ELSEWHERE_RETRY)
                }
                Fault::Unreachable(wait) => {
                    let retry_after = wait.unwrap_or_default().max(OUTAGE_RETRY_MIN);
                    Refusal::not_run(503, "budget_unreachable").retry_after(retry_after)
                }
            }
        })
    }

    fn log_caller_gone(&self, params: &Params, stage: &'static str, arrival: Duration) {
        let elapsed = self.clock.now().saturating_sub(arrival);
        info!(self.log, "caller gone"; "request" => params.request_id.as_ref(), "at" => stage,
            "after_ms" => base::clock::millis(elapsed));
        self.metrics.count_request("", "caller_gone");
    }

    /// Writes a refusal.
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
        match conn.write(&out).await {
            Ok(()) if keep_open => Disposition::Keep,
            Ok(()) => Disposition::Close,
            Err(_) => Disposition::Abort,
        }
    }
}
