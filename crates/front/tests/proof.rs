//! Proof of the incarnation of an upstream, replayed with restarts whose entries are late.

use std::rc::Rc;
use std::time::Duration;

use front::Fleet;
use front::fleet::Change;
use front::proof::{ENTRY_DELAY, Proof};
use front::upstream::{Entry, Upstream};

/// When the upstream starts again as another version.
const RESTARTED_AT: Duration = Duration::from_mins(1);
/// Latest time after a restart at which the store shows the new entry, in milliseconds.
const MAX_ENTRY_AGE_MS: u64 = 2_000;

fn entry(born: u64, version: &str) -> Entry {
    Entry {
        id: "i-1".into(),
        born,
        sequence: 1,
        version: version.into(),
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "z".into(),
        slots: 8,
        cold_remaining: Duration::ZERO,
        leaving: false,
    }
}

/// Fleet with one upstream, whose list is read every `interval`.
struct Replay {
    fleet: Fleet,
    first: Rc<Upstream>,
    interval: Duration,
    entry_age: Duration,
}

impl Replay {
    fn open(interval: Duration, entry_age: Duration) -> Self {
        let fleet = Fleet::open("z".into());
        fleet.apply(&Change::Listed(entry(1, "v1")));
        let first = fleet.find("i-1").expect("listed");
        Self { fleet, first, interval, entry_age }
    }

    /// Reads the list for the last time up to `now`.
    fn read_list(&self, now: Duration) {
        let rounds = u32::try_from(now.as_nanos() / self.interval.as_nanos()).expect("few");
        let at = self.interval * rounds;
        self.fleet.set_confirmed(Some(at));
        if at >= RESTARTED_AT + self.entry_age {
            self.fleet.apply(&Change::Listed(entry(2, "v2")));
        }
    }
}

/// Guards against streams that go on at an upstream that has started again as another version,
/// because its entry is late and this instance has seen no refused connect.
#[test]
fn no_connection_to_a_restarted_upstream_is_taken_for_one_to_the_listed_incarnation() {
    let millis = Duration::from_millis;
    for interval in [50, 400, 1_800].map(millis) {
        for entry_age in (0..=MAX_ENTRY_AGE_MS).step_by(100).map(millis) {
            for opened_after in (0..4_000).step_by(70).map(millis) {
                let replay = Replay::open(interval, entry_age);
                let opened_at = RESTARTED_AT + opened_after;
                replay.read_list(opened_at);
                let proof = replay.fleet.proof_of_new(&replay.first, opened_at);
                for later in (0..8_000).step_by(50).map(millis) {
                    replay.read_list(opened_at + later);
                    assert!(
                        !replay.fleet.is_certain(&replay.first, proof),
                        "opened {opened_after:?} after the restart, entry shown {entry_age:?} after it"
                    );
                }
                let listing = replay.fleet.listing(&replay.first);
                assert!(!proof.is_likely(listing), "the list has shown the restart");
            }
        }
    }
}

/// Guards against streams that cannot go on at an upstream that has not started again.
#[test]
fn an_open_connection_is_proven_once_the_list_would_have_shown_a_restart() {
    let interval = Duration::from_millis(400);
    let replay = Replay::open(interval, Duration::ZERO);
    let opened_at = Duration::from_secs(20);
    replay.read_list(opened_at);
    let proof = replay.fleet.proof_of_new(&replay.first, opened_at);
    assert!(proof.is_likely && !replay.fleet.is_certain(&replay.first, proof));
    replay.read_list(opened_at + ENTRY_DELAY + interval);
    assert!(replay.fleet.is_certain(&replay.first, proof));
    // It stays so after the restart, whichever entry is listed.
    replay.read_list(RESTARTED_AT + Duration::from_secs(1));
    assert!(replay.fleet.is_certain(&replay.first, proof));
}

/// Guards against waiting where the upstream itself has said which incarnation it is.
#[test]
fn a_statement_of_the_upstream_proves_the_connections_before_it() {
    let replay = Replay::open(Duration::from_millis(400), Duration::ZERO);
    let asked_at = Duration::from_secs(20);
    replay.first.stated_at.set(Some(asked_at));
    let proof = |opened_at| Proof { opened_at, is_likely: false };
    assert!(replay.fleet.is_certain(&replay.first, proof(asked_at)));
    let later = asked_at + Duration::from_millis(1);
    assert!(!replay.fleet.is_certain(&replay.first, proof(later)));
}
