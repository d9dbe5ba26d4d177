//! Checks shares while the store is unreachable, slow or contended.
//!
//! Requests would fail needlessly if callers retried at the same time, if instances that start
//! together took the whole budget, or if a renewal lost every race for the total.

use base::prelude::*;
use ledger::escrow::Share;
use ledger::escrow::row::key_prefix;
use ledger::escrow::share::Step;
use store::memory::Platform;

const ACCOUNT: &str = "shop";
const BUDGET: Tokens = 100_000;
const MAX_SCAN_ROWS: usize = 100;
const START_TIME: Duration = Duration::from_secs(1);

fn open_share(holder: &str, incarnation: u64, instances: u64) -> Share {
    let mut share = Share::open(&ACCOUNT.into(), &holder.into(), incarnation);
    share.configure(Some(BUDGET), instances, true);
    share
}

/// Runs the steps of a share until it is idle; returns the number of writes.
fn run_steps(share: &mut Share, platform: &Platform, now: Duration) -> usize {
    let mut writes = 0;
    for _ in 0..8 {
        match share.step(now, Some(now)) {
            Step::Idle => break,
            Step::Read => share.handle_rows(
                &platform.range(&key_prefix(ACCOUNT), "", MAX_SCAN_ROWS),
                now,
                now,
            ),
            Step::Write(txn) => {
                share.handle_commit(&txn, &platform.apply(&txn), now);
                writes += 1;
            }
        }
    }
    writes
}

/// Reserves for requests until one is rejected; returns how many succeeded.
fn reserve_until_rejected(share: &mut Share, bound: Tokens, now: Duration) -> usize {
    (0..1_000).take_while(|_| share.reserve(bound, now, Some(now))).count()
}

fn reserve_with_store(
    share: &mut Share,
    platform: &Platform,
    bound: Tokens,
    now: Duration,
) -> bool {
    if share.reserve(bound, now, Some(now)) {
        return true;
    }
    share.set_demand(bound);
    run_steps(share, platform, now);
    let is_reserved = share.reserve(bound, now, Some(now));
    share.set_demand(0);
    is_reserved
}

#[test]
fn scheduled_retries_are_at_distinct_times_and_succeed() {
    let platform = Platform::default();
    let mut share = open_share("one", 1, 1);
    run_steps(&mut share, &platform, START_TIME);
    assert!(reserve_with_store(&mut share, &platform, 1_000, START_TIME));
    reserve_until_rejected(&mut share, 1_000, START_TIME);
    let mut waits = Vec::new();
    for _ in 0..10 {
        waits.push(
            share
                .schedule_retry(1_000, START_TIME, Some(START_TIME))
                .expect("the spend limit grows"),
        );
    }
    assert!(waits.is_sorted_by(|a, b| a < b), "{waits:?}");
    for wait in waits {
        let now = START_TIME + wait;
        assert!(share.reserve(1_000, now, Some(now)), "the retry after {wait:?} must fit");
    }
}

#[test]
fn request_larger_than_the_share_gets_no_retry_time() {
    let platform = Platform::default();
    let mut share = open_share("one", 1, 1);
    run_steps(&mut share, &platform, START_TIME);
    assert_eq!(share.schedule_retry(BUDGET + 1, START_TIME, Some(START_TIME)), None);
}

#[test]
fn simultaneous_starts_leave_part_of_the_budget_to_others() {
    let platform = Platform::default();
    let mut shares: Vec<Share> =
        (0..4).map(|index| open_share(&format!("n{index}"), index + 1, 4)).collect();
    for share in &mut shares {
        run_steps(share, &platform, START_TIME);
    }
    // No instance has read the spending rates of the others yet.
    for (index, share) in shares.iter_mut().enumerate() {
        let now = START_TIME + Duration::from_millis(10 * index as u64);
        assert!(reserve_with_store(share, &platform, 500, now));
        share.set_demand(500);
        run_steps(share, &platform, now);
    }
    let out = shares.iter().map(Share::handed_out).max().unwrap_or_default();
    assert!(out <= BUDGET * 85 / 100, "{out} of {BUDGET} are handed out");
    let mut late = open_share("late", 9, 5);
    assert!(reserve_with_store(
        &mut late,
        &platform,
        2_000,
        START_TIME + Duration::from_millis(60)
    ));
}

#[test]
fn urgent_renewal_after_a_conflict_leaves_the_total_out() {
    let platform = Platform::default();
    let mut share = open_share("one", 1, 2);
    run_steps(&mut share, &platform, START_TIME);
    assert!(reserve_with_store(&mut share, &platform, 1_000, START_TIME));
    reserve_until_rejected(&mut share, 1_000, START_TIME);
    let mut now = START_TIME;
    let mut is_renewed = false;
    for round in 0..6 {
        now += Duration::from_millis(100);
        share.set_demand(1_000);
        let Step::Write(txn) = share.step(now, Some(now)) else { break };
        // Another instance changes the total while the write is in flight.
        let mut other = open_share(&format!("other-{round}"), round + 2, 8);
        run_steps(&mut other, &platform, now);
        let is_renewal = txn.writes.len() == 1;
        share.handle_commit(&txn, &platform.apply(&txn), now);
        if share.reserve(1_000, now, Some(now)) {
            is_renewed = is_renewal;
            break;
        }
    }
    assert!(is_renewed, "the renewal must not lose every race for the total");
}

#[test]
fn idle_share_is_returned_near_the_end_of_the_budget() {
    let platform = Platform::default();
    let mut share = open_share("one", 1, 1);
    let mut now = START_TIME;
    run_steps(&mut share, &platform, now);
    while share.committed() < BUDGET * 93 / 100 {
        now += Duration::from_millis(20);
        assert!(reserve_with_store(&mut share, &platform, 500, now), "at {}", share.committed());
        share.settle(500, 500);
        run_steps(&mut share, &platform, now);
    }
    now += Duration::from_secs(1);
    assert!(share.needs_step(now));
    run_steps(&mut share, &platform, now);
    assert_eq!(share.free(), 0, "the idle share must be returned");
}

#[test]
fn write_timeout_follows_the_slowest_recent_write() {
    let platform = Platform::default();
    let mut share = open_share("one", 1, 1);
    run_steps(&mut share, &platform, START_TIME);
    assert_eq!(share.latency().write_timeout(), Duration::from_millis(500));
    share.set_demand(BUDGET * 9 / 10);
    let step = share.step(START_TIME, Some(START_TIME));
    assert!(matches!(step, Step::Write(_)), "{step:?}");
    let late = START_TIME + Duration::from_millis(450);
    share.handle_no_answer(late);
    assert_eq!(
        share.latency().write_timeout(),
        Duration::from_millis(1_800),
        "the timeout grows on a slow link"
    );
}
