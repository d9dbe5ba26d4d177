//! One upstream: its load, health, cached prompt parts and idle connections.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use h1::Conn;
use route::brittle::{Brittle, Load, Rank};
use route::cold::Cold;
use route::cost::{self, Report, Work};
use route::placement::{Average, Candidate};
use route::prefix::Hash;
use route::throttle::Throttle;
use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;

use crate::params::Part;
use crate::proof::Proof;

new_key_type! {
    /// Key of a request in flight at an upstream.
    pub struct FlightKey;
}

/// Most idle connections kept to one upstream; a burst of requests rarely needs more.
const MAX_IDLE_CONNECTIONS: usize = 12;
/// Lifetime of an idle connection if the upstream states none.
const KEEP_ALIVE_DEFAULT: Duration = Duration::from_secs(4);
/// Last part of its lifetime, in which an idle connection is not reused.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Shortest time over which the pauses between the events of a stream are averaged.
///
/// It keeps the cost of an event low, and events that arrive together from counting as fast ones.
const PAUSE_WINDOW: Duration = Duration::from_millis(40);
/// Time after its last use for which a prompt part is assumed cached.
const CACHE_TTL: Duration = Duration::from_secs(30);
/// Number of remembered prompt parts above which expired ones are removed.
const CACHED_PARTS_PRUNE_THRESHOLD: usize = 2_048;
/// Duration of the first ejection; each further one is twice as long.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Duration of the ejection of what has answered without a signature and never with one.
///
/// It protects requests that must not be repeated from something that is no upstream.
const STRANGER_EJECTION: Duration = Duration::from_secs(10);
/// Duration of the longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Time after a refused connect for which the upstream may be a later incarnation than listed.
///
/// Afterwards its entry would have lapsed or shown the later incarnation.
const REFUSAL_DOUBT: Duration = Duration::from_secs(5);

/// Properties with which an upstream is listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Id under which the upstream is listed.
    pub id: UpstreamId,
    /// Start of the upstream in milliseconds since the Unix epoch; 0 if unknown.
    pub born: Incarnation,
    /// Number of the statement that listed it, which grows within an incarnation; 0 if unknown.
    pub sequence: u64,
    /// Version of its software, which belongs to this incarnation.
    pub version: SoftwareVersion,
    /// Service to which the upstream belongs.
    pub service: ServiceId,
    /// Address at which the upstream accepts connections.
    pub address: SocketAddr,
    /// Failure domain in which the upstream runs.
    pub domain: DomainId,
    /// Number of requests that the upstream runs at once.
    pub slots: u32,
    /// Time for which the upstream stays cold, as stated when the entry was written.
    pub cold_remaining: Duration,
    /// Whether the upstream must get no new requests.
    pub leaving: bool,
}

/// What a request needs at any upstream, as far as it is the same at all of them.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// Failure domain of this instance.
    pub domain: &'a str,
    /// Rates of the service.
    pub service: &'a cost::Service,
    /// Tokens of the prompt; 0 for plain requests.
    pub prompt_tokens: Tokens,
    /// Expected tokens of the output.
    pub output_tokens: Tokens,
    /// Tokens that fit into the key-value cache of an upstream; `None` if unknown.
    pub memory_limit: Option<Tokens>,
}

impl Demand<'_> {
    /// Returns the tokens of memory that the request adds where so many are cached.
    #[must_use]
    pub fn memory_tokens(&self, cached: Tokens) -> Tokens {
        self.prompt_tokens.saturating_sub(cached).saturating_add(self.output_tokens)
    }
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    /// What shows that the connection leads to this incarnation.
    proof: Proof,
    expires_at: Duration,
}

#[derive(Debug, Clone, Copy)]
struct InFlight {
    last_progress_at: Duration,
    sent_at: Duration,
    /// What the request was expected to cost; `None` for plain requests.
    work: Option<Work>,
    /// Whether an event has arrived, before which the whole prompt was processed.
    has_begun: bool,
    /// When the present window of pauses began, and its events.
    pauses: (Duration, u64),
    /// Whether the request was sent over a connection of this instance.
    is_direct: bool,
    /// Whether the head of its answer has arrived.
    is_answered: bool,
}

