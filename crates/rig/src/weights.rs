//! Stand-in of the weight store, which limits the rate of fetches.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ntex::web::types::State;
use ntex::web::{self, HttpResponse, ServiceConfig};

use crate::server::{self, Handle};

/// A weight store that serves at most one fetch per interval.
#[derive(Debug, Clone)]
pub struct Weights {
    interval: Duration,
    last_fetch_at: Arc<Mutex<Option<Instant>>>,
}

impl Weights {
    /// Opens a store that refuses a fetch within `interval` of the last one.
    #[must_use]
    pub fn open(interval: Duration) -> Self {
        Self { interval, last_fetch_at: Arc::default() }
    }

    /// Records a fetch and returns `None`, or returns the time until one is possible.
    fn try_fetch(&self) -> Option<Duration> {
        let mut last = self.last_fetch_at.lock().unwrap_or_else(PoisonError::into_inner);
        let wait = last.and_then(|last| self.interval.checked_sub(last.elapsed()));
        if wait.is_none() {
            *last = Some(Instant::now());
        }
        wait
    }
}

/// Starts the HTTP server of the store on `address`; port 0 picks a free port.
///
/// # Errors
///
/// Returns an error if `address` cannot be bound.
pub fn spawn(address: SocketAddr, weights: Weights) -> io::Result<Handle> {
    server::spawn(address, 1, weights, configure)
}

fn configure(config: &mut ServiceConfig) {
    config.route("/weights/{name}*", web::get().to(fetch));
}

async fn fetch(weights: State<Weights>) -> HttpResponse {
    match weights.try_fetch() {
        None => HttpResponse::Ok().json(&()),
        Some(wait) => {
            let seconds = wait.as_secs() + 1;
            HttpResponse::TooManyRequests().header("retry-after", seconds.to_string()).finish()
        }
    }
}
