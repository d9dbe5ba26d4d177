//! Guards against an instance whose narrow link is filled by more callers than it carries.
//!
//! The callers of one account send several times what the link carries and know no other instance.
//! Without the gate the queue of the link grows until each request waits longer than its caller.

use std::time::Duration;

use front::gate::Gate;
use h1::Traffic;

const LINK_BITS_PER_SECOND: f64 = 10e6;
const LINK_BYTES_PER_SECOND: f64 = LINK_BITS_PER_SECOND / 8.0;
const REQUEST_BYTES: u32 = 6_000;
const TICK: Duration = Duration::from_millis(1);

/// Bytes that a link has delivered, and the longest wait in its queue after the first second.
#[derive(Debug, Default)]
struct Outcome {
    served: u32,
    longest_wait: Duration,
}

/// Offers connects at a constant rate for some seconds; each brings one request.
///
/// A request enters the queue of the link once its connect is accepted.
fn simulate(connects_per_second: u32, has_gate: bool) -> Outcome {
    let mut gate = Gate::open(LINK_BITS_PER_SECOND);
    let mut outcome = Outcome::default();
    let mut total = Traffic::default();
    let mut in_link = 0.0_f64;
    let mut delivered = 0.0_f64;
    let mut offered = 0.0_f64;
    for tick in 1..=10_000_u32 {
        let now = TICK * tick;
        offered += f64::from(connects_per_second) / 1e3;
        while offered >= 1.0 {
            offered -= 1.0;
            if gate.admits(total, now) || !has_gate {
                gate.record_accepted();
                in_link += f64::from(REQUEST_BYTES);
            }
        }
        let carried = in_link.min(LINK_BYTES_PER_SECOND / 1e3);
        in_link -= carried;
        delivered += carried;
        while delivered >= f64::from(REQUEST_BYTES) {
            delivered -= f64::from(REQUEST_BYTES);
            gate.record_request(REQUEST_BYTES as usize);
            total.received += u64::from(REQUEST_BYTES);
            total.sent += u64::from(REQUEST_BYTES);
            outcome.served += 1;
        }
        if tick > 1_000 {
            let wait = Duration::from_secs_f64(in_link / LINK_BYTES_PER_SECOND);
            outcome.longest_wait = outcome.longest_wait.max(wait);
        }
    }
    outcome
}

#[test]
fn a_link_with_three_times_its_load_keeps_a_short_queue_and_stays_busy() {
    let offered = 600;
    assert!(simulate(offered, false).longest_wait > Duration::from_secs(5));
    let outcome = simulate(offered, true);
    assert!(outcome.longest_wait < Duration::from_millis(150), "{outcome:?}");
    // Two thirds of what the link can carry in ten seconds.
    assert!(f64::from(outcome.served * REQUEST_BYTES) > 0.66 * 10.0 * LINK_BYTES_PER_SECOND);
}

#[test]
fn load_below_the_capacity_of_the_link_is_accepted() {
    let outcome = simulate(100, true);
    assert!(outcome.served >= 995, "{outcome:?}");
}

#[test]
fn slow_connects_to_upstreams_close_the_gate_only_under_load() {
    let mut gate = Gate::open(LINK_BITS_PER_SECOND);
    let now = Duration::from_mins(1);
    (0..3).for_each(|_| gate.record_connect(None, now));
    // The path is lost or the upstreams are down: the link carries nothing.
    assert!(gate.admits(Traffic::default(), now));

    let mut total = Traffic::default();
    let mut busy = Gate::open(LINK_BITS_PER_SECOND);
    for tick in 0..1_000 {
        total.received += 600;
        assert!(busy.admits(total, now + TICK * tick), "half of the bandwidth is in use");
    }
    let later = now + TICK * 1_000;
    (0..3).for_each(|_| busy.record_connect(None, later));
    assert!(!busy.admits(total, later));
    assert!(busy.is_congested(total, later));
}

#[test]
fn a_closed_gate_opens_again_within_the_bound_of_a_ready_instance() {
    let mut gate = Gate::open(LINK_BITS_PER_SECOND);
    let mut total = Traffic::default();
    let mut closed_for = Duration::ZERO;
    let mut longest = Duration::ZERO;
    for tick in 1..=20_000_u32 {
        // Connections that are already open fill the link alone.
        total.received += 1_250;
        if gate.admits(total, TICK * tick) {
            closed_for = Duration::ZERO;
        } else {
            closed_for += TICK;
        }
        longest = longest.max(closed_for);
    }
    assert!(longest > Duration::ZERO && longest < Duration::from_secs(2), "{longest:?}");
}