/// State of one incarnation of an upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Entry with which this incarnation was listed.
    pub entry: Entry,
    /// Whether the upstream must get no new requests; also set once it is not listed.
    pub leaving: Cell<bool>,
    /// End of the pause for which the upstream has asked; zero without one.
    paused_until: Cell<Duration>,
    throttle: Cell<Throttle>,
    brittle: RefCell<Brittle>,
    /// What is known of its coldness; unused if upstreams of its service are never cold.
    pub cold: Cell<Cold>,
    /// Whether the upstream has signed an answer, which only upstreams can.
    pub has_signed: Cell<bool>,
    /// Whether an answer of the upstream has stated that it leaves.
    pub has_stated_leaving: Cell<bool>,
    flights: RefCell<SlotMap<FlightKey, InFlight>>,
    /// Rates of the service, which its upstreams share.
    service: Rc<Cell<cost::Service>>,
    cost: RefCell<cost::Upstream>,
    /// Running and waiting requests of the last report, and its time.
    reported_load: Cell<Option<(u32, u32, Duration)>>,
    slowness: RefCell<Average>,
    failure_ratio: RefCell<Average>,
    /// End and duration of the last ejection; zero if an answer arrived since.
    ejection: Cell<(Duration, Duration)>,
    /// When a connect was last refused, which shows that the listed incarnation may have ended.
    refused_at: Cell<Option<Duration>>,
    /// When the list last showed this incarnation before it ended; `None` while it is listed.
    pub ended_at: Cell<Option<Duration>>,
    /// When the upstream last stated that it is this incarnation; `None` if it never did.
    pub stated_at: Cell<Option<Duration>>,
    /// Whether the upstream was asked for its incarnation and cannot state it.
    pub is_mute: Cell<bool>,
    /// When bytes last arrived over a connection of this instance.
    heard_at: Cell<Duration>,
    /// When the path to the upstream was last checked.
    checked_at: Cell<Option<Duration>>,
    /// Wakes the requests whose connection hangs, because the path is cut.
    cut_off: Notify,
    idle: RefCell<Vec<Idle>>,
    /// Time of the last use of each prompt part, by its prefix hash.
    cached_parts: RefCell<HashMap<Hash, Duration>>,
}

impl Upstream {
    /// Opens the state of an upstream.
    ///
    /// `service` holds the rates that all upstreams of the service share. The slowness starts at
    /// `slowness` and decays to it without new answers; 1 means as fast as expected.
    #[must_use]
    pub fn open(entry: Entry, service: Rc<Cell<cost::Service>>, slowness: f64) -> Self {
        Self {
            leaving: Cell::new(entry.leaving),
            paused_until: Cell::default(),
            throttle: Cell::default(),
            brittle: RefCell::default(),
            cold: Cell::default(),
            has_signed: Cell::new(false),
            has_stated_leaving: Cell::new(false),
            entry,
            flights: RefCell::default(),
            service,
            cost: RefCell::default(),
            reported_load: Cell::default(),
            slowness: RefCell::new(Average::open(slowness)),
            failure_ratio: RefCell::new(Average::open(0.0)),
            ejection: Cell::default(),
            refused_at: Cell::default(),
            ended_at: Cell::default(),
            stated_at: Cell::default(),
            is_mute: Cell::new(false),
            heard_at: Cell::default(),
            checked_at: Cell::default(),
            cut_off: Notify::new(),
            idle: RefCell::default(),
            cached_parts: RefCell::default(),
        }
    }

    /// Returns true if the upstream is not ejected at `now`.
    #[must_use]
    pub fn is_available(&self, now: Duration) -> bool {
        now >= self.ejection.get().0
    }

