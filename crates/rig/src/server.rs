//! Start of small HTTP servers.

use std::io;
use std::net::{SocketAddr, TcpListener};

use ntex::SharedCfg;
use ntex::http::{HttpServiceConfig, KeepAlive};
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::web::{App, HttpServer, ServiceConfig};

/// A running server of a stand-in.
#[derive(Debug)]
pub struct Handle {
    /// Address on which it listens.
    pub address: SocketAddr,
    server: Server,
}

impl Handle {
    /// Wraps a server that listens on an address.
    pub(crate) fn new(address: SocketAddr, server: Server) -> Self {
        Self { address, server }
    }

    /// Stops the server.
    pub async fn stop(self) {
        self.server.stop(true).await;
    }
}

/// Serves `state` through the routes that `configure` registers.
///
/// # Errors
///
/// Returns an error if the address cannot be listened on.
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
