//! Detection of poison requests, which crash each upstream that runs them.
//!
//! Two ways to detect them share the rows of the platform's table with all instances. The crate
//! `flow` counts each crash for the fingerprint of the requests in flight. A request that was in
//! flight at one crash runs again only in a trial, as the only suspect at its upstream, so that the
//! next crash is attributed to it and not to other requests. After [`MAX_CRASHES`] crashes all
//! instances reject it until its record expires. `front` knows when an answer begins and which parts
//! a prompt has; [`suspect`] uses both, for whole requests and for parts of prompts.

pub mod cache;
pub mod client;
mod feed;
pub mod record;
pub mod suspect;
pub mod table;

use std::fmt;

use base::prelude::*;
use futures::future::LocalBoxFuture;
use sha2::{Digest, Sha256};

/// Number of recorded crashes at which a request is rejected.
pub const MAX_CRASHES: usize = 2;
/// Time after its last crash at which a record expires.
pub const RECORD_TTL: Duration = Duration::from_mins(10);
/// Longest time of a trial; a poison request crashes its upstream soon after its start.
pub const MAX_TRIAL_TIME: Duration = Duration::from_secs(1);

/// Digest of a client account, a path and a body, as 32 hexadecimal digits.
pub type Fingerprint = Arc<str>;

/// Returns the fingerprint of a request; equal requests have equal fingerprints.
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

/// Classification of a request by its record of crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No crash is recorded, or the record has expired.
    Clear,
    /// Fewer than [`MAX_CRASHES`] crashes are recorded; it needs a trial to run.
    Suspect,
    /// At least [`MAX_CRASHES`] crashes are recorded; it is rejected.
    Guilty,
}

/// Result of a request for a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may run as the only suspect at the upstream.
    Granted,
    /// Another suspect is on trial at the upstream; a later attempt may succeed.
    Busy,
    /// The request has become guilty and must not run.
    Guilty,
    /// The shared table cannot be reached in time.
    Unreachable,
}

/// A crash of an upstream that had a request in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// Fingerprint of the request in flight.
    pub fingerprint: Fingerprint,
    /// Id of the run, or of the upstream's incarnation; repeated reports of one id count once.
    pub run_id: String,
    /// Id of the upstream that crashed.
    pub upstream: UpstreamId,
}

/// Access to the records of crashes that all instances share.
pub trait Suspects: fmt::Debug + Send + Sync {
    /// Returns true if this instance has no records, which is the common case.
    fn is_empty(&self) -> bool;

    /// Classifies a request by the cached records, without I/O.
    fn lookup(&self, fingerprint: &str) -> Verdict;

    /// Requests a trial of a suspect at an upstream.
    fn request_trial(
        &self,
        fingerprint: &Fingerprint,
        upstream: &UpstreamId,
    ) -> LocalBoxFuture<'_, Admission>;

    /// Records a crash and returns the resulting classification.
    ///
    /// Once it returns [`Verdict::Guilty`], no reachable instance starts the request again. While
    /// the table is unreachable, the crash is recorded at this instance only.
    fn report_crash(&self, crash: Crash) -> LocalBoxFuture<'_, Verdict>;

    /// Removes the record of a suspect that has completed and is therefore harmless.
    fn report_completion(&self, fingerprint: &Fingerprint, upstream: &UpstreamId);
}
