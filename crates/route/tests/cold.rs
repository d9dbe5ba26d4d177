//! Instances that share cold upstreams without communication.
//!
//! Guards against more requests to a cold upstream in a second than it bears, summed over all
//! instances, and against upstreams that stay unused while they are cold.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use route::brittle::Rank;
use route::cold::{Bounds, Cold, Part, Terms};
use route::prefix;
use test_case::test_case;

const START: Duration = Duration::from_secs(3);
const PER_S: f64 = 8.1;
/// Multiple of the rate, and requests beyond it, that are allowed in a second.
const BOUNDS: Bounds = Bounds { overrun: 1.5, slack: 5.0 };
/// Longest time until all instances have read the entry of a restarted upstream.
const MAX_ENTRY_LAG: Duration = Duration::from_secs(2);
/// Longest difference of the times that requests spend on the way.
const MAX_DELAY: Duration = Duration::from_millis(30);
const STEP: Duration = Duration::from_millis(5);
const SECOND: Duration = Duration::from_secs(1);

fn terms() -> Terms {
    Terms::open(START, PER_S, BOUNDS).expect("cold for a time")
}

/// What one instance knows, and how much its callers ask of it.
struct Instance {
    name: usize,
    /// Names of the listed instances, as this one knows them.
    listed: Vec<usize>,
    unlisted_count: u64,
    is_settled: bool,
    /// Whether it reads entries.
    has_store: bool,
    /// Whether it had connections to the upstreams when they ended.
    has_connections: bool,
    requests_per_s: f64,
    upstreams: Vec<Cold>,
}

impl Instance {
    fn open(name: usize, listed: &[usize], unlisted_count: u64, requests_per_s: f64) -> Self {
        Self {
            name,
            listed: listed.to_vec(),
            unlisted_count,
            is_settled: true,
            has_store: true,
            has_connections: true,
            requests_per_s,
            upstreams: Vec::new(),
        }
    }

    /// Returns the rank by weights that differ for each upstream, as the roster derives it.
    fn part(&self, upstream: usize) -> Part {
        let weight = |name: usize| prefix::mix(prefix::mix(upstream as u64) ^ name as u64);
        let before = self.listed.iter().filter(|name| weight(**name) > weight(self.name)).count();
        let position = self.listed.contains(&self.name).then_some(before);
        let rank = Rank { position, instances: self.listed.len().max(1) };
        terms().part(rank, self.unlisted_count, self.is_settled)
    }
}

/// Arrivals at the upstreams that all restart at the same moment.
struct Outcome {
    /// Most arrivals at one upstream in any second of its cold time.
    most: usize,
    /// Mean number of arrivals a second at one upstream in its cold time.
    mean: f64,
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("a small number"))
}

fn replay(mut instances: Vec<Instance>, upstream_count: usize, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let restart = Duration::from_secs(100);
    let mut arrivals: Vec<Vec<Duration>> = vec![Vec::new(); upstream_count];
    let mut entries: Vec<(Duration, usize, usize)> = Vec::new();
    for (index, instance) in instances.iter_mut().enumerate() {
        instance.upstreams = vec![Cold::default(); upstream_count];
        for upstream in 0..upstream_count {
            if instance.has_connections {
                instance.upstreams[upstream].record_loss(START, rng.random(), restart);
            }
            if instance.has_store {
                let at = restart + MAX_ENTRY_LAG.mul_f64(rng.random());
                entries.push((at, index, upstream));
            }
        }
    }
    let terms = terms();
    let mut now = restart;
    while now < restart + START {
        for (_, index, upstream) in entries.iter().filter(|(at, ..)| *at + STEP > now && *at <= now)
        {
            let remaining = (restart + START).saturating_sub(now);
            instances[*index].upstreams[*upstream].observe(START, remaining, rng.random(), now);
        }
        for instance in &mut instances {
            if !rng.random_bool((instance.requests_per_s * STEP.as_secs_f64()).min(1.0)) {
                continue;
            }
            // The request goes to any upstream that may get it.
            let first = rng.random_range(0..upstream_count);
            let order = (0..upstream_count).map(|offset| (first + offset) % upstream_count);
            for upstream in order {
                let part = instance.part(upstream);
                let cold = &mut instance.upstreams[upstream];
                if cold.wait(terms.start, part, now).is_zero() {
                    cold.record_sent(now);
                    arrivals[upstream].push(now + MAX_DELAY.mul_f64(rng.random()));
                    break;
                }
            }
        }
        now += STEP;
    }
    let mut most = 0;
    for times in &mut arrivals {
        times.sort_unstable();
        for (index, at) in times.iter().enumerate() {
            let end = times.partition_point(|time| *time < *at + SECOND);
            most = most.max(end - index);
        }
    }
    let all: usize = arrivals.iter().map(Vec::len).sum();
    Outcome { most, mean: to_f64(all) / to_f64(upstream_count) / START.as_secs_f64() }
}

