//! Replays how shares behave while the store is out, slow, or contended.

use base::prelude::*;
use ledger::escrow::Share;
use ledger::escrow::row::prefix;
use ledger::escrow::share::Step;
use store::memory::Platform;

const ACCOUNT: &str = "shop";
const PREPAID: Tokens = 100_000;
const ROWS: usize = 100;
const START: Duration = Duration::from_secs(1);

fn open(holder: &str, incarnation: u64, instances: u64) -> Share {
    let mut share = Share::open(&ACCOUNT.into(), &holder.into(), incarnation);
    share.configure(Some(PREPAID), instances, true);
    share
}

/// Runs the steps of a share until it has none; returns its writes that were applied.
fn run(share: &mut Share, platform: &Platform, now: Duration) -> usize {
    let mut writes = 0;
    for _ in 0..8 {
        match share.step(now, Some(now)) {
            Step::Idle => break,
            Step::Read => share.loaded(&platform.range(&prefix(ACCOUNT), "", ROWS), now, now),
            Step::Write(txn) => {
                share.written(&txn, &platform.apply(&txn), now);
                writes += 1;
            }
        }
    }
    writes
}

/// Reserves requests until one is refused; returns how many there were.
fn spend(share: &mut Share, bound: Tokens, now: Duration) -> usize {
    (0..1_000).take_while(|_| share.reserve(bound, now, Some(now))).count()
}

fn serve(share: &mut Share, platform: &Platform, bound: Tokens, now: Duration) -> bool {
    if share.reserve(bound, now, Some(now)) {
        return true;
    }
    share.want(bound);
    run(share, platform, now);
    let is_reserved = share.reserve(bound, now, Some(now));
    share.want(0);
    is_reserved
}

#[test]
fn those_who_are_told_to_come_back_neither_meet_nor_run_short() {
    let platform = Platform::default();
    let mut share = open("one", 1, 1);
    run(&mut share, &platform, START);
    assert!(serve(&mut share, &platform, 1_000, START));
    spend(&mut share, 1_000, START);
    let mut times = Vec::new();
    for _ in 0..10 {
        times.push(share.promise(1_000, START, Some(START)).expect("the row vouches for more"));
    }
    assert!(times.is_sorted_by(|a, b| a < b), "{times:?}");
    for wait in times {
        let now = START + wait;
        assert!(share.reserve(1_000, now, Some(now)), "a request came back after {wait:?}");
    }
}

#[test]
fn a_request_that_the_share_never_covers_is_promised_nothing() {
    let platform = Platform::default();
    let mut share = open("one", 1, 1);
    run(&mut share, &platform, START);
    assert_eq!(share.promise(PREPAID + 1, START, Some(START)), None);
}

#[test]
fn instances_that_begin_at_once_leave_a_part_of_the_budget_to_others() {
    let platform = Platform::default();
    let mut shares: Vec<Share> = (0..4).map(|at| open(&format!("n{at}"), at + 1, 4)).collect();
    for share in &mut shares {
        run(share, &platform, START);
    }
    // Each knows nothing of the spending of the others yet.
    for (at, share) in shares.iter_mut().enumerate() {
        let now = START + Duration::from_millis(10 * at as u64);
        assert!(serve(share, &platform, 500, now));
        share.want(500);
        run(share, &platform, now);
    }
    let out = shares.iter().map(Share::out).max().unwrap_or_default();
    assert!(out <= PREPAID * 85 / 100, "{out} of {PREPAID} are handed out");
    let mut late = open("late", 9, 5);
    assert!(serve(&mut late, &platform, 2_000, START + Duration::from_millis(60)));
}

#[test]
fn a_renewal_does_not_wait_for_the_total_after_a_conflict() {
    let platform = Platform::default();
    let mut share = open("one", 1, 2);
    run(&mut share, &platform, START);
    assert!(serve(&mut share, &platform, 1_000, START));
    spend(&mut share, 1_000, START);
    let mut now = START;
    let mut is_renewed = false;
    for round in 0..6 {
        now += Duration::from_millis(100);
        share.want(1_000);
        let Step::Write(txn) = share.step(now, Some(now)) else { break };
        // Another instance changes the total while the write is under way.
        let mut other = open(&format!("other-{round}"), round + 2, 8);
        run(&mut other, &platform, now);
        let is_renewal = txn.writes.len() == 1;
        share.written(&txn, &platform.apply(&txn), now);
        if share.reserve(1_000, now, Some(now)) {
            is_renewed = is_renewal;
            break;
        }
    }
    assert!(is_renewed, "the request must not lose one race after another");
}

#[test]
fn the_last_tokens_do_not_lie_idle() {
    let platform = Platform::default();
    let mut share = open("one", 1, 1);
    let mut now = START;
    run(&mut share, &platform, now);
    while share.committed() < PREPAID * 93 / 100 {
        now += Duration::from_millis(20);
        assert!(serve(&mut share, &platform, 500, now), "at {}", share.committed());
        share.settle(500, 500);
        run(&mut share, &platform, now);
    }
    now += Duration::from_secs(1);
    assert!(share.is_due(now));
    run(&mut share, &platform, now);
    assert_eq!(share.free(), 0, "an idle share goes back");
}

#[test]
fn a_lost_answer_is_waited_for_as_long_as_the_last_ones_took() {
    let platform = Platform::default();
    let mut share = open("one", 1, 1);
    run(&mut share, &platform, START);
    assert_eq!(share.latency().patience(), Duration::from_millis(500));
    share.want(PREPAID * 9 / 10);
    let step = share.step(START, Some(START));
    assert!(matches!(step, Step::Write(_)), "{step:?}");
    let late = START + Duration::from_millis(450);
    share.unanswered(late);
    assert_eq!(
        share.latency().patience(),
        Duration::from_millis(1_800),
        "a slow link gets more time"
    );
}
