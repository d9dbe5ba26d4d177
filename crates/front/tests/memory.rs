//! Choice of the connections that give way when held bytes or descriptors reach their bound.
//!
//! Guards against an instance that exceeds its memory or its descriptors, and against ordinary
//! requests that give way to a crowd.

use std::collections::HashSet;
use std::time::Duration;

use front::memory::{Account, Bounds, Id, Phase, Resource};

const BODY_LIMIT: usize = 4 << 20;
const BOUNDS: Bounds = Bounds { bytes: 48 << 20, large_bytes: 36 << 20, descriptors: 1_000 };

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn receive(account: &mut Account, bytes: usize, now: Duration) -> Id {
    let id = account.insert(now).expect("descriptors are free");
    account.set_bytes(id, bytes, bytes, now);
    id
}

fn evicted(account: &mut Account, now: Duration) -> Vec<Id> {
    account.relieve(now).iter().map(|eviction| eviction.id).collect()
}

#[test]
fn nobody_gives_way_under_the_bounds() {
    let mut account = Account::open(BOUNDS);
    let ids: Vec<Id> = (0..400).map(|_| receive(&mut account, 100_000, at(0))).collect();
    assert!(!account.is_exceeded());
    assert_eq!(account.relieve(at(60_000)), []);
    for id in ids {
        account.remove(id);
    }
    assert_eq!((account.bytes(), account.descriptors()), (0, 0));
}

/// Replays sixty clients that hold bodies just short of their end, beside ordinary requests.
#[test]
fn a_crowd_of_held_bodies_gives_way_before_ordinary_requests() {
    let mut account = Account::open(BOUNDS);
    let mut ordinary = HashSet::new();
    let mut gone = HashSet::new();
    for step in 0..60 {
        let now = at(step * 50);
        receive(&mut account, BODY_LIMIT - 1, now);
        ordinary.insert(receive(&mut account, 100_000, now));
        gone.extend(evicted(&mut account, now));
        assert!(account.bytes() <= BOUNDS.bytes, "{} bytes at step {step}", account.bytes());
    }
    assert!(gone.len() >= 50, "{} of the crowd gave way", gone.len());
    assert!(gone.is_disjoint(&ordinary));
}

#[test]
fn of_two_equal_holders_the_one_longer_without_progress_gives_way() {
    let bounds = Bounds { bytes: 1 << 20, large_bytes: 1 << 20, descriptors: 8 };
    let mut account = Account::open(bounds);
    let stalled = receive(&mut account, 600_000, at(0));
    let moving = receive(&mut account, 500_000, at(0));
    account.set_bytes(moving, 600_000, 100_000, at(3_000));
    assert_eq!(evicted(&mut account, at(3_000)), [stalled]);
}

/// Guards against clients that renew their standing with single bytes.
#[test]
fn single_bytes_are_no_progress() {
    let bounds = Bounds { bytes: 1 << 20, large_bytes: 1 << 20, descriptors: 8 };
    let mut account = Account::open(bounds);
    let slow = receive(&mut account, 600_000, at(0));
    for byte in 1..40 {
        account.set_bytes(slow, 600_000 + byte, 1, at(byte as u64 * 100));
    }
    receive(&mut account, 600_000, at(3_900));
    let evictions = account.relieve(at(4_000));
    assert_eq!((evictions[0].id, evictions[0].stalled), (slow, at(4_000)));
}

#[test]
fn a_request_that_runs_never_gives_way() {
    let mut account = Account::open(BOUNDS);
    let running: HashSet<Id> = (0..12)
        .map(|_| {
            let id = receive(&mut account, BODY_LIMIT, at(0));
            account.set_phase(id, Phase::Running, at(0));
            id
        })
        .collect();
    let newcomer = receive(&mut account, 100_000, at(10));
    let gone = evicted(&mut account, at(10));
    assert!(running.is_disjoint(&gone.iter().copied().collect()), "{gone:?}");
    assert_eq!(gone, [newcomer]);
}