fn check(outcomes: &[Outcome], least_mean: f64) {
    let most = outcomes.iter().map(|outcome| outcome.most).max().expect("a replay");
    let mean = outcomes.iter().map(|outcome| outcome.mean).sum::<f64>() / to_f64(outcomes.len());
    println!("at most {most} in a second, {mean:.2} a second on average");
    assert!(to_f64(most) <= PER_S * BOUNDS.overrun + BOUNDS.slack, "{most} in a second");
    assert!(mean >= least_mean, "{mean:.2} a second");
}

/// A domain is lost and comes back: its upstreams have restarted, and all callers are waiting.
///
/// Guards against instances that each send what the upstream bears in total.
#[test_case(1, 0; "one instance")]
#[test_case(4, 4; "8 instances")]
#[test_case(5, 65; "70 instances")]
#[test_case(13, 182; "195 instances")]
#[test_case(20, 340; "360 instances")]
fn a_domain_that_comes_back_gets_what_its_cold_upstreams_bear(listed: usize, others: u64) {
    let names: Vec<usize> = (0..listed).collect();
    let outcomes: Vec<Outcome> = (0..10)
        .map(|seed| {
            let mut instances: Vec<Instance> =
                names.iter().map(|name| Instance::open(*name, &names, others, 200.0)).collect();
            let others_names = listed..listed + usize::try_from(others).expect("few");
            instances.extend(others_names.map(|name| Instance::open(name, &names, others, 2.0)));
            replay(instances, 6, seed)
        })
        .collect();
    check(&outcomes, 4.0);
}

/// All upstreams restart while the list of instances changes, so that two lists are in use.
///
/// Guards against parts that are given out twice because an instance was lost or has joined.
#[test_case(4, 5)]
#[test_case(4, 8)]
#[test_case(13, 12)]
fn two_lists_of_the_instances_do_not_overload_an_upstream(before: usize, after: usize) {
    let old: Vec<usize> = (0..before).collect();
    let new: Vec<usize> = (before / 2..before / 2 + after).collect();
    let outcomes: Vec<Outcome> = (0..10)
        .map(|seed| {
            let old_ones = old.iter().map(|name| Instance::open(*name, &old, 9, 200.0));
            let new_ones = new.iter().filter(|name| !old.contains(name));
            let new_ones = new_ones.map(|name| Instance::open(*name, &new, 9, 200.0));
            let mut instances: Vec<Instance> = old_ones.chain(new_ones).collect();
            // Half of the known instances have the new list.
            let changed = instances.iter_mut().filter(|one| one.name % 2 == 0);
            changed.for_each(|one| one.listed.clone_from(&new));
            replay(instances, 4, seed)
        })
        .collect();
    check(&outcomes, 3.0);
}

