//! Replays of placement policies against a model of the upstreams, without a network.
//!
//! Guards against a placement that makes more requests late than simpler ones do, where requests
//! and upstreams differ as they do in a deployment. `--nocapture` prints the tables.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "numbers of the model are far below the 52 bits of a mantissa"
)]

mod engine;
mod instance;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use engine::{Engine, Job, Output};
use instance::{Instance, POLICIES, Policy};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A kind of request.
#[derive(Debug, Clone, Copy)]
struct Kind {
    name: &'static str,
    /// Part of all requests.
    part: f64,
    rank: u8,
    shared_tokens: f64,
    own_tokens: f64,
    events: u32,
    /// Number of different shared parts; the first ones are the most frequent.
    prefixes: u64,
    /// Time to the first event after which a request is late, in seconds.
    target: f64,
}

/// Kinds of a customer whose upstreams differ in speed and share machines.
const MIXTURE: [Kind; 3] = [
    Kind {
        name: "long",
        part: 0.4,
        rank: 1,
        shared_tokens: 13_300.0,
        own_tokens: 3_720.0,
        events: 30,
        prefixes: 40,
        target: 0.8,
    },
    Kind {
        name: "medium",
        part: 0.3,
        rank: 1,
        shared_tokens: 6_300.0,
        own_tokens: 2_890.0,
        events: 13,
        prefixes: 40,
        target: 0.6,
    },
    Kind {
        name: "short",
        part: 0.3,
        rank: 0,
        shared_tokens: 350.0,
        own_tokens: 1_110.0,
        events: 43,
        prefixes: 20,
        target: 0.4,
    },
];

/// A load and the upstreams that serve it.
#[derive(Debug, Clone)]
struct Scenario {
    name: &'static str,
    kinds: Vec<Kind>,
    /// Speeds of the upstreams, in turn.
    speeds: &'static [f64],
    upstreams: usize,
    instances: usize,
    /// Part of the instances that get load reports.
    reporting: f64,
    /// Whether other work slows machines down.
    is_shared: bool,
    /// Whether reports state the present slowness.
    states_slowness: bool,
    requests_per_second: f64,
    /// Time before which requests are not counted, while caches and rates are learned.
    warm_up: f64,
    seconds: f64,
}

impl Scenario {
    fn customer() -> Self {
        Self {
            name: "customer",
            kinds: MIXTURE.to_vec(),
            speeds: &[0.6, 1.0, 1.6],
            upstreams: 90,
            instances: 6,
            reporting: 1.0,
            is_shared: true,
            states_slowness: true,
            requests_per_second: 300.0,
            warm_up: 5.0,
            seconds: 25.0,
        }
    }
}

/// Times to the first event by kind, and the share that is late.
#[derive(Debug)]
struct Outcome {
    kinds: Vec<(f64, f64)>,
    late: f64,
    count: usize,
    learned: String,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    kind: usize,
    instance: usize,
    arrival: f64,
    first: Option<f64>,
}

