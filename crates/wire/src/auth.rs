//! Proofs and MACs of the link.

use std::fmt;

use base::prelude::*;
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::Error;
use crate::message::Identity;

/// Bytes of a nonce.
pub const NONCE_BYTES: usize = 16;
/// Bytes of a proof or a MAC.
pub const MAC_BYTES: usize = 32;

/// A random value that is used once.
pub type Nonce = [u8; NONCE_BYTES];

/// A key that all instances of a fleet share.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(Arc<[u8]>);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    /// Takes a key from the settings.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.into())
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        for part in parts {
            // Each part is preceded by its length, so that no two lists of parts look alike.
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

/// Everything both ends said before they trust each other.
#[derive(Debug, Clone)]
pub struct Transcript {
    /// Nonce of the caller.
    pub caller_nonce: Nonce,
    /// Nonce of the listener.
    pub listener_nonce: Nonce,
    /// Identity that the caller claims.
    pub caller_identity: Identity,
    /// Address that the caller has connected to.
    pub target: String,
    /// Incarnation of the listener.
    pub listener_incarnation: Incarnation,
}

/// Which end speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The end that has connected.
    Caller,
    /// The end that listens.
    Listener,
}

impl Side {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Caller => b"caller",
            Self::Listener => b"listener",
        }
    }
}

impl Transcript {
    fn mac(&self, key: &Key, label: &[u8]) -> Hmac<Sha256> {
        let address = self.caller_identity.address.to_string();
        key.mac(&[
            label,
            &self.caller_nonce,
            &self.listener_nonce,
            self.caller_identity.instance.as_bytes(),
            &self.caller_identity.incarnation.to_be_bytes(),
            address.as_bytes(),
            self.target.as_bytes(),
            &self.listener_incarnation.to_be_bytes(),
        ])
    }

    /// Returns the proof that one side gives.
    #[must_use]
    pub fn proof(&self, key: &Key, side: Side) -> [u8; MAC_BYTES] {
        self.mac(key, side.label()).finalize().into_bytes().into()
    }

    /// Checks the proof of the other side.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unauthenticated`] if the proof was made with another key or transcript.
    pub fn verify(&self, key: &Key, side: Side, proof: &[u8]) -> Result<(), Error> {
        self.mac(key, side.label()).verify_slice(proof).map_err(|_mismatch| Error::Unauthenticated)
    }

    /// Derives the key of the session.
    #[must_use]
    pub fn session_key(&self, key: &Key) -> Key {
        Key::new(&self.mac(key, b"session").finalize().into_bytes())
    }
}

/// Returns the MAC of a message of a session.
///
/// # Examples
///
/// ```
/// use wire::auth::{Key, Side, message_mac, verify_message};
/// let key = Key::new(b"secret");
/// let mac = message_mac(&key, Side::Caller, 1, b"body");
/// assert!(verify_message(&key, Side::Caller, 1, b"body", &mac).is_ok());
/// assert!(verify_message(&key, Side::Caller, 2, b"body", &mac).is_err());
/// ```
#[must_use]
pub fn message_mac(session_key: &Key, side: Side, sequence: u64, body: &[u8]) -> [u8; MAC_BYTES] {
    let mac = session_key.mac(&[side.label(), &sequence.to_be_bytes(), body]);
    mac.finalize().into_bytes().into()
}

/// Checks the MAC of a message of a session.
///
/// # Errors
///
/// Returns [`Error::Tampered`] if the message was altered or belongs elsewhere.
pub fn verify_message(
    session_key: &Key,
    side: Side,
    sequence: u64,
    body: &[u8],
    mac: &[u8],
) -> Result<(), Error> {
    let expected = session_key.mac(&[side.label(), &sequence.to_be_bytes(), body]);
    expected.verify_slice(mac).map_err(|_mismatch| Error::Tampered)
}
