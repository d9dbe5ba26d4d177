//! Classification of holders as dead.
//!
//! Guards against the recovery of a holder that may still spend its pieces, and against a dead
//! holder whose pieces are never recovered. A silent holder may be alive behind a network
//! partition, and the clocks of two instances differ.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use ledger::recover::{DeadHolder, Snapshot};
use ledger::row::{Holder, State};
use store::Listing;
use test_case::test_case;

/// End of the lease of every holder, in milliseconds since the Unix epoch.
const LEASE_UNTIL: u64 = 10_000;

fn listing(instance: &str) -> Listing {
    Listing {
        instance: instance.into(),
        address: String::new(),
        peer_address: String::new(),
        domain: String::new(),
        leaving: false,
    }
}

fn dead_holders(
    ids: &[(&str, State)],
    listed: &[&str],
    ever_listed: &[&str],
    wall: u64,
) -> Vec<DeadHolder> {
    let holder = |state| Holder { state, seq: 1, lease_until: LEASE_UNTIL, exposed: 5 };
    let holders: BTreeMap<String, Holder> =
        ids.iter().map(|(id, state)| ((*id).to_owned(), holder(*state))).collect();
    let listed: Vec<Listing> = listed.iter().map(|instance| listing(instance)).collect();
    let ever_listed: BTreeSet<InstanceId> =
        ever_listed.iter().map(|instance| (*instance).into()).collect();
    let snapshot = Snapshot {
        holders: &holders,
        listed: &listed,
        ever_listed: &ever_listed,
        wall: Duration::from_millis(wall),
        max_clock_skew: Duration::from_secs(5),
    };
    snapshot.dead_holders()
}

#[test_case(&["a"], &["a"], 3_600_000, false ; "a silent holder that is listed keeps its pieces")]
#[test_case(&[], &["a"], 14_000, false ; "a lapse within the clock skew does not make a holder dead")]
#[test_case(&[], &["a"], 16_000, true ; "an unlisted holder with a lapsed lease is dead")]
#[test_case(&[], &[], 3_600_000, false ; "a holder that was never listed keeps its pieces")]
fn open_holder_is_dead_only_if_unlisted_and_lapsed(
    listed: &[&str],
    ever_listed: &[&str],
    wall: u64,
    expected: bool,
) {
    let found = dead_holders(&[("a.1", State::Open)], listed, ever_listed, wall);
    let expected_holder = DeadHolder { holder: "a.1".into(), died_in_lease: false };
    assert_eq!(found, if expected { vec![expected_holder] } else { vec![] });
}

#[test]
fn holder_with_a_newer_incarnation_is_dead() {
    let ids = [("a.1", State::Open), ("a.2", State::Open), ("ab.1", State::Open)];
    let expected_holder = DeadHolder { holder: "a.1".into(), died_in_lease: true };
    assert_eq!(dead_holders(&ids, &["a", "ab"], &["a", "ab"], 0), [expected_holder]);
}

#[test]
fn fenced_holder_is_dead_but_closed_holder_is_not() {
    let ids = [("a.1", State::Fenced), ("b.1", State::Closed)];
    let expected_holder = DeadHolder { holder: "a.1".into(), died_in_lease: false };
    assert_eq!(dead_holders(&ids, &["a", "b"], &["a", "b"], 0), [expected_holder]);
}

#[test_case("a.6000", false ; "the successor started too near the end of the lease")]
#[test_case("a.4000", true ; "the successor started well within the lease")]
fn death_in_lease_needs_a_margin_for_clock_skew(newer: &str, expected: bool) {
    let ids = [("a.1", State::Open), (newer, State::Open)];
    let found = dead_holders(&ids, &["a"], &["a"], 7_000);
    assert_eq!(found, [DeadHolder { holder: "a.1".into(), died_in_lease: expected }]);
}
