//! Handles of an account's holders, through which connections report and learn to give way.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use h1::Gauge;
use slog::{Logger, info};
use slotmap::SecondaryMap;
use tokio::sync::Notify;

use super::{Account, Bounds, Eviction, Id, Phase, Resource};
use crate::metric::Held;

/// Shortest interval between two log lines about holders that gave way.
///
/// A crowd makes thousands of them give way in a second.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Bytes of an incomplete event above which its stream may have to give way.
const LARGE_EVENT_BYTES: usize = 16 << 10;

/// An account whose holders are connections of this thread.
#[derive(Debug)]
pub struct Registry {
    account: RefCell<Account>,
    signals: RefCell<SecondaryMap<Id, Rc<Signal>>>,
    clock: Arc<dyn Clock>,
    log: Logger,
    metrics: Held,
    logged_at: Cell<Option<Duration>>,
    /// Holders that gave way since the last log line.
    unlogged: Cell<u64>,
}

#[derive(Debug, Default)]
struct Signal {
    resource: Cell<Option<Resource>>,
    notify: Notify,
}

/// What the bytes of a holder belong to.
#[derive(Debug, Clone, Copy)]
enum Part {
    /// Buffers of the connection, with a body that arrives.
    Input,
    /// Whole answer that arrives.
    Answer = 2,
}

/// One connection's entry in an account, removed on drop.
#[derive(Debug)]
pub struct Holder {
    registry: Rc<Registry>,
    id: Id,
    signal: Rc<Signal>,
    /// Bytes of the input, of the request that runs, and of its answer.
    parts: Cell<[usize; 3]>,
    /// Whether an answer, or an event of a stream, is not complete.
    is_answer_arriving: Cell<bool>,
    /// Whether an incomplete event of a stream is held that is larger than ordinary ones.
    has_large_event: Cell<bool>,
}

/// Gauge of the connection on which a holder's answer arrives.
#[derive(Debug)]
struct AnswerGauge(Rc<Holder>);

impl Registry {
    /// Opens an account without holders.
    #[must_use]
    pub fn open(bounds: Bounds, clock: Arc<dyn Clock>, log: Logger, metrics: Held) -> Rc<Self> {
        Rc::new(Self {
            account: RefCell::new(Account::open(bounds)),
            signals: RefCell::default(),
            clock,
            log,
            metrics,
            logged_at: Cell::new(None),
            unlogged: Cell::new(0),
        })
    }

    /// Adds a connection; `None` if it must be closed at once for lack of descriptors.
    pub fn insert(self: &Rc<Self>) -> Option<Rc<Holder>> {
        let now = self.clock.now();
        let Some(id) = self.account.borrow_mut().insert(now) else {
            self.metrics.count_eviction(Resource::Descriptors);
            return None;
        };
        let signal = Rc::new(Signal::default());
        self.signals.borrow_mut().insert(id, Rc::clone(&signal));
        self.relieve(now);
        Some(Rc::new(Holder {
            registry: Rc::clone(self),
            id,
            signal,
            parts: Cell::default(),
            is_answer_arriving: Cell::default(),
            has_large_event: Cell::default(),
        }))
    }

    fn relieve(&self, now: Duration) {
        let mut account = self.account.borrow_mut();
        self.metrics.set(account.bytes(), account.descriptors());
        if !account.is_exceeded() {
            return;
        }
        for eviction in account.relieve(now) {
            if let Some(signal) = self.signals.borrow().get(eviction.id) {
                signal.resource.set(Some(eviction.resource));
                signal.notify.notify_one();
            }
            self.metrics.count_eviction(eviction.resource);
            self.log(&eviction, &account, now);
        }
    }

    fn log(&self, eviction: &Eviction, account: &Account, now: Duration) {
        if self.logged_at.get().is_some_and(|at| now < at + LOG_INTERVAL) {
            self.unlogged.set(self.unlogged.get() + 1);
            return;
        }
        self.logged_at.set(Some(now));
        let bounds = account.bounds();
        info!(self.log, "connection gives way"; "address" => self.metrics.address,
            "resource" => eviction.resource.as_str(), "phase" => ?eviction.phase,
            "bytes" => eviction.bytes, "stalled_ms" => millis(eviction.stalled),
            "held_bytes" => account.bytes(), "max_bytes" => bounds.bytes,
            "descriptors" => account.descriptors(), "max_descriptors" => bounds.descriptors,
            "not_logged" => self.unlogged.replace(0));
    }
}

