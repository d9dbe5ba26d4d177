//! Reverse proxy without any checks, the baseline for the throughput of an instance.

use std::io;
use std::net::SocketAddr;

use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::http::StatusCode;
use ntex::http::header::CONTENT_TYPE;
use ntex::util::Bytes;
use ntex::web::types::State;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};

use crate::server::Handle;

/// Connection limit of the client of one thread.
const MAX_CONNECTIONS: usize = 1_024;
/// Path prefix of requests to the plain service; it is removed before forwarding.
const SERVICE_PREFIX: &str = "/v1/services/delivery";

/// Addresses to which the proxy forwards requests.
#[derive(Debug, Clone, Copy)]
pub struct Targets {
    /// Address of the engine, for all other paths.
    pub engine: SocketAddr,
    /// Address of the plain service, for paths under its prefix.
    pub service: SocketAddr,
}

#[derive(Debug)]
struct PassThrough {
    client: Client,
    targets: Targets,
}

/// Starts the proxy on `address` with `workers` threads.
///
/// # Errors
///
/// Returns an error if `address` cannot be bound.
///
/// # Panics
///
/// Panics on a worker thread if the client cannot be built, which is a bug.
pub fn spawn(address: SocketAddr, workers: usize, targets: Targets) -> io::Result<Handle> {
    let listener = std::net::TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let server = HttpServer::new(async move || {
        let client = Client::builder()
            .connector::<()>(Connector::default().limit(MAX_CONNECTIONS))
            .disable_redirects()
            .no_default_headers()
            .build(SharedCfg::default())
            .await
            .expect("a client without TLS can be built");
        let pass_through = std::rc::Rc::new(PassThrough { client, targets });
        App::new().state(pass_through).default_service(web::route().to(relay))
    });
    let server = server.workers(workers).disable_signals().listen(listener)?.run();
    Ok(Handle::new(address, server))
}

async fn relay(
    http: HttpRequest,
    body: Bytes,
    pass_through: State<std::rc::Rc<PassThrough>>,
) -> HttpResponse {
    let (address, path) = match http.path().strip_prefix(SERVICE_PREFIX) {
        Some(path) => (pass_through.targets.service, path),
        None => (pass_through.targets.engine, http.path()),
    };
    let mut request =
        pass_through.client.request(http.method().clone(), format!("http://{address}{path}"));
    for name in ["content-type", "idempotency-key"] {
        if let Some(value) = http.headers().get(name) {
            request = request.set_header(name, value.clone());
        }
    }
    let Ok(answer) = request.send_body(body).await else {
        return HttpResponse::build(StatusCode::BAD_GATEWAY).finish();
    };
    let mut builder = HttpResponse::build(answer.status());
    if let Some(value) = answer.headers().get(CONTENT_TYPE) {
        builder.set_header(CONTENT_TYPE, value.clone());
    }
    builder.streaming(answer.take_payload())
}
