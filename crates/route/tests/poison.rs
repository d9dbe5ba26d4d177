//! Poison requests, with the records of the daemon in an in-memory table.
//!
//! Guards against a poison request that crashes more than two upstreams, and against healthy
//! requests that are rejected because they were in flight at a crash.

use std::rc::Rc;
use std::time::Duration;

use base::clock::{Clock, Manual, millis};
use base::prelude::Arc;
use futures::executor::block_on;
use proptest::prelude::*;
use route::poison::cache::Cache;
use route::poison::record::Record;
use route::poison::table::Table;
use route::poison::{
    Admission, Crash, Fingerprint, MAX_TRIAL_TIME, RECORD_TTL, Verdict, fingerprint,
};
use store::memory::Platform;

/// Number of instances in the model.
const INSTANCES: usize = 3;
/// Number of upstreams in the model.
const UPSTREAMS: usize = 4;

/// Instances with one cache each and a shared table.
struct Cluster {
    clock: Arc<Manual>,
    table: Table,
    caches: [Cache; INSTANCES],
    runs: usize,
}

impl Cluster {
    fn open() -> Self {
        let clock = Arc::new(Manual::default());
        clock.advance(Duration::from_secs(1_000));
        let rows = Rc::new(Platform::open(Arc::clone(&clock) as Arc<dyn Clock>));
        let table = Table::open(rows, Arc::clone(&clock) as Arc<dyn Clock>);
        Self { clock, table, caches: Default::default(), runs: 0 }
    }

    fn now(&self) -> u64 {
        millis(self.clock.wall())
    }

    fn poll(&self, instance: usize) {
        self.caches[instance]
            .replace_shared(block_on(self.table.read_records()).unwrap(), self.now());
    }

    /// Admits a request to an upstream by the same rules as the daemon.
    fn admit(&self, instance: usize, request: &Fingerprint, upstream: usize) -> Admission {
        match self.caches[instance].verdict(request, self.now()) {
            Verdict::Clear => Admission::Granted,
            Verdict::Guilty => Admission::Guilty,
            Verdict::Suspect => {
                block_on(self.table.request_trial(request, &format!("u{upstream}"))).unwrap()
            }
        }
    }

    /// Reports a crash; after a guilty verdict all instances have read the record.
    fn crash(&mut self, instance: usize, request: &Fingerprint, upstream: usize) -> Verdict {
        self.runs += 1;
        let crash = Crash {
            fingerprint: Arc::clone(request),
            run_id: format!("run-{}", self.runs),
            upstream: format!("u{upstream}").into(),
        };
        let record = block_on(self.table.report_crash(&crash)).unwrap();
        self.caches[instance].add_shared(request, &record);
        let verdict = record.verdict(self.now());
        if verdict == Verdict::Guilty {
            (0..INSTANCES).for_each(|instance| self.poll(instance));
        }
        verdict
    }
}

/// One event of a generated history.
#[derive(Debug, Clone)]
enum Step {
    /// A caller sends the poison request to an upstream with `healthy` requests in flight.
    Send { instance: usize, upstream: usize, healthy: usize },
    /// A healthy request that a crash interrupted is retried.
    Repeat { instance: usize, upstream: usize },
    /// The healthy request that started first completes.
    Finish,
    /// An instance reads the records from the table.
    Poll { instance: usize },
    /// The clock advances by `millis`.
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..INSTANCES, 0..UPSTREAMS, 0..4_usize).prop_map(
            |(instance, upstream, healthy)| Step::Send { instance, upstream, healthy }),
        4 => (0..INSTANCES, 0..UPSTREAMS).prop_map(
            |(instance, upstream)| Step::Repeat { instance, upstream }),
        2 => Just(Step::Finish),
        2 => (0..INSTANCES).prop_map(|instance| Step::Poll { instance }),
        2 => (0_u64..8_000).prop_map(|millis| Step::Wait { millis }),
    ]
}

