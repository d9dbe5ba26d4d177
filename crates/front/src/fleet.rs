//! The listed upstreams and the selection of one for a request.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use base::prelude::*;
use route::cold::{Bounds, Terms, Turns};
use route::cost::{self, Length, Work};
use route::placement::{self, Workload};
use route::prefix;

use crate::evacuation::Evacuations;
use crate::params::Params;
use crate::proof::{Listing, Proof};
use crate::upstream::{Demand, Entry, Upstream};

/// Expected duration of a plain request at a slowness of 1.
const PLAIN_CALL_SECONDS: f64 = 0.02;
/// Part of a prompt's shared tokens assumed cached at its first rendezvous upstream.
const FIRST_CACHED_RATIO: f64 = 0.7;
/// Part of a prompt's shared tokens assumed cached at its second rendezvous upstream.
const SECOND_CACHED_RATIO: f64 = 0.4;

/// Time after an answer of the store for which the list counts as current.
///
/// It covers the longest wait of the feed for a change, and that for a late answer.
const LIST_VALIDITY: Duration = Duration::from_millis(2_600);

/// Most pairs of a route and a client account whose output lengths are remembered.
///
/// It bounds the memory where routes or accounts change for as long as the instance runs.
const MAX_LENGTHS: usize = 4_096;

/// Route and client account of requests whose outputs are about equally long.
type LengthKey = (Arc<str>, Option<AccountId>);

/// An upstream selected for an attempt of a request.
#[derive(Debug, Clone)]
pub struct Selection {
    /// Upstream to which the request is to be sent.
    pub upstream: Rc<Upstream>,
    /// Leading prompt tokens that the upstream probably has cached.
    pub cached_tokens: Tokens,
    /// What the request is expected to cost there; `None` for plain requests.
    pub work: Option<Work>,
    /// Expected time to the first token, or to the answer of a plain request.
    pub expected_seconds: f64,
    /// Number of upstreams that could have been selected.
    pub candidate_count: usize,
}

/// A change of the list of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An upstream was listed, or its entry has changed.
    Listed(Entry),
    /// The upstream with this id is no longer listed.
    Gone(UpstreamId),
}

/// All listed upstreams, with an index by service.
#[derive(Debug)]
pub struct Fleet {
    domain: DomainId,
    upstreams: RefCell<HashMap<UpstreamId, Rc<Upstream>>>,
    services: RefCell<HashMap<ServiceId, Vec<Rc<Upstream>>>>,
    /// Rates that are usual at the upstreams of each service; kept while this instance runs.
    rates: RefCell<HashMap<ServiceId, Rc<Cell<cost::Service>>>>,
    /// Output lengths by route and client account.
    lengths: RefCell<HashMap<LengthKey, Length>>,
    /// Tokens that fit into the key-value cache of one upstream, by service.
    memory_limits: RefCell<HashMap<ServiceId, Tokens>>,
    /// Most requests of this instance in flight at one upstream, by service.
    connection_limits: RefCell<HashMap<ServiceId, usize>>,
    /// Rejections per second that an upstream of a brittle service can bear.
    brittle_limits: RefCell<HashMap<ServiceId, usize>>,
    /// What cold upstreams can handle, by service; others are never cold.
    cold_terms: RefCell<HashMap<ServiceId, Terms>>,
    cold_bounds: Cell<Bounds>,
    /// Times named to callers that were refused for cold upstreams, by service.
    turns: RefCell<HashMap<ServiceId, Turns>>,
    version: Cell<u64>,
    /// When the list was last known to be complete; `None` while the store does not answer.
    confirmed_at: Cell<Option<Duration>>,
    /// Failure domains whose upstreams get no requests.
    pub evacuations: Evacuations,
    /// When the list was last known to be complete, also in an outage of the store since.
    last_confirmed_at: Cell<Option<Duration>>,
    /// The same before the latest read of the list, whose changes are still to be applied.
    previous_confirmed_at: Cell<Option<Duration>>,
}

