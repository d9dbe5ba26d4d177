//! Guards against an instance that admits more than its narrow link can carry.
//!
//! All callers of one large account use this instance; without admission control the requests share
//! the queue of the link, and nearly all answers are late.

use std::time::Duration;

use front::link::Queue;
use plan::routing::{Kind, Route};

const LINK_BITS_PER_SECOND: f64 = 10e6;
const LINK_BYTES_PER_SECOND: f64 = LINK_BITS_PER_SECOND / 8.0;
const ANSWER_BYTES: f64 = 3_000.0;
const SECONDS: u32 = 20;

fn route(rank: u8) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind: Kind::Stream,
        timeout: Duration::from_secs(8),
        target_latency: Duration::from_millis(600),
        priority: rank,
        targets: Vec::new(),
        max_attempts: 1,
        allows_anonymous: false,
    }
}

/// Counts the requests answered within the target latency, by rank.
///
/// The link sends the bytes of all requests in order of arrival.
fn simulate(requests_per_second: u32, has_admission: bool) -> [u32; 3] {
    let body_sizes = [9_200_u32, 17_000, 1_500];
    let ranks = [0_u8, 1, 2];
    let mut queue = Queue::open(LINK_BITS_PER_SECOND);
    let mut in_time = [0; 3];
    // Time at which the link has sent all bytes that are queued.
    let mut free_at = Duration::ZERO;
    let interval = Duration::from_secs(1) / requests_per_second;
    for number in 0..requests_per_second * SECONDS {
        let now = interval * number;
        let rank = usize::try_from(number % 3).expect("a remainder fits");
        let body = body_sizes[rank];
        if queue.admit(&route(ranks[rank]), body as usize, now).is_ok() || !has_admission {
            let transfer_time =
                Duration::from_secs_f64((f64::from(body) + ANSWER_BYTES) / LINK_BYTES_PER_SECOND);
            free_at = free_at.max(now) + transfer_time;
            in_time[rank] += u32::from(free_at <= now + route(0).target_latency);
        }
    }
    in_time
}

#[test]
fn load_below_link_capacity_is_fully_admitted() {
    let all = 60 * SECONDS / 3;
    assert_eq!(simulate(60, true), [all, all, all]);
}

#[test]
fn admission_keeps_half_of_requests_in_time_at_one_sixth_overload() {
    let requests_per_second = 120;
    let all = requests_per_second * SECONDS;
    let unlimited: u32 = simulate(requests_per_second, false).iter().sum();
    let limited: u32 = simulate(requests_per_second, true).iter().sum();
    assert!(unlimited < all / 5, "{unlimited} of {all} without a limit");
    assert!(limited > all / 2, "{limited} of {all} with a limit");
}

#[test]
fn more_urgent_ranks_complete_more_requests_under_overload() {
    let [urgent, usual, least] = simulate(120, true);
    assert!(urgent > usual && usual > least, "{urgent} {usual} {least}");
}
