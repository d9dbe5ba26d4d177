//! Instances that fail while others are asked for addresses, over a table with troubles.
//!
//! The tests run the heartbeats of all instances in simulated time.

#[path = "fleet/mod.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, Path, Reply};
use test_case::test_case;

/// Longest time for which callers may receive the address of an instance that is off.
const MAX_DEPARTURE: Duration = Duration::from_secs(6);

/// Time in which all instances come to know each other.
const WARM_UP: Duration = Duration::from_secs(8);
/// Number of times that the addresses are read after an instance went off, each 100 ms.
const MAX_STEPS: u32 = 140;

/// Trouble of the store or of the other instances while one instance goes off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    Nothing,
    /// The store answers after 300 ms.
    Slow,
    /// The store loses a third of its answers.
    LostAnswers,
    /// The store gives no answer for 4 s, from 1 s before the instance goes off.
    SilentBefore,
    /// The store is restored from a copy of 3 s ago, 1 s after the instance went off.
    Restored,
    /// The asked instances start 2 s after the instance went off.
    StartedLater,
    /// Half of the other instances go off at the same moment.
    ManyOff,
}

const ALL_TROUBLES: [Trouble; 7] = [
    Trouble::Nothing,
    Trouble::Slow,
    Trouble::LostAnswers,
    Trouble::SilentBefore,
    Trouble::Restored,
    Trouble::StartedLater,
    Trouble::ManyOff,
];

/// Runs a fleet in which a listed instance goes off, and returns when each other one dropped it.
///
/// In a trouble in which more go off, each one must have dropped them all.
async fn departures(count: usize, trouble: Trouble, seed: u64) -> Vec<Duration> {
    let fleet = Fleet::spawn(count, seed);
    fleet.run(WARM_UP).await;
    let victim = fleet.listed_instance();
    match trouble {
        Trouble::Slow => fleet.set_paths(|_| Path::Slow(Duration::from_millis(300))),
        Trouble::LostAnswers => fleet.set_paths(|_| Path::LosesAnswers(0.33)),
        Trouble::SilentBefore => {
            fleet.set_paths(|_| Path::Silent);
            fleet.run(Duration::from_secs(1)).await;
        }
        _ => {}
    }
    let others: Vec<usize> = (0..count).filter(|index| *index != victim).collect();
    fleet.power_off(victim);
    let mut off_addresses = vec![fleet::address(victim)];
    let mut asked = others.clone();
    if trouble == Trouble::ManyOff {
        let (off, on) = others.split_at(count / 2);
        for index in off {
            fleet.power_off(*index);
            off_addresses.push(fleet::address(*index));
        }
        asked = on.to_vec();
    }
    let backup = fleet.backup();
    let mut departures: Vec<Option<Duration>> = vec![None; count];
    for step in 1..=MAX_STEPS {
        let at = Duration::from_millis(100) * step;
        fleet.run(Duration::from_millis(100)).await;
        match (trouble, step) {
            (Trouble::SilentBefore, 30) => fleet.set_paths(|_| Path::Up),
            (Trouble::Restored, 10) => fleet.restore(&backup),
            (Trouble::StartedLater, 20) => asked.iter().for_each(|index| fleet.restart(*index)),
            _ => {}
        }
        for index in &asked {
            let addresses = fleet.addresses(*index);
            assert!(!addresses.is_empty(), "an empty answer");
            if addresses.iter().any(|address| off_addresses.contains(address)) {
                departures[*index] = None;
            } else {
                departures[*index].get_or_insert(at);
            }
        }
    }
    let never = Duration::from_millis(100) * (MAX_STEPS + 1);
    asked.iter().map(|index| departures[*index].unwrap_or(never)).collect()
}