impl Fleet {
    /// Opens an empty fleet; `domain` is the failure domain of this instance.
    #[must_use]
    pub fn open(domain: DomainId) -> Self {
        Self {
            domain,
            upstreams: RefCell::default(),
            services: RefCell::default(),
            rates: RefCell::default(),
            lengths: RefCell::default(),
            memory_limits: RefCell::default(),
            connection_limits: RefCell::default(),
            brittle_limits: RefCell::default(),
            cold_terms: RefCell::default(),
            cold_bounds: Cell::default(),
            turns: RefCell::default(),
            version: Cell::new(0),
            confirmed_at: Cell::default(),
            evacuations: Evacuations::default(),
            last_confirmed_at: Cell::default(),
            previous_confirmed_at: Cell::default(),
        }
    }

    /// Returns how often the list has changed; 0 means that no upstream was listed yet.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Notes that the list is complete once the changes that were read are applied, or that it is
    /// unknown whether it is.
    pub fn set_confirmed(&self, at: Option<Duration>) {
        self.confirmed_at.set(at);
        if at.is_some() {
            self.previous_confirmed_at.set(self.last_confirmed_at.replace(at));
        }
    }

    /// Returns true if no upstream can have been listed anew without being known here.
    #[must_use]
    pub fn is_current(&self, now: Duration) -> bool {
        self.confirmed_at.get().is_some_and(|at| now < at + LIST_VALIDITY)
    }

    /// Returns true unless something shows that an upstream may have started again.
    ///
    /// An entry may be late, so this alone does not prove the incarnation; see [`Proof`].
    #[must_use]
    pub fn is_likely_as_listed(&self, upstream: &Upstream, now: Duration) -> bool {
        self.is_current(now) && upstream.is_as_listed(now)
    }

    /// Returns what shows that a connection opened just before `now` leads to the listed incarnation.
    #[must_use]
    pub fn proof_of_new(&self, upstream: &Upstream, now: Duration) -> Proof {
        Proof { opened_at: now, is_likely: self.is_likely_as_listed(upstream, now) }
    }

    /// Returns what the list has shown of this incarnation of an upstream.
    #[must_use]
    pub fn listing(&self, upstream: &Upstream) -> Listing {
        Listing {
            confirmed_at: self.last_confirmed_at.get(),
            ended_at: upstream.ended_at.get(),
            stated_at: upstream.stated_at.get(),
        }
    }

    /// Returns true if a connection certainly leads to this incarnation of an upstream.
    #[must_use]
    pub fn is_certain(&self, upstream: &Upstream, proof: Proof) -> bool {
        proof.is_certain(self.listing(upstream))
    }

    /// Returns all listed upstreams, in no particular order.
    #[must_use]
    pub fn upstreams(&self) -> Vec<Rc<Upstream>> {
        self.upstreams.borrow().values().map(Rc::clone).collect()
    }

    /// Applies what an answer states about all upstreams of a service; `None` if they are sound.
    ///
    /// Returns true if the statement has changed.
    pub fn record_brittle(&self, service: &ServiceId, limit: Option<usize>) -> bool {
        let mut limits = self.brittle_limits.borrow_mut();
        let last = match limit {
            Some(limit) => limits.insert(Arc::clone(service), limit),
            None => limits.remove(service),
        };
        last != limit
    }

    /// Returns the rejections per second that an upstream of the service can bear.
    ///
    /// `None` if the upstreams are not brittle.
    #[must_use]
    pub fn brittle_limit(&self, service: &str) -> Option<usize> {
        self.brittle_limits.borrow().get(service).copied()
    }

