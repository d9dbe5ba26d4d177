//! The choice of an upstream under load, failures and leaving.
//!
//! Guards against policies that favour a cache hit over a free upstream, use leaving or ejected
//! upstreams, exceed the slots, or rely on stale reports, and against unpolled upstreams.

use base::clock::Manual;
use base::prelude::*;
use plan::Doc;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use route::balancer::{Balancer, Candidate, Cost};
use route::cache::{Batch, Cache, Event};
use route::health::{FAILURES_TO_EJECT, Health, MAX_BACKOFF};
use route::report::Report;
use route::{Criteria, Error, Fleet, Policy, polling};
use test_case::test_case;

fn doc(count: usize, slots: u32) -> Doc {
    let upstreams: serde_json::Map<String, serde_json::Value> = (0..count)
        .map(|number| {
            let address = format!("127.0.0.1:{}", 1_000 + number);
            let row = serde_json::json!({"kind": "engine", "address": address,
                "domain": format!("domain-{}", number % 3), "slots": slots});
            (format!("engine-{number}"), row)
        })
        .collect();
    serde_json::from_value(serde_json::json!({"version": 1, "upstreams": upstreams})).unwrap()
}

struct Fixture {
    fleet: Fleet,
    clock: Arc<Manual>,
    ids: Vec<UpstreamId>,
}

fn fixture(policy: Policy, count: usize, slots: u32) -> Fixture {
    let clock = Arc::new(Manual::default());
    clock.advance(Duration::from_secs(100));
    let fleet = Fleet::open(policy.open(), "domain-0".into(), Arc::clone(&clock) as Arc<dyn Clock>);
    let doc = doc(count, slots);
    fleet.apply(&doc);
    Fixture { fleet, clock, ids: doc.upstreams.keys().map(Arc::clone).collect() }
}

impl Fixture {
    fn criteria<'a>(&'a self, block_hashes: &'a [u64]) -> Criteria<'a> {
        Criteria { candidates: &self.ids, block_hashes, ..Criteria::default() }
    }
}

fn candidate() -> impl Strategy<Value = Candidate> {
    let counts = (1_u32..64, 0_u32..200, 0_u32..200);
    let rest = (0.0..200.0, 0.01..5.0, 0.0..=1.0, any::<bool>(), any::<bool>());
    (counts, rest).prop_map(
        |(
            (slots, in_flight, reported_requests),
            (estimated_load, service_seconds, hit_ratio, is_home, is_local),
        )| {
            Candidate {
                slots,
                in_flight,
                reported_requests,
                estimated_load,
                service_seconds,
                hit_ratio,
                is_home,
                is_local,
            }
        },
    )
}

