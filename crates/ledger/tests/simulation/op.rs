//! Operations of a generated history.

use proptest::collection::vec;
use proptest::prelude::*;

/// How a transaction and its reply are delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    Applied,
    ReplyLost,
    Lost,
    /// The transaction is applied, and a copy of it arrives later.
    Duplicated,
    /// The transaction arrives later than its repetitions.
    Delayed,
}

#[derive(Debug, Clone)]
pub enum Op {
    Reserve { node: usize, budget: usize, bound: u64 },
    Step { node: usize, delivery: Delivery },
    Dispatch { node: usize },
    Settle { node: usize, used_percent: u64 },
    DeliverLate { index: usize },
    Advance { millis: u64 },
    TopUp { budget: usize, tokens: u64 },
    Recall { node: usize, budget: usize, tokens: u64 },
    Crash { node: usize },
    Fence { node: usize },
    Recover { calls: u8 },
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        8 => Just(Delivery::Applied),
        2 => Just(Delivery::ReplyLost),
        1 => Just(Delivery::Lost),
        2 => Just(Delivery::Duplicated),
        1 => Just(Delivery::Delayed),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    let node = 0..3_usize;
    prop_oneof![
        12 => (node.clone(), 0..3_usize, 1..200_u64)
            .prop_map(|(node, budget, bound)| Op::Reserve { node, budget, bound }),
        30 => (node.clone(), delivery()).prop_map(|(node, delivery)| Op::Step { node, delivery }),
        12 => node.clone().prop_map(|node| Op::Dispatch { node }),
        10 => (node.clone(), 0..=100_u64)
            .prop_map(|(node, used_percent)| Op::Settle { node, used_percent }),
        4 => any::<usize>().prop_map(|index| Op::DeliverLate { index }),
        4 => prop_oneof![Just(20_u64), Just(300), Just(1_100), Just(3_000), Just(12_000)]
            .prop_map(|millis| Op::Advance { millis }),
        1 => (0..3_usize, 1..500_u64).prop_map(|(budget, tokens)| Op::TopUp { budget, tokens }),
        2 => (node.clone(), 0..4_usize, 1..300_u64)
            .prop_map(|(node, budget, tokens)| Op::Recall { node, budget, tokens }),
        1 => node.clone().prop_map(|node| Op::Crash { node }),
        1 => node.prop_map(|node| Op::Fence { node }),
        2 => any::<u8>().prop_map(|calls| Op::Recover { calls: calls % 24 }),
    ]
}

/// Returns a strategy for whole histories.
pub fn history() -> impl Strategy<Value = Vec<Op>> {
    vec(op(), 20..160)
}
