//! One upstream as this instance knows it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use h1::Conn;
use route::placement::{Average, Candidate};
use route::prefix::Hash;
use slotmap::{SlotMap, new_key_type};

use crate::ask::{Ask, Part};

new_key_type! {
    /// Key of a request in flight.
    pub struct FlightKey;
}

/// Idle connections that are kept to one upstream; a burst of events rarely needs more at once.
const IDLE_MAX: usize = 12;
/// Time for which an idle connection is used if the upstream does not tell.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// Time before the end of an idle connection at which it is not used any more.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Time after which the load that others cause counts half.
const OTHERS_HALF: Duration = Duration::from_millis(1_500);
/// Time after the last use for which a part is expected to be cached.
const CACHED: Duration = Duration::from_secs(30);
/// Parts that are remembered before old ones are dropped.
const PARTS_MAX: usize = 2_048;
/// First and longest time for which an upstream that does not accept connections is left alone.
const EJECT: Duration = Duration::from_millis(500);
const EJECT_MAX: Duration = Duration::from_secs(4);

/// An entry of the list of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Id.
    pub id: UpstreamId,
    /// Start of the upstream, in milliseconds since the Unix epoch, 0 if it does not tell.
    pub born: Incarnation,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it must get no new work.
    pub leaving: bool,
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    until: Duration,
}

#[derive(Debug, Clone, Copy)]
struct InFlight {
    sign_at: Duration,
    unread: Tokens,
}

/// One start of an upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Entry under which it was found.
    pub entry: Entry,
    /// Whether it must get no new work.
    pub leaving: Cell<bool>,
    flights: RefCell<SlotMap<FlightKey, InFlight>>,
    others: Cell<(f64, Duration)>,
    pace: RefCell<Average>,
    failures: RefCell<Average>,
    ejected: Cell<(Duration, Duration)>,
    idle: RefCell<Vec<Idle>>,
    parts: RefCell<HashMap<Hash, Duration>>,
}

impl Upstream {
    /// Opens the record of an upstream; `pace` is where its observed pace starts.
    #[must_use]
    pub fn open(entry: Entry, pace: f64) -> Self {
        Self {
            leaving: Cell::new(entry.leaving),
            entry,
            flights: RefCell::default(),
            others: Cell::default(),
            pace: RefCell::new(Average::open(pace)),
            failures: RefCell::new(Average::open(0.0)),
            ejected: Cell::default(),
            idle: RefCell::default(),
            parts: RefCell::default(),
        }
    }

    /// Returns true if the upstream may be tried at a time.
    #[must_use]
    pub fn is_open(&self, now: Duration) -> bool {
        now >= self.ejected.get().0
    }

    /// Returns the requests of this instance that are in flight there.
    #[must_use]
    pub fn running(&self) -> usize {
        self.flights.borrow().len()
    }