proptest! {
    #[test]
    fn a_cache_hit_outweighs_at_most_the_time_it_saves(
        candidates in prop::collection::vec(candidate(), 1..30),
        seed in any::<u64>(),
    ) {
        let cost = Cost::default();
        let chosen = cost.choose(&candidates, &mut StdRng::seed_from_u64(seed));
        prop_assert_eq!(chosen.is_none(), candidates.iter().all(Candidate::is_full));
        let Some(index) = chosen else { return Ok(()) };
        prop_assert!(!candidates[index].is_full());
        let uncached = |one: &Candidate|
            cost.expected_seconds(&Candidate { hit_ratio: 0.0, is_home: false, ..*one });
        let best = candidates.iter().filter(|one| !one.is_full()).map(uncached)
            .fold(f64::MAX, f64::min);
        prop_assert!(uncached(&candidates[index])
            <= best + cost.cache_miss_weight * candidates[index].service_seconds + 1e-9);
    }

    #[test]
    fn a_full_upstream_is_not_chosen_while_an_equally_fast_one_has_capacity(
        loads in prop::collection::vec(0.0..40.0, 2..20),
        cached in any::<prop::sample::Index>(),
        seed in any::<u64>(),
    ) {
        let mut candidates: Vec<Candidate> = loads.iter().map(|load| Candidate {
            slots: 16, in_flight: 0, reported_requests: 0, estimated_load: *load,
            service_seconds: 1.0, hit_ratio: 0.0, is_home: false, is_local: true,
        }).collect();
        let cached = cached.index(candidates.len());
        candidates[cached].hit_ratio = 1.0;
        let chosen = Cost::default().choose(&candidates, &mut StdRng::seed_from_u64(seed));
        let Some(index) = chosen else {
            prop_assert!(loads.iter().all(|load| *load >= 20.0));
            return Ok(());
        };
        let least = loads.iter().copied().fold(f64::MAX, f64::min);
        // A cache hit is worth at most 0.3 / 0.4 of a batch, which is 12 of 16 slots.
        prop_assert!(loads[index] <= least + 12.0 + 1e-9);
    }

    #[test]
    fn no_policy_chooses_a_leaving_or_drained_upstream_or_exceeds_the_slots(
        policy in prop::sample::select(vec![
            Policy::Random, Policy::RoundRobin, Policy::LeastLoaded, Policy::TwoChoices,
            Policy::Cost,
        ]),
        marks in prop::collection::vec((0_u8..4, 0_usize..6), 0..40),
    ) {
        let fixture = fixture(policy, 6, 4);
        let mut doc = doc(6, 4);
        let mut tickets = Vec::new();
        let mut unavailable = [[false; 3]; 6];
        for (mark, number) in marks {
            let id = &fixture.ids[number];
            match mark {
                0 => {
                    doc.upstreams.get_mut(id).unwrap().draining = true;
                    fixture.fleet.apply(&doc);
                    unavailable[number][0] = true;
                }
                1 => if let Some(upstream) = fixture.fleet.get(id) {
                    upstream.set_listed_leaving(true);
                    unavailable[number][1] = true;
                },
                2 => if let Some(upstream) = fixture.fleet.get(id) {
                    let report = Report { leaving: true, slots: 4, ..Report::default() };
                    upstream.record_report(report, fixture.clock.now());
                    unavailable[number][2] = true;
                },
                _ => {}
            }
            if let Ok(ticket) = fixture.fleet.choose(&fixture.criteria(&[1, 2])) {
                let chosen = fixture.ids.iter().position(|id| *id == ticket.upstream().id).unwrap();
                prop_assert_eq!(unavailable[chosen], [false; 3]);
                prop_assert!(ticket.upstream().in_flight() <= 4);
                tickets.push(ticket);
            }
            fixture.clock.advance(Duration::from_millis(10));
        }
        // Requests that were in flight when their upstream was marked are still counted.
        let mut counts = [0; 6];
        for ticket in &tickets {
            counts[fixture.ids.iter().position(|id| *id == ticket.upstream().id).unwrap()] += 1;
        }
        for ticket in &tickets {
            let index = fixture.ids.iter().position(|id| *id == ticket.upstream().id).unwrap();
            prop_assert_eq!(ticket.upstream().in_flight(), counts[index]);
        }
    }

    #[test]
    fn a_cache_keeps_its_capacity_and_its_sequence_never_decreases_across_gaps(
        batches in prop::collection::vec(
            prop::collection::vec(
                (0_u64..60, prop::collection::vec(0_u64..40, 0..8),
                 prop::collection::vec(0_u64..40, 0..8)), 0..8), 0..20),
    ) {
        let mut cache = Cache::open(16);
        let mut last = 0;
        for events in batches {
            let events = events.into_iter().map(|(sequence, stored, removed)| {
                Event { sequence, stored, removed }
            }).collect();
            cache.apply(&Batch { events });
            prop_assert!(cache.sequence() >= last);
            last = cache.sequence();
            let cached = (0..40).filter(|block| cache.count_leading_hits(&[*block]) == 1).count();
            prop_assert!(cached <= 16);
        }
    }

    #[test]
    fn an_ejection_ends_after_the_longest_backoff_and_admits_one_probe(
        failures in FAILURES_TO_EJECT..200,
    ) {
        let health = Health::default();
        let now = Duration::from_secs(50);
        for _ in 0..failures {
            health.record_failure(now);
        }
        prop_assert!(!health.is_available(now));
        let later = now + MAX_BACKOFF;
        prop_assert!(health.is_available(later));
        health.record_attempt(later);
        prop_assert!(!health.is_available(later));
        health.record_success();
        prop_assert!(health.is_available(later));
    }

    #[test]
    fn polling_keeps_its_limit_and_reaches_every_upstream_at_two_or_more_an_interval(
        count in 1_usize..60,
        per_interval in 1_usize..9,
        is_used in prop::collection::vec(any::<bool>(), 60),
    ) {
        let fixture = fixture(Policy::Cost, count, 8);
        for (id, is_used) in fixture.ids.iter().zip(is_used) {
            if is_used {
                let only = std::slice::from_ref(id);
                let criteria = Criteria { candidates: only, ..Criteria::default() };
                drop(fixture.fleet.choose(&criteria).unwrap());
            }
        }
        let upstreams = fixture.fleet.upstreams();
        let mut last_polled = std::collections::HashMap::new();
        let mut rng = StdRng::seed_from_u64(1);
        for turn in 1..=8 * u64::try_from(count).unwrap() {
            let last = |upstream: &route::Upstream| {
                last_polled.get(&upstream.id).copied().unwrap_or_default()
            };
            let selected =
                polling::select(&upstreams, last, per_interval, fixture.clock.now(), &mut rng);
            prop_assert!(selected.len() <= per_interval);
            for upstream in selected {
                last_polled.insert(Arc::clone(&upstream.id), turn);
            }
        }
        prop_assert!(
            per_interval == 1 || last_polled.len() == count,
            "{} of {count} upstreams polled", last_polled.len()
        );
    }
}

