//! Records of prompt parts that crash upstreams, at several instances on one table.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use base::clock::{Clock, Manual};
use base::prelude::{Arc, ServiceId};
use futures::FutureExt;
use futures::future::ready;
use route::poison::Verdict;
use route::poison::suspect::board::{Board, MAX_RECORDS, MAX_SUSPECTS_PER_CRASH};
use route::poison::suspect::client::{self, Client};
use route::poison::suspect::{Admission, Crash, Id, Suspect, Suspects};
use slog::{Discard, Logger, o};
use store::memory::Platform;
use store::{Commit, Error, Pending, Row, Table, Txn};

/// Interval at which the instances of the tests read the records.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which every instance has read a record that another one wrote.
const PROPAGATION_TIME: Duration = Duration::from_millis(200);

/// Time in milliseconds at which the tests of a board begin.
const START: u64 = 1_000_000;

fn crash(parts: &[Id], run: u64, sent_before_ms: u64) -> Crash {
    let sent_before = Duration::from_millis(sent_before_ms);
    let suspects = parts.iter().map(|id| Suspect { id: *id, sent_before }).collect();
    Crash { service: service(), suspects, run_id: format!("run-{run}") }
}

/// Returns the only service of most tests.
fn service() -> ServiceId {
    "s".into()
}

fn crash_at(service: &str, parts: &[Id], run: u64, sent_before_ms: u64) -> Crash {
    Crash { service: service.into(), ..crash(parts, run, sent_before_ms) }
}

/// Guards against sound requests that are refused because several upstreams ended at once.
#[test]
fn upstreams_that_end_together_count_once() {
    let mut board = Board::default();
    for run in 0..5 {
        board.record_crash(&crash(&[7], run, 100), START + run);
    }
    assert_eq!(board.verdict(&service(), 7, START + 10), Verdict::Suspect);
    // This request was sent after the crashes.
    board.record_crash(&crash(&[7], 5, 100), START + 500);
    assert_eq!(board.verdict(&service(), 7, START + 500), Verdict::Guilty);
}

/// Guards against sound requests that are refused because they share a part with a crashing one.
#[test]
fn only_the_part_without_an_answer_is_refused() {
    let mut board = Board::default();
    let (shared, session, crashing) = (1, 2, 3);
    board.record_answer(&service(), &[shared], START);
    board.record_crash(&crash(&[shared, session, crashing], 0, 50), START + 1_000);
    board.record_crash(&crash(&[shared, session, crashing], 1, 50), START + 2_000);
    assert_eq!(board.admit(&service(), &[shared], START + 2_000).0, Admission::Granted);
    assert_eq!(board.admit(&service(), &[shared, crashing], START + 2_000).0, Admission::Refused);
    // A request that was in flight with the session answers.
    assert_eq!(
        board.record_answer(&service(), &[shared, session], START + 2_100).disproved,
        [session]
    );
    assert_eq!(board.admit(&service(), &[shared, session], START + 2_100).0, Admission::Granted);
    assert_eq!(board.admit(&service(), &[crashing, session], START + 2_100).0, Admission::Refused);
}

/// Guards against a suspect that is new again at each service to which its route leads.
#[test]
fn crashes_at_all_services_add_up() {
    let mut board = Board::default();
    board.record_crash(&crash_at("a", &[3], 0, 50), START);
    board.record_crash(&crash_at("b", &[3], 1, 50), START + 1_000);
    for service in ["a", "b", "c"].map(ServiceId::from) {
        assert_eq!(board.verdict(&service, 3, START + 1_000), Verdict::Guilty, "at {service}");
        let admission = board.admit(&service, &[3], START + 2_000).0;
        assert_eq!(admission, Admission::Refused, "at {service}");
    }
    // The trials are counted for all services together.
    let mut record = board.entry(3).expect("known").record.clone();
    record.start_trial(START + 4_000);
    record.add_crash("run-2", record_crash_at("c", START + 4_100));
    assert!(!record.is_trial_due(START + 20_000) && record.is_trial_due(START + 24_100));
    record.start_trial(START + 24_100);
    assert!(!record.is_trial_due(START + 500_000));
}

fn record_crash_at(service: &str, at: u64) -> route::poison::suspect::record::Crash {
    route::poison::suspect::record::Crash { service: service.into(), sent: at, at }
}

