//! All configured upstreams of this instance and the choice among them.

use std::collections::HashMap;
use std::net::SocketAddr;

use arc_swap::ArcSwap;
use base::prelude::*;
use plan::Doc;

use crate::Error;
use crate::balancer::{Balancer, Candidate};
use crate::prefix::{self, Hash};
use crate::ticket::Ticket;
use crate::upstream::Upstream;

/// Cached blocks that are tracked for all upstreams together.
const BLOCKS_TOTAL: usize = 65_536;
/// Fewest and most cached blocks that are tracked for one upstream.
const BLOCKS_PER_UPSTREAM: std::ops::RangeInclusive<usize> = 64..=4_096;
/// Leading blocks of a prompt that determine its home, where it is cached first.
const HOME_BLOCKS: usize = 8;

type Upstreams = HashMap<UpstreamId, Arc<Upstream>>;

/// Requirements of a request on its upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Criteria<'a> {
    /// Upstreams that are configured for the request.
    pub candidates: &'a [UpstreamId],
    /// Upstreams to skip, since the request was sent there already.
    pub tried: &'a [UpstreamId],
    /// Model that must be loaded; `None` if any upstream serves the request.
    pub model: Option<&'a str>,
    /// Hashes of the leading blocks of the prompt; empty without a prompt.
    pub block_hashes: &'a [Hash],
}

/// Upstreams that the configuration lists and does not drain.
#[derive(Debug)]
pub struct Fleet {
    upstreams: ArcSwap<Upstreams>,
    balancer: Box<dyn Balancer>,
    domain: DomainId,
    clock: Arc<dyn Clock>,
}

impl Fleet {
    /// Creates an empty fleet of an instance in failure domain `domain`.
    #[must_use]
    pub fn open(balancer: Box<dyn Balancer>, domain: DomainId, clock: Arc<dyn Clock>) -> Self {
        Self { upstreams: ArcSwap::from_pointee(Upstreams::new()), balancer, domain, clock }
    }

    /// Replaces the upstreams by those of a configuration; unchanged ones keep their state.
    pub fn apply(&self, doc: &Doc) {
        let old = self.upstreams.load();
        let blocks = BLOCKS_TOTAL / doc.upstreams.len().max(1);
        let blocks = blocks.clamp(*BLOCKS_PER_UPSTREAM.start(), *BLOCKS_PER_UPSTREAM.end());
        let live = doc.upstreams.iter().filter(|(_, upstream)| !upstream.draining);
        let map = live.map(|(id, config)| {
            let kept = old.get(id).filter(|previous| previous.matches_config(config));
            let fresh = || Arc::new(Upstream::open(id, config, blocks));
            (Arc::clone(id), kept.map_or_else(fresh, Arc::clone))
        });
        self.upstreams.store(Arc::new(map.collect()));
    }

    /// Returns all upstreams, in no particular order.
    pub fn upstreams(&self) -> Vec<Arc<Upstream>> {
        self.upstreams.load().values().map(Arc::clone).collect()
    }

    /// Returns the upstream with this id; `None` if it is not configured or is draining.
    pub fn get(&self, id: &str) -> Option<Arc<Upstream>> {
        self.upstreams.load().get(id).map(Arc::clone)
    }

    /// Returns the upstream whose HTTP interface has this address.
    pub fn find_by_address(&self, address: SocketAddr) -> Option<Arc<Upstream>> {
        let map = self.upstreams.load();
        map.values().find(|upstream| upstream.address == address).map(Arc::clone)
    }

    /// Chooses an upstream and counts the request there until the ticket is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if no upstream is configured, usable or below its limit.
    pub fn choose(&self, criteria: &Criteria<'_>) -> Result<Ticket, Error> {
        if criteria.candidates.is_empty() {
            return Err(Error::NoRoute);
        }
        let now = self.clock.now();
        let map = self.upstreams.load();
        let usable = usable(&map, criteria, now);
        if usable.is_empty() {
            return Err(Error::NoneAvailable);
        }
        let mean_other_load = mean_load_of_others(&usable, now);
        let available: Vec<&Arc<Upstream>> =
            usable.into_iter().filter(|upstream| upstream.in_flight() < upstream.slots).collect();
        let candidates = self.candidates(&available, criteria.block_hashes, now, mean_other_load);
        let index = self.balancer.choose(&candidates, &mut rand::rng()).ok_or(Error::Overloaded)?;
        let chosen = available[index];
        chosen.record_request(criteria.block_hashes, now);
        let utilization = candidates[index].utilization();
        Ok(Ticket::open(Arc::clone(chosen), Arc::clone(&self.clock), utilization))
    }

