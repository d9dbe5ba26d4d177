//! Shares of a budget never add up to more than the budget, whatever fails.

use std::rc::Rc;

use base::clock::System;
use base::prelude::*;
use ledger::escrow::keeper::Context;
use ledger::escrow::row::prefix;
use ledger::escrow::share::Step;
use ledger::escrow::{Fault, Keeper, Share};
use proptest::prelude::*;
use slog::{Discard, Logger, o};
use store::Txn;
use store::memory::Platform;

const ACCOUNT: &str = "shop";
const PREPAID: Tokens = 10_000;
const ROWS: usize = 100;

/// What becomes of a write.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    Lost,
    Delayed,
    Refused,
}

#[derive(Debug, Clone)]
enum Event {
    Reserve(usize, Tokens),
    Settle(usize, Tokens),
    Step(usize, Fate),
    Kill(usize),
    Restart(usize),
    Land,
    Wait(u64),
}

struct Node {
    share: Share,
    holds: Vec<Tokens>,
    alive: bool,
}

/// Several instances, their store, and what was really spent.
struct World {
    platform: Platform,
    nodes: Vec<Node>,
    delayed: Vec<Txn>,
    now: Duration,
    starts: u64,
    spent: Tokens,
}

impl World {
    fn open(count: usize) -> Self {
        let mut world = Self {
            platform: Platform::default(),
            nodes: Vec::new(),
            delayed: Vec::new(),
            now: Duration::from_secs(1),
            starts: 0,
            spent: 0,
        };
        for at in 0..count {
            let node = world.start(at, count);
            world.nodes.push(node);
        }
        world
    }

    fn start(&mut self, at: usize, count: usize) -> Node {
        self.starts += 1;
        let holder: InstanceId = format!("node-{at}").into();
        let mut share = Share::open(&ACCOUNT.into(), &holder, 1_000 - self.starts);
        share.configure(Some(PREPAID), count as u64, true);
        Node { share, holds: Vec::new(), alive: true }
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Wait(ms) => self.now += Duration::from_millis(ms),
            Event::Land => {
                if let Some(txn) = self.delayed.pop() {
                    self.platform.apply(&txn);
                }
            }
            Event::Restart(at) => {
                if !self.nodes[at].alive {
                    let count = self.nodes.len();
                    self.nodes[at] = self.start(at, count);
                }
            }
            Event::Kill(at) => {
                let node = &mut self.nodes[at];
                // Whatever was reserved may have been spent.
                self.spent += node.holds.drain(..).sum::<Tokens>();
                node.alive = false;
            }
            Event::Reserve(at, bound) => {
                let (now, node) = (self.now, &mut self.nodes[at]);
                node.share.want(bound);
                if node.alive && node.share.reserve(bound, now, Some(now)) {
                    node.holds.push(bound);
                }
            }
            Event::Settle(at, used) => {
                let node = &mut self.nodes[at];
                if let Some(bound) = node.holds.pop() {
                    node.share.settle(bound, used);
                    self.spent += used.min(bound);
                }
            }
            Event::Step(at, fate) => self.step(at, fate),
        }
    }

    fn step(&mut self, at: usize, fate: Fate) {
        let now = self.now;
        let node = &mut self.nodes[at];
        if !node.alive {
            return;
        }
        match (node.share.step(now, Some(now)), fate) {
            (Step::Idle, _) | (Step::Read, Fate::Lost | Fate::Refused) => {}
            (Step::Read, Fate::Answered | Fate::Delayed) => {
                let rows = self.platform.range(&prefix(ACCOUNT), "", ROWS);
                node.share.loaded(&rows, now, now);
            }
            (Step::Write(txn), Fate::Answered) => {
                let result = self.platform.apply(&txn);
                node.share.written(&txn, &result, now);
            }
            (Step::Write(txn), Fate::Lost) => {
                self.platform.apply(&txn);
                node.share.unanswered(now);
            }
            (Step::Write(txn), Fate::Delayed) => {
                self.delayed.push(txn);
                node.share.unanswered(now);
            }
            (Step::Write(_), Fate::Refused) => node.share.unanswered(now),
        }
    }

    fn committed(&self) -> Tokens {
        self.spent + self.nodes.iter().flat_map(|node| &node.holds).sum::<Tokens>()
    }
}

