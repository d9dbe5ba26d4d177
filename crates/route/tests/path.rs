//! The path of an instance under cuts and under upstreams that are down.
//!
//! Guards against an instance that takes engines that are down for a lost path of its own, or does
//! not notice that its path is lost, or works again.

use base::prelude::*;
use proptest::prelude::*;
use route::path::{Path, Plan, State};
use test_case::test_case;

const START: Duration = Duration::from_mins(1);

fn id(number: usize) -> UpstreamId {
    format!("i-{number}").into()
}

/// Connects as planned; returns whether a connection was opened, directly or by a tunnel.
///
/// `is_up` tells whether the upstream runs, and `is_cut` whether this instance cannot reach it.
fn connect(
    path: &mut Path,
    upstream: usize,
    count: usize,
    (is_up, is_cut): (bool, bool),
    now: Duration,
) -> bool {
    let id = id(upstream);
    let plan = path.plan(&id, now);
    let connects = matches!(plan, Plan::Direct { .. } | Plan::Tunnel { probes: true });
    let mut is_open = false;
    if connects {
        if is_up && !is_cut {
            path.record_connected(&id);
            is_open = true;
        } else {
            path.record_failure(&id, count, now);
        }
    }
    let asks = match plan {
        Plan::Direct { .. } => !is_open && path.state() != State::Works,
        Plan::Tunnel { .. } => true,
        Plan::Refuse => false,
    };
    if asks && is_up {
        if connects && !is_open {
            path.record_detour(&id, count, now);
        }
        is_open = true;
    } else if asks {
        path.record_down(&id, count);
    }
    is_open
}

/// Connects to an upstream and, if that fails, to the next one; returns whether one was connected.
fn request(path: &mut Path, first: usize, count: usize, is_cut: bool, now: Duration) -> bool {
    let upstreams = [first, (first + 1) % count];
    upstreams.into_iter().any(|upstream| connect(path, upstream, count, (true, is_cut), now))
}

proptest! {
    /// Guards against requests that fail in a cut, or a path that is not used again after it.
    #[test]
    fn a_cut_costs_no_request(
        count in 1_usize..20,
        choices in proptest::collection::vec(any::<prop::sample::Index>(), 60..61),
    ) {
        let mut path = Path::default();
        for (step, choice) in choices.iter().enumerate() {
            let now = START + Duration::from_millis(100) * u32::try_from(step).expect("few steps");
            let is_cut = (10..40).contains(&step);
            prop_assert!(request(&mut path, choice.index(count), count, is_cut, now));
        }
        prop_assert_eq!(path.state(), State::Works);
    }

    /// Guards against a path that is taken for lost because upstreams are down.
    #[test]
    fn upstreams_that_are_down_lose_no_path(
        down in 0_usize..6,
        choices in proptest::collection::vec(any::<prop::sample::Index>(), 40..41),
    ) {
        const COUNT: usize = 12;
        let mut path = Path::default();
        for (step, choice) in choices.iter().enumerate() {
            let now = START + Duration::from_millis(100) * u32::try_from(step).expect("few steps");
            let upstream = choice.index(COUNT);
            let is_up = upstream >= down;
            let is_open = connect(&mut path, upstream, COUNT, (is_up, false), now);
            prop_assert_eq!(is_open, is_up);
            prop_assert!(path.state() != State::Lost);
        }
    }
}

/// Guards against requests that wait for a path which nobody has.
#[test_case(false; "in doubt")]
#[test_case(true; "lost")]
fn without_any_exit_requests_are_refused_for_a_time(is_lost: bool) {
    let mut path = Path::default();
    let now = START;
    path.record_failure(&id(1), 8, now);
    path.record_failure(&id(2), 8, now);
    if is_lost {
        path.record_detour(&id(2), 8, now);
    }
    path.record_no_exit(now);
    assert_eq!(path.plan(&id(3), now), Plan::Refuse);
    let later = now + Duration::from_millis(400);
    assert_ne!(path.plan(&id(3), later), Plan::Refuse);
    path.record_connected(&id(3));
    assert!(matches!(path.plan(&id(4), now), Plan::Direct { .. }));
}
