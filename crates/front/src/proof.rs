//! What is known of the incarnation of an upstream to which a connection leads.
//!
//! The load pattern is a service whose upstreams start again under their ids and addresses as
//! another software version, while interrupted streams are about to go on. The entry of a new
//! incarnation may be late, and an instance without a request to the upstream in the meantime has
//! seen no refused connect. A connection leads to one incarnation as long as it is open. So it is
//! proven by what the list shows late enough after it was opened, or by the upstream itself.

use base::prelude::*;

/// Time after which the list shows an incarnation that has accepted a connection.
///
/// Upstreams state their entry every 1.2 s, the store shows it up to 0.8 s later, and 0.6 s are left
/// for the call that reads it.
pub const ENTRY_DELAY: Duration = Duration::from_millis(2_600);

/// What shows that a connection leads to the listed incarnation of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// When the connection was open at the latest.
    pub opened_at: Duration,
    /// Whether the list was up to date then and the upstream had refused no connect.
    pub is_likely: bool,
}

/// What the list and the upstream have shown of an incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Listing {
    /// When the list was last known to be complete; `None` if it never was.
    pub confirmed_at: Option<Duration>,
    /// When the list last showed the incarnation before it ended; `None` while it is listed.
    pub ended_at: Option<Duration>,
    /// When the upstream last stated that it is this incarnation; `None` if it never did.
    pub stated_at: Option<Duration>,
}

impl Listing {
    /// Returns until when the upstream certainly was this incarnation.
    ///
    /// Incarnations follow each other, so that this holds for all times before as well.
    fn known_until(self) -> Option<Duration> {
        let shown_until = self.ended_at.or(self.confirmed_at);
        shown_until.and_then(|at| at.checked_sub(ENTRY_DELAY)).max(self.stated_at)
    }
}

impl Proof {
    /// Returns true if the connection certainly leads to the incarnation of the listing.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use front::proof::{ENTRY_DELAY, Listing, Proof};
    /// let at = Duration::from_secs(9);
    /// let proof = Proof { opened_at: at, is_likely: true };
    /// let listed = Listing { confirmed_at: Some(at), ..Listing::default() };
    /// assert!(!proof.is_certain(listed));
    /// assert!(proof.is_certain(Listing { confirmed_at: Some(at + ENTRY_DELAY), ..listed }));
    /// assert!(proof.is_certain(Listing { stated_at: Some(at), ..listed }));
    /// ```
    #[must_use]
    pub fn is_certain(self, listing: Listing) -> bool {
        listing.known_until().is_some_and(|until| self.opened_at <= until)
    }

    /// Returns true if a stream that begins on the connection may be taken for one of the incarnation.
    ///
    /// The list shows a wrong guess later, by the end of the incarnation soon after the connect.
    #[must_use]
    pub fn is_likely(self, listing: Listing) -> bool {
        self.is_certain(listing) || (self.is_likely && listing.ended_at.is_none())
    }
}
