//! Start and stop of the HTTP servers of stand-ins.

use std::io;
use std::net::{SocketAddr, TcpListener};

use ntex::SharedCfg;
use ntex::http::{HttpServiceConfig, KeepAlive};
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::web::{App, HttpServer, ServiceConfig};

/// A running HTTP server; it stops with [`Handle::stop`].
#[derive(Debug)]
pub struct Handle {
    /// Address on which the server listens, with the port that was picked.
    pub address: SocketAddr,
    server: Server,
}

impl Handle {
    /// Wraps a running server that listens on `address`.
    pub(crate) fn new(address: SocketAddr, server: Server) -> Self {
        Self { address, server }
    }

    /// Stops the server gracefully.
    pub async fn stop(self) {
        self.server.stop(true).await;
    }
}

/// Starts a server whose routes, registered by `configure`, share `state`.
///
/// `workers` is the number of threads; port 0 in `address` picks a free port.
///
/// # Errors
///
/// Returns an error if `address` cannot be bound.
pub fn spawn<S: Clone + Send + Sync + 'static>(
    address: SocketAddr,
    workers: usize,
    state: S,
    configure: fn(&mut ServiceConfig),
) -> io::Result<Handle> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let http = HttpServiceConfig::new().set_keepalive(KeepAlive::Timeout(Seconds(300)));
    let factory = async move || App::new().state(state.clone()).configure(configure);
    let server = HttpServer::new(factory)
        .workers(workers)
        .disable_signals()
        .shutdown_timeout(Seconds(1))
        .config(SharedCfg::new("standin").add(http))
        .listen(listener)?
        .run();
    Ok(Handle { address, server })
}
