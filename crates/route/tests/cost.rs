//! Estimates of what a request costs and of the work at each upstream.
//!
//! Guards against rates that stay at their defaults, against one stale report that all instances
//! follow, against an upstream that is avoided for good, and against a queue counted in requests.

use std::time::Duration;

use route::cost::{Length, Report, Service, Upstream, Work};
use test_case::test_case;

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn work(prefill_tokens: u64) -> Work {
    Work { prefill_tokens, memory_tokens: prefill_tokens, factor: 1.0, ..Work::default() }
}

/// Answers 40 requests in turn at upstreams with these factors, at a prefill speed in tokens a ms.
fn learn(factors: &[f64], speed: f64) -> (Service, Vec<Upstream>) {
    let mut service = Service::default();
    let mut upstreams = vec![Upstream::default(); factors.len()];
    for number in 0..40 * factors.len() {
        let index = number % factors.len();
        let now = at(1.0 + 0.05 * f64::from(u32::try_from(number).expect("few requests")));
        let tokens = 1_000 + 997 * u32::try_from(number % 13).expect("below 13");
        let (factor, _) = upstreams[index].factor(now);
        let work = Work { factor, ..work(tokens.into()) };
        let seconds = (f64::from(tokens) / speed / 1e3 + 0.005) * factors[index];
        upstreams[index].start(&work, now);
        upstreams[index].end_prefill(&work, now);
        upstreams[index].observe_first_event(&mut service, &work, seconds, now);
        upstreams[index].observe_pause(&mut service, 0.005 * factors[index], 0.0, now);
        upstreams[index].end(&work);
    }
    (service, upstreams)
}

#[test_case(49.6; "slower than assumed")]
#[test_case(93.0; "faster than assumed")]
#[test_case(400.0; "far from assumed")]
fn the_prefill_speed_is_learned_from_first_events(speed: f64) {
    let (service, _) = learn(&[1.0, 1.0, 1.0], speed);
    let learned = 1e-3 / service.rates.token_seconds;
    assert!((learned / speed).ln().abs() < 0.1, "{learned} of {speed} tokens a ms");
}

#[test]
fn uneven_upstreams_are_told_apart() {
    let (_, upstreams) = learn(&[1.0 / 0.6, 1.0, 1.0 / 1.6], 49.6);
    let now = at(7.0);
    let factors: Vec<f64> = upstreams.iter().map(|upstream| upstream.factor(now).0).collect();
    assert!(factors[0] > 1.3 * factors[1] && factors[1] > 1.3 * factors[2], "{factors:?}");
}

#[test]
fn an_upstream_that_is_not_used_is_tried_again() {
    let (_, upstreams) = learn(&[4.0, 1.0, 1.0], 49.6);
    let (soon, later) = (at(7.0), at(200.0));
    assert!(upstreams[0].factor(soon).0 > 2.0 * upstreams[1].factor(soon).0);
    let ratio = upstreams[0].factor(later).0 / upstreams[1].factor(later).0;
    assert!(ratio < 1.1, "{ratio} times slower after three minutes without a request");
}

#[test]
fn present_slowness_fades_within_half_a_second() {
    let (mut service, mut upstream) = (Service::default(), Upstream::default());
    let report = |slowness| Report { running: 1, waiting: 0, slowness: Some(slowness) };
    upstream.observe_report(&mut service, report(2.5), 1, at(1.0));
    let (now, soon) = (upstream.factor(at(1.0)).0, upstream.factor(at(1.5)).0);
    assert!(now > 2.0 && soon < 1.4, "{now} at once, {soon} after half a second");
    upstream.observe_report(&mut service, report(2.5), 1, at(2.0));
    upstream.observe_report(&mut service, report(1.0), 1, at(2.1));
    assert!(upstream.factor(at(2.1)).0 < 1.15, "a later report replaces an earlier one");
}

#[test]
fn one_late_event_does_not_mark_an_upstream_as_slow() {
    let (mut service, mut upstreams) = learn(&[1.0, 1.0], 49.6);
    let now = at(10.0);
    upstreams[0].observe_first_event(&mut service, &work(2_000), 5.0, now);
    let later = now + at(1.0);
    let ratio = upstreams[0].factor(later).0 / upstreams[1].factor(later).0;
    assert!(ratio < 1.6, "{ratio} times slower a second after one late event");
}

#[test]
fn a_stale_report_gives_way_to_the_mean_of_the_service() {
    let (mut service, mut idle, mut busy) =
        (Service::default(), Upstream::default(), Upstream::default());
    let report = |running| Report { running, waiting: 0, slowness: None };
    for number in 0..100 {
        let now = at(0.1 * f64::from(number));
        busy.observe_report(&mut service, report(20), 0, now);
    }
    idle.observe_report(&mut service, report(0), 0, at(10.0));
    assert!(idle.others_load(&service, at(10.0)) < 0.1);
    let later = idle.others_load(&service, at(14.0));
    assert!(later > 15.0, "{later} requests assumed four seconds after a report of none");
}

#[test]
fn the_queue_is_counted_in_tokens_and_shrinks_with_time() {
    let service = Service::default();
    let (mut long, mut short) = (Upstream::default(), Upstream::default());
    long.start(&work(50_000), at(1.0));
    for _ in 0..10 {
        short.start(&work(400), at(1.0));
    }
    let queued = |upstream: &Upstream, now| upstream.queued_tokens(&service, 1.0, now);
    assert!(queued(&long, at(1.0)) > 10.0 * queued(&short, at(1.0)));
    assert!(queued(&long, at(1.5)) < 21_000.0, "30,000 tokens are prefilled in half a second");
    assert!(queued(&long, at(60.0)) > 0.0, "the first event has not arrived");
    long.end_prefill(&work(50_000), at(60.0));
    assert!(queued(&long, at(60.0)).abs() < f64::EPSILON);
}

#[test]
fn a_request_waits_for_memory_once_it_is_used_up() {
    let service = Service::default();
    let seconds = |used, needed| Upstream::memory_seconds(&service, used, needed, 400_000.0);
    assert!(seconds(300_000.0, 90_000.0).abs() < f64::EPSILON);
    assert!(seconds(390_000.0, 50_000.0) > 0.05);
    assert!(seconds(390_000.0, 100_000.0) > seconds(390_000.0, 50_000.0));
}

#[test]
fn a_hint_that_is_usually_wrong_counts_less_than_earlier_answers() {
    let (mut reliable, mut unreliable) = (Length::default(), Length::default());
    for number in 0..200_u64 {
        let tokens = 20 + 180 * (number % 2);
        reliable.observe(Some(tokens), tokens);
        unreliable.observe(Some(if tokens == 20 { 4_000 } else { 2 }), tokens);
    }
    let (by_hint, _) = reliable.estimate(Some(200), 5_000);
    let (by_answers, _) = unreliable.estimate(Some(4_000), 5_000);
    assert!((150.0..=220.0).contains(&by_hint), "{by_hint}");
    assert!((30.0..=400.0).contains(&by_answers), "{by_answers}");
}