impl Holder {
    /// Begins the wait for the next request, with `buffered` bytes of it in the input buffer.
    pub fn begin_wait(&self, buffered: usize) {
        self.parts.set([buffered, 0, 0]);
        self.has_large_event.set(false);
        self.is_answer_arriving.set(false);
        self.report(0);
        self.set_phase(if buffered == 0 { Phase::Idle } else { Phase::Receiving });
    }

    /// Begins the run of a request that holds `request` bytes, besides `buffered` bytes of input.
    pub fn begin_run(&self, request: usize, buffered: usize) {
        self.parts.set([buffered, request, 0]);
        self.set_phase(Phase::Running);
        self.report(0);
    }

    /// Begins to receive or send a whole answer.
    pub fn begin_answer(&self) {
        self.is_answer_arriving.set(true);
        self.set_phase(Phase::Answering);
    }

    /// Notes that the request is not sent again, so that only `answer` bytes are held for it.
    pub fn release_request(&self, answer: usize) {
        let [input, ..] = self.parts.get();
        self.is_answer_arriving.set(false);
        self.parts.set([input, 0, answer]);
        self.report(0);
    }

    /// Notes the size of the part of a stream that is being sent.
    pub fn record_stream(&self, bytes: usize) {
        self.set_part(Part::Answer, bytes, 0);
    }

    /// Notes the size of an event of a stream that is not complete.
    ///
    /// Above a size that no ordinary event has, the stream may have to give way.
    pub fn record_partial_event(&self, bytes: usize) {
        let is_large = bytes > LARGE_EVENT_BYTES;
        let was_large = self.has_large_event.replace(is_large);
        if is_large && !was_large {
            self.begin_answer();
        } else if was_large && !is_large {
            self.resume_run();
        }
        if is_large {
            self.set_part(Part::Answer, bytes, 0);
        }
    }

    /// Resumes the run of a request whose answer broke off.
    pub fn resume_run(&self) {
        self.is_answer_arriving.set(false);
        self.set_part(Part::Answer, 0, 0);
        self.set_phase(Phase::Running);
    }

    /// Returns the gauge of the connection on which the answer arrives.
    #[must_use]
    pub fn answer_gauge(self: &Rc<Self>) -> Rc<dyn Gauge> {
        Rc::new(AnswerGauge(Rc::clone(self)))
    }

    /// Waits until the connection has to give way, and returns what is scarce.
    pub async fn wait_evicted(&self) -> Resource {
        loop {
            if let Some(resource) = self.signal.resource.get() {
                return resource;
            }
            self.signal.notify.notified().await;
        }
    }

    fn set_phase(&self, phase: Phase) {
        let now = self.registry.clock.now();
        self.registry.account.borrow_mut().set_phase(self.id, phase, now);
        self.registry.relieve(now);
    }

    fn set_part(&self, part: Part, bytes: usize, received: usize) {
        let mut parts = self.parts.get();
        parts[part as usize] = bytes;
        self.parts.set(parts);
        self.report(received);
    }

    fn report(&self, received: usize) {
        let parts = self.parts.get();
        let now = self.registry.clock.now();
        let mut account = self.registry.account.borrow_mut();
        account.set_bytes(self.id, parts.iter().sum(), received, now);
        let is_arriving = self.is_answer_arriving.get();
        let answer_bytes = if is_arriving { parts[Part::Answer as usize] } else { 0 };
        account.set_answer_bytes(self.id, answer_bytes);
        drop(account);
        self.registry.relieve(now);
    }
}

impl Gauge for Holder {
    fn record(&self, held: usize, received: usize) {
        self.set_part(Part::Input, held, received);
    }
}

impl Gauge for AnswerGauge {
    fn record(&self, held: usize, received: usize) {
        self.0.set_part(Part::Answer, held, received);
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        let mut account = self.registry.account.borrow_mut();
        account.remove(self.id);
        self.registry.metrics.set(account.bytes(), account.descriptors());
        self.registry.signals.borrow_mut().remove(self.id);
    }
}