    /// Returns how many requests of this instance are in flight there.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.flights.borrow().len()
    }

    /// Returns how many connections this instance has to the upstream, idle ones included.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.in_flight() + self.idle.borrow().len()
    }

    /// Describes the upstream for the placement of a request.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "counts are far below the 52 bits of a mantissa"
    )]
    pub fn candidate(&self, demand: &Demand<'_>, cached: Tokens, now: Duration) -> Candidate {
        let flights = self.flights.borrow();
        let oldest = flights.values().map(|flight| flight.last_progress_at).min();
        let service = demand.service;
        let cost = self.cost.borrow();
        let (factor, uncertainty) = cost.factor(now);
        let others = cost.others_load(service, now);
        let used = cost.memory_tokens() as f64 + others * service.memory_tokens();
        let needed = demand.memory_tokens(cached) as f64;
        let limit = demand.memory_limit.map_or(f64::INFINITY, |limit| limit as f64);
        Candidate {
            slots: f64::from(self.entry.slots),
            load: flights.len() as f64 + others,
            queued_tokens: cost.queued_tokens(service, factor, now)
                + others * service.queued_tokens(),
            cached_tokens: cached,
            rates: service.rates,
            factor,
            uncertainty,
            memory_seconds: cost::Upstream::memory_seconds(service, used, needed, limit),
            slowness: self.slowness.borrow().value_at(now),
            failure_ratio: self.failure_ratio.borrow().value_at(now),
            silent_for: oldest.map_or(Duration::ZERO, |at| now.saturating_sub(at)),
            is_local: *self.entry.domain == *demand.domain,
        }
    }

    /// Returns the requests of this instance there, and their waiting tokens and memory.
    #[must_use]
    pub fn own_work(&self, service: &cost::Service, now: Duration) -> (usize, f64, Tokens) {
        let in_flight = self.in_flight();
        if in_flight == 0 {
            return (0, 0.0, 0);
        }
        let cost = self.cost.borrow();
        let (factor, _) = cost.factor(now);
        (in_flight, cost.queued_tokens(service, factor, now), cost.memory_tokens())
    }

    /// Stops new requests, because an answer has stated that the upstream leaves.
    ///
    /// Returns false if one has done so before.
    pub fn record_leaving(&self) -> bool {
        self.leaving.set(true);
        self.close_idle();
        !self.has_stated_leaving.replace(true)
    }

    /// Stops new requests for a time, because the upstream has asked for it in a refusal.
    pub fn record_pause(&self, pause: Duration, now: Duration) {
        self.paused_until.set(self.paused_until.get().max(now + pause));
    }

    /// Applies the limit that an answer states for all instances; `None` if it states none.
    ///
    /// `share` is the part of it for this instance. Returns true if the limit has changed.
    pub fn record_limit(&self, limit_per_s: Option<f64>, share: f64, now: Duration) -> bool {
        let mut throttle = self.throttle.get();
        let has_changed = throttle.observe(limit_per_s, share, rand::random(), now);
        self.throttle.set(throttle);
        has_changed
    }

    /// Counts a request that is sent.
    ///
    /// `share` returns the part of a limit for this instance; it is called only under a limit.
    pub fn record_request(&self, share: impl FnOnce() -> f64, now: Duration) {
        let mut throttle = self.throttle.get();
        if throttle.has_limit() {
            throttle.record_request(share(), now);
            self.throttle.set(throttle);
        }
    }

    /// Returns the time until the upstream accepts a request of this instance; zero if it does now.
    #[must_use]
    pub fn wait(&self, now: Duration) -> Duration {
        self.paused_until.get().saturating_sub(now).max(self.throttle.get().wait(now))
    }

    /// Records that the upstream has turned a request of this instance away for want of room.
    pub fn record_rejection(&self, now: Duration) {
        self.brittle.borrow_mut().record_rejection(now);
    }

    /// Returns true if a request may be sent although the upstream is brittle.
    ///
    /// It bears `limit` rejections per second, of which this instance has the part of its `rank`.
    /// `is_generation` tells whether the memory of the upstream may run out.
    pub fn admits_brittle(
        &self,
        limit: usize,
        rank: Rank,
        is_generation: bool,
        now: Duration,
    ) -> bool {
        let flights = self.flights.borrow();
        let load = Load {
            slots: usize::try_from(self.entry.slots).unwrap_or(usize::MAX),
            in_flight: flights.len(),
            unanswered: flights.values().filter(|flight| !flight.is_answered).count(),
            report: self
                .reported_load
                .get()
                .map(|(running, waiting, at)| (running, waiting, now.saturating_sub(at))),
            is_memory_bound: is_generation,
        };
        self.brittle.borrow_mut().admits(limit, rank, load, now)
    }

    /// Records a load report that an answer carried.
    pub fn record_load(&self, report: Report, now: Duration) {
        let mut service = self.service.get();
        self.cost.borrow_mut().observe_report(&mut service, report, self.in_flight(), now);
        self.service.set(service);
        self.reported_load.set(Some((report.running, report.waiting, now)));
    }

    /// Returns the leading tokens of a prompt that this instance expects to be cached there.
    #[must_use]
    pub fn cached_tokens(&self, parts: &[Part], prefix_hashes: &[Hash], now: Duration) -> Tokens {
        let cached = self.cached_parts.borrow();
        let is_fresh =
            |hash: &Hash| cached.get(hash).is_some_and(|at| now.saturating_sub(*at) < CACHE_TTL);
        let hits = parts.iter().zip(prefix_hashes).take_while(|(_, hash)| is_fresh(hash));
        hits.map(|(part, _)| part.tokens).sum()
    }

    /// Records that the upstream has processed these parts of a prompt.
    pub fn record_cached(&self, prefix_hashes: &[Hash], now: Duration) {
        let mut cached = self.cached_parts.borrow_mut();
        if cached.len() > CACHED_PARTS_PRUNE_THRESHOLD {
            cached.retain(|_, at| now.saturating_sub(*at) < CACHE_TTL);
        }
        cached.extend(prefix_hashes.iter().map(|hash| (*hash, now)));
    }

    /// Records the slowness of an answer: the observed time divided by the expected one.
    ///
    /// It also ends an ejection and lowers the failure ratio.
    pub fn record_answer(&self, slowness: f64, now: Duration) {
        self.slowness.borrow_mut().observe(slowness, now);
        self.failure_ratio.borrow_mut().observe(0.0, now);
        self.ejection.set(Default::default());
    }

    /// Raises the failure ratio after a failed request.
    pub fn record_failure(&self, now: Duration) {
        self.failure_ratio.borrow_mut().observe(1.0, now);
    }

    /// Excludes the upstream from selection, longer each time until an answer arrives.
    ///
    /// The cause is a failed connect, a crash or another upstream at its address.
    pub fn eject(&self, now: Duration) {
        self.record_failure(now);
        let (_, last_time) = self.ejection.get();
        let ejection_time = (last_time * 2).clamp(MIN_EJECTION, MAX_EJECTION);
        self.ejection.set((now + ejection_time, ejection_time));
        self.close_idle();
    }

    /// Excludes the upstream from selection, because its answer shows that it may be something else.
    pub fn eject_stranger(&self, now: Duration) {
        self.record_failure(now);
        self.ejection.set((now + STRANGER_EJECTION, MAX_EJECTION));
        self.close_idle();
    }

    /// Notes that the upstream has refused a connect.
    pub fn record_refusal(&self, now: Duration) {
        self.refused_at.set(Some(now));
    }

    /// Returns true unless the upstream may have restarted since it was listed.
    #[must_use]
    pub fn is_as_listed(&self, now: Duration) -> bool {
        self.refused_at.get().is_none_or(|at| now >= at + REFUSAL_DOUBT)
    }

    /// Returns true if there is an idle connection that `admits` accepts by its proof.
    #[must_use]
    pub fn has_idle(&self, admits: impl Fn(Proof) -> bool, now: Duration) -> bool {
        self.idle.borrow().iter().any(|idle| admits(idle.proof) && now < idle.expires_at)
    }

    /// Returns true if an idle connection is open.
    ///
    /// Closed ones are removed.
    #[must_use]
    pub fn has_open_idle(&self, now: Duration) -> bool {
        let mut idle = self.idle.borrow_mut();
        idle.retain_mut(|idle| now < idle.expires_at && idle.conn.is_idle());
        !idle.is_empty()
    }

    /// Returns true if all idle connections were closed before their lifetime has ended.
    ///
    /// It is false without any. A single one may have been closed for a cause of its own.
    #[must_use]
    pub fn has_lost_idle(&self, now: Duration) -> bool {
        let mut idle = self.idle.borrow_mut();
        let mut unexpired = idle.iter_mut().filter(|idle| now < idle.expires_at).peekable();
        unexpired.peek().is_some() && unexpired.all(|idle| !idle.conn.is_idle())
    }

    /// Counts a request that is sent, in case the upstream is cold.
    pub fn record_sent(&self, now: Duration) {
        let mut cold = self.cold.get();
        cold.record_sent(now);
        self.cold.set(cold);
    }

    /// Records that the upstream may get requests again after an evacuation of its domain.
    pub fn record_return(&self, now: Duration) {
        let mut cold = self.cold.get();
        cold.record_return(now);
        self.cold.set(cold);
    }

    /// Removes an idle connection that is still open from the pool and returns it with its proof.
    ///
    /// Those that `admits` does not accept stay in the pool.
    #[must_use]
    pub fn acquire_idle(
        &self,
        admits: impl Fn(Proof) -> bool,
        now: Duration,
    ) -> Option<(Conn, Proof)> {
        let mut idle = self.idle.borrow_mut();
        while let Some(index) = idle.iter().rposition(|idle| admits(idle.proof)) {
            let Idle { mut conn, proof, expires_at } = idle.remove(index);
            if now < expires_at && conn.is_idle() {
                return Some((conn, proof));
            }
        }
        None
    }

    /// Returns a connection to the pool, unless unread bytes follow the last answer.
    ///
    /// `proof` shows which incarnation it leads to, `keep_alive` is the lifetime that the upstream
    /// states, if any.
    pub fn release(&self, conn: Conn, proof: Proof, keep_alive: Option<Duration>, now: Duration) {
        if !conn.input.is_empty() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= MAX_IDLE_CONNECTIONS {
            idle.remove(0);
        }
        let expires_at =
            now + keep_alive.unwrap_or(KEEP_ALIVE_DEFAULT).saturating_sub(KEEP_ALIVE_MARGIN);
        idle.push(Idle { conn, proof, expires_at });
    }

    /// Returns when bytes last arrived over a connection of this instance.
    #[must_use]
    pub fn heard_at(&self) -> Duration {
        self.heard_at.get()
    }

    /// Returns the longest time for which a request on a connection of this instance got no bytes.
    #[must_use]
    pub fn direct_silence(&self, now: Duration) -> Duration {
        let flights = self.flights.borrow();
        let direct = flights.values().filter(|flight| flight.is_direct);
        let oldest = direct.map(|flight| flight.last_progress_at).min();
        oldest.map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }

    /// Returns true, and notes a check of the path, if the last one is at least `interval` ago.
    pub fn start_check(&self, now: Duration, interval: Duration) -> bool {
        let is_due = self.checked_at.get().is_none_or(|at| now >= at + interval);
        if is_due {
            self.checked_at.set(Some(now));
        }
        is_due
    }

    /// Gives up the connections of this instance, because they hang.
    pub fn cut_off(&self) {
        self.close_idle();
        self.cut_off.notify_waiters();
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the idle connections whose lifetime has ended or that have brought bytes unasked.
    ///
    /// Those that the upstream has closed stay, since [`Self::has_lost_idle`] learns from them.
    pub fn close_unusable(&self, now: Duration) {
        let mut idle = self.idle.borrow_mut();
        idle.retain_mut(|idle| now < idle.expires_at && !idle.conn.has_unsolicited());
    }
}

