//! Checks that instances never spend more than a budget, and that shares are returned.
//!
//! Overspending would come from a write that is applied late or without an answer, or from a
//! restart that reclaims tokens which the previous start has used.

use std::rc::Rc;

use base::clock::System;
use base::prelude::*;
use ledger::escrow::driver::Context;
use ledger::escrow::row::{holder_key, key_prefix};
use ledger::escrow::share::Step;
use ledger::escrow::{Escrow, Fault, Grant, Share};
use proptest::prelude::*;
use slog::{Discard, Logger, o};
use store::memory::{Backup, Platform};
use store::{Row, Table, Txn};
use test_case::test_case;

const ACCOUNT: &str = "shop";
const BUDGET: Tokens = 10_000;
const MAX_SCAN_ROWS: usize = 100;
/// Time from the store's answer to a read until a slow link has delivered it.
const SLOW_READ_TIME: Duration = Duration::from_millis(1_500);

/// Whether the store receives a call, and whether its answer arrives.
#[derive(Debug, Clone, Copy)]
enum Delivery {
    Answered,
    AnswerLost,
    Delayed,
    WriteLost,
}

#[derive(Debug, Clone)]
enum Event {
    Reserve(usize, Tokens),
    Settle(usize, Tokens),
    /// The first instance lends tokens to the second one, if the answer arrives.
    Lend(usize, usize, Tokens, bool),
    Step(usize, Delivery),
    Kill(usize),
    Restart(usize),
    ApplyDelayed,
    Wait(u64),
    Copy,
    Restore,
}

struct Node {
    share: Share,
    /// Bounds of the running requests, and how much of each is borrowed.
    reserved: Vec<(Tokens, Tokens)>,
    is_alive: bool,
}

/// Several instances, their store, and the tokens that requests have used.
struct World {
    platform: Platform,
    nodes: Vec<Node>,
    delayed: Vec<Txn>,
    backup: Option<Backup>,
    now: Duration,
    start_count: u64,
    spent: Tokens,
}

impl World {
    fn open(count: usize) -> Self {
        let mut world = Self {
            platform: Platform::default(),
            nodes: Vec::new(),
            delayed: Vec::new(),
            backup: None,
            now: Duration::from_secs(1),
            start_count: 0,
            spent: 0,
        };
        for index in 0..count {
            let node = world.start(index, count);
            world.nodes.push(node);
        }
        world
    }

