//! Stand-in of the platform: table, object store and instance list, with faults.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ledger::row;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Json, Path, State};
use ntex::web::{self, HttpResponse, ServiceConfig};
use rand::Rng;
use serde::{Deserialize, Serialize};
use store::memory::Platform as Memory;
use store::remote::{Get, Scan};
use store::{Commit, Listing, Txn};
use tokio::time::sleep;

use crate::billing::History;
use crate::engine::wall_ms;
use crate::server::{self, Handle};

/// Faults of the stand-in, set by a call; the default has none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Whether every call fails with status 503.
    pub outage: bool,
    /// Share of commits that are applied but answered with 504, from 0 to 1.
    pub lost_reply: f64,
    /// Delay until a new instance list takes effect, in milliseconds.
    pub list_lag_ms: u64,
}

/// Summary of the row of a budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Client account that owns the budget.
    pub account: String,
    /// Name of the budget.
    pub budget: String,
    /// Total of paid tokens.
    pub paid: u64,
    /// Total of billed tokens.
    pub billed: u64,
    /// Tokens that instances hold or that are set aside.
    pub held: u64,
}

/// The platform stand-in; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Platform {
    memory: Arc<Memory>,
    faults: Arc<Mutex<Faults>>,
    call_count: Arc<AtomicU64>,
    history: Arc<Mutex<History>>,
}

/// Numbers of calls and writes since the start of the stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of calls by instances, failed ones included.
    pub calls: u64,
    /// Number of applied transactions.
    pub commits: u64,
    /// Number of rows that these transactions wrote.
    pub row_writes: u64,
}

impl Platform {
    /// Returns the store with the rows, objects and the instance list.
    #[must_use]
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Replaces all faults, for later calls.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    fn faults(&self) -> Faults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a copy of all bills and payments.
    #[must_use]
    pub fn history(&self) -> History {
        self.history.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Applies a transaction and records its bills and payments.
    fn apply(&self, txn: &Txn) -> Commit {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let commit = self.memory.apply(txn);
        if matches!(commit, Commit::Applied(_)) {
            history.record(txn, wall_ms());
        }
        commit
    }

    /// Returns a summary of every budget row.
    #[must_use]
    pub fn budgets(&self) -> Vec<Budget> {
        let rows = self.memory.range(row::BUDGETS, "", usize::MAX);
        let budgets = rows.into_iter().filter_map(|found| {
            let budget = found.key.strip_prefix(row::BUDGETS)?.to_owned();
            let state: row::Budget = serde_json::from_value(found.value).ok()?;
            let held = state.held + state.aside;
            let row::Budget { account, paid, billed, .. } = state;
            Some(Budget { account, budget, paid, billed, held })
        });
        budgets.collect()
    }

    /// Counts a call, and delays or rejects it according to the faults.
    async fn admit(&self) -> Result<Faults, HttpResponse> {
        self.call_count.fetch_add(1, Ordering::Relaxed);
        let faults = self.faults();
        if faults.delay_ms > 0 {
            sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.outage {
            return Err(HttpResponse::build(StatusCode::SERVICE_UNAVAILABLE).finish());
        }
        Ok(faults)
    }
}

/// Starts the HTTP server of the stand-in; port 0 picks a free port.
///
/// # Errors
///
/// Returns an error if `address` cannot be bound.
pub fn spawn(address: SocketAddr, platform: Platform) -> io::Result<Handle> {
    server::spawn(address, 2, platform, configure)
}

fn configure(config: &mut ServiceConfig) {
    config
        .state(web::types::JsonConfig::default().limit(64 << 20))
        .state(web::types::PayloadConfig::new(64 << 20))
        .route("/table/get", web::post().to(get_rows))
        .route("/table/scan", web::post().to(scan_rows))
        .route("/table/commit", web::post().to(commit))
        .route("/objects/{name}*", web::get().to(get_object))
        .route("/objects/{name}*", web::put().to(put_object))
        .route("/instances", web::post().to(list_instances))
        .route("/instances", web::put().to(set_instances))
        .route("/faults", web::put().to(set_faults))
        .route("/counts", web::get().to(counts))
        .route("/history", web::get().to(history))
        .route("/budgets", web::get().to(budgets));
}

async fn get_rows(platform: State<Platform>, body: Json<Get>) -> HttpResponse {
    match platform.admit().await {
        Ok(_) => HttpResponse::Ok().json(&platform.memory.read(&body.keys)),
        Err(answer) => answer,
    }
}

async fn scan_rows(platform: State<Platform>, body: Json<Scan>) -> HttpResponse {
    match platform.admit().await {
        Ok(_) => {
            let rows = platform.memory.range(&body.prefix, &body.after, body.limit);
            HttpResponse::Ok().json(&rows)
        }
        Err(answer) => answer,
    }
}

async fn commit(platform: State<Platform>, body: Json<Txn>) -> HttpResponse {
    let faults = match platform.admit().await {
        Ok(faults) => faults,
        Err(answer) => return answer,
    };
    let result = platform.apply(&body);
    if faults.lost_reply > 0.0 && rand::rng().random_bool(faults.lost_reply) {
        return HttpResponse::build(StatusCode::GATEWAY_TIMEOUT).finish();
    }
    HttpResponse::Ok().json(&result)
}

async fn get_object(platform: State<Platform>, name: Path<String>) -> HttpResponse {
    match platform.admit().await {
        Ok(_) => match platform.memory.object(&name) {
            Some(body) => HttpResponse::Ok().body(body),
            None => HttpResponse::NotFound().finish(),
        },
        Err(answer) => answer,
    }
}

async fn put_object(platform: State<Platform>, name: Path<String>, body: Bytes) -> HttpResponse {
    match platform.admit().await {
        Ok(_) => {
            platform.memory.put_object(name.clone(), body.to_vec());
            HttpResponse::Ok().finish()
        }
        Err(answer) => answer,
    }
}

async fn list_instances(platform: State<Platform>) -> HttpResponse {
    match platform.admit().await {
        Ok(_) => HttpResponse::Ok().json(&platform.memory.instances()),
        Err(answer) => answer,
    }
}

async fn set_instances(platform: State<Platform>, body: Json<Vec<Listing>>) -> HttpResponse {
    let lag = Duration::from_millis(platform.faults().list_lag_ms);
    let platform = platform.get_ref().clone();
    let listed = body.into_inner();
    ntex::rt::spawn(async move {
        sleep(lag).await;
        platform.memory.set_instances(listed);
    });
    HttpResponse::Ok().finish()
}

async fn set_faults(platform: State<Platform>, body: Json<Faults>) -> HttpResponse {
    platform.set_faults(*body);
    HttpResponse::Ok().finish()
}

async fn counts(platform: State<Platform>) -> HttpResponse {
    let (commits, row_writes) = platform.memory.write_counts();
    let calls = platform.call_count.load(Ordering::Relaxed);
    HttpResponse::Ok().json(&Counts { calls, commits, row_writes })
}

async fn budgets(platform: State<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(&platform.budgets())
}

async fn history(platform: State<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(&platform.history())
}
