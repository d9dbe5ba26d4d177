//! One request from its head to its answer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use base::prelude::*;
use bytes::{Bytes, BytesMut};
use h1::{Body, Conn, Request};
use ledger::escrow::{Fault, Keeper, Reserved};
use plan::routing::{Route, Table};
use route::placement::Average;
use route::poison::Suspects;
use route::retry::{Limiter, Limits};
use slog::{Logger, info};

use crate::dispatch::Job;
use crate::metric::Metrics;
use crate::pressure::Pressure;
use crate::relay::{self, Delivery};
use crate::roster::Roster;
use crate::{Ask, Dialect, Fleet, Refusal};

/// Pause suggested to callers at an instance that has no configuration yet.
const STARTING: Duration = Duration::from_millis(500);
/// Pause suggested while other instances hold the tokens; they give idle ones back in this time.
const ELSEWHERE: Duration = Duration::from_millis(1_600);
/// Least pause suggested while the store is out; those who come back sooner meet the same state.
const OUTAGE: Duration = Duration::from_secs(2);
/// Pause suggested by an instance that is about to stop; another one can serve at once.
const STOPPING: Duration = Duration::from_millis(100);
/// Least pause suggested while the link of this instance is full.
const LINK_BUSY: Duration = Duration::from_millis(500);
/// Longest wait for tokens from the store.
const RESERVE_TIME: Duration = Duration::from_millis(400);
/// Longest silence within a request's body.
const BODY_SILENCE: Duration = Duration::from_secs(5);

/// What the path of a request shares on one thread.
#[derive(Debug)]
pub struct Front {
    /// Header fields of the deployment.
    pub dialect: Box<dyn Dialect>,
    /// Routing in force.
    pub table: RefCell<Rc<Table>>,
    /// Upstreams.
    pub fleet: Fleet,
    /// Shares of the budgets.
    pub keeper: Keeper,
    /// Requests that crash upstreams.
    pub suspects: Rc<dyn Suspects>,
    /// Other instances.
    pub roster: Rc<Roster>,
    /// Load of the own link.
    pub pressure: RefCell<Pressure>,
    /// Share of recent connections to upstreams that failed.
    pub connects: RefCell<Average>,
    /// Limits on retries.
    pub terms: Limits,
    /// Retries by service.
    pub allowances: RefCell<HashMap<ServiceId, Limiter>>,
    /// Time after which sent bytes without acknowledgement end a connection.
    pub silence: Duration,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Log.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// Requests in flight.
    pub active: Cell<usize>,
    /// Time since which the instance is stopping.
    pub stopping: Cell<Option<Duration>>,
    /// Whether new requests are refused because the stop is near.
    pub closed: Cell<bool>,
}

/// What becomes of the caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The next request may come.
    Keep,
    /// The connection is closed in order.
    Close,
    /// The connection is closed at once: the caller is gone or must see a broken answer.
    Abort,
}

/// A request that is counted until it ends.
#[derive(Debug)]
struct Active<'a>(&'a Front);

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

