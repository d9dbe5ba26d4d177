//! Placement and retry limits under the load patterns that they handle.
//!
//! Guards against prefilling a shared prefix at every engine, against queueing behind one engine
//! that has it cached, against staying with a failing, stalled or slow engine, and against retry
//! storms.

use std::time::Duration;

use route::cost::Rates;
use route::placement::{Average, Candidate, Workload, choose};
use route::retry::{Limiter, Limits};

/// A healthy engine without load and cache.
const IDLE: Candidate = Candidate {
    slots: 64.0,
    load: 0.0,
    queued_tokens: 0.0,
    cached_tokens: 0,
    rates: Rates::DEFAULT,
    factor: 1.0,
    uncertainty: 0.0,
    memory_seconds: 0.0,
    slowness: 1.0,
    failure_ratio: 0.0,
    silent_for: Duration::ZERO,
    is_local: true,
};
/// Size of each prompt.
const PROMPT_TOKENS: u64 = 17_000;
/// Leading tokens that all prompts share.
const SHARED_TOKENS: u64 = 13_300;

/// Simulates `count` requests with one prefix at a fixed interval and four engines.
///
/// The engines prefill at the assumed rate. `has_home` tells whether the placement knows the cached
/// tokens and the home of the prefix. Returns the prefilled tokens and the longest wait.
fn simulate(count: u32, interval: Duration, has_home: bool) -> (u64, Duration) {
    let mut busy_until = [Duration::ZERO; 4];
    let mut has_prefix = [false; 4];
    let (mut prefilled, mut longest_wait) = (0, Duration::ZERO);
    for number in 0..count {
        let now = interval * number;
        let candidates: Vec<Candidate> = (0..4)
            .map(|index| {
                let is_cached = has_prefix[index] || (has_home && index == 0);
                let queue = busy_until[index].saturating_sub(now).as_secs_f64();
                Candidate {
                    cached_tokens: if is_cached { SHARED_TOKENS } else { 0 },
                    queued_tokens: queue / Rates::DEFAULT.token_seconds,
                    ..IDLE
                }
            })
            .collect();
        let candidates = if has_home {
            candidates
        } else {
            candidates
                .into_iter()
                .map(|candidate| Candidate { cached_tokens: 0, ..candidate })
                .collect()
        };
        let index = choose(Workload::Generation(PROMPT_TOKENS), &candidates, |index| index as u64)
            .expect("there are four engines");
        let tokens = if has_prefix[index] { PROMPT_TOKENS - SHARED_TOKENS } else { PROMPT_TOKENS };
        has_prefix[index] = true;
        prefilled += tokens;
        let time = Duration::from_secs_f64(
            f64::from(u32::try_from(tokens).expect("a prompt fits into 32 bits"))
                * Rates::DEFAULT.token_seconds,
        );
        busy_until[index] = busy_until[index].max(now) + time;
        longest_wait = longest_wait.max(busy_until[index].saturating_sub(now));
    }
    (prefilled, longest_wait)
}

#[test]
fn a_shared_prefix_is_prefilled_once_while_its_home_has_capacity() {
    let (with_home, _) = simulate(40, Duration::from_millis(100), true);
    let (without_home, _) = simulate(40, Duration::from_millis(100), false);
    assert_eq!(with_home, PROMPT_TOKENS + 39 * (PROMPT_TOKENS - SHARED_TOKENS));
    assert!(
        without_home >= with_home + 2 * SHARED_TOKENS,
        "{without_home} tokens without a home, {with_home} with one"
    );
}

#[test]
fn a_shared_prefix_spills_over_when_queueing_costs_more_than_a_second_prefill() {
    let (_, longest_wait) = simulate(60, Duration::from_millis(30), true);
    assert!(longest_wait < Duration::from_millis(600), "longest wait {longest_wait:?}");
}

#[test]
fn a_failing_engine_is_avoided_until_its_failures_decay() {
    let mut failures = Average::open(0.0);
    let start = Duration::from_secs(10);
    for number in 0..4 {
        failures.observe(1.0, start + Duration::from_millis(50) * number);
    }
    let candidate = |now| Candidate {
        failure_ratio: failures.value_at(now),
        cached_tokens: SHARED_TOKENS,
        ..IDLE
    };
    let pick =
        |now| choose(Workload::Generation(PROMPT_TOKENS), &[candidate(now), IDLE], |i| i as u64);
    assert_eq!(pick(start + Duration::from_secs(1)), Some(1));
    assert_eq!(pick(start + Duration::from_secs(30)), Some(0));
}

#[test]
fn a_stalled_engine_loses_to_an_idle_one_despite_its_cache() {
    let silent =
        Candidate { silent_for: Duration::from_secs(2), cached_tokens: SHARED_TOKENS, ..IDLE };
    assert_eq!(choose(Workload::Generation(PROMPT_TOKENS), &[silent, IDLE], |_| 0), Some(1));
}

#[test]
fn a_home_that_is_little_slower_keeps_its_prefix_and_a_slow_one_is_avoided() {
    let pick = |factor| {
        let home = Candidate { factor, cached_tokens: SHARED_TOKENS, ..IDLE };
        choose(Workload::Generation(PROMPT_TOKENS), &[home, IDLE], |_| 0)
    };
    assert_eq!(pick(2.4), Some(0));
    assert_eq!(pick(12.0), Some(1));
}

#[test]
fn retries_of_all_instances_stay_within_the_limit_and_use_over_half_of_it() {
    let limits =
        Limits { retries_per_request: 0.2, extra_retries: 52.0, window: Duration::from_secs(10) };
    let mut limiters: Vec<Limiter> = (0..6).map(|_| Limiter::default()).collect();
    let (mut requests, mut retries) = (0_u32, 0_u32);
    for number in 0..2_000_u32 {
        let now = Duration::from_millis(5) * number;
        let limiter = &mut limiters[usize::try_from(number % 6).expect("an index below 6")];
        limiter.record_request(&limits, now);
        requests += 1;
        retries += u32::from(limiter.try_retry(&limits, 6, now));
    }
    let allowed = limits.retries_per_request * f64::from(requests) + limits.extra_retries;
    assert!(f64::from(retries) <= allowed, "{retries} retries of {allowed} allowed");
    assert!(f64::from(retries) > allowed / 2.0, "{retries} retries of {allowed} allowed");
}
