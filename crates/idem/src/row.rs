//! Claim rows in the platform's table, one for each idempotency key.

use std::fmt::Write;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Prefix of the keys of claim rows.
pub const CLAIMS: &str = "claim/";

/// State of the request that claimed the key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The holder is running the request or may start it at any time.
    Running,
    /// The request completed; `None` if its answer is not kept.
    Completed(Option<Answer>),
    /// The request may have run; it is billed and not run again.
    Unknown,
    /// The request did not run, and any request may claim the key again.
    ///
    /// The row is not deleted at once: a delayed transaction could create it again.
    Free,
}

/// An answer as it is stored in the claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, empty if the answer has none.
    pub content_type: String,
    /// Body as UTF-8 text.
    pub body: String,
}

/// The claim of one idempotency key of a client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Client account whose caller chose the key.
    pub account: String,
    /// Id of the request and of its bill.
    pub request: String,
    /// Digest of method, path and body; see [`digest`].
    pub digest: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Id of the holder that owns the claim.
    pub holder: String,
    /// Number of the transaction that wrote the row, counted from 1 by each holder.
    pub stamp: u64,
    /// State of the request when the row was written.
    pub state: State,
    /// Time at which the claim expires, in milliseconds since the Unix epoch.
    pub until: u64,
}

/// Returns the row key for the idempotency key `name` of an account.
///
/// # Examples
///
/// ```
/// use idem::row::key;
/// assert_ne!(key("shop", "1"), key("shop1", ""));
/// assert_eq!(key("shop", "1"), key("shop", "1"));
/// ```
#[must_use]
pub fn key(account: &str, name: &str) -> String {
    // The length prefix separates account and name: no other pair gives the same bytes.
    let digest = hex(&[&account.len().to_be_bytes(), account.as_bytes(), name.as_bytes()]);
    format!("{CLAIMS}{digest}")
}

/// Returns a digest that differs for different requests with the same key.
///
/// # Examples
///
/// ```
/// use idem::row::digest;
/// assert_ne!(digest("POST", "/confirm", b"1"), digest("POST", "/confirm", b"2"));
/// ```
#[must_use]
pub fn digest(method: &str, path: &str, body: &[u8]) -> String {
    let length = path.len().to_be_bytes();
    hex(&[method.as_bytes(), b" ", &length, path.as_bytes(), body])
}

fn hex(parts: &[&[u8]]) -> String {
    let mut sha = Sha256::new();
    for part in parts {
        sha.update(part);
    }
    let mut text = String::with_capacity(64);
    for byte in sha.finalize() {
        write!(text, "{byte:02x}").expect("writing to a string cannot fail");
    }
    text
}
