//! HTTP interface for callers.

use std::rc::Rc;

use base::prelude::*;
use ledger::Book;
use member::View;
use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::http::{ConnectionType, StatusCode};
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use plan::{Keyring, Live};
use route::Fleet;
use route::poison::Suspects;
use slog::{Logger, info, o};
use watch::Metrics;

use crate::account::Accounts;
use crate::answer;
use crate::claim::Claim;
use crate::dispatch::dispatch;
use crate::identify::Identify;
use crate::in_flight::Counter;
use crate::limit::Limit;
use crate::queue::{Pools, Queue};
use crate::relay::relay;
use crate::request::{self, Limits};
use crate::reserve::Reserve;
use crate::resolve::Resolve;
use crate::retry::Budget;
use crate::{Chain, Exchange, Refusal};

/// Idle connections kept to each upstream by one worker.
const MAX_CONNECTIONS: usize = 1_024;

/// What all workers of an instance share.
#[derive(Debug)]
pub struct Shared {
    /// Configuration in force.
    pub config: Arc<Live>,
    /// Callers' keys.
    pub keys: Keyring,
    /// Requests that crashed upstreams.
    pub crash_records: Arc<dyn Suspects>,
    /// Upstreams and their load.
    pub upstreams: Arc<Fleet>,
    /// Budgets.
    pub ledger: Book,
    /// Idempotency keys.
    pub claims: idem::Claims,
    /// Instances and addresses.
    pub membership: Arc<View>,
    /// Client accounts seen here.
    pub accounts: Arc<Accounts>,
    /// Places at the upstreams.
    pub slot_pools: Arc<Pools>,
    /// Longest wait for a place.
    pub max_queue_time: Duration,
    /// Retries that all requests may cause.
    pub retry_budget: Budget,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Requests in flight.
    pub in_flight: Counter,
    /// Longest time until an upstream begins its answer.
    pub upstream_timeout: Duration,
    /// Clock of the process.
    pub clock: Arc<dyn Clock>,
    /// Where requests are logged.
    pub log: Logger,
}

/// What one worker thread needs to serve requests.
#[derive(Debug)]
pub struct Worker {
    /// State shared with the other workers.
    pub shared: Arc<Shared>,
    /// HTTP client of this thread that reuses connections.
    pooled_client: Client,
    /// HTTP client for requests that must not be repeated, with a new connection for each.
    unpooled_client: Client,
    chain: Chain,
}

impl Worker {
    /// Opens a worker on the current thread.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client cannot be built, which is a bug.
    pub async fn open(shared: Arc<Shared>) -> Rc<Self> {
        let pooled_client = open_client(Connector::default().limit(MAX_CONNECTIONS)).await;
        let unpooled_client =
            open_client(Connector::default().limit(MAX_CONNECTIONS).keep_alive(0_u16)).await;
        let chain = Chain::default()
            .then(Identify::open(shared.keys.clone()))
            .then(Resolve)
            .then(Limit::open(Arc::clone(&shared.accounts), Arc::clone(&shared.clock)))
            .then(Queue::open(&shared))
            .then(Claim::open(shared.claims.clone()))
            .then(Reserve::open(shared.ledger.clone()));
        Rc::new(Self { shared, pooled_client, unpooled_client, chain })
    }

    /// Returns the client for a request.
    ///
    /// A kept connection may break just when it is used again, which leaves open whether the
    /// request ran; requests that must not be repeated avoid that.
    #[must_use]
    pub fn client_for(&self, idempotent: bool) -> &Client {
        if idempotent { &self.pooled_client } else { &self.unpooled_client }
    }

    /// Takes a retry from the budgets of the instance and of the client account.
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

async fn open_client(connector: Connector) -> Client {
    Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .build(SharedCfg::default())
        .await
        .expect("a client without TLS can be built")
}

fn new_request_id() -> RequestId {
    uuid::Uuid::now_v7().simple().to_string().into()
}

/// Registers the callers' routes.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/v1/addresses", web::get().to(addresses))
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/services/{path}*", web::route().to(service));
}

/// Builds an exchange from what arrived.
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
        Ok(()) => request::read_body(&mut payload, limits).await,
        Err(refusal) => Err(refusal),
    };
    let exchange = match body {
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
        // The caller must not send its next request on a connection that is about to close.
        answer.head_mut().set_connection_type(ConnectionType::Close);
    }
    answer
}

/// Returns true for requests that run on when their caller goes away.
///
/// The caller can ask for the answer again by the request's key.
fn outlives_caller(exchange: &Exchange) -> bool {
    exchange.idempotency_key.is_some() && !exchange.is_streamed()
}

fn instance_stopped(request_id: &str) -> HttpResponse {
    let refusal = Refusal::unknown("instance_stopped", "the instance stopped during the run");
    answer::refusal(&refusal, request_id)
}

async fn addresses(http: HttpRequest, worker: State<Rc<Worker>>) -> HttpResponse {
    let config = worker.shared.config.load_full();
    let key = match request::bearer_key(http.headers()) {
        // A caller whose key cannot be looked up now still gets an answer, only not its subset.
        Some(bearer) => worker.shared.keys.find(&plan::hash::digest(&bearer)).await.ok().flatten(),
        None => None,
    };
    let account = key.map(|key| key.account);
    let share =
        account.as_ref().and_then(|id| config.accounts.get(id)).map(|row| row.share_percent);
    let answer = worker.shared.membership.answer(account.as_deref(), share.unwrap_or_default());
    HttpResponse::Ok().json(&answer)
}

/// Answers requests for paths that do not exist.
#[must_use]
pub fn not_found() -> HttpResponse {
    let refusal = Refusal::not_run(StatusCode::NOT_FOUND, "not_found", "there is no such path");
    answer::refusal(&refusal, &new_request_id())
}