    fn start(&mut self, index: usize, count: usize) -> Node {
        self.start_count += 1;
        let holder: InstanceId = format!("node-{index}").into();
        let mut share =
            Share::open(&ACCOUNT.into(), &holder, 1_000 - self.start_count).started_at(self.now);
        share.configure(Some(BUDGET), count as u64, true);
        Node { share, reserved: Vec::new(), is_alive: true }
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Wait(ms) => self.now += Duration::from_millis(ms),
            Event::Copy => self.backup = Some(self.platform.backup()),
            Event::Restore => {
                if let Some(backup) = self.backup.take() {
                    self.platform.restore(&backup);
                    // All live instances notice the restore before any takes more tokens.
                    (0..self.nodes.len()).for_each(|index| self.write_again(index));
                }
            }
            Event::ApplyDelayed => {
                if let Some(txn) = self.delayed.pop() {
                    self.platform.apply(&txn);
                }
            }
            Event::Restart(index) => {
                if !self.nodes[index].is_alive {
                    let count = self.nodes.len();
                    self.nodes[index] = self.start(index, count);
                }
            }
            Event::Kill(index) => {
                let node = &mut self.nodes[index];
                // All reserved tokens may have been used.
                self.spent += node.reserved.drain(..).map(|(bound, _)| bound).sum::<Tokens>();
                node.is_alive = false;
            }
            Event::Reserve(index, bound) => {
                let (now, node) = (self.now, &mut self.nodes[index]);
                node.share.set_demand(bound);
                if node.is_alive
                    && let Some(borrowed) = node.share.reserve_with_loans(bound, now, Some(now))
                {
                    node.reserved.push((bound, borrowed));
                }
            }
            Event::Settle(index, used) => {
                let node = &mut self.nodes[index];
                if let Some((bound, borrowed)) = node.reserved.pop() {
                    node.share.settle_with_loans(bound, borrowed, used);
                    self.spent += used.min(bound);
                }
            }
            Event::Lend(lender, borrower, tokens, is_answered) => {
                if self.nodes[lender].is_alive && lender != borrower {
                    let lent = self.nodes[lender].share.lend(tokens, Some(self.now));
                    if is_answered && self.nodes[borrower].is_alive {
                        self.nodes[borrower].share.receive_loan(lent);
                    }
                }
            }
            Event::Step(index, delivery) => self.step(index, delivery),
        }
    }

    fn write_again(&mut self, index: usize) {
        let demand = 0;
        self.nodes[index].share.set_demand(demand);
        (0..4).for_each(|_| self.step(index, Delivery::Answered));
    }

    fn step(&mut self, index: usize, delivery: Delivery) {
        let now = self.now;
        let era = self.platform.era();
        let node = &mut self.nodes[index];
        if !node.is_alive {
            return;
        }
        node.share.enter_era(era);
        match (node.share.step(now, Some(now)), delivery) {
            (Step::Idle, _) | (Step::Read, Delivery::AnswerLost | Delivery::WriteLost) => {}
            (Step::Read, Delivery::Answered | Delivery::Delayed) => {
                let rows = self.platform.range(&key_prefix(ACCOUNT), "", MAX_SCAN_ROWS);
                if matches!(delivery, Delivery::Delayed) {
                    self.now += SLOW_READ_TIME;
                }
                node.share.handle_rows(&rows, self.now, self.now);
            }
            (Step::Write(txn), Delivery::Answered) => {
                let result = self.platform.apply(&txn);
                node.share.handle_commit(&txn, &result, now);
            }
            (Step::Write(txn), Delivery::AnswerLost) => {
                self.platform.apply(&txn);
                node.share.handle_no_answer(now);
            }
            (Step::Write(txn), Delivery::Delayed) => {
                self.delayed.push(txn);
                node.share.handle_no_answer(now);
            }
            (Step::Write(_), Delivery::WriteLost) => node.share.handle_no_answer(now),
        }
    }

    fn committed(&self) -> Tokens {
        let reserved = self.nodes.iter().flat_map(|node| &node.reserved);
        self.spent + reserved.map(|(bound, _)| bound).sum::<Tokens>()
    }
}

