//! Generated histories of spending, lost or repeated writes, crashes and recovery.
//!
//! Guards against overspent budgets, double bills, and answers without a bill. They come about when
//! a transaction is lost, delayed or applied twice, or when a process dies between two writes.

mod simulation;

use proptest::prelude::*;

use simulation::op::{Delivery, Op, history};
use simulation::{RequestPath, Simulation};

fn run(ops: &[Op]) -> Result<(), String> {
    let mut simulation = Simulation::open(3, None, RequestPath::Correct);
    for op in ops {
        simulation.apply(op)?;
    }
    simulation.finish()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, ..Default::default() })]

    #[test]
    fn invariants_hold_after_every_operation(ops in history()) {
        run(&ops).map_err(TestCaseError::fail)?;
    }
}

#[test]
fn state_of_an_unused_budget_is_dropped() {
    let mut simulation = Simulation::open(1, None, RequestPath::Correct);
    let step = Op::Step { node: 0, delivery: Delivery::Applied };
    let reserve = Op::Reserve { node: 0, budget: 0, bound: 50 };
    let settle = Op::Settle { node: 0, used_percent: 40 };
    let operations = [
        reserve,
        step.clone(),
        step.clone(),
        step.clone(),
        Op::Dispatch { node: 0 },
        step.clone(),
        settle,
    ];
    for op in operations {
        simulation.apply(&op).unwrap();
    }
    assert_eq!(simulation.nodes[0].writer.core().budget_count(), 1);
    for _ in 0..20 {
        simulation.apply(&Op::Advance { millis: 1_000 }).unwrap();
        simulation.apply(&step).unwrap();
    }
    assert_eq!(simulation.nodes[0].writer.core().budget_count(), 0);
}
