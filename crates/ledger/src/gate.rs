//! Gate that stops a fenced or paused instance from spending, billing and answering.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use base::clock::millis;
use base::prelude::*;

/// Gate that a fence closes permanently and a pause closes until the lease is confirmed.
///
/// The event loop updates the heartbeat on every iteration. A caller that finds the last heartbeat
/// older than the pause threshold knows that the process did not run for a while.
#[derive(Debug)]
pub struct Gate {
    fenced: AtomicBool,
    paused: AtomicBool,
    lease_lapsed: AtomicBool,
    pause_count: AtomicU64,
    heartbeat_at_ms: AtomicU64,
    pause_threshold: Duration,
    clock: Arc<dyn Clock>,
}

impl Gate {
    /// Opens a gate; a gap between heartbeats above `pause_threshold` counts as a pause.
    #[must_use]
    pub fn open(pause_threshold: Duration, clock: Arc<dyn Clock>) -> Self {
        let heartbeat_at_ms = AtomicU64::new(millis(clock.now()));
        Self {
            fenced: AtomicBool::new(false),
            paused: AtomicBool::new(false),
            lease_lapsed: AtomicBool::new(false),
            pause_count: AtomicU64::new(0),
            heartbeat_at_ms,
            pause_threshold,
            clock,
        }
    }

    /// Records that the process is running, after a check for a pause.
    pub fn heartbeat(&self) {
        self.detect_pause();
        self.heartbeat_at_ms.store(millis(self.clock.now()), Ordering::Release);
    }

    /// Returns how many pauses of the process have been detected.
    pub fn pause_count(&self) -> u64 {
        self.detect_pause();
        self.pause_count.load(Ordering::Acquire)
    }

    /// Opens the gate after a commit confirmed the lease, unless another pause followed.
    ///
    /// `pause_count` is the count from before the commit, since the lease may lapse in a later
    /// pause.
    pub fn confirm_lease(&self, pause_count: u64) {
        if self.pause_count() == pause_count {
            self.paused.store(false, Ordering::Release);
        }
    }

    /// Sets whether the lease of the newest transaction, applied or not, has lapsed.
    pub fn set_lease_lapsed(&self, lapsed: bool) {
        self.lease_lapsed.store(lapsed, Ordering::SeqCst);
    }

    /// Returns true if the lease has lapsed because the table does not answer.
    ///
    /// No other instance then relies on the exposure that the holder row states.
    pub fn is_lease_lapsed(&self) -> bool {
        self.lease_lapsed.load(Ordering::SeqCst)
    }

    /// Closes the gate permanently.
    pub fn fence(&self) {
        self.fenced.store(true, Ordering::Release);
    }

    /// Returns true once the holder is fenced.
    pub fn is_fenced(&self) -> bool {
        self.fenced.load(Ordering::Acquire)
    }

    /// Returns true from a pause until the lease is confirmed.
    pub fn is_paused(&self) -> bool {
        self.detect_pause();
        self.paused.load(Ordering::Acquire)
    }

    /// Returns true if the instance may spend, bill and answer.
    pub fn is_open(&self) -> bool {
        !self.is_fenced() && !self.is_paused()
    }

    fn detect_pause(&self) {
        let now = millis(self.clock.now());
        let heartbeat_at_ms = self.heartbeat_at_ms.load(Ordering::Acquire);
        if now.saturating_sub(heartbeat_at_ms) <= millis(self.pause_threshold) {
            return;
        }
        self.paused.store(true, Ordering::Release);
        // Only the thread whose compare-and-set succeeds counts the pause.
        let is_first = self
            .heartbeat_at_ms
            .compare_exchange(heartbeat_at_ms, now, Ordering::AcqRel, Ordering::Acquire)
            .is_ok();
        if is_first {
            self.pause_count.fetch_add(1, Ordering::AcqRel);
        }
    }
}