fn event(count: usize) -> impl Strategy<Value = Event> {
    let delivery = prop_oneof![
        6 => Just(Delivery::Answered),
        1 => Just(Delivery::AnswerLost),
        1 => Just(Delivery::Delayed),
        1 => Just(Delivery::WriteLost),
    ];
    prop_oneof![
        8 => (0..count, 1_u64..900).prop_map(|(index, bound)| Event::Reserve(index, bound)),
        4 => (0..count, 400_u64..900).prop_map(|(index, used)| Event::Settle(index, used)),
        4 => (0..count, 0..count, 1_u64..900, any::<bool>())
            .prop_map(|(lender, borrower, tokens, is_answered)| {
                Event::Lend(lender, borrower, tokens, is_answered)
            }),
        16 => (0..count, delivery).prop_map(|(index, delivery)| Event::Step(index, delivery)),
        1 => (0..count).prop_map(Event::Kill),
        3 => (0..count).prop_map(Event::Restart),
        1 => Just(Event::ApplyDelayed),
        2 => (1_u64..4_000).prop_map(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn spending_never_exceeds_the_budget_under_random_failures(
        events in proptest::collection::vec(event(2), 100..500),
    ) {
        let mut world = World::open(2);
        for event in &events {
            world.apply(event);
            prop_assert!(world.committed() <= BUDGET, "{} after {event:?}", world.committed());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn spending_never_exceeds_the_budget_with_many_holders(
        events in proptest::collection::vec(event(17), 300..900),
    ) {
        let mut world = World::open(17);
        for event in &events {
            world.apply(event);
            prop_assert!(world.committed() <= BUDGET, "{} after {event:?}", world.committed());
        }
    }
}

/// Events without the death of an instance, since what it took after the copy is then unknown.
fn event_with_restores(count: usize) -> impl Strategy<Value = Event> {
    prop_oneof![
        40 => event(count).prop_map(|event| match event {
            Event::Kill(_) | Event::Restart(_) => Event::Wait(100),
            event => event,
        }),
        2 => Just(Event::Copy),
        1 => Just(Event::Restore),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn spending_never_exceeds_the_budget_after_restores_of_the_store(
        events in proptest::collection::vec(event_with_restores(2), 100..500),
    ) {
        let mut world = World::open(2);
        // The account is in use before the first copy.
        (0..2).for_each(|index| world.write_again(index));
        for event in &events {
            world.apply(event);
            prop_assert!(world.committed() <= BUDGET, "{} after {event:?}", world.committed());
        }
    }
}

fn run_steps(share: &mut Share, platform: &Platform, now: Duration) {
    for _ in 0..4 {
        share.enter_era(platform.era());
        match share.step(now, Some(now)) {
            Step::Idle => return,
            Step::Read => share.handle_rows(
                &platform.range(&key_prefix(ACCOUNT), "", MAX_SCAN_ROWS),
                now,
                now,
            ),
            Step::Write(txn) => {
                let result = platform.apply(&txn);
                share.handle_commit(&txn, &result, now);
            }
        }
    }
}

#[test]
fn spend_limit_of_a_share_grows_with_time_without_the_store() {
    let platform = Platform::default();
    let mut share = Share::open(&ACCOUNT.into(), &"one".into(), 1);
    share.configure(Some(BUDGET), 2, true);
    let start = Duration::from_secs(1);
    run_steps(&mut share, &platform, start);
    let free = share.free();
    share.set_demand(500);
    run_steps(&mut share, &platform, start);
    assert!(share.reserve(500, start, Some(start)), "the spend limit covers a waiting request");
    run_steps(&mut share, &platform, start);
    let spend = |share: &mut Share, now| {
        (0..free).take_while(|_| share.reserve(100, now, Some(now))).count() as u64 * 100
    };
    let immediately = spend(&mut share, start);
    assert!(
        immediately < free / 2,
        "{immediately} of {free} spent at once: a successor could reclaim too few"
    );
    let later = start + Duration::from_mins(1);
    let after = spend(&mut share, later);
    assert!(500 + immediately + after > free - 100, "the whole share must become usable");
}

#[test]
fn unanswered_return_of_tokens_blocks_reservations() {
    let platform = Platform::default();
    let now = Duration::from_secs(1);
    let mut share = Share::open(&ACCOUNT.into(), &"one".into(), 1);
    share.configure(Some(BUDGET), 2, true);
    run_steps(&mut share, &platform, now);
    assert!(share.usable(Some(now)) > 0);
    share.close();
    let Step::Write(txn) = share.step(now, Some(now)) else { panic!("no write returns the share") };
    assert!(
        !share.reserve(1, now, Some(now)),
        "nothing can be reserved while the write is in flight"
    );
    platform.apply(&txn);
    share.handle_no_answer(now);
    assert!(
        !share.reserve(1, now, Some(now)),
        "nothing can be reserved if the write may be applied"
    );
    run_steps(&mut share, &platform, now);
    assert!(!share.reserve(1, now, Some(now)), "nothing can be reserved once the write is applied");
}

#[test]
fn restart_reclaims_unused_tokens_of_the_predecessor() {
    let platform = Platform::default();
    let now = Duration::from_secs(1);
    let mut first = Share::open(&ACCOUNT.into(), &"one".into(), 1);
    first.configure(Some(BUDGET), 2, true);
    run_steps(&mut first, &platform, now);
    let granted = first.free();
    assert!(granted > BUDGET / 5);
    drop(first);
    let mut second = Share::open(&ACCOUNT.into(), &"one".into(), 2);
    second.configure(Some(BUDGET), 2, true);
    run_steps(&mut second, &platform, now + Duration::from_secs(3));
    assert!(
        second.handed_out() <= granted + granted / 4,
        "the unused part of the old share must be reclaimed"
    );
}

/// Guards against a successor that counts as used what its predecessor could have spent later.
///
/// The store is away when all instances start, so that the row is read long after the start.
#[test_case(Duration::ZERO; "at once")]
#[test_case(Duration::from_secs(2); "slow answer")]
fn time_until_the_first_read_strands_no_tokens(read_time: Duration) {
    let reclaimed_after = |outage: Duration| {
        let platform = Platform::default();
        let now = Duration::from_secs(1);
        let mut first = Share::open(&ACCOUNT.into(), &"one".into(), 1);
        first.configure(Some(BUDGET), 2, true);
        run_steps(&mut first, &platform, now);
        first.set_demand(200);
        run_steps(&mut first, &platform, now);
        drop(first);
        let started_at = now + Duration::from_millis(500);
        let mut second = Share::open(&ACCOUNT.into(), &"one".into(), 2).started_at(started_at);
        second.configure(Some(BUDGET), 2, true);
        let called_at = started_at + outage;
        assert_eq!(second.step(called_at, None), Step::Read);
        let rows = platform.range(&key_prefix(ACCOUNT), "", MAX_SCAN_ROWS);
        let read_at = called_at + read_time;
        second.handle_rows(&rows, read_at, read_at);
        second.free()
    };
    let at_once = reclaimed_after(Duration::ZERO);
    assert!(at_once > 0);
    assert_eq!(reclaimed_after(Duration::from_secs(9)), at_once);
}

/// Guards against a successor that reclaims what its predecessor spent just before the start.
#[test]
fn time_of_a_slow_first_read_counts_as_time_of_the_predecessor() {
    let row =
        Grant { granted: 9_000, exposure: 500, per_s: 1_000, incarnation: 1, ..Grant::default() };
    let rows = [Row {
        key: holder_key(ACCOUNT, "one"),
        revision: 1,
        value: serde_json::to_value(row).expect("a row"),
    }];
    // The clock of the store may have shown anything from 3 to 5 s when the instance started.
    let started_at = Duration::from_secs(30);
    let mut share = Share::open(&ACCOUNT.into(), &"one".into(), 2).started_at(started_at);
    share.configure(Some(BUDGET), 2, true);
    let called_at = started_at + Duration::from_secs(1);
    assert_eq!(share.step(called_at, None), Step::Read);
    share.handle_rows(&rows, called_at + Duration::from_secs(2), Duration::from_secs(6));
    assert_eq!(share.free(), 9_000 - 500 - 5_000);
}

/// Guards against tokens that are granted twice because the total forgot the first grant.
#[test]
fn tokens_are_not_taken_until_the_holders_have_written_their_shares_again() {
    let platform = Platform::default();
    let now = Duration::from_secs(20);
    let mut shares: Vec<Share> = (0..2_u64).map(|index| open_share(index, index + 1)).collect();
    run_steps(&mut shares[0], &platform, now);
    let backup = platform.backup();
    run_steps(&mut shares[1], &platform, now);
    let (first, second) = (shares[0].free(), shares[1].free());
    assert!(second > 0);
    platform.restore(&backup);
    for wait_ms in [0, 1_000, 2_900] {
        shares[0].set_demand(first + 1_000);
        shares[0].invalidate_rows();
        run_steps(&mut shares[0], &platform, now + Duration::from_millis(wait_ms));
        assert_eq!(shares[0].free(), first, "after {wait_ms} ms");
    }
    run_steps(&mut shares[1], &platform, now + Duration::from_secs(3));
    assert_eq!(shares[1].free(), second, "the share of the lost row is kept");
    shares[0].invalidate_rows();
    run_steps(&mut shares[0], &platform, now + Duration::from_secs(4));
    assert!(shares[0].free() > first, "tokens can be taken again");
    assert!(shares[0].free() + shares[1].free() <= BUDGET);
}

/// Guards against tokens that are granted again because a second restore forgot what the first had
/// lost.
///
/// A holder used its share and died before the first restore, which took its row back.
#[test]
fn tokens_lost_in_a_restore_stay_out_of_the_budget_after_the_next_one() {
    let platform = Platform::default();
    let now = Duration::from_secs(20);
    let mut survivor = open_share(0, 1);
    run_steps(&mut survivor, &platform, now);
    let backup = platform.backup();
    let mut lost = open_share(1, 2);
    run_steps(&mut lost, &platform, now);
    let used = lost.free();
    assert!(used > 0);
    drop(lost);
    survivor.invalidate_rows();
    run_steps(&mut survivor, &platform, now);
    platform.restore(&backup);
    survivor.set_demand(BUDGET - used);
    for restore_s in [1, 10] {
        for wait_s in [0, 4] {
            survivor.invalidate_rows();
            run_steps(&mut survivor, &platform, now + Duration::from_secs(restore_s + wait_s));
            assert!(survivor.free() + used <= BUDGET, "{} beside {used}", survivor.free());
        }
        platform.restore(&platform.backup());
        survivor.set_demand(BUDGET);
    }
    survivor.invalidate_rows();
    run_steps(&mut survivor, &platform, now + Duration::from_secs(20));
    run_steps(&mut survivor, &platform, now + Duration::from_secs(24));
    assert!(survivor.free() + used <= BUDGET, "{} beside {used}", survivor.free());
}

/// Guards against tokens that a successor reclaims although its predecessor may have used them.
#[test]
fn a_successor_reclaims_nothing_from_a_row_older_than_a_restore() {
    let platform = Platform::default();
    let now = Duration::from_secs(20);
    let mut first = open_share(0, 1);
    run_steps(&mut first, &platform, now);
    let granted = first.free();
    platform.restore(&platform.backup());
    drop(first);
    let mut second = open_share(0, 2);
    second.set_demand(100);
    run_steps(&mut second, &platform, now);
    run_steps(&mut second, &platform, now + Duration::from_secs(4));
    assert!(second.free() >= 100);
    assert_eq!(second.handed_out(), granted + second.free());
}

/// Guards against a holder that takes the restored row of its predecessor for a successor's.
#[test]
fn a_holder_keeps_its_share_when_a_restore_puts_back_the_row_of_its_predecessor() {
    let platform = Platform::default();
    let now = Duration::from_secs(20);
    run_steps(&mut open_share(0, 1), &platform, now);
    let backup = platform.backup();
    let mut second = open_share(0, 2);
    run_steps(&mut second, &platform, now + Duration::from_secs(1));
    let granted = second.free();
    platform.restore(&backup);
    run_steps(&mut second, &platform, now + Duration::from_secs(2));
    assert!(!second.is_replaced());
    assert_eq!(second.free(), granted);
    assert!(second.reserve(1, now, Some(now)));
}

fn open_share(index: u64, incarnation: u64) -> Share {
    let mut share = Share::open(&ACCOUNT.into(), &format!("n{index}").into(), incarnation);
    share.configure(Some(BUDGET), 4, true);
    share
}

#[test]
fn idle_instances_return_tokens_of_a_scarce_budget() {
    let platform = Platform::default();
    let now = Duration::from_secs(1);
    let mut shares: Vec<Share> = (0..4_u64)
        .map(|index| {
            let mut share = Share::open(&ACCOUNT.into(), &format!("n{index}").into(), index + 1);
            share.configure(Some(BUDGET), 4, true);
            run_steps(&mut share, &platform, now);
            share
        })
        .collect();
    // Requests of this size make each fair share too small to be kept.
    for share in &mut shares {
        share.set_demand(2_000);
        run_steps(share, &platform, now);
        if share.reserve(2_000, now, Some(now)) {
            share.settle(2_000, 2_000);
        }
        share.set_demand(0);
    }
    for share in &mut shares {
        share.invalidate_rows();
        run_steps(share, &platform, now);
    }
    let held: Tokens = shares.iter().map(Share::free).sum();
    assert!(held <= 2_000, "idle instances hold {held} tokens");
}

#[ntex::test]
async fn rejected_reservation_releases_no_tokens() {
    let escrow = Escrow::spawn(Context {
        table: Rc::new(Platform::default()),
        holder: "one".into(),
        incarnation: 1,
        clock: Arc::new(System::open()),
        started_at: Duration::ZERO,
        is_first_start: false,
        peers: None,
        log: Logger::root(Discard, o!()),
    });
    let account: AccountId = ACCOUNT.into();
    escrow.configure([(Arc::clone(&account), Some(BUDGET))].into());
    let max_wait = Duration::from_secs(5);
    let first =
        escrow.reserve(&account, 6_000, 1, max_wait).await.expect("the budget covers the request");
    for _ in 0..5 {
        let refused = escrow.reserve(&account, 6_000, 1, max_wait).await;
        assert_eq!(refused.err(), Some(Fault::Exhausted));
    }
    let rest = escrow
        .reserve(&account, 4_000, 1, max_wait)
        .await
        .expect("the budget covers the request for the rest");
    let none = escrow.reserve(&account, 1, 1, max_wait).await;
    assert_eq!(none.err(), Some(Fault::Exhausted));
    drop((first, rest));
}
