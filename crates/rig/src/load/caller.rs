//! Callers that discover the instances and retry at another one after a failure.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

use base::prelude::*;
use ntex::client::Client;
use ntex::http::Method;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use tokio::time::{sleep, timeout};

use super::attempt;
use super::record::{Attempt, Ending, Failure, Record, Refused};
use super::workload::{PAYERS, Request};

/// Most attempts for one request, the first one included.
const MAX_ATTEMPTS: usize = 5;
/// An unknown outcome is retried only if fewer attempts than this preceded it.
const MAX_UNKNOWN_RETRIES: usize = 2;
/// Shortest delay before a retry, except after a failed connect, which is retried at once.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Upper limit for the `retry-after` value that a caller honours.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Timeout for one request for the list of addresses.
const ADDRESSES_TIMEOUT: Duration = Duration::from_secs(1);
/// Simulated callers per payer; each caches its own list of addresses.
const CALLERS_PER_PAYER: u64 = 4;

/// Destination of the requests.
#[derive(Debug, Clone)]
pub enum Target {
    /// Instances, discovered through any of these addresses.
    Fleet(Vec<SocketAddr>),
    /// Upstreams without an instance in between.
    Direct {
        /// Addresses of the engines, which receive the chats.
        engines: Vec<SocketAddr>,
        /// Address of the plain service, which receives all other calls.
        service: SocketAddr,
    },
    /// One instance or one pass-through, without discovery.
    Endpoint(SocketAddr),
}

/// Response of `/v1/addresses`.
#[derive(Debug, Deserialize)]
struct Addresses {
    addresses: Vec<SocketAddr>,
    keep_seconds: u64,
}

#[derive(Debug, Clone)]
struct CacheEntry {
    addresses: Vec<SocketAddr>,
    expires_at: Instant,
}

/// The simulated callers of one thread.
#[derive(Debug)]
pub struct Callers {
    http: Client,
    target: Target,
    cache: RefCell<HashMap<(usize, u64), CacheEntry>>,
    rng: RefCell<StdRng>,
}

impl Callers {
    /// Opens callers that send from the current thread.
    pub async fn open(target: Target, seed: u64) -> Self {
        Self {
            http: crate::client::open(2_048).await,
            target,
            cache: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Sends a request and retries it until an answer is final or attempts run out.
    pub async fn send(&self, request: Request) -> Record {
        let caller = self.rng.borrow_mut().random_range(0..CALLERS_PER_PAYER);
        let mut record = Record { request, attempts: Vec::new() };
        let mut addresses = Vec::new();
        while record.attempts.len() < MAX_ATTEMPTS {
            if addresses.is_empty() {
                addresses = self.addresses(&record.request, caller).await;
            }
            let Some(address) = addresses.pop() else { break };
            let attempt = self.attempt(address, &record.request).await;
            let delay = retry_delay(&attempt, &record);
            record.attempts.push(attempt);
            match delay {
                Some(delay) => sleep(delay).await,
                None => break,
            }
        }
        record
    }

    async fn attempt(&self, address: SocketAddr, request: &Request) -> Attempt {
        let path = match self.target {
            Target::Fleet(_) | Target::Endpoint(_) => request.routed_path(),
            Target::Direct { .. } => request.path(),
        };
        attempt::send(&self.http, address, &path, request).await
    }

    /// Returns the addresses in random order; the last one is tried first.
    async fn addresses(&self, request: &Request, caller: u64) -> Vec<SocketAddr> {
        let mut addresses = match &self.target {
            Target::Direct { engines, .. } if request.is_chat() => engines.clone(),
            Target::Direct { service, .. } => vec![*service],
            Target::Endpoint(address) => vec![*address],
            Target::Fleet(known) => self.find_instances(known, request.payer_index, caller).await,
        };
        addresses.shuffle(&mut self.rng.borrow_mut());
        addresses
    }

    async fn find_instances(
        &self,
        known: &[SocketAddr],
        payer_index: usize,
        caller: u64,
    ) -> Vec<SocketAddr> {
        let cached = self.cache.borrow().get(&(payer_index, caller)).cloned();
        if let Some(cached) = &cached
            && cached.expires_at > Instant::now()
        {
            return cached.addresses.clone();
        }
        let mut order = known.to_vec();
        order.shuffle(&mut self.rng.borrow_mut());
        for address in order {
            let Ok(Some(answer)) =
                timeout(ADDRESSES_TIMEOUT, self.fetch_addresses(address, payer_index)).await
            else {
                continue;
            };
            let expires_at = Instant::now() + Duration::from_secs(answer.keep_seconds);
            let fresh = CacheEntry { addresses: answer.addresses.clone(), expires_at };
            self.cache.borrow_mut().insert((payer_index, caller), fresh);
            return answer.addresses;
        }
        // If no instance answers, an expired list is still better than no address.
        cached.map_or_else(|| known.to_vec(), |cached| cached.addresses)
    }

    async fn fetch_addresses(&self, address: SocketAddr, payer_index: usize) -> Option<Addresses> {
        let url = format!("http://{address}/v1/addresses");
        let key = Some(PAYERS[payer_index].key);
        let answer: Addresses =
            crate::client::json(&self.http, Method::GET, url, key, &()).await.ok()?;
        (!answer.addresses.is_empty()).then_some(answer)
    }
}

/// Returns the delay before a retry, or `None` if the attempt is final.
fn retry_delay(attempt: &Attempt, earlier: &Record) -> Option<Duration> {
    match &attempt.ending {
        Ending::Whole | Ending::Wrong => None,
        Ending::Failed(Failure::Connect) => Some(Duration::ZERO),
        Ending::Failed(_) => Some(RETRY_DELAY),
        Ending::Refused(refused) => refusal_retry_delay(refused, earlier),
    }
}

fn refusal_retry_delay(refused: &Refused, earlier: &Record) -> Option<Duration> {
    let retry_after = Duration::from_secs(refused.retry_after.unwrap_or(0)).min(MAX_RETRY_DELAY);
    match refused.outcome.as_str() {
        "unknown" => {
            (earlier.attempts.len() < MAX_UNKNOWN_RETRIES).then_some(retry_after.max(RETRY_DELAY))
        }
        "completed" => None,
        _ if refused.retry_after.is_some() || refused.status >= 500 => {
            Some(retry_after.max(RETRY_DELAY))
        }
        _ => None,
    }
}