/// Guards against answers that name instances that have long been off.
#[test_case(6; "at_6_instances")]
#[test_case(70; "at_70_instances")]
#[test_case(360; "at_360_instances")]
fn an_instance_that_is_off_leaves_all_answers_in_time(count: usize) {
    let mut late = Vec::new();
    for trouble in ALL_TROUBLES {
        let seeds = if count > 100 { 1..2 } else { 1..5 };
        let mut all = Vec::new();
        for seed in seeds {
            all.extend(fleet::simulate(departures(count, trouble, seed)));
        }
        let longest = all.iter().max().copied().unwrap_or_default();
        let mean = all.iter().sum::<Duration>() / u32::try_from(all.len()).expect("few");
        println!("{count} instances, {trouble:?}: mean {mean:.1?}, longest {longest:.1?}");
        if longest > MAX_DEPARTURE {
            late.push((trouble, longest));
        }
    }
    assert!(late.is_empty(), "{late:?}");
}

/// Trouble of one live instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Impairment {
    /// Its calls to the store take 1.8 s, and its answers to other instances 0.6 s.
    FullLink,
    /// It does not reach the store for 4 s.
    CutFromStore,
    /// Its process is down for 1 s.
    Restarted,
    /// It stands still for 3 s.
    Frozen,
}

/// Returns for how long each other instance left out a live one, in a trouble of some seconds.
async fn absences(count: usize, impairment: Impairment, seed: u64) -> Vec<Duration> {
    let fleet = Fleet::spawn(count, seed);
    fleet.run(WARM_UP).await;
    let subject = fleet.listed_instance();
    let (path, seconds) = match impairment {
        Impairment::FullLink => (Path::Slow(Duration::from_millis(1_800)), 6),
        Impairment::CutFromStore => (Path::Silent, 4),
        Impairment::Restarted => (Path::Silent, 1),
        Impairment::Frozen => (Path::Silent, 3),
    };
    fleet.set_paths(|index| if index == subject { path } else { Path::Up });
    let reply = match impairment {
        Impairment::FullLink => Reply::After(Duration::from_millis(600)),
        Impairment::CutFromStore => Reply::After(Duration::ZERO),
        Impairment::Restarted => Reply::Refused,
        Impairment::Frozen => Reply::Silent,
    };
    fleet.set_reply(subject, reply);
    let mut absences = vec![Duration::ZERO; count];
    for step in 0..MAX_STEPS {
        if step == seconds * 10 {
            fleet.set_paths(|_| Path::Up);
            fleet.set_reply(subject, Reply::After(Duration::ZERO));
        }
        fleet.run(Duration::from_millis(100)).await;
        for (index, absence) in absences.iter_mut().enumerate() {
            if index != subject && !fleet.addresses(index).contains(&fleet::address(subject)) {
                *absence += Duration::from_millis(100);
            }
        }
    }
    absences.remove(subject);
    absences
}

/// Guards against answers without an instance that serves its callers.
#[test_case(6, Impairment::FullLink, 0.0; "at_6_instances_with_a_full_link")]
#[test_case(70, Impairment::FullLink, 0.0; "at_70_instances_with_a_full_link")]
#[test_case(6, Impairment::CutFromStore, 0.0; "at_6_instances_cut_from_the_store")]
#[test_case(70, Impairment::CutFromStore, 0.0; "at_70_instances_cut_from_the_store")]
#[test_case(6, Impairment::Restarted, 3.0; "at_6_instances_restarted")]
#[test_case(70, Impairment::Restarted, 3.0; "at_70_instances_restarted")]
#[test_case(6, Impairment::Frozen, 5.0; "at_6_instances_frozen")]
#[test_case(70, Impairment::Frozen, 5.0; "at_70_instances_frozen")]
fn a_live_instance_stays_in_the_answers(count: usize, impairment: Impairment, most_seconds: f64) {
    let mut all = Vec::new();
    for seed in 1..5 {
        all.extend(fleet::simulate(absences(count, impairment, seed)));
    }
    let longest = all.iter().max().copied().unwrap_or_default();
    let left_out = all.iter().filter(|absence| !absence.is_zero()).count();
    println!(
        "{count} instances, {impairment:?}: left out by {left_out} of {}, longest {longest:.1?}",
        all.len()
    );
    assert!(longest.as_secs_f64() <= most_seconds, "left out for {longest:?}");
}

