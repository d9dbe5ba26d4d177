//! Endpoints for health, readiness and metrics.

use base::prelude::*;
use flow::Shared;
use ntex::web::{self, HttpResponse, ServiceConfig, types};

use crate::instance::StopFlag;

/// State that the handlers read.
#[derive(Debug)]
pub struct State {
    /// State shared with the worker threads.
    pub shared: Arc<Shared>,
    /// Set once a planned stop has begun; the instance is then not ready.
    pub leaving: StopFlag,
}

/// Registers `/healthz`, `/readyz` and `/metrics`.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready))
        .route("/metrics", web::get().to(metrics));
}

async fn health(state: types::State<State>) -> HttpResponse {
    if state.shared.ledger.gate().is_fenced() {
        return HttpResponse::ServiceUnavailable().body("fenced\n");
    }
    HttpResponse::Ok().body("ok\n")
}

async fn ready(state: types::State<State>) -> HttpResponse {
    let configured = state.shared.config.load().version > 0;
    if state.leaving.is_set() || !configured || !state.shared.ledger.gate().is_open() {
        return HttpResponse::ServiceUnavailable().body("not ready\n");
    }
    HttpResponse::Ok().body("ready\n")
}

async fn metrics(state: types::State<State>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(state.shared.metrics.render())
}
