//! Admission of requests to a brittle upstream, which fails if it must turn too many away.
//!
//! Load pattern: more requests than the upstreams can run, from many instances that do not know of
//! each other's. The slots of an upstream, and the rejections that it can bear in a second, are
//! divided among the instances, by a rank that differs for each upstream where there are fewer than
//! instances. A request is sent within the own part of the slots, or else only while its rejection
//! would be within the own part of the rejections.

use std::collections::VecDeque;
use std::time::Duration;

/// Window over which an upstream counts the requests that it turns away.
const REJECTION_WINDOW: Duration = Duration::from_millis(1_100);
/// Age up to which a report of an upstream's load counts.
const REPORT_VALIDITY: Duration = Duration::from_secs(1);
/// One in so many slots is left to instances that have no part.
const SPARE_SLOTS: usize = 10;
/// Part of the slots below which the memory of an engine is taken to suffice.
const SAFE_UTILIZATION: f64 = 0.5;

/// Rank of this instance among those that share an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// Position of this instance, from 0; `None` if it has no regular part.
    pub position: Option<usize>,
    /// Number of instances that share the upstream.
    pub instances: usize,
}

impl Rank {
    /// Returns this instance's part of `total`; the parts of all instances add up to it.
    ///
    /// # Examples
    ///
    /// ```
    /// use route::brittle::Rank;
    /// assert_eq!(Rank { position: Some(0), instances: 4 }.part(6), 2);
    /// assert_eq!(Rank { position: Some(3), instances: 4 }.part(6), 1);
    /// assert_eq!(Rank { position: None, instances: 4 }.part(6), 0);
    /// ```
    #[must_use]
    pub fn part(self, total: usize) -> usize {
        let instances = self.instances.max(1);
        let Some(position) = self.position else { return 0 };
        total / instances + usize::from(position < total % instances)
    }
}

/// Load of an upstream as this instance knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Requests that the upstream runs at once.
    pub slots: usize,
    /// Requests of this instance there.
    pub in_flight: usize,
    /// Those of them that have got no answer yet, and may still be turned away.
    pub unanswered: usize,
    /// Running and waiting requests of the last report, and its age; `None` without a report.
    pub report: Option<(u32, u32, Duration)>,
    /// Whether memory may run out before the slots do, as with generations.
    pub is_memory_bound: bool,
}

/// Requests of this instance that one upstream has turned away.
#[derive(Debug, Default)]
pub struct Brittle {
    rejected_at: VecDeque<Duration>,
}

impl Brittle {
    /// Records that the upstream has turned a request away for want of room.
    pub fn record_rejection(&mut self, now: Duration) {
        self.forget(now);
        self.rejected_at.push_back(now);
    }

    /// Returns true if a request may be sent to an upstream that bears `limit` rejections a second.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use route::brittle::{Brittle, Load, Rank};
    ///
    /// let mut brittle = Brittle::default();
    /// let (rank, now) = (Rank { position: Some(0), instances: 4 }, Duration::from_secs(60));
    /// let load = Load {
    ///     slots: 8,
    ///     in_flight: 1,
    ///     unanswered: 1,
    ///     report: None,
    ///     is_memory_bound: false,
    /// };
    /// assert!(brittle.admits(4, rank, load, now));
    /// // The part of the slots is used, and that of the rejections is at stake.
    /// let load = Load { in_flight: 2, unanswered: 2, ..load };
    /// assert!(!brittle.admits(4, rank, load, now));
    /// ```
    #[must_use]
    pub fn admits(&mut self, limit: usize, rank: Rank, load: Load, now: Duration) -> bool {
        self.forget(now);
        let regular_slots = load.slots - load.slots / SPARE_SLOTS;
        if self.rejected_at.is_empty()
            && load.in_flight < rank.part(regular_slots)
            && !load.may_be_full()
        {
            return true;
        }
        load.unanswered + self.rejected_at.len() < rank.part(limit)
    }

    fn forget(&mut self, now: Duration) {
        while self.rejected_at.front().is_some_and(|at| now >= *at + REJECTION_WINDOW) {
            self.rejected_at.pop_front();
        }
    }
}

impl Load {
    /// Returns true if the upstream may have no room although not all slots are used.
    fn may_be_full(&self) -> bool {
        let report = self.report.filter(|(_, _, age)| *age < REPORT_VALIDITY);
        let Some((running, waiting, _)) = report else { return self.is_memory_bound };
        let slots = f64::from(u32::try_from(self.slots).unwrap_or(u32::MAX));
        waiting > 0 || (self.is_memory_bound && f64::from(running) >= SAFE_UTILIZATION * slots)
    }
}