/// Guards against a crowd of large holders that leaves no memory to small requests.
#[test]
fn large_holders_leave_a_part_of_the_memory_to_small_ones() {
    let mut account = Account::open(BOUNDS);
    let large: Vec<Id> = (0..9)
        .map(|_| {
            let id = receive(&mut account, BODY_LIMIT - (4 << 10), at(0));
            account.set_phase(id, Phase::Running, at(0));
            id
        })
        .collect();
    let next = receive(&mut account, BODY_LIMIT / 2, at(5));
    assert_eq!(evicted(&mut account, at(5)), [next], "beside {} large ones", large.len());
    for _ in 0..80 {
        receive(&mut account, 100_000, at(10));
    }
    assert_eq!(account.relieve(at(10)), []);
}

#[test]
fn without_descriptors_connections_that_finished_nothing_close_first() {
    let bounds = Bounds { descriptors: 32, ..BOUNDS };
    let mut account = Account::open(bounds);
    let served = account.insert(at(0)).expect("descriptors are free");
    account.set_phase(served, Phase::Running, at(0));
    account.set_phase(served, Phase::Idle, at(1));
    let silent: Vec<Id> =
        (0..32).map(|number| account.insert(at(5_000 + number)).expect("free")).collect();
    let evictions = account.relieve(at(6_000));
    assert!(evictions.iter().all(|eviction| eviction.resource == Resource::Descriptors));
    // Those that were silent longest go, and a sixteenth more than needed.
    let gone: Vec<Id> = evictions.iter().map(|eviction| eviction.id).collect();
    assert_eq!(gone, silent[..3]);
}

/// Guards against descriptors that exceed the limit of the machine while holders are closed.
#[test]
fn connections_beyond_the_margin_are_closed_at_once() {
    let bounds = Bounds { descriptors: 32, ..BOUNDS };
    let mut account = Account::open(bounds);
    let accepted = (0..100).filter(|_| {
        let is_accepted = account.insert(at(0)).is_some();
        account.relieve(at(0));
        is_accepted
    });
    assert_eq!(accepted.count(), 35);
}

#[test]
fn without_stated_limits_the_bounds_are_out_of_reach() {
    let bounds = Bounds::for_callers(usize::MAX, usize::MAX);
    assert!(bounds.bytes > 1 << 60 && bounds.descriptors > 1 << 60, "{bounds:?}");
}

#[test]
fn the_largest_body_fits_on_the_smallest_machine() {
    let bounds = Bounds::for_callers(88_000_000, 3_075);
    let mut account = Account::open(bounds);
    receive(&mut account, 2 * BODY_LIMIT, at(0));
    assert!(!account.is_exceeded());
}

/// Guards against upstreams whose answers have no end, and take the memory of other callers.
#[test]
fn answers_without_an_end_give_way_before_requests() {
    let mut account = Account::open(BOUNDS);
    let bodies: HashSet<Id> = (0..100).map(|_| receive(&mut account, 100_000, at(0))).collect();
    let mut gone = HashSet::new();
    for step in 0..300 {
        let id = receive(&mut account, 0, at(step));
        account.set_phase(id, Phase::Running, at(step));
        account.set_phase(id, Phase::Answering, at(step));
        account.set_bytes(id, 256 << 10, 256 << 10, at(step));
        account.set_answer_bytes(id, 256 << 10);
        gone.extend(evicted(&mut account, at(step)));
    }
    assert!(gone.is_disjoint(&bodies), "requests gave way");
    let held = (300 - gone.len()) * (256 << 10);
    assert!(held <= BOUNDS.large_answer_bytes(), "{held} bytes of answers are left");
}

/// Guards against a bound on answers that ordinary ones reach.
#[test]
fn hundreds_of_ordinary_answers_arrive_together() {
    let mut account = Account::open(BOUNDS);
    for step in 0..450 {
        let id = receive(&mut account, 0, at(step));
        account.set_phase(id, Phase::Answering, at(step));
        account.set_bytes(id, 16 << 10, 16 << 10, at(step));
        account.set_answer_bytes(id, 16 << 10);
    }
    assert_eq!(account.relieve(at(500)), []);
}
