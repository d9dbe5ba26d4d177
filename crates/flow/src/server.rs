//! HTTP routes for callers, and the worker that serves each request.

use std::rc::Rc;

use base::prelude::*;
use ledger::Book;
use member::View;
use ntex::http::{ConnectionType, StatusCode};
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use plan::{ActiveDoc, Keyring};
use route::Fleet;
use route::poison::Suspects;
use slog::{Logger, info, o};
use watch::Metrics;

use crate::account::Accounts;
use crate::answer;
use crate::claim::Claim;
use crate::dispatch::dispatch;
use crate::held::Held;
use crate::identify::Identify;
use crate::in_flight::Counter;
use crate::limit::Limit;
use crate::queue::{Pools, Queue};
use crate::refusal::BUSY_RETRY_AFTER;
use crate::relay::relay;
use crate::request::{self, Limits};
use crate::reserve::Reserve;
use crate::resolve::Resolve;
use crate::retry::Budget;
use crate::stop::Stop;
use crate::{Chain, Exchange, Refusal};

/// State that all worker threads of an instance share.
#[derive(Debug)]
pub struct Shared {
    /// Current configuration; version 0 until the first one has been read.
    pub config: Arc<ActiveDoc>,
    /// API keys of callers, looked up by their digest.
    pub keys: Keyring,
    /// Records of requests that were in flight when an upstream crashed.
    pub crash_records: Arc<dyn Suspects>,
    /// Upstreams of the current configuration, with their health and load.
    pub upstreams: Arc<Fleet>,
    /// Pieces of the budgets that this instance holds.
    pub ledger: Book,
    /// Claims of idempotency keys.
    pub claims: idem::Claims,
    /// Listed instances, updated from the platform's list and from heartbeats.
    pub membership: Arc<View>,
    /// Limits and retry budgets of the client accounts seen by this instance.
    pub accounts: Arc<Accounts>,
    /// Fair queues for upstream slots, one for each model or service.
    pub slot_pools: Arc<Pools>,
    /// Longest wait of a request for an upstream slot.
    pub max_queue_time: Duration,
    /// Retry budget of the whole instance, besides those of the accounts.
    pub retry_budget: Budget,
    /// Counters and histograms that `/metrics` exposes.
    pub metrics: Arc<Metrics>,
    /// Limits on the size and duration of a request, from the settings.
    pub limits: Limits,
    /// Counts the requests in flight; a planned stop waits until none is left.
    pub in_flight: Counter,
    /// Planned stop of the instance.
    pub stop: Stop,
    /// Account of the bytes that unfinished answers hold.
    pub held: Held,
    /// Longest wait for the head of an upstream's answer in one attempt.
    pub upstream_timeout: Duration,
    /// Clock for deadlines, latencies and rate limits.
    pub clock: Arc<dyn Clock>,
    /// Logger that adds the name of the instance to each line.
    pub log: Logger,
}

/// Serves requests on one worker thread.
#[derive(Debug)]
pub struct Worker {
    /// State shared with the other workers.
    pub shared: Arc<Shared>,
    chain: Chain,
}

impl Worker {
    /// Builds the filter chain of the current thread.
    #[must_use]
    pub fn open(shared: Arc<Shared>) -> Rc<Self> {
        let chain = Chain::default()
            .then(Identify::open(shared.keys.clone()))
            .then(Resolve)
            .then(Limit::open(Arc::clone(&shared.accounts), Arc::clone(&shared.clock)))
            .then(Queue::open(&shared))
            .then(Claim::open(shared.claims.clone()))
            .then(Reserve::open(shared.ledger.clone()));
        Rc::new(Self { shared, chain })
    }

    /// Withdraws one retry from the retry budgets of account and instance; false if denied.
    #[must_use]
    pub fn withdraw_retry(&self, exchange: &Exchange) -> bool {
        let account = self.shared.accounts.get_or_create(&exchange.caller().account);
        account.retry_budget.withdraw() && self.shared.retry_budget.withdraw()
    }

    async fn serve(&self, started_at: Duration, mut exchange: Exchange) -> HttpResponse {
        let result = self.run(started_at, &mut exchange).await;
        result.unwrap_or_else(|refusal| {
            let account = exchange.caller.as_ref().map(|caller| caller.account.to_string());
            self.refuse(&refusal, &exchange.request_id, account.unwrap_or_default())
        })
    }

    async fn run(
        &self,
        started_at: Duration,
        exchange: &mut Exchange,
    ) -> Result<HttpResponse, Refusal> {
        self.chain.apply(exchange).await?;
        if let Some(stored) = &exchange.replay {
            return Ok(answer::replay(stored, &exchange.request_id));
        }
        self.shared.accounts.get_or_create(&exchange.caller().account).retry_budget.deposit();
        self.shared.retry_budget.deposit();
        let dispatched = dispatch(self, exchange).await?;
        relay(&self.shared, exchange, dispatched, started_at).await
    }

