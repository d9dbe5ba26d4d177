//! Guards against callers that receive addresses of dead, leaving or too few instances.
//!
//! The rows are stale, malformed, marked as leaving or unchanged during an outage.

use std::rc::Rc;
use std::time::Duration;

use front::roster::probe::Probe;
use front::roster::{Identity, Roster};
use futures::FutureExt;
use futures::future::{LocalBoxFuture, ready};
use serde_json::json;
use store::Row;

/// Fields of an instance's row: name, failure domain, beat, capacity, rate, leaving.
type Sample<'a> = (&'a str, &'a str, u64, f64, f64, bool);

fn rows(samples: &[Sample<'_>]) -> Vec<Row> {
    let row = |(name, domain, beat, capacity, rate, leaving): &Sample<'_>| Row {
        key: format!("member/{name}"),
        revision: *beat,
        value: json!({"address": format!("{name}:1"), "domain": domain, "beat": beat,
            "leaving": leaving, "rate": rate, "capacity": capacity}),
    };
    samples.iter().map(row).collect()
}

/// Probe without an answer.
#[derive(Debug)]
struct NoAnswer;

impl Probe for NoAnswer {
    fn is_ready(&self, _address: &str) -> LocalBoxFuture<'_, bool> {
        ready(false).boxed_local()
    }
}

fn roster() -> Roster {
    let identity = Identity {
        instance: "a1".into(),
        address: "a1:1".into(),
        probe_port: 2,
        domain: "a".into(),
        capacity_per_s: 100.0,
    };
    Roster::open(identity, Rc::new(NoAnswer))
}

fn six_rows(beat: u64, rate: f64) -> Vec<Row> {
    rows(&[
        ("a1", "a", beat, 100.0, rate, false),
        ("a2", "a", beat, 100.0, rate, false),
        ("a3", "a", beat, 100.0, rate, false),
        ("b1", "b", beat, 100.0, rate, false),
        ("c1", "c", beat, 100.0, rate, false),
        ("c2", "c", beat, 100.0, rate, false),
    ])
}

#[test]
fn roster_without_rows_returns_own_address() {
    assert_eq!(roster().addresses(), ["a1:1"]);
}

#[test]
fn low_load_lists_four_instances_covering_all_domains() {
    let roster = roster();
    roster.update(&six_rows(1, 5.0), Duration::from_secs(1));
    let addresses = roster.addresses();
    assert_eq!(addresses.len(), 4);
    for domain in ["a", "b", "c"] {
        assert!(addresses.iter().any(|address| address.starts_with(domain)), "{addresses:?}");
    }
}

#[test]
fn high_load_lists_all_six_instances() {
    let roster = roster();
    roster.update(&six_rows(1, 65.0), Duration::from_secs(1));
    assert_eq!(roster.addresses().len(), 6);
}

/// Guards against budgets that a large fleet splits into more shares than its load needs.
///
/// At one request in a few seconds, a share runs out of tokens early in an outage of the store.
#[test]
fn a_large_fleet_at_low_load_lists_one_instance_for_each_failure_domain() {
    let roster = roster();
    let domains = ["a", "b", "c", "d", "e"];
    let names: Vec<(String, &str)> = (0..195)
        .map(|index| (format!("{}{index}", domains[index % 5]), domains[index % 5]))
        .collect();
    let samples: Vec<Sample<'_>> =
        names.iter().map(|(name, domain)| (name.as_str(), *domain, 1, 400.0, 2.0, false)).collect();
    roster.update(&rows(&samples), Duration::from_secs(1));
    let mut listed: Vec<String> =
        roster.addresses().iter().map(|address| address[..1].to_owned()).collect();
    listed.sort_unstable();
    assert_eq!(listed, domains);
}

