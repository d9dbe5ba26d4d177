//! Which instances keep a row that all others read.
//!
//! Answers the load that a fleet puts on the store by itself: if each instance wrote a row and read
//! those of all, the bytes read would grow with the square of the fleet. Only some more instances
//! than are listed keep a row, those that would be listed next. The others read these rows, and
//! join when they would come before enough of them.

use base::prelude::*;

/// Fewest instances that keep a row, if the fleet has as many.
pub const MIN_CANDIDATES: usize = 16;
/// Instances with a row for each listed one.
const CANDIDATES_PER_LISTED: usize = 3;
/// Fewest instances of each failure domain that keep a row.
const MIN_PER_DOMAIN: usize = 2;
/// Time over which instances that want to join spread.
const JOIN_SPREAD: Duration = Duration::from_secs(1);

/// Part that an instance takes in the membership of the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Role {
    /// It has not read the rows yet.
    #[default]
    Starting,
    /// It keeps no row.
    Standby,
    /// It will write a row at the next heartbeat, unless others come first.
    Joining,
    /// It keeps a row, and may be listed.
    Candidate,
}

/// Position of an instance among those that keep a row, itself included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Number of live candidates that are listed before this instance.
    pub overall: usize,
    /// Number of them in the failure domain of this instance.
    pub in_domain: usize,
}

impl Position {
    /// Returns true if an instance at this position should keep a row.
    ///
    /// `listed` is the number of listed instances. An instance that already has a row keeps it for
    /// some further positions, so that a single instance that comes back moves no other.
    ///
    /// # Examples
    ///
    /// ```
    /// use front::roster::candidate::Position;
    ///
    /// assert!(Position { overall: 15, in_domain: 5 }.keeps_row(4, false));
    /// assert!(!Position { overall: 16, in_domain: 5 }.keeps_row(4, false));
    /// assert!(Position { overall: 16, in_domain: 5 }.keeps_row(4, true));
    /// // More listed instances need more candidates.
    /// assert!(Position { overall: 40, in_domain: 9 }.keeps_row(20, false));
    /// // Each failure domain has candidates.
    /// assert!(Position { overall: 90, in_domain: 1 }.keeps_row(4, false));
    /// ```
    #[must_use]
    pub fn keeps_row(self, listed: usize, has_row: bool) -> bool {
        let wanted = MIN_CANDIDATES.max(listed * CANDIDATES_PER_LISTED);
        let (limit, domain_limit) = if has_row {
            (wanted + wanted / 2, MIN_PER_DOMAIN + 1)
        } else {
            (wanted, MIN_PER_DOMAIN)
        };
        self.overall < limit || self.in_domain < domain_limit
    }
}

impl Role {
    /// Returns the role after the rows were read.
    ///
    /// `found_row` tells whether an earlier start has left a row, and `keeps_row` is the result of
    /// [`Position::keeps_row`].
    #[must_use]
    pub fn after_read(self, found_row: bool, keeps_row: bool) -> Self {
        match self {
            Self::Starting if found_row => Self::Candidate,
            Self::Starting | Self::Standby if keeps_row => Self::Joining,
            Self::Joining | Self::Candidate if keeps_row => Self::Candidate,
            _ => Self::Standby,
        }
    }

    /// Returns the pause until the next heartbeat, `None` for the usual one.
    ///
    /// `random` is a number from 0 to 1, and `least` the shortest pause. Instances that want to join
    /// do so at different times, so that those that come later see enough others.
    #[must_use]
    pub fn pause(self, least: Duration, random: f64) -> Option<Duration> {
        (self == Self::Joining).then(|| least + JOIN_SPREAD.mul_f64(random))
    }
}
