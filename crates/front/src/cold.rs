//! What this instance may send to cold upstreams, and what refused callers are told.

use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use route::cold::{Part, Terms};
use slog::info;

use crate::Front;
use crate::upstream::Upstream;

impl Front {
    /// Records for how long an upstream stays cold, as its entry or an answer states.
    pub fn record_cold(&self, upstream: &Upstream, remaining: Duration, source: &'static str) {
        let Some(terms) = self.fleet.cold_terms(&upstream.entry.service) else { return };
        let now = self.clock.now();
        let mut cold = upstream.cold.get();
        let has_become_cold = cold.observe(terms.start, remaining, rand::random(), now);
        upstream.cold.set(cold);
        if has_become_cold {
            self.log_cold(upstream, &terms, source, now);
        }
    }

    /// Records that a connection to an upstream was lost, which may be the sign of a restart.
    pub(crate) fn record_loss(&self, upstream: &Upstream, cause: &'static str) {
        let Some(terms) = self.fleet.cold_terms(&upstream.entry.service) else { return };
        let now = self.clock.now();
        // All connections end with the process.
        if upstream.has_open_idle(now) {
            return;
        }
        let mut cold = upstream.cold.get();
        let has_become_cold = cold.record_loss(terms.start, rand::random(), now);
        upstream.cold.set(cold);
        if has_become_cold {
            self.log_cold(upstream, &terms, cause, now);
        }
    }

    fn log_cold(&self, upstream: &Upstream, terms: &Terms, source: &'static str, now: Duration) {
        let end = upstream.cold.get().end(terms.start);
        info!(self.log, "upstream cold"; "upstream" => upstream.entry.id.as_ref(),
            "source" => source, "remaining_ms" => millis(end.saturating_sub(now)),
            "part" => ?self.cold_part(terms, upstream, now));
    }

    /// Returns the part of this instance in the requests to a cold upstream.
    fn cold_part(&self, terms: &Terms, upstream: &Upstream, now: Duration) -> Part {
        let rank = self.roster.rank(&upstream.entry.id);
        terms.part(rank, self.roster.unlisted_count(), self.roster.is_settled(now))
    }

    /// Returns true if an upstream may have restarted without any sign of it.
    ///
    /// The list is out of date then, and no connection of this instance has shown that the process
    /// goes on.
    fn is_unknown(&self, terms: &Terms, upstream: &Upstream, now: Duration) -> bool {
        !self.fleet.is_current(now)
            && upstream.connection_count() == 0
            && now >= upstream.heard_at() + terms.start
    }

    /// Returns the time until a cold upstream may get a request of this instance; zero if now.
    fn cold_wait(&self, terms: &Terms, upstream: &Upstream, now: Duration) -> Duration {
        let cold = upstream.cold.get();
        if !cold.is_cold(terms.start, now) {
            return Duration::ZERO;
        }
        cold.wait(terms.start, self.cold_part(terms, upstream, now), now)
    }

    /// Returns true if an upstream may get a request of this instance as far as it is cold.
    ///
    /// Upstreams that have become warm, or whose domain was taken back, get their load in steps.
    pub(crate) fn admits_cold(&self, upstream: &Upstream, now: Duration) -> bool {
        let terms = self.fleet.cold_terms(&upstream.entry.service);
        if let Some(terms) = &terms {
            if !upstream.cold.get().is_cold(terms.start, now)
                && self.is_unknown(terms, upstream, now)
            {
                self.record_loss(upstream, "unknown");
            }
            if !self.cold_wait(terms, upstream, now).is_zero() {
                return false;
            }
        }
        let start = terms.map_or(Duration::ZERO, |terms| terms.start);
        let cold = upstream.cold.get();
        if !cold.is_growing(start, now) {
            return true;
        }
        let slots = usize::try_from(upstream.entry.slots).unwrap_or(usize::MAX);
        let limit = cold.step_limit(start, slots, self.roster.rank(&upstream.entry.id), now);
        limit.is_none_or(|limit| upstream.in_flight() < limit)
    }

    /// Returns the delay after which a request can be sent that was refused for cold upstreams.
    ///
    /// `None` if other causes are left. Each call names a later time, since the caller takes it.
    pub(crate) fn cold_retry(&self, service: &ServiceId) -> Option<Duration> {
        let terms = self.fleet.cold_terms(service)?;
        let now = self.clock.now();
        let upstreams = self.fleet.service_upstreams(service);
        let staying = upstreams
            .iter()
            .filter(|upstream| !upstream.leaving.get() && !self.fleet.is_evacuated(upstream));
        let (mut wait, mut warm_in, mut rate_per_s) = (None::<Duration>, Duration::MAX, 0.0);
        for upstream in staying.map(Rc::as_ref) {
            let own_wait = self.cold_wait(&terms, upstream, now);
            if own_wait.is_zero() {
                return None;
            }
            wait = Some(wait.map_or(own_wait, |least| least.min(own_wait)));
            let end = upstream.cold.get().end(terms.start);
            warm_in = warm_in.min(end.saturating_sub(now));
            if let Part::Listed(interval) | Part::Unlisted(interval) =
                self.cold_part(&terms, upstream, now)
            {
                rate_per_s += 1.0 / interval.as_secs_f64();
            }
        }
        // Without a part, all requests can be sent once an upstream is warm.
        let interval =
            if rate_per_s > 0.0 { Duration::from_secs_f64(1.0 / rate_per_s) } else { warm_in };
        Some(self.fleet.next_turn(service, wait?, interval, warm_in, now))
    }
}
