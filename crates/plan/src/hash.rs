//! Digests of keys, which are stored instead of the keys.

use std::fmt::Write;

use sha2::{Digest, Sha256};

/// Returns the SHA-256 digest of a secret in lower-case hexadecimal.
///
/// # Examples
///
/// ```
/// assert!(plan::hash::digest("k").starts_with("8254c329"));
/// ```
#[must_use]
pub fn digest(secret: &str) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(secret.as_bytes()) {
        write!(text, "{byte:02x}").expect("writing to a string cannot fail");
    }
    text
}