/// Guard that counts a request in flight at an upstream until the guard is dropped.
#[derive(Debug)]
pub struct Flight {
    upstream: Rc<Upstream>,
    key: FlightKey,
    /// What shows that the connection leads to this incarnation.
    proof: Proof,
    /// Whether the connection is one of this instance.
    is_direct: bool,
    sent_at: Duration,
}

impl Flight {
    /// Counts a request that was expected to cause `work`; `None` for plain requests.
    ///
    /// `proof` shows which incarnation its connection leads to, and `is_direct` tells whether it is
    /// one of this instance.
    #[must_use]
    pub fn open(
        upstream: Rc<Upstream>,
        work: Option<Work>,
        proof: Proof,
        is_direct: bool,
        now: Duration,
    ) -> Self {
        if let Some(work) = &work {
            upstream.cost.borrow_mut().start(work, now);
        }
        let flight = InFlight {
            last_progress_at: now,
            sent_at: now,
            work,
            has_begun: false,
            pauses: (now, 0),
            is_direct,
            is_answered: false,
        };
        let key = upstream.flights.borrow_mut().insert(flight);
        Self { upstream, key, proof, is_direct, sent_at: now }
    }

    /// Returns the upstream that runs the request.
    #[must_use]
    pub fn upstream(&self) -> &Rc<Upstream> {
        &self.upstream
    }

