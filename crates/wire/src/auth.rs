//! Authentication of links: handshake proofs, session keys and message MACs.

use std::fmt;

use base::prelude::*;
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::Error;
use crate::message::Identity;

/// Length of a nonce in bytes.
pub const NONCE_BYTES: usize = 16;
/// Length of a proof or a MAC in bytes.
pub const MAC_BYTES: usize = 32;

/// A random value that one end generates for a single handshake.
pub type Nonce = [u8; NONCE_BYTES];

/// HMAC key: the fleet's shared key, or a session key derived from it.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(Arc<[u8]>);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    /// Copies a secret of any length, such as the one from the settings.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.into())
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        for part in parts {
            // The length prefix makes the input of two different lists of parts differ.
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

/// Values of the handshake that the proofs of both ends cover.
#[derive(Debug, Clone)]
pub struct Transcript {
    /// Nonce that the caller generated.
    pub caller_nonce: Nonce,
    /// Nonce that the listener generated.
    pub listener_nonce: Nonce,
    /// Identity that the caller states; unverified before its proof.
    pub caller_identity: Identity,
    /// Address to which the caller connected.
    pub target: String,
    /// Incarnation that the listener states.
    pub listener_incarnation: Incarnation,
}

/// The end of a link that sends a proof or message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The end that opened the connection.
    Caller,
    /// The end that accepted the connection.
    Listener,
}

impl Side {
    /// Returns a MAC input that differs by direction, so that reflected messages fail.
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

    /// Returns the proof that `side` sends: an HMAC of the transcript.
    #[must_use]
    pub fn proof(&self, key: &Key, side: Side) -> [u8; MAC_BYTES] {
        self.mac(key, side.label()).finalize().into_bytes().into()
    }

    /// Verifies the proof that `side` sent.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unauthenticated`] if the proof was made with another key or transcript.
    pub fn verify(&self, key: &Key, side: Side, proof: &[u8]) -> Result<(), Error> {
        self.mac(key, side.label()).verify_slice(proof).map_err(|_mismatch| Error::Unauthenticated)
    }

    /// Derives the session key from the fleet's key.
    #[must_use]
    pub fn session_key(&self, key: &Key) -> Key {
        Key::new(&self.mac(key, b"session").finalize().into_bytes())
    }
}

/// Returns the MAC of a message that `side` sends in a session.
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

/// Verifies the MAC of a message that `side` sent in a session.
///
/// # Errors
///
/// Returns [`Error::Tampered`] if body, side, sequence number or session differ from the MAC's.
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
