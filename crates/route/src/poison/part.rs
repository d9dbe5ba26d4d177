//! Detection of parts of prompts that crash each upstream that begins an answer to them.
//!
//! Requests with such a part need not be alike otherwise, so that a record of the whole request
//! never has more than one crash. A crash is recorded for each shared part of the requests whose
//! answers had not begun. Two crashes count only if the second request was first sent after the
//! first crash, so that upstreams which end together count once, and so do the attempts of one
//! request. Any answer that begins clears the parts of its prompt. After [`MAX_CRASHES`] such crashes all instances refuse requests with the part,
//! but for a few trials, the answers to which would clear it.

pub mod board;
pub mod client;
pub mod record;

use std::fmt;

use base::prelude::*;
use futures::future::LocalBoxFuture;

pub use super::MAX_CRASHES;

/// Id of a part of a prompt at the upstreams of one service.
pub type Id = u64;

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// None of its parts is known to crash upstreams.
    Granted,
    /// It may be sent once, to find out whether its part still crashes upstreams.
    Trial,
    /// One of its parts crashes upstreams.
    Refused,
}

/// A crash of an upstream before it had begun the answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// Shared parts of the request's prompt.
    pub parts: Vec<Id>,
    /// Id of the upstream's incarnation; it crashes once.
    pub run_id: String,
    /// Time since the request was first sent to an upstream.
    pub sent_before: Duration,
}

/// Access to the records of crashing parts, which all instances share.
pub trait Suspects: fmt::Debug {
    /// Decides whether a request with these parts may be sent.
    ///
    /// Waits for the shared table only if the request may be a trial.
    fn admit<'a>(&'a self, parts: &'a [Id]) -> LocalBoxFuture<'a, Admission>;

    /// Returns true if a request with these parts must not be sent to another upstream.
    fn is_refused(&self, parts: &[Id]) -> bool;

    /// Records that the answer to a request has begun, which clears its parts.
    fn record_answer(&self, parts: &[Id]);

    /// Records a crash, at this instance at once and at the others through the table.
    fn record_crash(&self, crash: &Crash);
}