    /// Returns what shows that the connection leads to this incarnation of the upstream.
    #[must_use]
    pub fn proof(&self) -> Proof {
        self.proof
    }

    /// Returns the connection of the request to the upstream's pool.
    pub fn release(&self, conn: Conn, keep_alive: Option<Duration>, now: Duration) {
        self.upstream.release(conn, self.proof, keep_alive, now);
    }

    /// Records that so many events have arrived together.
    ///
    /// Before the first one the whole prompt was processed.
    pub fn record_progress(&self, events: u64, now: Duration) {
        let mut flights = self.upstream.flights.borrow_mut();
        let load = flights.len();
        if let Some(flight) = flights.get_mut(self.key) {
            flight.last_progress_at = now;
            if let Some(work) = flight.work {
                self.observe_progress(flight, &work, events, load, now);
            }
        }
        drop(flights);
        self.record_heard(now);
    }

    /// Learns from the time of a first event, or from the pauses between the following ones.
    #[expect(clippy::cast_precision_loss, reason = "an estimate needs no more than 52 bits")]
    fn observe_progress(
        &self,
        flight: &mut InFlight,
        work: &Work,
        events: u64,
        load: usize,
        now: Duration,
    ) {
        let mut service = self.upstream.service.get();
        let mut cost = self.upstream.cost.borrow_mut();
        if std::mem::replace(&mut flight.has_begun, true) {
            let (since, count) = (flight.pauses.0, flight.pauses.1 + events);
            flight.pauses.1 = count;
            let time = now.saturating_sub(since);
            if time >= PAUSE_WINDOW && count > 0 {
                flight.pauses = (now, 0);
                let load = load as f64 + cost.others_load(&service, now);
                cost.observe_pause(&mut service, time.as_secs_f64() / count as f64, load, now);
            }
        } else {
            flight.pauses = (now, 0);
            cost.end_prefill(work, now);
            let seconds = now.saturating_sub(flight.sent_at).as_secs_f64();
            cost.observe_first_event(&mut service, work, seconds, now);
        }
        self.upstream.service.set(service);
    }

