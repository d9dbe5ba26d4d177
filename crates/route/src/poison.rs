//! Requests that crash each upstream that runs them.
//!
//! A crash is counted against the fingerprint of the request in a row of the platform's table,
//! and all instances read these rows. A request that was in flight in one crash is a suspect: it
//! runs again only as the one suspect on trial at its upstream, so that the next crash can be
//! told apart from the bad luck of others. After [`CRASHES_MAX`] crashes it is refused finally,
//! until the record expires.

pub mod cache;
pub mod client;
pub mod record;

pub mod table;

use std::fmt;

use base::prelude::*;
use futures::future::LocalBoxFuture;
use sha2::{Digest, Sha256};

/// Crashes after which a request is refused finally.
pub const CRASHES_MAX: usize = 2;
/// Time after which a record expires.
pub const RECORD_TTL: Duration = Duration::from_mins(10);
/// Longest time of a trial; a request that crashes upstreams does so near its start.
pub const TRIAL_MAX: Duration = Duration::from_secs(1);

/// Digest of a client account, a path and a body.
pub type Fingerprint = Arc<str>;

/// Returns the fingerprint of a request.
///
/// # Examples
///
/// ```
/// let one = route::poison::fingerprint("a", "", b"body");
/// assert_eq!(one, route::poison::fingerprint("a", "", b"body"));
/// assert_ne!(one, route::poison::fingerprint("b", "", b"body"));
/// ```
#[must_use]
pub fn fingerprint(account: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Sha256::new();
    for part in [account, path] {
        hash.update(part.len().to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(body);
    let digest = hash.finalize();
    let half = u128::from_be_bytes(std::array::from_fn(|index| digest[index]));
    format!("{half:032x}").into()
}

/// What is known about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Clear,
    /// It was in flight when an upstream crashed.
    Suspect,
    /// It is refused finally.
    Guilty,
}

/// Answer to a suspect that wants to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may run as the only suspect at the upstream.
    Granted,
    /// Another suspect is on trial there.
    Busy,
    /// It was found guilty meanwhile.
    Guilty,
    /// The shared record cannot be reached.
    Unreachable,
}

/// A crash of an upstream that had a request in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// Request's fingerprint.
    pub fingerprint: Fingerprint,
    /// Id of the run, by which a repeated report is found again.
    pub run_id: String,
    /// Upstream that crashed.
    pub upstream: UpstreamId,
}

/// Knowledge about requests that crash upstreams, shared by all instances.
pub trait Suspects: fmt::Debug + Send + Sync {
    /// Returns true if this instance knows of no suspect, which is the usual case.
    fn is_empty(&self) -> bool;

    /// Returns what this instance knows, without asking anyone.
    fn lookup(&self, fingerprint: &str) -> Verdict;

    /// Asks whether a suspect may run at an upstream.
    fn request_trial(
        &self,
        fingerprint: &Fingerprint,
        upstream: &UpstreamId,
    ) -> LocalBoxFuture<'_, Admission>;

    /// Reports a crash and returns once all reachable instances know a guilty request.
    fn report_crash(&self, crash: Crash) -> LocalBoxFuture<'_, Verdict>;

    /// Notes that a suspect has completed, which shows that it is harmless.
    fn report_completion(&self, fingerprint: &Fingerprint, upstream: &UpstreamId);
}
