//! Whether this instance may still spend, bill and answer.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use base::clock::millis;
use base::prelude::*;

/// Stops an instance that was fenced, or that was paused and has not revalidated its lease.
///
/// The writer's loop marks the gate on every turn. A request that finds the last mark older
/// than the allowed pause knows that the process did not run for a while.
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
    /// Opens a gate that takes a silence longer than `pause_threshold` as a pause of the process.
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

    /// Notes that the process is running.
    pub fn heartbeat(&self) {
        self.detect_pause();
        self.heartbeat_at_ms.store(millis(self.clock.now()), Ordering::Release);
    }

    /// Returns how many pauses were noticed so far.
    pub fn pause_count(&self) -> u64 {
        self.detect_pause();
        self.pause_count.load(Ordering::Acquire)
    }

    /// Notes that the table confirmed the lease in a call that began after `pauses` pauses.
    pub fn confirm_lease(&self, pause_count: u64) {
        if self.pause_count() == pause_count {
            self.paused.store(false, Ordering::Release);
        }
    }

    /// Notes whether the lease that the table may show has lapsed.
    pub fn set_lease_lapsed(&self, lapsed: bool) {
        self.lease_lapsed.store(lapsed, Ordering::SeqCst);
    }

    /// Returns true if the lease has lapsed because the table does not answer.
    ///
    /// Nobody then relies on the exposure that the holder stated in the table.
    pub fn is_lease_lapsed(&self) -> bool {
        self.lease_lapsed.load(Ordering::SeqCst)
    }

    /// Closes the gate for good.
    pub fn fence(&self) {
        self.fenced.store(true, Ordering::Release);
    }

    /// Returns true if the holder was closed by another instance.
    pub fn is_fenced(&self) -> bool {
        self.fenced.load(Ordering::Acquire)
    }

    /// Returns true if the lease must be confirmed before anything else is sent.
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
        // Only the thread that moves the heartbeat counts the pause.
        let is_first = self
            .heartbeat_at_ms
            .compare_exchange(heartbeat_at_ms, now, Ordering::AcqRel, Ordering::Acquire)
            .is_ok();
        if is_first {
            self.pause_count.fetch_add(1, Ordering::AcqRel);
        }
    }
}