/// Guards against answers of a service that the part does not crash, which clear it at another one,
/// and against refusals at the former.
#[test]
fn an_answer_clears_a_part_at_its_service_only() {
    let mut board = Board::default();
    let [a, b, c] = ["a", "b", "c"].map(ServiceId::from);
    board.record_crash(&crash_at("a", &[3], 0, 50), START);
    board.record_crash(&crash_at("a", &[3], 1, 50), START + 1_000);
    let clearance = board.record_answer(&b, &[3], START + 2_000);
    assert_eq!((clearance.disproved, clearance.harmless), (vec![], vec![3]));
    // Further answers change nothing that the table must be told.
    assert!(board.record_answer(&b, &[3], START + 2_100).harmless.is_empty());
    // Crashes elsewhere do not count at a service that has answered.
    board.record_crash(&crash_at("a", &[3], 2, 50), START + 60_000);
    let verdicts = [&a, &b, &c].map(|service| board.verdict(service, 3, START + 60_000));
    assert_eq!(verdicts, [Verdict::Guilty, Verdict::Clear, Verdict::Guilty]);
    // Its own later ones do.
    board.record_crash(&crash_at("b", &[3], 3, 50), START + 61_000);
    board.record_crash(&crash_at("b", &[3], 4, 50), START + 62_000);
    assert_eq!(board.verdict(&b, 3, START + 62_000), Verdict::Guilty);
    // Answers of all services with crashes end the suspicion.
    assert_eq!(board.record_answer(&b, &[3], START + 63_000).harmless, [3]);
    assert_eq!(board.record_answer(&a, &[3], START + 63_000).disproved, [3]);
    assert_eq!(board.verdict(&c, 3, START + 63_000), Verdict::Clear);
}

/// Guards against refusals at a service that has just answered, because of crashes at another one.
#[test]
fn a_service_that_has_just_answered_does_not_refuse_a_part() {
    let mut board = Board::default();
    let b = ServiceId::from("b");
    assert!(board.record_answer(&b, &[3], START).harmless.is_empty());
    board.record_crash(&crash_at("a", &[3], 0, 50), START + 1_000);
    board.record_crash(&crash_at("a", &[3], 1, 50), START + 2_000);
    assert_eq!(board.admit(&b, &[3], START + 2_000).0, Admission::Granted);
    assert_eq!(board.admit(&"a".into(), &[3], START + 2_000).0, Admission::Refused);
    // The next answer there tells the other instances.
    assert_eq!(board.record_answer(&b, &[3], START + 2_100).harmless, [3]);
}

/// Guards against a wrong verdict that lasts, and against trials that crash upstreams forever.
#[test]
fn a_verdict_is_tried_soon_and_then_rarely() {
    let mut board = Board::default();
    board.record_crash(&crash(&[3], 0, 50), START);
    board.record_crash(&crash(&[3], 1, 50), START + 1_000);
    assert_eq!(board.admit(&service(), &[3], START + 3_000), (Admission::Refused, vec![]));
    assert_eq!(board.admit(&service(), &[3], START + 4_000), (Admission::Trial, vec![3]));
    // Suspects that occur together, such as a request and its part, are tried together, and only
    // when a trial of each of them is due.
    board.record_crash(&crash(&[4], 0, 50), START);
    board.record_crash(&crash(&[4], 1, 50), START + 2_000);
    assert_eq!(board.admit(&service(), &[3, 4], START + 4_000), (Admission::Refused, vec![]));
    let (admission, mut tried) = board.admit(&service(), &[3, 4], START + 5_000);
    tried.sort_unstable();
    assert_eq!((admission, tried), (Admission::Trial, vec![3, 4]));
    let mut record = board.entry(3).expect("known").record.clone();
    let mut trials = Vec::new();
    for second in 4..300 {
        if record.is_trial_due(START + second * 1_000) {
            record.start_trial(START + second * 1_000);
            trials.push(second);
        }
    }
    assert_eq!(trials, [4, 24]);
}

/// Guards against records that fill the memory and the table.
#[test]
fn a_flood_of_new_parts_stays_bounded() {
    let mut board = Board::default();
    for run in 0..100 {
        let parts: Vec<Id> = (0..500).map(|part| run * 1_000 + part).collect();
        board.record_crash(&crash(&parts, run, 50), START + run);
        let unpublished = board.unpublished();
        assert!(unpublished.len() <= MAX_SUSPECTS_PER_CRASH);
        for part in unpublished {
            let record = board.entry(part).expect("known").record.clone();
            board.mark_published(part, &record, run + 1);
        }
        for part in board.surplus(usize::MAX) {
            board.remove(part);
        }
        let count = (0..100_000).filter(|part| board.entry(*part).is_some()).count();
        assert!(count <= MAX_RECORDS, "{count} records");
    }
}

/// Table that can be made unreachable, with a clock.
#[derive(Debug, Default)]
struct Switch {
    platform: Platform,
    is_down: Cell<bool>,
    clock: Manual,
}

impl Switch {
    fn check<'a, T: 'a>(&'a self, call: Pending<'a, T>) -> Pending<'a, T> {
        if self.is_down.get() {
            return ready(Err(Error::Unreachable("switched off".into()))).boxed_local();
        }
        call
    }
}

