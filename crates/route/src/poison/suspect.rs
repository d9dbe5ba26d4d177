//! Detection of whatever crashes each upstream that begins an answer to it.
//!
//! A suspect is a whole request, or a part of a prompt that requests share which are not alike
//! otherwise. A crash is recorded for each request there, and for the parts of its prompt if its
//! answer had not begun. Two crashes count only if the second request was first sent after the first
//! crash, so that upstreams which end together count once. The attempts of one request count as one
//! crash of each part, since they do not tell which part is the cause. Any answer that begins clears
//! the parts of its prompt, and a complete one the request as well. After [`MAX_CRASHES`] such
//! crashes all instances refuse requests with the suspect, but for a few trials, the answers to which
//! would clear it.
//!
//! The load pattern is one request, or requests with one part, that come again and again, while
//! routes move to other services or are split among them. The crashes at all services add up to one
//! count, so that the suspect is not new at the next service. What crashes the upstreams of one
//! service may be harmless at another, so an answer clears only the service that gave it.

pub mod board;
pub mod client;
pub mod record;

use std::fmt;

use base::prelude::*;
use futures::future::LocalBoxFuture;
use sha2::{Digest, Sha256};

pub use super::MAX_CRASHES;

/// Id of a whole request or of a part of a prompt, the same at all services.
pub type Id = u64;

/// Returns the id of a whole request; equal requests have equal ids.
///
/// # Examples
///
/// ```
/// use route::poison::suspect::request_id;
/// let one = request_id("account", "/path", b"body");
/// assert_eq!(one, request_id("account", "/path", b"body"));
/// assert_ne!(one, request_id("account", "/path", b"other"));
/// ```
#[must_use]
pub fn request_id(account: &str, path: &str, body: &[u8]) -> Id {
    let mut hash = Sha256::new();
    for text in [account, path] {
        hash.update(text.len().to_le_bytes());
        hash.update(text.as_bytes());
    }
    hash.update(body);
    let digest = hash.finalize();
    Id::from_be_bytes(std::array::from_fn(|index| digest[index]))
}

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// None of its suspects is known to crash upstreams.
    Granted,
    /// It may be sent once, to find out whether it still crashes upstreams.
    Trial,
    /// One of its suspects crashes upstreams.
    Refused,
}

/// A suspect of a request that was at an upstream when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// Id of the suspect.
    pub id: Id,
    /// Time since it was first sent to an upstream, as far as that is not another crash.
    pub sent_before: Duration,
}

/// A crash of an upstream before it had completed the answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// Service of the upstream.
    pub service: ServiceId,
    /// The request, and the shared parts of its prompt if its answer had not begun.
    pub suspects: Vec<Suspect>,
    /// Id of the upstream's incarnation; it crashes once.
    pub run_id: String,
}

/// Access to the records of suspects, which all instances share.
pub trait Suspects: fmt::Debug {
    /// Decides whether a request with these suspects may be sent to upstreams of a service.
    ///
    /// Waits for the shared table only if the request may be a trial.
    fn admit<'a>(&'a self, service: &'a ServiceId, ids: &'a [Id]) -> LocalBoxFuture<'a, Admission>;

    /// Returns true if a request with these suspects must not be sent to another upstream of a
    /// service.
    fn is_refused(&self, service: &ServiceId, ids: &[Id]) -> bool;

    /// Records an answer of a service, which clears suspects of its request there.
    fn record_answer(&self, service: &ServiceId, ids: &[Id]);

    /// Records a crash, at this instance at once and at the others through the table.
    fn record_crash(&self, crash: &Crash);
}