/// Guards against calls to the store that grow with the number of instances.
#[test_case(6; "at_6_instances")]
#[test_case(70; "at_70_instances")]
#[test_case(360; "at_360_instances")]
fn an_instance_makes_one_call_to_the_store_a_second(count: usize) {
    let measure = async {
        let fleet = Fleet::spawn(count, 1);
        fleet.run(WARM_UP).await;
        let (calls_before, bytes_before) = fleet.store_load();
        fleet.run(Duration::from_secs(20)).await;
        let (calls, bytes) = fleet.store_load();
        (calls - calls_before, bytes - bytes_before, fleet.probe_count())
    };
    let (calls, bytes, probes) = fleet::simulate(measure);
    let instance_seconds = 20 * count as u64;
    println!("{count} instances: {calls} calls in {instance_seconds} seconds, summed over them");
    println!("{count} instances: {probes} probes since the start");
    println!("{count} instances: {} bytes read a second and instance", bytes / instance_seconds);
    assert!(calls <= instance_seconds, "{calls} calls");
}

/// Most bytes of rows that an instance reads a second, as the target for all control traffic.
const MAX_BYTES_A_SECOND: u64 = 5_000;

/// Guards against traffic with the store that grows with the square of the fleet.
///
/// Each instance read the rows of all others every two seconds.
#[test_case(8; "at_8_instances")]
#[test_case(70; "at_70_instances")]
#[test_case(195; "at_195_instances")]
#[test_case(360; "at_360_instances")]
#[test_case(1_000; "at_1000_instances")]
fn an_instance_reads_no_more_in_a_larger_fleet(count: usize) {
    const SECONDS: u64 = 30;
    let measure = async {
        let fleet = Fleet::spawn(count, 1);
        fleet.run(WARM_UP).await;
        let start = fleet.store_load();
        fleet.run(Duration::from_secs(SECONDS)).await;
        let end = fleet.store_load();
        (start, (end.0 - start.0, end.1 - start.1), fleet.candidates().len())
    };
    let (start, (calls, bytes), candidates) = fleet::simulate(measure);
    let instance_seconds = SECONDS * count as u64;
    let start_bytes = start.1 / count as u64;
    println!(
        "{count} instances: {candidates} candidates; a second and instance {} bytes, {:.2} calls; \
         {start_bytes} bytes each in the first 8 s",
        bytes / instance_seconds,
        f64::from(u32::try_from(calls).expect("few"))
            / f64::from(u32::try_from(instance_seconds).expect("few"))
    );
    assert!(bytes / instance_seconds <= MAX_BYTES_A_SECOND, "{}", bytes / instance_seconds);
    assert!(candidates >= count.min(16), "{candidates} candidates");
}

/// Guards against callers without addresses when all instances that keep a row go off at once.
#[test_case(70; "at_70_instances")]
#[test_case(360; "at_360_instances")]
fn other_instances_take_the_place_of_candidates_that_are_all_off(count: usize) {
    for seed in 1..4 {
        let replace = async {
            let fleet = Fleet::spawn(count, seed);
            fleet.run(WARM_UP).await;
            let off = fleet.candidates();
            assert!(off.len() < count, "some instances keep no row");
            for index in &off {
                fleet.power_off(*index);
            }
            fleet.run(MAX_DEPARTURE).await;
            let off_addresses: Vec<String> =
                off.iter().map(|index| fleet::address(*index)).collect();
            let on: Vec<usize> = (0..count).filter(|index| !off.contains(index)).collect();
            for index in &on {
                let addresses = fleet.addresses(*index);
                assert!(!addresses.iter().any(|one| off_addresses.contains(one)), "{addresses:?}");
            }
            fleet.run(Duration::from_secs(4)).await;
            for index in &on {
                let addresses = fleet.addresses(*index);
                assert!(addresses.len() >= 4, "{} at {index}", addresses.len());
            }
            // The rows of the instances that are gone are removed.
            fleet.run(Duration::from_secs(40)).await;
            let left: Vec<usize> =
                fleet.candidates().into_iter().filter(|index| off.contains(index)).collect();
            assert!(left.is_empty(), "rows of {left:?}");
        };
        fleet::simulate(replace);
    }
}
