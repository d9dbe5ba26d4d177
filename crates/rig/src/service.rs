//! Stand-in of a plain service: an upstream without a model.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ntex::util::Bytes;
use ntex::web::types::State;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde_json::json;
use tokio::time::sleep;

use crate::engine::{header, value_after, wall_ms};
use crate::journal::{Journal, Run};
use crate::server::{self, Handle};

/// A plain service stand-in; clones share its journal.
#[derive(Debug, Clone)]
pub struct Service {
    name: Arc<str>,
    answer_delay: Duration,
    journal: Journal,
}

impl Service {
    /// Opens a service that answers after `answer_delay` and records runs in `journal`.
    #[must_use]
    pub fn open(name: &str, answer_delay: Duration, journal: Journal) -> Self {
        Self { name: name.into(), answer_delay, journal }
    }
}

/// Starts the HTTP server of the service on `address`; port 0 picks a free port.
///
/// # Errors
///
/// Returns an error if `address` cannot be bound.
pub fn spawn(address: SocketAddr, service: Service) -> io::Result<Handle> {
    server::spawn(address, 2, service, configure)
}

fn configure(config: &mut ServiceConfig) {
    config.route("/journal", web::get().to(journal)).route("/{path}*", web::route().to(serve));
}

async fn journal(service: State<Service>) -> HttpResponse {
    HttpResponse::Ok().json(&service.journal.runs())
}

async fn serve(http: HttpRequest, body: Bytes, service: State<Service>) -> HttpResponse {
    let text = String::from_utf8_lossy(&body);
    let marker = value_after(&text, "marker=").unwrap_or_default();
    let run = Run {
        upstream: service.name.to_string(),
        account: header(&http, "lacewing-account"),
        idempotency_key: header(&http, "idempotency-key"),
        request_id: header(&http, "lacewing-request-id"),
        path: http.path().to_owned(),
        marker: marker.clone(),
        started_ms: wall_ms(),
        ..Run::default()
    };
    let run_index = service.journal.start(run);
    sleep(service.answer_delay).await;
    service.journal.update(run_index, |run| run.finished = true);
    HttpResponse::Ok().json(&json!({"path": http.path(), "marker": marker, "done": true}))
}