    fn refuse(&self, refusal: &Refusal, request_id: &str, account: String) -> HttpResponse {
        info!(self.shared.log, "refused"; o!("request" => request_id.to_owned(),
            "account" => account.clone(), "code" => refusal.code,
            "outcome" => refusal.outcome.as_str()));
        let labels = watch::metric::RefusalLabels { account, code: refusal.code.to_owned() };
        self.shared.metrics.refused.get_or_create(&labels).inc();
        answer::refusal(refusal, request_id)
    }
}

fn new_request_id() -> RequestId {
    uuid::Uuid::now_v7().simple().to_string().into()
}

/// Registers the routes for callers.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/v1/addresses", web::get().to(addresses))
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/services/{path}*", web::route().to(service));
}

/// Parses a request into an exchange.
type BuildExchange =
    fn(RequestId, &HttpRequest, ntex::util::Bytes, Arc<plan::Doc>) -> Result<Exchange, Refusal>;

async fn chat(http: HttpRequest, payload: Payload, worker: State<Rc<Worker>>) -> HttpResponse {
    handle(&http, payload, &worker, request::parse_chat).await
}

async fn service(http: HttpRequest, payload: Payload, worker: State<Rc<Worker>>) -> HttpResponse {
    handle(&http, payload, &worker, request::parse_service).await
}

async fn handle(
    http: &HttpRequest,
    mut payload: Payload,
    worker: &Rc<Worker>,
    build: BuildExchange,
) -> HttpResponse {
    let started_at = worker.shared.clock.now();
    let in_flight = worker.shared.in_flight.enter();
    let request_id = new_request_id();
    let limits = worker.shared.limits;
    let body = match request::check_head(http, limits) {
        Ok(()) if !worker.shared.stop.admits() => Err(stopping()),
        Ok(()) => request::read_body(&mut payload, limits).await,
        Err(refusal) => Err(refusal),
    };
    let exchange = match body {
        // The stop may have come on while the body arrived.
        Ok(_) if !worker.shared.stop.admits() => Err(stopping()),
        Ok(body) => {
            let config = Arc::clone(&worker.shared.config.load());
            build(Arc::clone(&request_id), http, body, config).map(|mut exchange| {
                let request_timeout = worker.shared.limits.request_timeout;
                exchange.deadline = started_at + exchange.deadline.min(request_timeout);
                exchange
            })
        }
        Err(refusal) => Err(refusal),
    };
    let mut answer = match exchange {
        Ok(exchange) if outlives_caller(&exchange) => {
            let worker = Rc::clone(worker);
            let serve = async move {
                let _in_flight = in_flight;
                worker.serve(started_at, exchange).await
            };
            ntex::rt::spawn(serve).await.unwrap_or_else(|_cancelled| instance_stopped(&request_id))
        }
        Ok(exchange) => worker.serve(started_at, exchange).await,
        Err(refusal) => worker.refuse(&refusal, &request_id, String::new()),
    };
    if worker.shared.membership.is_leaving() {
        // A request on a kept connection would be lost when the stopping instance closes it.
        answer.head_mut().set_connection_type(ConnectionType::Close);
    }
    answer
}

/// Returns true for requests that continue after their caller disconnects.
///
/// The caller can fetch the answer later by sending the same idempotency key again.
fn outlives_caller(exchange: &Exchange) -> bool {
    exchange.idempotency_key.is_some() && !exchange.is_streamed()
}

fn stopping() -> Refusal {
    let message = "the instance stops; another one can run the request";
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "instance_stopping", message)
        .with_retry_after(BUSY_RETRY_AFTER)
}

fn instance_stopped(request_id: &str) -> HttpResponse {
    let refusal = Refusal::unknown("instance_stopped", "the instance stopped during the run");
    answer::refusal(&refusal, request_id)
}

async fn addresses(http: HttpRequest, worker: State<Rc<Worker>>) -> HttpResponse {
    let config = worker.shared.config.load_full();
    let key = match request::bearer_key(http.headers()) {
        // If the key lookup fails, the caller still gets addresses, but not its account's subset.
        Some(bearer) => worker.shared.keys.find(&plan::hash::digest(&bearer)).await.ok().flatten(),
        None => None,
    };
    let account = key.map(|key| key.account);
    let share =
        account.as_ref().and_then(|id| config.accounts.get(id)).map(|row| row.share_percent);
    let answer = worker.shared.membership.answer(account.as_deref(), share.unwrap_or_default());
    HttpResponse::Ok().json(&answer)
}

/// Returns the 404 answer for paths without a route.
#[must_use]
pub fn not_found() -> HttpResponse {
    let refusal = Refusal::not_run(StatusCode::NOT_FOUND, "not_found", "there is no such path");
    answer::refusal(&refusal, &new_request_id())
}