    /// Returns the listed upstream with this id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<Rc<Upstream>> {
        self.upstreams.borrow().get(id).map(Rc::clone)
    }

    /// Returns the listed upstreams of each service.
    #[must_use]
    pub fn upstreams_by_service(&self) -> Vec<Vec<Rc<Upstream>>> {
        self.services.borrow().values().cloned().collect()
    }

    /// Returns the listed upstreams of a service.
    #[must_use]
    pub fn service_upstreams(&self, service: &str) -> Vec<Rc<Upstream>> {
        self.services.borrow().get(service).cloned().unwrap_or_default()
    }

    /// Returns the number of listed upstreams of a service.
    #[must_use]
    pub fn service_size(&self, service: &str) -> usize {
        self.services.borrow().get(service).map_or(0, Vec::len)
    }

    /// Replaces the limits on connections to one upstream, by service.
    ///
    /// A service without an entry is unlimited. Each request in flight uses one connection.
    pub fn set_connection_limits(&self, limits: HashMap<ServiceId, usize>) {
        *self.connection_limits.borrow_mut() = limits;
    }

    /// Sets the bounds on requests to cold upstreams, which a deployment states.
    pub fn set_cold_bounds(&self, bounds: Bounds) {
        self.cold_bounds.set(bounds);
    }

    /// Returns the bounds on requests to cold upstreams.
    #[must_use]
    pub fn cold_bounds(&self) -> Bounds {
        self.cold_bounds.get()
    }

    /// Replaces what cold upstreams can handle, by service.
    pub fn set_cold_terms(&self, terms: HashMap<ServiceId, Terms>) {
        *self.cold_terms.borrow_mut() = terms;
    }

    /// Returns what cold upstreams of a service can handle; `None` if they are never cold.
    #[must_use]
    pub fn cold_terms(&self, service: &str) -> Option<Terms> {
        self.cold_terms.borrow().get(service).copied()
    }

    /// Returns the delay to name to a caller that was refused for cold upstreams.
    ///
    /// The arguments are those of [`Turns::next`].
    pub(crate) fn next_turn(
        &self,
        service: &ServiceId,
        wait: Duration,
        interval: Duration,
        warm_in: Duration,
        now: Duration,
    ) -> Duration {
        let mut turns = self.turns.borrow_mut();
        turns.entry(Arc::clone(service)).or_default().next(wait, interval, warm_in, now)
    }

    /// Replaces the memory of an upstream in tokens, by service; unknown without an entry.
    pub fn set_memory_limits(&self, limits: HashMap<ServiceId, Tokens>) {
        *self.memory_limits.borrow_mut() = limits;
    }

    /// Returns the output tokens that a generation is expected to need.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the estimate is positive and at most the largest output of the request"
    )]
    pub fn expected_output(
        &self,
        route: &Arc<str>,
        account: Option<&AccountId>,
        params: &Params,
    ) -> Tokens {
        let Some(generation) = params.generation else { return 0 };
        let lengths = self.lengths.borrow();
        let length = lengths.get(&(Arc::clone(route), account.map(Arc::clone)));
        let length = length.copied().unwrap_or_default();
        length.estimate(params.length_hint, generation.max_output_tokens).0 as Tokens
    }

    /// Learns from the output of a whole answer.
    pub fn record_output(
        &self,
        route: &Arc<str>,
        account: Option<&AccountId>,
        hint: Option<Tokens>,
        tokens: Tokens,
    ) {
        let mut lengths = self.lengths.borrow_mut();
        if lengths.len() >= MAX_LENGTHS {
            lengths.clear();
        }
        let length = lengths.entry((Arc::clone(route), account.map(Arc::clone)));
        length.or_default().observe(hint, tokens);
    }

    /// Applies one change; returns true if it changed the fleet.
    pub fn apply(&self, change: &Change) -> bool {
        !self.apply_all(std::slice::from_ref(change)).is_empty()
    }

    /// Applies several changes at once, and returns those that changed the fleet.
    pub fn apply_all<'a>(&self, changes: &'a [Change]) -> Vec<&'a Change> {
        let has_effect = |change: &&Change| match change {
            Change::Listed(entry) => self.upsert(entry),
            Change::Gone(id) => self.remove(id),
        };
        let effective: Vec<&Change> = changes.iter().filter(has_effect).collect();
        if !effective.is_empty() {
            self.version.set(self.version.get() + 1);
            self.rebuild_service_index();
        }
        effective
    }

    fn upsert(&self, entry: &Entry) -> bool {
        let mut upstreams = self.upstreams.borrow_mut();
        if let Some(known) = upstreams.get(&entry.id) {
            let old = &known.entry;
            if old.born == entry.born
                && old.version == entry.version
                && old.address == entry.address
                && old.service == entry.service
                && old.slots == entry.slots
            {
                // An upstream that leaves does not come back in the same incarnation.
                let is_leaving = entry.leaving
                    || known.has_stated_leaving.get()
                    || (entry.born > 0 && known.leaving.get());
                return known.leaving.replace(is_leaving) != is_leaving;
            }
            self.end(known);
        }
        let id = Arc::clone(&entry.id);
        let mut rates = self.rates.borrow_mut();
        let service = Rc::clone(rates.entry(Arc::clone(&entry.service)).or_default());
        upstreams.insert(id, Rc::new(Upstream::open(entry.clone(), service, 1.0)));
        true
    }

    fn remove(&self, id: &UpstreamId) -> bool {
        let removed = self.upstreams.borrow_mut().remove(id);
        if let Some(known) = &removed {
            self.end(known);
        }
        removed.is_some()
    }

    /// Notes that an incarnation is no longer listed; it was at the previous read of the list.
    fn end(&self, upstream: &Upstream) {
        upstream.leaving.set(true);
        upstream.ended_at.set(Some(self.previous_confirmed_at.get().unwrap_or_default()));
    }

    fn rebuild_service_index(&self) {
        let mut by_service: HashMap<ServiceId, Vec<Rc<Upstream>>> = HashMap::new();
        for upstream in self.upstreams.borrow().values() {
            let service = Arc::clone(&upstream.entry.service);
            by_service.entry(service).or_default().push(Rc::clone(upstream));
        }
        *self.services.borrow_mut() = by_service;
    }

    /// Returns the time until an upstream of a service accepts a request again.
    ///
    /// `None` if one accepts it now, or if none will.
    #[must_use]
    pub fn wait(&self, service: &str, now: Duration) -> Option<Duration> {
        let services = self.services.borrow();
        let staying = services
            .get(service)?
            .iter()
            .filter(|upstream| !upstream.leaving.get() && !self.is_evacuated(upstream));
        staying.map(|upstream| upstream.wait(now)).min().filter(|wait| !wait.is_zero())
    }

    /// Returns true if the operator has evacuated the domain of an upstream.
    #[must_use]
    pub fn is_evacuated(&self, upstream: &Upstream) -> bool {
        self.evacuations.contains(&upstream.entry.domain)
    }

    /// Returns true if a service has upstreams that stay, all of them in evacuated domains.
    #[must_use]
    pub fn is_service_evacuated(&self, service: &str) -> bool {
        if self.evacuations.is_empty() {
            return false;
        }
        let services = self.services.borrow();
        let Some(upstreams) = services.get(service) else { return false };
        let mut staying = upstreams.iter().filter(|upstream| !upstream.leaving.get()).peekable();
        staying.peek().is_some() && staying.all(|upstream| self.is_evacuated(upstream))
    }

    /// Selects an upstream of a service that `admits` accepts, except for those in `tried`.
    ///
    /// `output_tokens` are expected of a generation. Returns `None` if no upstream may get the
    /// request.
    #[must_use]
    pub fn select(
        &self,
        service: &str,
        params: &Params,
        output_tokens: Tokens,
        tried: &[UpstreamId],
        admits: impl Fn(&Upstream) -> bool,
        now: Duration,
    ) -> Option<Selection> {
        let services = self.services.borrow();
        let max_in_flight =
            self.connection_limits.borrow().get(service).copied().unwrap_or(usize::MAX);
        let eligible: Vec<&Rc<Upstream>> = services
            .get(service)?
            .iter()
            .filter(|upstream| !upstream.leaving.get() && !tried.contains(&upstream.entry.id))
            .filter(|upstream| upstream.in_flight() < max_in_flight)
            .filter(|upstream| upstream.wait(now).is_zero())
            .filter(|upstream| !self.is_evacuated(upstream))
            .filter(|upstream| admits(upstream))
            .collect();
        if !self.evacuations.is_empty() {
            let domains = services.get(service)?.iter().map(|upstream| &upstream.entry.domain);
            self.evacuations.record_diverted(domains);
        }
        let available: Vec<&Rc<Upstream>> =
            eligible.iter().copied().filter(|upstream| upstream.is_available(now)).collect();
        // If all are ejected, the network of this instance may be at fault, so none is excluded.
        let usable = if available.is_empty() { eligible } else { available };
        let prefix_hashes = params.prefix_hashes();
        let rendezvous_pair = rendezvous_pair(&usable, params, &prefix_hashes);
        let shared: Tokens =
            params.prompt_parts[..params.shared_part_count()].iter().map(|part| part.tokens).sum();
        let rates = self.rates.borrow();
        let mut learned = rates.get(service)?.get();
        let generation = params.generation.unwrap_or_default();
        if params.generation.is_some() {
            let own = usable.iter().map(|upstream| upstream.own_work(&learned, now));
            let sum = |sum: (usize, f64, Tokens), own: (usize, f64, Tokens)| {
                (sum.0 + own.0, sum.1 + own.1, sum.2 + own.2)
            };
            let (requests, queued, memory) = own.fold((0, 0.0, 0), sum);
            learned.observe_own(requests, queued, memory);
            rates.get(service)?.set(learned);
        }
        let demand = Demand {
            domain: &self.domain,
            service: &learned,
            prompt_tokens: generation.prompt_tokens,
            output_tokens,
            memory_limit: self.memory_limits.borrow().get(service).copied(),
        };
        let candidates: Vec<placement::Candidate> = usable
            .iter()
            .enumerate()
            .map(|(index, upstream)| {
                let known = upstream.cached_tokens(&params.prompt_parts, &prefix_hashes, now);
                let assumed = match rendezvous_pair {
                    Some((first, _)) if first == index => scale(shared, FIRST_CACHED_RATIO),
                    Some((_, second)) if second == index => scale(shared, SECOND_CACHED_RATIO),
                    _ => 0,
                };
                let mut candidate = upstream.candidate(&demand, known.max(assumed), now);
                if params.generation.is_none() {
                    candidate.slowness *= PLAIN_CALL_SECONDS;
                }
                candidate
            })
            .collect();
        let workload = params
            .generation
            .map_or(Workload::Plain, |generation| Workload::Generation(generation.prompt_tokens));
        let seed = prefix::extend_hash(prefix::mix(7), params.request_id.as_bytes());
        let tie = |index: usize| {
            prefix::mix(prefix::extend_hash(seed, usable[index].entry.id.as_bytes()))
        };
        let index = placement::choose(workload, &candidates, tie)?;
        let chosen = &candidates[index];
        let known = usable[index].cached_tokens(&params.prompt_parts, &prefix_hashes, now);
        let work = params.generation.map(|generation| Work {
            prefill_tokens: generation.prompt_tokens.saturating_sub(known),
            doubtful_tokens: chosen.cached_tokens.saturating_sub(known),
            memory_tokens: demand.memory_tokens(chosen.cached_tokens),
            queued_tokens: chosen.queued_tokens,
            factor: chosen.factor,
            uncertainty: chosen.uncertainty,
            token_seconds: chosen.rates.token_seconds,
        });
        Some(Selection {
            upstream: Rc::clone(usable[index]),
            cached_tokens: chosen.cached_tokens,
            work,
            expected_seconds: chosen.expected_seconds(workload),
            candidate_count: usable.len(),
        })
    }
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the ratio is between 0 and 1, so the result fits a token count"
)]
fn scale(tokens: Tokens, ratio: f64) -> Tokens {
    (tokens as f64 * ratio) as Tokens
}

/// Returns the indexes of the two upstreams that rendezvous hashing assigns to a prompt.
///
/// Only the prompt's shared parts are hashed; without any, there is no pair.
fn rendezvous_pair(
    usable: &[&Rc<Upstream>],
    params: &Params,
    prefix_hashes: &[prefix::Hash],
) -> Option<(usize, usize)> {
    let prompt_hash = *prefix_hashes.get(params.shared_part_count().checked_sub(1)?)?;
    let weight = |index: usize| {
        prefix::mix(prefix::extend_hash(prompt_hash, usable[index].entry.id.as_bytes()))
    };
    let first = (0..usable.len()).max_by_key(|index| weight(*index))?;
    let rest = (0..usable.len()).filter(|index| *index != first);
    let second = rest.max_by_key(|index| weight(*index)).unwrap_or(first);
    Some((first, second))
}