impl Front {
    fn enter(&self) -> Active<'_> {
        self.active.set(self.active.get() + 1);
        Active(self)
    }

    /// Returns true if a connection may take another request after this one.
    #[must_use]
    pub fn keeps(&self, head: &Request) -> bool {
        head.keep_alive
            && self.stopping.get().is_none()
            && rand::random::<f64>() >= self.roster.excess()
    }

    /// Serves one request whose head has been read.
    pub async fn serve(self: &Rc<Self>, conn: &mut Conn, head: Request) -> Next {
        let _active = self.enter();
        self.roster.count();
        let started = self.clock.now();
        let table = Rc::clone(&self.table.borrow());
        let body = match self.body(conn, &head, &table).await {
            Ok(body) => body,
            Err(Some(refusal)) => {
                self.refuse(conn, &head, None, &refusal, started, false).await;
                return Next::Close;
            }
            Err(None) => return Next::Abort,
        };
        let ask = match self.dialect.ask(&head) {
            Ok(ask) => ask,
            Err(reason) => {
                info!(self.log, "request malformed"; "reason" => reason);
                let refusal = Refusal::not_run(400, "malformed");
                return self.refuse(conn, &head, None, &refusal, started, true).await;
            }
        };
        let admitted = tokio::select! {
            biased;
            admitted = self.admit(&table, &head, &ask, body.len(), started) => admitted,
            () = conn.wait_closed() => {
                self.log_gone(&ask, "before dispatch", started);
                return Next::Abort;
            }
        };
        let (route, account, reserved) = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => {
                // Another instance may still have tokens, so the caller should come back there.
                let may_keep = refusal.status == 402 || refusal.retry_after.is_none();
                return self.refuse(conn, &head, Some(&ask), &refusal, started, may_keep).await;
            }
        };
        let keep = self.keeps(&head);
        let job = Job::open(self, table, route, account, reserved, ask, head, body, started);
        let delivery = relay::deliver(job, conn, keep).await;
        match delivery {
            Delivery::Done if keep => Next::Keep,
            Delivery::Done => Next::Close,
            Delivery::Broken | Delivery::Gone => Next::Abort,
        }
    }

    /// Reads the whole body; `None` as an error means that the caller is gone.
    async fn body(
        &self,
        conn: &mut Conn,
        head: &Request,
        table: &Table,
    ) -> Result<Bytes, Option<Refusal>> {
        let most = table.limits.body;
        if matches!(head.framing, h1::Framing::Length(length) if length > most as u64) {
            return Err(Some(Refusal::not_run(413, "body_too_large")));
        }
        if !Body::open(head.framing).is_done()
            && head.fields.contains_token("expect", "100-continue")
        {
            conn.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_gone| None)?;
        }
        let body = conn.read_body(head.framing, most, Some(BODY_SILENCE)).await;
        body.map_err(|error| match error {
            h1::Error::BodyTooLarge(_) => Some(Refusal::not_run(413, "body_too_large")),
            h1::Error::IdleTimeout => Some(Refusal::not_run(408, "body_timeout")),
            h1::Error::Malformed(_) | h1::Error::HeadTooLarge(_) => {
                Some(Refusal::not_run(400, "malformed_body"))
            }
            h1::Error::UnexpectedEof | h1::Error::Io(_) => None,
        })
    }

    async fn admit(
        &self,
        table: &Table,
        head: &Request,
        ask: &Ask,
        body: usize,
        started: Duration,
    ) -> Result<(Arc<Route>, Option<AccountId>, Option<Reserved>), Refusal> {
        if table.version == 0 {
            return Err(Refusal::not_run(503, "not_configured").after(STARTING));
        }
        if self.closed.get() {
            return Err(Refusal::not_run(503, "stopping").after(STOPPING));
        }
        let host = head.fields.get("host").unwrap_or_default();
        let route = table.find(host, head.path()).ok_or(Refusal::not_run(404, "no_route"))?;
        let known = ask.key.as_ref().and_then(|key| table.keys.get(key));
        let needs_key = !table.accounts.is_empty() && !route.is_anonymous;
        if needs_key && known.is_none() {
            return Err(Refusal::not_run(401, "unknown_key"));
        }
        let account = known.map(Arc::clone);
        self.pressure
            .borrow_mut()
            .admit(route, body, started)
            .map_err(|wait| Refusal::not_run(503, "link_busy").after(wait.max(LINK_BUSY)))?;
        let reserved = match &account {
            Some(account) if ask.bound() > 0 => Some(self.reserve(account, ask, started).await?),
            _ => None,
        };
        Ok((Arc::clone(route), account, reserved))
    }

    async fn reserve(
        &self,
        account: &AccountId,
        ask: &Ask,
        started: Duration,
    ) -> Result<Reserved, Refusal> {
        let bound = ask.bound();
        self.keeper.reserve(account, bound, RESERVE_TIME).await.map_err(|fault| {
            let waited = self.clock.now().saturating_sub(started);
            let (free, usable) = self.keeper.free(account);
            info!(self.log, "budget short"; "request" => ask.request.as_ref(),
                "account" => account.as_ref(), "bound" => bound, "fault" => %fault,
                "free" => free, "usable" => usable,
                "waited_ms" => base::clock::millis(waited));
            match fault {
                Fault::Exhausted => Refusal::not_run(402, "budget_exhausted"),
                Fault::Elsewhere => Refusal::not_run(429, "budget_elsewhere").after(ELSEWHERE),
                Fault::Unreachable(wait) => {
                    let after = wait.unwrap_or_default().max(OUTAGE);
                    Refusal::not_run(503, "budget_unreachable").after(after)
                }
            }
        })
    }

    fn log_gone(&self, ask: &Ask, at: &'static str, started: Duration) {
        let after = self.clock.now().saturating_sub(started);
        info!(self.log, "caller gone"; "request" => ask.request.as_ref(), "at" => at,
            "after_ms" => base::clock::millis(after));
        self.metrics.count("", "caller_gone");
    }

    /// Writes a refusal.
    pub async fn refuse(
        &self,
        conn: &mut Conn,
        head: &Request,
        ask: Option<&Ask>,
        refusal: &Refusal,
        started: Duration,
        may_keep: bool,
    ) -> Next {
        let keep = may_keep && self.keeps(head);
        let mut out = BytesMut::new();
        let request = ask.map(|ask| (self.dialect.request_field(), ask.request.as_ref()));
        refusal.write(request, keep, &mut out);
        let after = self.clock.now().saturating_sub(started);
        info!(self.log, "request refused"; "request" => ask.map_or("", |ask| &ask.request),
            "target" => &head.target, "status" => refusal.status, "code" => refusal.code,
            "outcome" => %refusal.outcome, "config" => self.table.borrow().version,
            "after_ms" => base::clock::millis(after));
        self.metrics.count("", refusal.code);
        match conn.write_all(&out).await {
            Ok(()) if keep => Next::Keep,
            Ok(()) => Next::Close,
            Err(_) => Next::Abort,
        }
    }
}