/// Some instances are cut off from the store when all upstreams restart.
///
/// Guards against an instance that takes the restarted upstreams for the warm ones of their entries.
#[test_case(1, 8)]
#[test_case(4, 8)]
#[test_case(8, 8)]
#[test_case(13, 13)]
fn instances_cut_off_from_the_store_keep_to_their_parts(cut_off: usize, count: usize) {
    let names: Vec<usize> = (0..count).collect();
    let outcomes: Vec<Outcome> = (0..10)
        .map(|seed| {
            let open = |name: &usize| {
                let mut instance = Instance::open(*name, &names, 0, 200.0);
                instance.has_store = *name >= cut_off;
                instance
            };
            replay(names.iter().map(open).collect(), 6, seed)
        })
        .collect();
    check(&outcomes, 4.0);
}

/// Instances start while the upstreams are cold.
///
/// Guards against a started instance that takes itself for the only one.
#[test]
fn a_started_instance_sends_nothing_until_it_knows_the_others() {
    let names: Vec<usize> = (0..4).collect();
    let outcomes: Vec<Outcome> = (0..10)
        .map(|seed| {
            let mut instances: Vec<Instance> =
                names.iter().map(|name| Instance::open(*name, &names, 4, 200.0)).collect();
            instances.extend((4..12).map(|name| {
                let mut instance = Instance::open(name, &[name], 0, 200.0);
                instance.is_settled = false;
                instance
            }));
            replay(instances, 4, seed)
        })
        .collect();
    check(&outcomes, 4.0);
}

/// Guards against an upstream that is spared for seconds because one connection has failed.
#[test]
fn a_connection_that_goes_on_shows_that_the_upstream_has_not_restarted() {
    let at = |ms| Duration::from_mins(1) + Duration::from_millis(ms);
    let mut cold = Cold::default();
    assert!(cold.record_loss(START, 0.0, at(0)));
    // Bytes that the process sent before it ended show nothing.
    cold.record_bytes(at(0).saturating_sub(SECOND), at(50));
    assert!(cold.is_cold(START, at(60)));
    // Nor does a connection that was opened after the loss.
    cold.record_bytes(at(10), at(300));
    assert!(cold.is_cold(START, at(310)));
    cold.record_bytes(at(0).saturating_sub(SECOND), at(300));
    assert!(!cold.is_cold(START, at(310)));
}

/// Guards against a cold time that an entry from before the restart ends.
#[test]
fn a_statement_that_the_upstream_is_warm_ends_no_cold_time() {
    let at = |ms| Duration::from_mins(1) + Duration::from_millis(ms);
    let mut cold = Cold::default();
    cold.record_loss(START, 0.0, at(0));
    assert!(!cold.observe(START, Duration::ZERO, 0.0, at(800)));
    assert!(cold.is_cold(START, at(2_900)));
    assert!(!cold.is_cold(START, at(3_000)));
}

/// Guards against instances that send all that they have to an upstream in the moment in which it
/// becomes warm.
#[test]
fn the_load_of_an_upstream_that_becomes_warm_grows_in_steps() {
    let at = |ms| Duration::from_mins(1) + Duration::from_millis(ms);
    let mut cold = Cold::default();
    cold.observe(START, START, 0.0, at(0));
    let sum = |ms, instances: usize| -> Option<usize> {
        (0..instances)
            .map(|position| {
                let rank = Rank { position: Some(position), instances };
                cold.step_limit(START, 32, rank, at(ms))
            })
            .sum()
    };
    // The rate limits the requests while the upstream is cold.
    assert_eq!(sum(2_999, 4), None);
    assert_eq!(
        [3_000, 3_500, 4_000, 4_500].map(|ms| sum(ms, 4)),
        [Some(4), Some(8), Some(16), None]
    );
    // More instances than slots add up to no more than the slots.
    assert_eq!(sum(3_000, 50), Some(32));
}

/// Guards against a rate below one a second that is rounded up for each instance.
#[test]
fn a_low_rate_is_one_part_with_a_longer_interval() {
    let terms =
        Terms::open(START, 0.5, Bounds { overrun: 1.5, slack: 0.0 }).expect("cold for a time");
    assert_eq!(terms.parts(), 1);
    let part = |position| terms.part(Rank { position: Some(position), instances: 4 }, 0, true);
    assert_eq!(part(0), Part::Listed(Duration::from_millis(2_500)));
    assert_eq!(part(1), Part::None);
}