    fn candidates(
        &self,
        available: &[&Arc<Upstream>],
        block_hashes: &[Hash],
        now: Duration,
        mean_other_load: f64,
    ) -> Vec<Candidate> {
        let default_seconds = mean_service_seconds(available);
        let home_index = home_index(available, block_hashes);
        let candidate = |(index, upstream): (usize, &&Arc<Upstream>)| {
            let service_time = upstream.load.mean_service_time();
            Candidate {
                slots: upstream.capacity(),
                in_flight: upstream.in_flight(),
                reported_requests: upstream.load.reported_requests(),
                estimated_load: upstream.load.estimate(now, mean_other_load),
                service_seconds: if service_time.is_zero() {
                    default_seconds
                } else {
                    service_time.as_secs_f64()
                },
                hit_ratio: upstream.hit_ratio(block_hashes),
                is_home: home_index == Some(index),
                is_local: upstream.domain == self.domain,
            }
        };
        available.iter().enumerate().map(candidate).collect()
    }
}

/// Returns the upstreams that may get the request; only healthy ones if there are any.
fn usable<'a>(
    map: &'a Upstreams,
    criteria: &Criteria<'_>,
    now: Duration,
) -> Vec<&'a Arc<Upstream>> {
    let untried = criteria.candidates.iter().filter(|id| !criteria.tried.contains(id));
    let staying: Vec<&Arc<Upstream>> = untried
        .filter_map(|id| map.get(id))
        .filter(|upstream| !upstream.is_leaving())
        .filter(|upstream| criteria.model.is_none_or(|model| upstream.serves(model)))
        .collect();
    let healthy: Vec<&Arc<Upstream>> =
        staying.iter().copied().filter(|upstream| upstream.health.is_available(now)).collect();
    // If all are ejected at once, the cause is probably elsewhere, so all are tried.
    if healthy.is_empty() { staying } else { healthy }
}

/// Returns the mean load of other instances at an upstream, weighted by report age.
fn mean_load_of_others(usable: &[&Arc<Upstream>], now: Duration) -> f64 {
    let weighted = usable.iter().map(|upstream| {
        let weight = upstream.load.report_weight(now);
        (weight, weight * f64::from(upstream.load.other_requests()))
    });
    let (weights, sum) = weighted.fold((0.0, 0.0), |sum, item| (sum.0 + item.0, sum.1 + item.1));
    // A divisor of at least 1 lets the mean of few or old reports decay to 0, so that stale load
    // does not reject requests for long.
    sum / f64::max(weights, 1.0)
}

/// Returns the mean of the observed service times in seconds, 1 without any.
fn mean_service_seconds(available: &[&Arc<Upstream>]) -> f64 {
    let observed = available
        .iter()
        .map(|upstream| upstream.load.mean_service_time())
        .filter(|time| !time.is_zero());
    let (count, sum) =
        observed.fold((0_u32, 0.0), |(count, sum), time| (count + 1, sum + time.as_secs_f64()));
    if count == 0 { 1.0 } else { sum / f64::from(count) }
}

/// Returns the index of the upstream that rendezvous hashing assigns to the prompt.
fn home_index(available: &[&Arc<Upstream>], block_hashes: &[Hash]) -> Option<usize> {
    let anchor = block_hashes.get(block_hashes.len().min(HOME_BLOCKS).checked_sub(1)?)?;
    let weight =
        |upstream: &Upstream| prefix::mix(prefix::extend_hash(*anchor, upstream.id.as_bytes()));
    (0..available.len()).max_by_key(|index| weight(available[*index]))
}