/// Time in nanoseconds, so that events have a total order.
fn key(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

fn replay(scenario: &Scenario, policy: Policy, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut choices = StdRng::seed_from_u64(seed ^ 1);
    let pace = |index: usize| scenario.speeds[index % scenario.speeds.len()];
    let open = |index| Engine::open(pace(index), scenario.is_shared, seed + index as u64 * 7_919);
    let mut engines: Vec<Engine> = (0..scenario.upstreams).map(open).collect();
    let reporting = (scenario.reporting * scenario.instances as f64).round() as usize;
    let open = |index| Instance::open(policy, scenario.upstreams, index < reporting);
    let mut instances: Vec<Instance> = (0..scenario.instances).map(open).collect();
    let mut requests: Vec<Request> = Vec::new();
    // Times with the upstream whose step ends, or `None` for the next arrival.
    let mut queue: BinaryHeap<Reverse<(u64, Option<usize>)>> = BinaryHeap::new();
    let mut arrival = 0.0;
    queue.push(Reverse((0, None)));
    while let Some(Reverse((_, upstream))) = queue.pop() {
        let Some(index) = upstream else {
            let now = arrival;
            let (job, request) = draw(scenario, requests.len(), now, &mut rng);
            let chosen = instances[request.instance].choose(&job, &engines, now, &mut choices);
            requests.push(request);
            let was_idle = engines[chosen].step_ends.is_none();
            engines[chosen].push(job, now);
            if let Some(ends) = engines[chosen].step_ends.filter(|_| was_idle) {
                queue.push(Reverse((key(ends), Some(chosen))));
            }
            arrival += -(1.0 - rng.random::<f64>()).ln() / scenario.requests_per_second;
            if arrival < scenario.seconds {
                queue.push(Reverse((key(arrival), None)));
            }
            continue;
        };
        let now = engines[index].step_ends.expect("a step that ends");
        for output in engines[index].end_step(now) {
            match output {
                Output::Event(id) => {
                    requests[id].first.get_or_insert(now);
                    let states = scenario.states_slowness;
                    instances[requests[id].instance].event(id, &engines, states, now);
                }
                Output::End(id) => instances[requests[id].instance].end(id),
            }
        }
        if let Some(ends) = engines[index].step_ends {
            queue.push(Reverse((key(ends), Some(index))));
        }
    }
    summarize(scenario, &requests, instances[0].learned(scenario.seconds))
}

fn draw(scenario: &Scenario, id: usize, now: f64, rng: &mut StdRng) -> (Job, Request) {
    let mut part = rng.random::<f64>() * scenario.kinds.iter().map(|kind| kind.part).sum::<f64>();
    let position = scenario.kinds.iter().position(|kind| {
        part -= kind.part;
        part <= 0.0
    });
    let position = position.unwrap_or(scenario.kinds.len() - 1);
    let kind = &scenario.kinds[position];
    // The logarithm of the rank is evenly distributed, as popularity usually is.
    let prefix = ((kind.prefixes as f64 + 1.0).powf(rng.random()) - 1.0) as u64;
    let size = 0.5 + rng.random::<f64>();
    let job = Job {
        id,
        rank: kind.rank,
        shared: route::prefix::mix(position as u64 * 1_000 + prefix + 1),
        shared_tokens: kind.shared_tokens,
        own_tokens: kind.own_tokens * size,
        events: (f64::from(kind.events) * (0.5 + rng.random::<f64>())).max(1.0) as u32,
    };
    // Callers keep to few instances, so that these see different parts of the load.
    let instance =
        (rng.random::<f64>().powf(1.5) * scenario.instances as f64) as usize % scenario.instances;
    (job, Request { kind: position, instance, arrival: now, first: None })
}

fn summarize(scenario: &Scenario, requests: &[Request], learned: String) -> Outcome {
    let counted = || requests.iter().filter(|request| request.arrival >= scenario.warm_up);
    let time =
        |request: &Request| request.first.map_or(f64::INFINITY, |first| first - request.arrival);
    let is_late = |request: &&Request| time(request) > scenario.kinds[request.kind].target;
    let kinds = (0..scenario.kinds.len()).map(|kind| {
        let mut times: Vec<f64> =
            counted().filter(|request| request.kind == kind).map(time).collect();
        times.sort_by(f64::total_cmp);
        let late = times.iter().filter(|time| **time > scenario.kinds[kind].target).count();
        let p99 = times.get(times.len() * 99 / 100).copied().unwrap_or(f64::NAN);
        (late as f64 / times.len().max(1) as f64, p99)
    });
    let count = counted().count();
    let late = counted().filter(is_late).count() as f64 / count.max(1) as f64;
    Outcome { kinds: kinds.collect(), late, count, learned }
}

/// Replays all policies and prints a table; returns the late share of each.
fn compare(scenario: &Scenario, seed: u64) -> Vec<(Policy, Outcome)> {
    println!("\n{} (seed {seed})\n", scenario.name);
    print!("| policy | requests | late |");
    for kind in &scenario.kinds {
        print!(" {} late | p99 ms |", kind.name);
    }
    println!("\n| --- | --- | --- |{}", " --- | --- |".repeat(scenario.kinds.len()));
    let run = |(policy, name)| {
        let outcome = replay(scenario, policy, seed);
        print!("| {name} | {} | {:.4} |", outcome.count, outcome.late);
        for (late, p99) in &outcome.kinds {
            print!(" {late:.4} | {:.0} |", p99 * 1e3);
        }
        println!();
        if policy == Policy::Cost {
            eprintln!("learned: {}", outcome.learned);
        }
        (policy, outcome)
    };
    POLICIES.into_iter().map(run).collect()
}

fn late(outcomes: &[(Policy, Outcome)], policy: Policy) -> f64 {
    let found = outcomes.iter().find(|(one, _)| *one == policy);
    found.expect("every policy is replayed").1.late
}

#[test]
fn a_mixture_on_uneven_and_shared_machines() {
    let outcomes = compare(&Scenario::customer(), 1);
    let cost = late(&outcomes, Policy::Cost);
    for policy in [Policy::Random, Policy::FewestRequests, Policy::TwoChoices, Policy::Constants] {
        assert!(cost < late(&outcomes, policy), "{policy:?}");
    }
}

/// Returns true if the learned estimate does no worse than each of the policies, within a tenth.
fn is_no_worse(outcomes: &[(Policy, Outcome)], policies: &[Policy]) -> bool {
    let cost = late(outcomes, Policy::Cost);
    policies.iter().all(|policy| cost <= late(outcomes, *policy) * 1.1 + 0.002)
}

const BASELINES: [Policy; 4] =
    [Policy::Random, Policy::FewestRequests, Policy::TwoChoices, Policy::Constants];

/// Guards against treating upstreams of different speed alike.
#[test]
fn upstreams_of_uneven_speed() {
    let scenario = Scenario {
        name: "uneven upstreams",
        is_shared: false,
        states_slowness: false,
        requests_per_second: 360.0,
        ..Scenario::customer()
    };
    assert!(is_no_worse(&compare(&scenario, 2), &BASELINES));
}

/// Guards against sending requests to a machine while other work slows it down, where nothing but
/// the events shows it.
#[test]
fn shared_machines_that_state_nothing() {
    let scenario = Scenario {
        name: "shared machines, nothing stated",
        speeds: &[1.0],
        states_slowness: false,
        ..Scenario::customer()
    };
    assert!(is_no_worse(&compare(&scenario, 3), &BASELINES));
}

/// Guards against short requests that wait behind a long prompt.
#[test]
fn prompts_of_50_000_tokens_among_short_ones() {
    let huge = Kind {
        name: "huge",
        part: 0.05,
        rank: 1,
        shared_tokens: 0.0,
        own_tokens: 35_000.0,
        events: 30,
        prefixes: 1,
        target: 1.5,
    };
    let scenario = Scenario {
        name: "long prompts among short ones",
        kinds: vec![huge, Kind { part: 0.95, rank: 1, ..MIXTURE[2] }],
        ..Scenario::customer()
    };
    assert!(is_no_worse(&compare(&scenario, 4), &BASELINES));
}

/// Guards against a queue at the upstream that all instances derive from a frequent prefix.
#[test]
fn a_hot_prefix() {
    let scenario = Scenario {
        name: "hot prefix",
        kinds: vec![
            Kind { part: 0.7, prefixes: 1, ..MIXTURE[0] },
            Kind { part: 0.3, ..MIXTURE[2] },
        ],
        ..Scenario::customer()
    };
    assert!(is_no_worse(&compare(&scenario, 5), &BASELINES));
}

/// Guards against instances without reports that crowd upstreams which others already use.
#[test]
fn half_of_the_instances_without_reports() {
    let scenario =
        Scenario { name: "half without reports", reporting: 0.5, ..Scenario::customer() };
    assert!(is_no_worse(&compare(&scenario, 6), &BASELINES));
}

/// Guards against rates that a small service with little traffic learns too late or wrongly.
#[test]
fn a_small_service_with_little_traffic() {
    let scenario = Scenario {
        name: "small service",
        upstreams: 6,
        instances: 4,
        requests_per_second: 14.0,
        seconds: 60.0,
        ..Scenario::customer()
    };
    assert!(is_no_worse(&compare(&scenario, 7), &BASELINES));
}

/// Guards against an estimate that fails where queues are long: uneven upstreams, shared machines
/// that state nothing, and three quarters more requests.
#[test]
fn a_busy_mixture() {
    let scenario = Scenario {
        name: "busy mixture, nothing stated",
        requests_per_second: 520.0,
        states_slowness: false,
        ..Scenario::customer()
    };
    assert!(is_no_worse(&compare(&scenario, 8), &BASELINES));
}

/// Guards against a queue at the homes of prefixes that are not cached yet, after a restart of all
/// upstreams and instances.
#[test]
fn a_start_with_empty_caches() {
    let scenario =
        Scenario { name: "empty caches", warm_up: 0.0, seconds: 6.0, ..Scenario::customer() };
    assert!(is_no_worse(&compare(&scenario, 9), &[Policy::Random, Policy::Constants]));
}