impl Table for Switch {
    fn get(&self, keys: Vec<String>) -> Pending<'_, Vec<Row>> {
        self.check(self.platform.get(keys))
    }

    fn scan(&self, prefix: String, after: String, limit: usize) -> Pending<'_, Vec<Row>> {
        self.check(self.platform.scan(prefix, after, limit))
    }

    fn commit(&self, txn: Txn) -> Pending<'_, Commit> {
        if self.is_down.get() {
            return ready(Err(Error::Unreachable("switched off".into()))).boxed_local();
        }
        self.platform.commit(txn)
    }

    fn now(&self) -> Option<Duration> {
        Some(self.clock.now())
    }

    fn era(&self) -> Option<u64> {
        self.platform.era()
    }
}

fn start_instance(table: &Rc<Switch>) -> Client {
    let clock: Arc<dyn Clock> = Arc::new(Manual::default());
    let log = Logger::root(Discard, o!());
    let rows = Rc::clone(table) as Rc<dyn Table>;
    let (suspects, inbox) = client::open(rows, clock, log.clone());
    ntex::rt::spawn(client::serve(inbox, POLL_INTERVAL, log));
    suspects
}

async fn wait() {
    tokio::time::sleep(PROPAGATION_TIME).await;
}

/// Guards against a part that each instance has to learn of by crashes of its own.
#[ntex::test]
async fn crashes_seen_by_different_instances_add_up() {
    let table = Rc::new(Switch::default());
    let instances: Vec<Client> = (0..3).map(|_| start_instance(&table)).collect();
    for (run, instance) in instances[..2].iter().enumerate() {
        table.clock.advance(Duration::from_secs(1));
        instance.record_crash(&crash(&[7], run as u64, 50));
        wait().await;
    }
    for instance in &instances {
        assert_eq!(instance.admit(&service(), &[7]).await, Admission::Refused);
    }
    // Only one of the instances gets the trial.
    table.clock.advance(Duration::from_secs(4));
    let mut trials = 0;
    for instance in &instances {
        trials += usize::from(instance.admit(&service(), &[7]).await == Admission::Trial);
    }
    assert_eq!(trials, 1);
    instances[2].record_answer(&service(), &[7]);
    wait().await;
    for instance in &instances {
        assert_eq!(instance.admit(&service(), &[7]).await, Admission::Granted);
    }
}

/// Guards against an answer at one service that the other instances do not learn of, and against
/// crashes at two services that two instances count apart.
#[ntex::test]
async fn instances_agree_on_crashes_and_answers_at_several_services() {
    let table = Rc::new(Switch::default());
    let (one, two) = (start_instance(&table), start_instance(&table));
    let [a, b] = ["a", "b"].map(ServiceId::from);
    one.record_crash(&crash_at("a", &[7], 0, 50));
    wait().await;
    table.clock.advance(Duration::from_secs(1));
    two.record_crash(&crash_at("b", &[7], 1, 50));
    wait().await;
    for instance in [&one, &two] {
        assert!(instance.is_refused(&a, &[7]) && instance.is_refused(&b, &[7]));
    }
    table.clock.advance(Duration::from_secs(1));
    one.record_answer(&b, &[7]);
    wait().await;
    for instance in [&one, &two] {
        assert!(!instance.is_refused(&b, &[7]), "an answer has begun at this service");
        assert!(!instance.is_refused(&a, &[7]), "its crash had another cause");
    }
    two.record_crash(&crash_at("a", &[7], 2, 50));
    wait().await;
    for instance in [&one, &two] {
        assert!(instance.is_refused(&a, &[7]) && !instance.is_refused(&b, &[7]));
    }
}

/// Guards against crashes that are forgotten in an outage or a restore of the table.
#[ntex::test]
async fn crashes_of_parts_outlive_an_outage_and_a_restore_of_the_table() {
    let table = Rc::new(Switch::default());
    let (one, two) = (start_instance(&table), start_instance(&table));
    wait().await;
    let backup = table.platform.backup();
    table.is_down.set(true);
    for run in 0..2 {
        table.clock.advance(Duration::from_secs(1));
        one.record_crash(&crash(&[7], run, 50));
    }
    assert!(one.is_refused(&service(), &[7]), "known at once where it was seen");
    table.is_down.set(false);
    wait().await;
    assert!(two.is_refused(&service(), &[7]), "known everywhere after the outage");
    table.platform.restore(&backup);
    wait().await;
    wait().await;
    assert!(
        one.is_refused(&service(), &[7]) && two.is_refused(&service(), &[7]),
        "known after the restore"
    );
    let third = start_instance(&table);
    wait().await;
    assert!(third.is_refused(&service(), &[7]), "the restored table has the record again");
}