fn event(count: usize) -> impl Strategy<Value = Event> {
    let fate = prop_oneof![
        6 => Just(Fate::Answered),
        1 => Just(Fate::Lost),
        1 => Just(Fate::Delayed),
        1 => Just(Fate::Refused),
    ];
    prop_oneof![
        8 => (0..count, 1_u64..900).prop_map(|(at, bound)| Event::Reserve(at, bound)),
        4 => (0..count, 400_u64..900).prop_map(|(at, used)| Event::Settle(at, used)),
        16 => (0..count, fate).prop_map(|(at, fate)| Event::Step(at, fate)),
        1 => (0..count).prop_map(Event::Kill),
        3 => (0..count).prop_map(Event::Restart),
        1 => Just(Event::Land),
        2 => (1_u64..4_000).prop_map(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn no_history_spends_more_than_was_paid(
        events in proptest::collection::vec(event(2), 100..500),
    ) {
        let mut world = World::open(2);
        for event in &events {
            world.apply(event);
            prop_assert!(world.committed() <= PREPAID, "{} after {event:?}", world.committed());
        }
    }
}

fn run(share: &mut Share, platform: &Platform, now: Duration) {
    for _ in 0..4 {
        match share.step(now, Some(now)) {
            Step::Idle => return,
            Step::Read => share.loaded(&platform.range(&prefix(ACCOUNT), "", ROWS), now, now),
            Step::Write(txn) => {
                let result = platform.apply(&txn);
                share.written(&txn, &result, now);
            }
        }
    }
}

#[test]
fn a_share_is_spent_without_the_store_little_by_little() {
    let platform = Platform::default();
    let mut share = Share::open(&ACCOUNT.into(), &"one".into(), 1);
    share.configure(Some(PREPAID), 2, true);
    let start = Duration::from_secs(1);
    run(&mut share, &platform, start);
    let free = share.free();
    share.want(500);
    run(&mut share, &platform, start);
    assert!(share.reserve(500, start, Some(start)), "a waiting request is vouched for");
    run(&mut share, &platform, start);
    let spend = |share: &mut Share, now| {
        (0..free).take_while(|_| share.reserve(100, now, Some(now))).count() as u64 * 100
    };
    let at_once = spend(&mut share, start);
    assert!(at_once < free / 2, "most must stay for a successor, not {at_once} of {free}");
    let later = start + Duration::from_mins(1);
    let after = spend(&mut share, later);
    assert!(500 + at_once + after > free - 100, "all can be spent in the end");
}

#[test]
fn tokens_that_may_have_been_given_back_are_not_spent() {
    let platform = Platform::default();
    let now = Duration::from_secs(1);
    let mut share = Share::open(&ACCOUNT.into(), &"one".into(), 1);
    share.configure(Some(PREPAID), 2, true);
    run(&mut share, &platform, now);
    assert!(share.usable(Some(now)) > 0);
    share.close();
    let Step::Write(txn) = share.step(now, Some(now)) else { panic!("the share goes back") };
    assert!(!share.reserve(1, now, Some(now)), "the write is under way");
    platform.apply(&txn);
    share.unanswered(now);
    assert!(!share.reserve(1, now, Some(now)), "the write may have been applied");
    run(&mut share, &platform, now);
    assert!(!share.reserve(1, now, Some(now)), "the write was applied");
}

#[test]
fn a_restart_takes_back_what_was_not_used() {
    let platform = Platform::default();
    let now = Duration::from_secs(1);
    let mut first = Share::open(&ACCOUNT.into(), &"one".into(), 1);
    first.configure(Some(PREPAID), 2, true);
    run(&mut first, &platform, now);
    let granted = first.free();
    assert!(granted > PREPAID / 5);
    drop(first);
    let mut second = Share::open(&ACCOUNT.into(), &"one".into(), 2);
    second.configure(Some(PREPAID), 2, true);
    run(&mut second, &platform, now + Duration::from_secs(3));
    assert!(second.out() <= granted + granted / 4, "the old share must not stay lost");
}

#[test]
fn a_scarce_budget_is_not_held_by_idle_instances() {
    let platform = Platform::default();
    let now = Duration::from_secs(1);
    let mut shares: Vec<Share> = (0..4_u64)
        .map(|at| {
            let mut share = Share::open(&ACCOUNT.into(), &format!("n{at}").into(), at + 1);
            share.configure(Some(PREPAID), 4, true);
            run(&mut share, &platform, now);
            share
        })
        .collect();
    // One request of a usual size tells each instance that fair shares are too small.
    for share in &mut shares {
        share.want(2_000);
        run(share, &platform, now);
        if share.reserve(2_000, now, Some(now)) {
            share.settle(2_000, 2_000);
        }
        share.want(0);
    }
    for share in &mut shares {
        share.look_again();
        run(share, &platform, now);
    }
    let held: Tokens = shares.iter().map(Share::free).sum();
    assert!(held <= 2_000, "{held} tokens lie idle");
}

#[ntex::test]
async fn a_refused_reservation_gives_nothing_back() {
    let keeper = Keeper::spawn(Context {
        table: Rc::new(Platform::default()),
        holder: "one".into(),
        incarnation: 1,
        clock: Arc::new(System::open()),
        log: Logger::root(Discard, o!()),
    });
    let account: AccountId = ACCOUNT.into();
    keeper.configure([(Arc::clone(&account), Some(PREPAID))].into());
    let patience = Duration::from_secs(5);
    let first = keeper.reserve(&account, 6_000, patience).await.expect("it fits");
    for _ in 0..5 {
        let refused = keeper.reserve(&account, 6_000, patience).await;
        assert_eq!(refused.err(), Some(Fault::Exhausted));
    }
    let rest = keeper.reserve(&account, 4_000, patience).await.expect("the rest fits");
    let none = keeper.reserve(&account, 1, patience).await;
    assert_eq!(none.err(), Some(Fault::Exhausted));
    drop((first, rest));
}
