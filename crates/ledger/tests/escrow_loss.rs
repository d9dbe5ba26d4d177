//! Replays the loss of power of all instances while an account is spent at a steady rate.
//!
//! What the instances promised and had not recorded counts as spent afterwards. The budget that
//! is stranded so has to stay under the part that nobody is owed.

use base::prelude::*;
use ledger::escrow::row::{prefix, total_key};
use ledger::escrow::share::Step;
use ledger::escrow::{Held, Share, Total};
use store::memory::Platform;
use test_case::test_case;

const ACCOUNT: &str = "shop";
const PREPAID: Tokens = 5_000_000;
/// Instances that callers are given.
const INSTANCES: usize = 7;
/// Requests of the account in a second, over all instances.
const REQUESTS_PER_S: u64 = 9;
/// Mean tokens of a request.
const REQUEST: Tokens = 17_000;
/// Time of one request.
const RUN: Duration = Duration::from_secs(1);
/// Time between looks at a share.
const TICK: Duration = Duration::from_millis(10);
/// Time without power.
const DARK: Duration = Duration::from_secs(2);
/// Part of a budget, in a hundred, that may be stranded by all losses together.
const STRANDED: Tokens = 3;
const ROWS: usize = 100;

struct Run {
    at: usize,
    bound: Tokens,
    end: Duration,
}

/// Instances that spend one account, and what they really spent.
struct World {
    platform: Platform,
    shares: Vec<Share>,
    runs: Vec<Run>,
    now: Duration,
    spent: Tokens,
    refused: usize,
    writes: usize,
}

impl World {
    fn open() -> Self {
        let mut world = Self {
            platform: Platform::default(),
            shares: Vec::new(),
            runs: Vec::new(),
            now: Duration::from_secs(1),
            spent: 0,
            refused: 0,
            writes: 0,
        };
        world.start(1);
        world
    }

    /// Starts all instances.
    fn start(&mut self, incarnation: u64) {
        self.shares = (0..INSTANCES)
            .map(|at| {
                let holder: InstanceId = format!("node-{at}").into();
                let mut share = Share::open(&ACCOUNT.into(), &holder, incarnation);
                share.configure(Some(PREPAID), INSTANCES as u64, true);
                share
            })
            .collect();
        (0..INSTANCES).for_each(|at| self.step(at));
    }

    /// Runs the steps of one share until it has none.
    fn step(&mut self, at: usize) {
        let now = self.now;
        for _ in 0..8 {
            match self.shares[at].step(now, Some(now)) {
                Step::Idle => return,
                Step::Read => {
                    let rows = self.platform.range(&prefix(ACCOUNT), "", ROWS);
                    self.shares[at].loaded(&rows, now, now);
                }
                Step::Write(txn) => {
                    let result = self.platform.apply(&txn);
                    self.writes += 1;
                    self.shares[at].written(&txn, &result, now);
                }
            }
        }
    }

    fn request(&mut self, number: u64) {
        // Callers spread unevenly, and prompts differ in size by a factor of eight.
        let at = (number * number % 11) as usize % INSTANCES;
        let bound = REQUEST / 4 * (1 + number * 5 % 8) * 8 / 9;
        let (now, share) = (self.now, &mut self.shares[at]);
        if !share.reserve(bound, now, Some(now)) {
            share.want(bound);
            self.step(at);
            let mut is_reserved = self.shares[at].reserve(bound, now, Some(now));
            if !is_reserved && self.shares[at].shortage(bound, now).is_none() {
                self.shares[at].look_again();
                self.step(at);
                is_reserved = self.shares[at].reserve(bound, now, Some(now));
            }
            self.shares[at].want(0);
            if !is_reserved {
                self.refused += 1;
                return;
            }
        }
        self.runs.push(Run { at, bound, end: now + RUN });
    }

    /// Lets callers send requests until a part of the budget is left, in a hundred.
    fn spend_until(&mut self, left: Tokens) {
        let mut number = 0;
        let mut next = self.now;
        while PREPAID - self.spent > PREPAID / 100 * left {
            if self.now >= next {
                self.request(number);
                number += 1;
                next += Duration::from_secs(1) / u32::try_from(REQUESTS_PER_S).expect("small");
            }
            let now = self.now;
            for run in self.runs.extract_if(.., |run| run.end <= now) {
                self.shares[run.at].settle(run.bound, run.bound);
                self.spent += run.bound;
            }
            for at in 0..INSTANCES {
                let share = &mut self.shares[at];
                if share.is_due(now) {
                    if share.is_unread(now) {
                        share.look_again();
                    }
                    self.step(at);
                }
            }
            self.now += TICK;
        }
    }

    /// Takes power from all instances; what ran has been read by its engine and counts.
    fn lose_power(&mut self) {
        self.spent += self.runs.drain(..).map(|run| run.bound).sum::<Tokens>();
        self.now += DARK;
        self.start(2);
        (0..INSTANCES).for_each(|at| self.step(at));
    }

    /// Returns the tokens that no instance may spend although they were not spent.
    fn stranded(&self) -> Tokens {
        let rows = self.platform.range(&prefix(ACCOUNT), "", ROWS);
        let total = rows.iter().find(|row| row.key == total_key(ACCOUNT)).expect("a total");
        let total: Total = serde_json::from_value(total.value.clone()).expect("a total");
        let held = rows.iter().filter(|row| row.key != total_key(ACCOUNT));
        let free: Tokens = held
            .map(|row| serde_json::from_value::<Held>(row.value.clone()).expect("a share").free())
            .sum();
        (PREPAID - self.spent).saturating_sub(PREPAID - total.out + free)
    }
}

#[test_case(50; "with half of the budget left")]
#[test_case(30; "with 30 in 100 left")]
#[test_case(15; "with 15 in 100 left")]
#[test_case(8; "with 8 in 100 left")]
#[test_case(5; "with 5 in 100 left")]
fn a_loss_of_all_instances_strands_little(left: Tokens) {
    let mut world = World::open();
    world.spend_until(left);
    assert_eq!(world.refused, 0, "nothing is refused before");
    world.lose_power();
    let stranded = world.stranded();
    println!("stranded {stranded} of {PREPAID}, {} writes", world.writes);
    assert!(stranded <= PREPAID / 100 * STRANDED, "{stranded} of {PREPAID}");
}