    /// Returns the connections of this instance to it.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.running() + self.idle.borrow().len()
    }

    /// Describes the upstream for the placement of a request.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn offer(&self, cached: Tokens, domain: &str, now: Duration) -> Candidate {
        let flights = self.flights.borrow();
        let oldest = flights.values().map(|flight| flight.sign_at).min();
        let (others, at) = self.others.get();
        let age = now.saturating_sub(at).as_secs_f64() / OTHERS_HALF.as_secs_f64();
        Candidate {
            slots: f64::from(self.entry.slots),
            load: flights.len() as f64 + others * 0.5_f64.powf(age),
            backlog_tokens: flights.values().map(|flight| flight.unread).sum(),
            cached_tokens: cached,
            slowness: self.pace.borrow().value_at(now),
            failure_ratio: self.failures.borrow().value_at(now),
            silent_for: oldest.map_or(Duration::ZERO, |at| now.saturating_sub(at)),
            is_local: &*self.entry.domain == domain,
        }
    }

    /// Takes in a load report that came with an answer.
    pub fn report(&self, running: u32, waiting: u32, now: Duration) {
        let own = u32::try_from(self.running()).unwrap_or(u32::MAX);
        let others = running.saturating_add(waiting).saturating_sub(own);
        self.others.set((f64::from(others), now));
    }

    /// Returns the leading tokens of a prompt that this instance knows to be cached there.
    #[must_use]
    pub fn cached(&self, parts: &[Part], chain: &[Hash], now: Duration) -> Tokens {
        let known = self.parts.borrow();
        let is_fresh =
            |hash: &Hash| known.get(hash).is_some_and(|at| now.saturating_sub(*at) < CACHED);
        let hits = parts.iter().zip(chain).take_while(|(_, hash)| is_fresh(hash));
        hits.map(|(part, _)| part.tokens).sum()
    }

    /// Notes that the parts of a prompt were read there.
    pub fn store(&self, chain: &[Hash], now: Duration) {
        let mut known = self.parts.borrow_mut();
        if known.len() > PARTS_MAX {
            known.retain(|_, at| now.saturating_sub(*at) < CACHED);
        }
        known.extend(chain.iter().map(|hash| (*hash, now)));
    }

    /// Notes how a run's time compares to the expected one, or its seconds for plain calls.
    pub fn observe(&self, pace: f64, now: Duration) {
        self.pace.borrow_mut().observe(pace, now);
        self.failures.borrow_mut().observe(0.0, now);
        self.ejected.set(Default::default());
    }

    /// Notes a failed request.
    pub fn fail(&self, now: Duration) {
        self.failures.borrow_mut().observe(1.0, now);
    }

    /// Leaves the upstream alone for a while because it accepts no connections.
    pub fn eject(&self, now: Duration) {
        self.fail(now);
        let (_, last) = self.ejected.get();
        let time = (last * 2).clamp(EJECT, EJECT_MAX);
        self.ejected.set((now + time, time));
        self.idle.borrow_mut().clear();
    }

    /// Takes an idle connection that is still open.
    #[must_use]
    pub fn reuse(&self, now: Duration) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        while let Some(Idle { mut conn, until }) = idle.pop() {
            if now < until && conn.is_idle() {
                return Some(conn);
            }
        }
        None
    }

    /// Keeps a connection for the next request, unless the last answer was followed by more.
    pub fn keep(&self, conn: Conn, time: Option<Duration>, now: Duration) {
        if !conn.input.is_empty() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= IDLE_MAX {
            idle.remove(0);
        }
        let until = now + time.unwrap_or(IDLE_TIME).saturating_sub(IDLE_MARGIN);
        idle.push(Idle { conn, until });
    }

    /// Closes idle connections whose time is over.
    pub fn sweep(&self, now: Duration) {
        self.idle.borrow_mut().retain(|idle| now < idle.until);
    }
}

/// A request in flight at an upstream, counted until it is dropped.
#[derive(Debug)]
pub struct Flight {
    upstream: Rc<Upstream>,
    key: FlightKey,
}

impl Flight {
    /// Counts a request.
    #[must_use]
    pub fn open(upstream: Rc<Upstream>, ask: &Ask, cached: Tokens, now: Duration) -> Self {
        let prompt = ask.size.map_or(0, |size| size.prompt);
        let flight = InFlight { sign_at: now, unread: prompt.saturating_sub(cached) };
        let key = upstream.flights.borrow_mut().insert(flight);
        Self { upstream, key }
    }

    /// Returns the upstream.
    #[must_use]
    pub fn upstream(&self) -> &Rc<Upstream> {
        &self.upstream
    }

    /// Notes a sign of life; the prompt has been read by then.
    pub fn sign(&self, now: Duration) {
        if let Some(flight) = self.upstream.flights.borrow_mut().get_mut(self.key) {
            *flight = InFlight { sign_at: now, unread: 0 };
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.upstream.flights.borrow_mut().remove(self.key);
    }
}
