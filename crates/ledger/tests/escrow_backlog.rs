//! Guards against requests that wait in vain, or behind less urgent ones, in an outage of the store.

use base::prelude::*;
use ledger::escrow::backlog::{Backlog, Waiter};
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(10);

/// Returns the delay until a limit that grows by `per_ms` covers `tokens`.
fn covered_in(tokens: Tokens, exposure: Tokens, per_ms: Tokens) -> Duration {
    Duration::from_millis(tokens.saturating_sub(exposure).div_ceil(per_ms))
}

proptest! {
    #[test]
    fn requests_that_stay_are_covered_in_time_and_urgent_ones_go_first(
        requests in proptest::collection::vec((1_u64..900, 0_u8..4, 0_u64..3_000), 1..40),
        exposure in 0_u64..2_000,
        per_ms in 1_u64..5,
    ) {
        let mut backlog = Backlog::default();
        for (index, (bound, rank, patience_ms)) in requests.iter().enumerate() {
            let expires_at = NOW + Duration::from_millis(*patience_ms);
            backlog.push(Waiter { bound: *bound, rank: *rank, expires_at, reply: index });
        }
        let removed = backlog.remove_uncovered(NOW, |tokens| Some(covered_in(tokens, exposure, per_ms)));
        let mut tokens = 0;
        let mut last = (0, 0);
        let mut kept = 0;
        while let Some(waiter) = backlog.pop() {
            tokens += waiter.bound;
            let wait = covered_in(tokens, exposure, per_ms);
            prop_assert!(NOW + wait <= waiter.expires_at);
            prop_assert!((waiter.rank, waiter.reply) >= last, "not in order of urgency and arrival");
            last = (waiter.rank, waiter.reply);
            kept += 1;
        }
        prop_assert_eq!(kept + removed.len(), requests.len());
        // A removed request is not covered in time even alone with the more urgent ones that stay.
        for waiter in removed {
            let alone = covered_in(waiter.bound, exposure, per_ms);
            let is_first = waiter.rank == 0 && waiter.reply == 0;
            prop_assert!(!is_first || NOW + alone > waiter.expires_at);
        }
    }
}
