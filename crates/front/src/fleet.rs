//! All upstreams and the choice among them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use base::prelude::*;
use route::placement::{self, Workload};
use route::prefix;

use crate::ask::Ask;
use crate::upstream::{Entry, Upstream};

/// Pace of plain calls before one was observed, in seconds.
const PLAIN_PACE: f64 = 0.02;
/// Part of the shared tokens that the home of a prompt is expected to have cached.
const HOME_SHARE: f64 = 0.95;
/// The same for the upstream that is next in line.
const SECOND_SHARE: f64 = 0.4;

/// A chosen upstream.
#[derive(Debug, Clone)]
pub struct Chosen {
    /// Upstream.
    pub upstream: Rc<Upstream>,
    /// Leading prompt tokens that it probably has cached.
    pub cached: Tokens,
    /// Expected time to the first token or to the answer, in seconds.
    pub expected: f64,
    /// Upstreams among which it was chosen.
    pub among: usize,
}

/// A change of the list of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An upstream is listed.
    Listed(Entry),
    /// An upstream is not listed any more.
    Gone(UpstreamId),
}

/// All listed upstreams.
#[derive(Debug)]
pub struct Fleet {
    domain: DomainId,
    upstreams: RefCell<HashMap<UpstreamId, Rc<Upstream>>>,
    services: RefCell<HashMap<ServiceId, Vec<Rc<Upstream>>>>,
    /// Connections to one upstream that this instance may open, by service.
    connections: RefCell<HashMap<ServiceId, usize>>,
    version: Cell<u64>,
}

impl Fleet {
    /// Opens an empty fleet that is seen from a failure domain.
    #[must_use]
    pub fn open(domain: DomainId) -> Self {
        Self {
            domain,
            upstreams: RefCell::default(),
            services: RefCell::default(),
            connections: RefCell::default(),
            version: Cell::new(0),
        }
    }

    /// Returns how often the list has changed.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Returns all upstreams.
    #[must_use]
    pub fn upstreams(&self) -> Vec<Rc<Upstream>> {
        self.upstreams.borrow().values().map(Rc::clone).collect()
    }

    /// Sets how many connections to one upstream of a service may be open.
    pub fn limit(&self, limits: HashMap<ServiceId, usize>) {
        *self.connections.borrow_mut() = limits;
    }

    /// Takes in one change; returns true if the upstreams that may get work are others now.
    pub fn apply(&self, change: &Change) -> bool {
        let changed = match change {
            Change::Listed(entry) => self.list(entry),
            Change::Gone(id) => self.remove(id),
        };
        if changed {
            self.version.set(self.version.get() + 1);
            self.index();
        }
        changed
    }

    fn list(&self, entry: &Entry) -> bool {
        let mut upstreams = self.upstreams.borrow_mut();
        if let Some(known) = upstreams.get(&entry.id) {
            let was = &known.entry;
            if was.born == entry.born
                && was.address == entry.address
                && was.service == entry.service
                && was.slots == entry.slots
            {
                return known.leaving.replace(entry.leaving) != entry.leaving;
            }
            known.leaving.set(true);
        }
        let id = Arc::clone(&entry.id);
        upstreams.insert(id, Rc::new(Upstream::open(entry.clone(), 1.0)));
        true
    }

    fn remove(&self, id: &UpstreamId) -> bool {
        let removed = self.upstreams.borrow_mut().remove(id);
        if let Some(known) = &removed {
            known.leaving.set(true);
        }
        removed.is_some()
    }

    fn index(&self) {
        let mut services: HashMap<ServiceId, Vec<Rc<Upstream>>> = HashMap::new();
        for upstream in self.upstreams.borrow().values() {
            let service = Arc::clone(&upstream.entry.service);
            services.entry(service).or_default().push(Rc::clone(upstream));
        }
        *self.services.borrow_mut() = services;
    }

    /// Chooses an upstream of a service that was not tried yet.
    #[must_use]
    pub fn choose(
        &self,
        service: &str,
        ask: &Ask,
        tried: &[UpstreamId],
        now: Duration,
    ) -> Option<Chosen> {
        let services = self.services.borrow();
        let most = self.connections.borrow().get(service).copied().unwrap_or(usize::MAX);
        let staying: Vec<&Rc<Upstream>> = services
            .get(service)?
            .iter()
            .filter(|upstream| !upstream.leaving.get() && !tried.contains(&upstream.entry.id))
            .filter(|upstream| upstream.running() < most)
            .collect();
        let open: Vec<&Rc<Upstream>> =
            staying.iter().copied().filter(|upstream| upstream.is_open(now)).collect();
        // With none open the fault may be the path, so that all are tried again.
        let usable = if open.is_empty() { staying } else { open };
        let chain = ask.chain();
        let homes = homes(&usable, ask, &chain);
        let shared: Tokens = ask.parts[..ask.shared()].iter().map(|part| part.tokens).sum();
        let offers: Vec<placement::Candidate> = usable
            .iter()
            .enumerate()
            .map(|(at, upstream)| {
                let known = upstream.cached(&ask.parts, &chain, now);
                let assumed = match homes {
                    Some((first, _)) if first == at => scale(shared, HOME_SHARE),
                    Some((_, second)) if second == at => scale(shared, SECOND_SHARE),
                    _ => 0,
                };
                let mut offer = upstream.offer(known.max(assumed), &self.domain, now);
                if ask.size.is_none() {
                    offer.slowness *= PLAIN_PACE;
                }
                offer
            })
            .collect();
        let demand = ask.size.map_or(Workload::Plain, |size| Workload::Generation(size.prompt));
        let request = prefix::extend_hash(prefix::mix(7), ask.request.as_bytes());
        let tie =
            |at: usize| prefix::mix(prefix::extend_hash(request, usable[at].entry.id.as_bytes()));
        let at = placement::choose(demand, &offers, tie)?;
        Some(Chosen {
            upstream: Rc::clone(usable[at]),
            cached: offers[at].cached_tokens,
            expected: offers[at].expected_seconds(demand),
            among: usable.len(),
        })
    }
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of a token count is a token count"
)]
fn scale(tokens: Tokens, share: f64) -> Tokens {
    (tokens as f64 * share) as Tokens
}

/// Returns the places of the two upstreams that rendezvous hashing gives a prompt's shared parts.
fn homes(usable: &[&Rc<Upstream>], ask: &Ask, chain: &[prefix::Hash]) -> Option<(usize, usize)> {
    let anchor = *chain.get(ask.shared().checked_sub(1)?)?;
    let weight =
        |at: usize| prefix::mix(prefix::extend_hash(anchor, usable[at].entry.id.as_bytes()));
    let first = (0..usable.len()).max_by_key(|at| weight(*at))?;
    let rest = (0..usable.len()).filter(|at| *at != first);
    let second = rest.max_by_key(|at| weight(*at)).unwrap_or(first);
    Some((first, second))
}
