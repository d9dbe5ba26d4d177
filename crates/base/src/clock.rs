//! Clocks through which the other crates read the time, so that tests can set it.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Source of monotonic and of wall-clock time.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns the monotonic time since an arbitrary origin of this clock.
    fn now(&self) -> Duration;

    /// Returns the wall-clock time since the Unix epoch.
    fn wall(&self) -> Duration;
}

/// Clock of the operating system.
#[derive(Debug, Clone, Copy)]
pub struct System {
    origin: Instant,
}

impl System {
    /// Opens the clock; its monotonic origin is the moment of the call.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::clock::{Clock, System};
    /// let clock = System::open();
    /// assert!(clock.now() <= clock.now());
    /// ```
    #[must_use]
    pub fn open() -> Self {
        Self { origin: Instant::now() }
    }
}

impl Clock for System {
    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn wall(&self) -> Duration {
        // A time before 1970 counts as the epoch, since no lease can be valid then.
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}

/// Clock for tests and simulations, which moves only by [`Self::advance`].
#[derive(Debug, Default)]
pub struct Manual {
    millis: AtomicU64,
}

impl Manual {
    /// Moves the monotonic and the wall-clock time forward, in whole milliseconds.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use base::clock::{Clock, Manual};
    /// let clock = Manual::default();
    /// clock.advance(Duration::from_secs(2));
    /// assert_eq!(clock.now(), Duration::from_secs(2));
    /// ```
    pub fn advance(&self, by: Duration) {
        let millis = u64::try_from(by.as_millis()).unwrap_or(u64::MAX);
        self.millis.fetch_add(millis, Ordering::SeqCst);
    }
}

impl Clock for Manual {
    fn now(&self) -> Duration {
        Duration::from_millis(self.millis.load(Ordering::SeqCst))
    }

    fn wall(&self) -> Duration {
        self.now()
    }
}

/// Converts a duration to whole milliseconds, rounded down.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// assert_eq!(base::clock::millis(Duration::from_secs(1)), 1_000);
/// ```
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
