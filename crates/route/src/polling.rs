//! Selection of the upstreams to poll in one interval.

use base::prelude::*;
use rand::RngCore;
use rand::seq::SliceRandom;

use crate::upstream::Upstream;

/// Time after its last request for which an upstream counts as active.
pub const ACTIVE_WINDOW: Duration = Duration::from_secs(10);

/// Selects at most `count` upstreams to poll, active ones first.
///
/// `last_polled` returns the time of the last poll, 0 for never. Within the active and the idle
/// group the longest unpolled comes first, so that each is polled equally often. The number
/// of polls in an interval does not depend on the number of upstreams.
pub fn select(
    upstreams: &[Arc<Upstream>],
    last_polled: impl Fn(&Upstream) -> u64,
    count: usize,
    now: Duration,
    rng: &mut dyn RngCore,
) -> Vec<Arc<Upstream>> {
    let active_since = base::clock::millis(now.saturating_sub(ACTIVE_WINDOW));
    let mut order: Vec<&Arc<Upstream>> = upstreams.iter().collect();
    order.shuffle(rng);
    let is_idle = |one: &Upstream| one.last_used_ms() <= active_since || one.last_used_ms() == 0;
    order.sort_by_key(|upstream| (is_idle(upstream), last_polled(upstream)));
    // One poll in four, rounded up, is reserved for idle upstreams, so that each is polled
    // eventually. A `count` of 1 therefore polls an active one only if none is idle.
    let idle_count =
        order.iter().rev().filter(|upstream| is_idle(upstream)).count().min(count.div_ceil(4));
    let active_count = count - idle_count;
    let mut selected: Vec<Arc<Upstream>> = order
        .iter()
        .filter(|one| !is_idle(one))
        .take(active_count)
        .map(|one| Arc::clone(one))
        .collect();
    let remaining = count - selected.len();
    selected
        .extend(order.iter().filter(|one| is_idle(one)).take(remaining).map(|one| Arc::clone(one)));
    selected
}