#[test]
fn all_instances_choose_the_same_upstream_for_an_uncached_prefix() {
    let blocks: Vec<u64> = (1..9).collect();
    let chosen = |_| {
        let fixture = fixture(Policy::Cost, 12, 8);
        let ticket = fixture.fleet.choose(&fixture.criteria(&blocks)).unwrap();
        Arc::clone(&ticket.upstream().id)
    };
    let all: std::collections::HashSet<UpstreamId> = (0..20).map(chosen).collect();
    assert_eq!(all.len(), 1);
}

#[test]
fn a_request_goes_only_to_an_upstream_with_its_model_loaded() {
    let fixture = fixture(Policy::Cost, 3, 8);
    for (number, id) in fixture.ids.iter().enumerate() {
        let models = vec![if number == 1 { "small".into() } else { "large".into() }];
        let report = Report { models, slots: 8, ..Report::default() };
        fixture.fleet.get(id).unwrap().record_report(report, fixture.clock.now());
    }
    let criteria = Criteria { model: Some("small"), ..fixture.criteria(&[]) };
    for _ in 0..8 {
        let ticket = fixture.fleet.choose(&criteria).unwrap();
        assert_eq!(*ticket.upstream().id, *fixture.ids[1]);
    }
    let criteria = Criteria { model: Some("none"), ..fixture.criteria(&[]) };
    assert_eq!(fixture.fleet.choose(&criteria).unwrap_err(), Error::NoneAvailable);
}

#[test_case(0, true; "fresh")]
#[test_case(60, false; "old")]
fn a_busy_upstream_is_avoided_only_while_its_report_is_fresh(age: u64, is_avoided: bool) {
    let fixture = fixture(Policy::Cost, 2, 8);
    let busy = fixture.fleet.get(&fixture.ids[0]).unwrap();
    let report = Report { running: 8, waiting: 1, slots: 8, ..Report::default() };
    busy.record_report(report, fixture.clock.now());
    let idle = fixture.fleet.get(&fixture.ids[1]).unwrap();
    idle.record_report(Report { slots: 8, ..Report::default() }, fixture.clock.now());
    fixture.clock.advance(Duration::from_secs(age));
    let chosen: Vec<UpstreamId> = (0..6)
        .map(|_| Arc::clone(&fixture.fleet.choose(&fixture.criteria(&[])).unwrap().upstream().id))
        .collect();
    assert_eq!(chosen.iter().all(|id| *id != fixture.ids[0]), is_avoided);
}