#[test]
fn largest_instances_are_listed() {
    let roster = roster();
    let mut samples: Vec<Sample<'_>> = vec![("big1", "a", 1, 400.0, 9.0, false)];
    samples.push(("big2", "b", 1, 400.0, 9.0, false));
    let small_names = ["s1", "s2", "s3", "s4", "s5", "s6"];
    samples.extend(small_names.map(|name| (name, "a", 1, 40.0, 9.0, false)));
    roster.update(&rows(&samples), Duration::from_secs(1));
    let addresses = roster.addresses();
    assert!(addresses.contains(&"big1:1".into()) && addresses.contains(&"big2:1".into()));
    assert_eq!(addresses.len(), 4);
}

#[test]
fn leaving_and_stale_instances_are_not_listed() {
    let roster = roster();
    roster.update(&six_rows(1, 5.0), Duration::from_secs(1));
    let mut later_rows = six_rows(2, 5.0);
    // The row of b1 no longer changes, and the row of c1 says that its instance leaves.
    later_rows[3].revision = 1;
    later_rows[4].value["leaving"] = json!(true);
    for second in [3, 5, 7, 9] {
        for row in later_rows.iter_mut().filter(|row| row.key != "member/b1") {
            row.revision += 1;
        }
        roster.update(&later_rows, Duration::from_secs(second));
    }
    let addresses = roster.addresses();
    assert!(!addresses.contains(&"b1:1".into()) && !addresses.contains(&"c1:1".into()));
    assert!(addresses.contains(&"a1:1".into()) || addresses.contains(&"a2:1".into()));
}

#[test]
fn store_outage_does_not_make_rows_stale() {
    let roster = roster();
    roster.update(&six_rows(1, 5.0), Duration::from_secs(1));
    let before = roster.addresses();
    // The next read is a minute later, during which no row was written.
    roster.update(&six_rows(1, 5.0), Duration::from_secs(61));
    assert_eq!(roster.addresses(), before);
}

#[test]
fn malformed_row_is_not_listed() {
    let roster = roster();
    let mut all = six_rows(1, 5.0);
    all[3].value = json!({"address": 7});
    roster.update(&all, Duration::from_secs(1));
    assert!(!roster.addresses().contains(&"b1:1".into()));
}

/// Guards against dead instances that a restore of the store makes seem alive, and against live
/// ones that disappear because their rows are younger than the copy.
#[test]
fn a_restore_of_the_store_revives_and_hides_no_instance() {
    let roster = roster();
    let at = Duration::from_secs;
    roster.enter_era(Some(1));
    for step in 0..4 {
        let beat = 10 + step;
        let samples = [
            ("a1", "a", beat, 100.0, 5.0, false),
            ("dead", "b", 10, 100.0, 5.0, false),
            ("young", "c", beat, 100.0, 5.0, false),
        ];
        roster.update(&rows(&samples), at(2 * step));
    }
    roster.enter_era(Some(2));
    let copy = [("a1", "a", 9, 100.0, 5.0, false), ("dead", "b", 8, 100.0, 5.0, false)];
    roster.update(&rows(&copy), at(8));
    let addresses = roster.addresses();
    assert!(addresses.contains(&"young:1".to_owned()), "{addresses:?}");
    assert!(!addresses.contains(&"dead:1".to_owned()), "{addresses:?}");
}

/// Guards against unlisted instances that together take more than their part of a common limit.
///
/// Most of them keep no row, and only their number is known.
#[test]
fn instances_without_a_row_count_for_common_limits() {
    let roster = roster();
    let mut all = six_rows(1, 5.0);
    all.remove(0);
    let before = roster_share(&roster, &all);
    all[2].value["standbys"] = json!(179);
    let after = roster_share(&roster, &all);
    assert_eq!(before, (5, 0.2));
    assert_eq!(after.0, 184);
    assert!((after.1 - 0.2 / 180.0).abs() < 1e-9, "{after:?}");
}

/// Returns how many instances share the limits, and the part of the own one, which is not listed.
fn roster_share(roster: &Roster, rows: &[Row]) -> (u64, f64) {
    roster.update(rows, Duration::from_secs(1));
    assert!(!roster.is_listed());
    (roster.sharing_instances(), roster.limit_share())
}
