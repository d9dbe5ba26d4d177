//! Properties of the fair scheduler under generated sequences of operations.
//!
//! They guard against three faults: a slot that is granted twice or lost, an account with a long
//! queue that starves others, and a request that is queued although its wait is known to be too
//! long.

use std::collections::BTreeMap;
use std::time::Duration;

use flow::scheduler::{Admission, Request, Scheduler, WaiterId};
use proptest::prelude::*;

fn request(account: usize, max_wait: Duration) -> Request {
    Request { account: format!("a{account}").into(), weight: 4, cost: 1, max_wait }
}

#[derive(Debug, Clone)]
enum Op {
    Admit(usize),
    Release,
    Cancel(usize),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..5_usize).prop_map(Op::Admit),
        3 => Just(Op::Release),
        1 => (0..20_usize).prop_map(Op::Cancel),
    ]
}

proptest! {
    #[test]
    fn slots_are_neither_exceeded_nor_left_idle_while_requests_wait(
        capacity in 1..5_usize,
        ops in prop::collection::vec(op(), 1..200),
    ) {
        let mut scheduler = Scheduler::default();
        let mut waiting: BTreeMap<WaiterId, usize> = BTreeMap::new();
        let mut running = 0;
        for op in ops {
            match op {
                Op::Admit(account) => match scheduler.admit(
                    &request(account, Duration::MAX),
                    capacity,
                    50,
                ) {
                    Admission::Granted => running += 1,
                    Admission::Queued(waiter) => {
                        waiting.insert(waiter, account);
                    }
                    Admission::Rejected(_) => prop_assert!(waiting.len() >= 50),
                },
                Op::Release if running > 0 => {
                    running -= 1;
                    scheduler.release(Duration::ZERO);
                }
                Op::Release => {}
                Op::Cancel(position) => {
                    let found = waiting.iter().nth(position).map(|(id, account)| (*id, *account));
                    if let Some((waiter, account)) = found {
                        waiting.remove(&waiter);
                        let account = request(account, Duration::ZERO).account;
                        prop_assert!(scheduler.cancel(&account, waiter));
                    }
                }
            }
            while let Some(waiter) = scheduler.grant_next(capacity) {
                prop_assert!(waiting.remove(&waiter).is_some());
                running += 1;
            }
            prop_assert!(running <= capacity);
            prop_assert!(running == capacity || waiting.is_empty());
            prop_assert_eq!(scheduler.load(), (running, waiting.len()));
        }
    }

    #[test]
    fn a_new_account_waits_for_at_most_one_slot_per_backlogged_account(
        backlog in 10..200_usize,
        busy_accounts in 1..4_usize,
    ) {
        let mut scheduler = Scheduler::default();
        prop_assert_eq!(scheduler.admit(&request(9, Duration::MAX), 1, 9_999), Admission::Granted);
        for number in 0..backlog {
            scheduler.admit(&request(number % busy_accounts, Duration::MAX), 1, 9_999);
        }
        for _ in 0..5 {
            scheduler.release(Duration::ZERO);
            scheduler.grant_next(1);
        }
        let Admission::Queued(newcomer) = scheduler.admit(&request(8, Duration::MAX), 1, 9_999)
        else {
            return Err(TestCaseError::fail("the request was not queued"));
        };
        let mut granted_before = 0;
        loop {
            scheduler.release(Duration::ZERO);
            if scheduler.grant_next(1) == Some(newcomer) {
                break;
            }
            granted_before += 1;
        }
        prop_assert!(
            granted_before <= busy_accounts,
            "{granted_before} slots were granted to others first"
        );
    }
}

#[test]
fn a_request_whose_estimated_wait_exceeds_its_limit_is_rejected() {
    let mut scheduler = Scheduler::default();
    let mut now = Duration::ZERO;
    for _ in 0..20 {
        scheduler.admit(&request(0, Duration::MAX), 1, 100);
    }
    for _ in 0..10 {
        now += Duration::from_millis(100);
        scheduler.release(now);
        scheduler.grant_next(1);
    }
    let refused = scheduler.admit(&request(0, Duration::from_millis(500)), 1, 100);
    let Admission::Rejected(wait) = refused else { panic!("{refused:?}") };
    assert!((900..=1_200).contains(&wait.as_millis()), "{wait:?}");
    let newcomer = scheduler.admit(&request(1, Duration::from_millis(500)), 1, 100);
    assert!(matches!(newcomer, Admission::Queued(_)), "{newcomer:?}");
}
