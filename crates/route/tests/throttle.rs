//! Instances that share the stated limit of an upstream without communication.
//!
//! Guards against instances that together send more than the limit allows, and against an upstream
//! that gets much less than it accepts.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use route::throttle::Throttle;
use test_case::test_case;

/// Window in which the requests of all instances are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first statement from which the limit holds.
const NOTICE: Duration = Duration::from_secs(3);
/// Multiple of the limit, and requests beyond it, that are allowed in a window.
const ALLOWED: (f64, f64) = (1.5, 5.0);
/// Parts of the limit for all listed instances and for all others, as the roster sets them.
const LISTED_FRACTION: f64 = 0.7;
const OTHER_FRACTION: f64 = 0.2;
const STEP: Duration = Duration::from_millis(10);
const END: Duration = Duration::from_mins(1);

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("a small number"))
}

/// Returns the most requests in a window after the notice, and the mean rate per second.
///
/// Listed instances always have a request to send, the others have one at times.
fn replay(limit_per_s: f64, listed: usize, others: usize, seed: u64) -> (usize, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut throttles = vec![Throttle::default(); listed + others];
    let mut sent = Vec::new();
    let mut now = Duration::from_secs(100);
    let start = now;
    let share = |index: usize| {
        if index < listed {
            LISTED_FRACTION / to_f64(listed)
        } else {
            OTHER_FRACTION / to_f64(others)
        }
    };
    // All instances learn of the limit at the same moment.
    for (index, throttle) in throttles.iter_mut().enumerate() {
        throttle.observe(Some(limit_per_s), share(index), rng.random(), now);
    }
    while now < start + END {
        for (index, throttle) in throttles.iter_mut().enumerate() {
            let is_listed = index < listed;
            if (is_listed || rng.random_bool(0.02)) && throttle.wait(now).is_zero() {
                throttle.record_request(share(index), now);
                sent.push(now);
                throttle.observe(Some(limit_per_s), share(index), rng.random(), now);
            }
        }
        now += STEP;
    }
    let counted: Vec<Duration> = sent.iter().copied().filter(|at| *at >= start + NOTICE).collect();
    let count_from =
        |from: &Duration| counted.iter().filter(|at| (*from..*from + WINDOW).contains(*at)).count();
    let most = counted.iter().map(count_from).max().unwrap_or_default();
    let seconds = END.saturating_sub(NOTICE).as_secs_f64();
    (most, to_f64(counted.len()) / seconds)
}

#[test_case(1.0, 4, 4; "a site of eight instances")]
#[test_case(1.1, 4, 2; "a site of six instances")]
#[test_case(0.5, 4, 4; "a low limit")]
#[test_case(1.0, 7, 72; "a large site")]
#[test_case(20.0, 7, 72; "a large site and a higher limit")]
#[test_case(100.0, 1, 0; "a single instance and a high limit")]
fn instances_together_keep_to_a_limit(limit_per_s: f64, listed: usize, others: usize) {
    let allowed = ALLOWED.0 * limit_per_s * WINDOW.as_secs_f64() + ALLOWED.1;
    for seed in 0..50 {
        let (most, rate) = replay(limit_per_s, listed, others, seed);
        assert!(to_f64(most) <= allowed, "{most}, seed {seed}");
        assert!(rate >= 0.5 * limit_per_s, "{rate} per second, seed {seed}");
    }
}

#[test]
fn a_limit_ends_with_the_first_answer_that_states_none() {
    let mut throttle = Throttle::default();
    let now = Duration::from_secs(1);
    assert!(throttle.observe(Some(0.1), 0.2, 1.0, now));
    assert!(throttle.wait(now) > Duration::from_secs(40));
    assert!(throttle.observe(None, 0.2, 1.0, now));
    assert!(throttle.wait(now).is_zero());
}

#[test_case(0.0; "zero")]
#[test_case(1e-300; "nearly zero")]
#[test_case(1e300; "very large")]
fn extreme_limits_are_applied_without_overflow(limit_per_s: f64) {
    let mut throttle = Throttle::default();
    let now = Duration::from_secs(1);
    throttle.observe(Some(limit_per_s), 1e-9, 1.0, now);
    throttle.record_request(1e-9, now);
    assert!(throttle.wait(now) <= Duration::from_hours(1));
}
