//! Section `[ledger]`: pieces of budgets, the lease on them, and writes to the table.
//!
//! A piece is the part of a budget that one instance may spend.

use std::time::Duration;

use crate::reader::Section;

/// Settings of the ledger, which reserves and settles tokens of budgets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ledger {
    /// Time for which a piece should last at the current rate of spending.
    pub horizon: Duration,
    /// Smallest piece while a budget is far from exhausted, in tokens.
    pub floor_tokens: u64,
    /// Divisor of a budget's available tokens; the quotient is the largest piece.
    pub divisor: u64,
    /// Most tokens of a piece that requests may use without a durable record.
    ///
    /// The limit applies while the lease is valid, and is never above an eighth of the piece.
    /// If the holder certainly died while it was valid, recovery sets at most this many tokens of
    /// the piece aside, otherwise all that are unaccounted for. 0 allows no such use.
    pub max_exposure_tokens: u64,
    /// Duration of the lease on all pieces that the instance holds.
    pub lease: Duration,
    /// Time without use after which the instance returns a piece.
    pub idle_timeout: Duration,
    /// Longest time until bills are folded into the budget row.
    pub fold_delay: Duration,
    /// Shortest time between two transactions that no request waits for.
    pub flush_interval: Duration,
    /// Longest wait of a request for tokens that other holders return; 0 means none.
    pub recall_timeout: Duration,
    /// Time without a heartbeat of the ledger's loop after which the process counts as paused.
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
    /// Reads the section; invalid values are added to the reader's faults.
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