proptest! {
    #[test]
    fn a_poison_request_crashes_two_upstreams_at_most_and_no_healthy_request_is_refused(
        steps in prop::collection::vec(step(), 0..60),
    ) {
        let mut cluster = Cluster::open();
        let poison = fingerprint("a", "", b"poison");
        let mut interrupted: Vec<Fingerprint> = Vec::new();
        let mut running: Vec<(Fingerprint, usize, usize)> = Vec::new();
        let mut crashes = 0;
        let mut sent = 0;
        for step in steps {
            match step {
                Step::Send { instance, upstream, healthy } => {
                    // An instance that has not read the first crash admits the poison request
                    // without a trial. The case that a healthy suspect is on trial at the same
                    // upstream at that time is not covered.
                    let verdict_here = cluster.caches[instance].verdict(&poison, cluster.now());
                    let has_running = running.iter().any(|(_, _, at)| *at == upstream);
                    if verdict_here == Verdict::Clear && has_running && crashes > 0 {
                        continue;
                    }
                    if cluster.admit(instance, &poison, upstream) != Admission::Granted {
                        continue;
                    }
                    let (cut_off, rest) = running.into_iter().partition(|one| one.2 == upstream);
                    running = rest;
                    for (request, instance, _) in cut_off {
                        let verdict = cluster.crash(instance, &request, upstream);
                        prop_assert_ne!(verdict, Verdict::Guilty);
                        interrupted.push(request);
                    }
                    crashes += 1;
                    for _ in 0..healthy {
                        sent += 1;
                        let body = format!("healthy {sent}");
                        let request = fingerprint("a", "", body.as_bytes());
                        cluster.crash(instance, &request, upstream);
                        interrupted.push(request);
                    }
                    cluster.crash(instance, &poison, upstream);
                }
                Step::Repeat { instance, upstream } => if let Some(request) = interrupted.pop() {
                    match cluster.admit(instance, &request, upstream) {
                        Admission::Granted => running.push((request, instance, upstream)),
                        Admission::Busy => interrupted.push(request),
                        other => prop_assert!(false, "admission of a healthy request: {other:?}"),
                    }
                },
                Step::Finish => if !running.is_empty() {
                    let (request, instance, upstream) = running.remove(0);
                    let name = format!("u{upstream}");
                    block_on(cluster.table.remove(&request, &name)).unwrap();
                    cluster.caches[instance].remove(&request);
                },
                Step::Poll { instance } => cluster.poll(instance),
                Step::Wait { millis } => cluster.clock.advance(Duration::from_millis(millis)),
            }
            prop_assert!(crashes <= 2, "{crashes} crashes of upstreams");
        }
    }

    #[test]
    fn merging_records_is_commutative_and_idempotent(
        reports in prop::collection::vec((0_u8..4, 1_000_u64..2_000), 0..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..24),
    ) {
        let single = |(run, time): &(u8, u64)| {
            let mut record = Record::default();
            record.add_crash(&format!("run-{run}"), *time);
            record
        };
        let mut once = Record::default();
        for report in &reports {
            once.merge(&single(report));
        }
        let mut mixed = Record::default();
        if !reports.is_empty() {
            for index in &order {
                mixed.merge(&single(index.get(&reports)));
            }
        }
        for report in reports.iter().rev() {
            mixed.merge(&single(report));
        }
        prop_assert_eq!(&once, &mixed);
        prop_assert_eq!(once.verdict(2_000), mixed.verdict(2_000));
    }
}

#[test]
fn a_record_expires_and_its_row_is_removed() {
    let mut cluster = Cluster::open();
    let poison = fingerprint("a", "", b"poison");
    cluster.crash(0, &poison, 0);
    assert_eq!(cluster.crash(1, &poison, 1), Verdict::Guilty);
    assert_eq!(cluster.admit(2, &poison, 2), Admission::Guilty);
    cluster.clock.advance(RECORD_TTL);
    cluster.poll(2);
    assert!(cluster.caches[2].is_empty());
    assert_eq!(cluster.admit(0, &poison, 2), Admission::Granted);
}

#[test]
fn an_upstream_has_at_most_one_suspect_on_trial() {
    let mut cluster = Cluster::open();
    let (one, two) = (fingerprint("a", "", b"1"), fingerprint("a", "", b"2"));
    cluster.crash(0, &one, 0);
    cluster.crash(0, &two, 0);
    assert_eq!(cluster.admit(0, &one, 1), Admission::Granted);
    assert_eq!(cluster.admit(0, &two, 1), Admission::Busy);
    assert_eq!(cluster.admit(0, &two, 2), Admission::Granted);
    cluster.clock.advance(MAX_TRIAL_TIME);
    assert_eq!(cluster.admit(0, &two, 1), Admission::Granted);
}

#[test]
fn a_repeated_crash_report_counts_once() {
    let mut cluster = Cluster::open();
    let poison = fingerprint("a", "", b"poison");
    assert_eq!(cluster.crash(0, &poison, 0), Verdict::Suspect);
    cluster.runs -= 1;
    assert_eq!(cluster.crash(0, &poison, 0), Verdict::Suspect);
}
