//! Section `[ledger]`: pieces of budgets, leases and records.

use std::time::Duration;

use crate::reader::Section;

/// Settings of the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ledger {
    /// Spending that a piece should cover at the current rate.
    pub horizon: Duration,
    /// Smallest piece far from the end of a budget, in tokens.
    pub floor_tokens: u64,
    /// A piece is at most the available tokens divided by this number.
    pub divisor: u64,
    /// Most tokens of a piece that requests without a durable record use during the lease.
    pub max_exposure_tokens: u64,
    /// Length of the lease on everything the instance holds.
    pub lease: Duration,
    /// Time without use after which a piece goes back.
    pub idle_timeout: Duration,
    /// Longest time for which bills stay out of the budget row.
    pub fold_delay: Duration,
    /// Shortest time between transactions that no request waits for.
    pub flush_interval: Duration,
    /// Time for which a request waits for tokens that other holders give back.
    pub recall_timeout: Duration,
    /// Silence of the process that counts as a pause.
    pub pause_threshold: Duration,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            horizon: Duration::from_secs(90),
            floor_tokens: 4_000,
            divisor: 8,
            max_exposure_tokens: 20_000,
            lease: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(5),
            fold_delay: Duration::from_secs(1),
            flush_interval: Duration::from_millis(20),
            recall_timeout: Duration::from_millis(300),
            pause_threshold: Duration::from_secs(2),
        }
    }
}

impl Ledger {
    /// Reads the section.
    pub fn read(section: &mut Section<'_>) -> Self {
        let default = Self::default();
        Self {
            horizon: section.millis("horizon_ms", default.horizon, &(100..=3_600_000)),
            floor_tokens: section.number(
                "floor_tokens",
                default.floor_tokens,
                &(1..=1_000_000_000),
                "tokens",
            ),
            divisor: section.number("divisor", default.divisor, &(1..=10_000), "parts"),
            max_exposure_tokens: section.number(
                "exposed_tokens",
                default.max_exposure_tokens,
                &(0..=1_000_000_000),
                "tokens",
            ),
            lease: section.millis("lease_ms", default.lease, &(1_000..=3_600_000)),
            idle_timeout: section.millis("idle_ms", default.idle_timeout, &(100..=3_600_000)),
            fold_delay: section.millis("fold_ms", default.fold_delay, &(10..=600_000)),
            flush_interval: section.millis("flush_ms", default.flush_interval, &(1..=10_000)),
            recall_timeout: section.millis("recall_ms", default.recall_timeout, &(0..=10_000)),
            pause_threshold: section.millis("pause_ms", default.pause_threshold, &(200..=60_000)),
        }
    }
}