    /// Records that the head of the answer has arrived.
    pub fn record_answered(&self, now: Duration) {
        if let Some(flight) = self.upstream.flights.borrow_mut().get_mut(self.key) {
            flight.is_answered = true;
        }
        self.record_heard(now);
    }

    /// Records that bytes have arrived.
    fn record_heard(&self, now: Duration) {
        let mut cold = self.upstream.cold.get();
        cold.record_bytes(self.sent_at, now);
        self.upstream.cold.set(cold);
        if self.is_direct {
            self.upstream.heard_at.set(now);
        }
    }

    /// Waits until the connection is given up, because this instance has lost its path.
    pub async fn wait_cut_off(&self) {
        if !self.is_direct {
            std::future::pending::<()>().await;
        }
        self.upstream.cut_off.notified().await;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let Some(flight) = self.upstream.flights.borrow_mut().remove(self.key) else { return };
        let Some(work) = flight.work else { return };
        let mut cost = self.upstream.cost.borrow_mut();
        cost.end(&work);
        if flight.has_begun {
            let run = flight.last_progress_at.saturating_sub(flight.sent_at);
            let mut service = self.upstream.service.get();
            service.observe_run(run.as_secs_f64());
            self.upstream.service.set(service);
        } else {
            cost.end_prefill(&work, flight.last_progress_at);
        }
    }
}
