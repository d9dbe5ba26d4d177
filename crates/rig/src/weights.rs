//! Stand-in of the rate-limited weight store.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ntex::web::types::State;
use ntex::web::{self, HttpResponse, ServiceConfig};

use crate::server::{self, Handle};

/// A store that gives out one set of weights in each interval.
#[derive(Debug, Clone)]
pub struct Weights {
    interval: Duration,
    last_fetch_at: Arc<Mutex<Option<Instant>>>,
}

impl Weights {
    /// Opens a store that serves one fetch in each `interval`.
    #[must_use]
    pub fn open(interval: Duration) -> Self {
        Self { interval, last_fetch_at: Arc::default() }
    }

    /// Returns how long to wait, or `None` if the fetch may go on.
    fn try_fetch(&self) -> Option<Duration> {
        let mut last = self.last_fetch_at.lock().unwrap_or_else(PoisonError::into_inner);
        let wait = last.and_then(|last| self.interval.checked_sub(last.elapsed()));
        if wait.is_none() {
            *last = Some(Instant::now());
        }
        wait
    }
}

/// Starts the store.
///
/// # Errors
///
/// Returns an error if the address cannot be listened on.
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
