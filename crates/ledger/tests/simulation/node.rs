//! Simulated instance: one holder with its request path and its writer.

use std::pin::Pin;

use base::clock::Manual;
use base::id;
use base::prelude::*;
use futures::FutureExt;
use ledger::book::Durable;
use ledger::core::Settings;
use ledger::event::{self, Context};
use ledger::peer::Recall;
use ledger::size::Policy;
use ledger::writer::Writer;
use ledger::{Book, Error, Hold};
use slog::{Discard, Logger, o};
use store::{Commit, Txn};

use super::{BUDGETS, PARENT};

type Reserving = Pin<Box<dyn Future<Output = Result<Hold, Error>>>>;
type Closing = Pin<Box<dyn Future<Output = ()>>>;

pub struct Waiting {
    request: String,
    budget: String,
    future: Reserving,
}

pub struct Active {
    pub request: String,
    pub budget: String,
    pub hold: Hold,
    durable: Option<Durable>,
    recorded: bool,
}

pub struct Node {
    pub holder: String,
    pub clock: Arc<Manual>,
    pub book: Book,
    pub writer: Writer,
    pub in_flight: Option<Txn>,
    pub waiting: Vec<Waiting>,
    pub reserved: Vec<Active>,
    /// Requests that must not be sent before their record is durable.
    pub recording: Vec<Active>,
    pub running: Vec<Active>,
    /// Id, budget and bound of sent requests that the simulation has not counted yet.
    pub started: Vec<(String, String, Tokens)>,
    closing: Option<Closing>,
    pause_count: u64,
}

impl Node {
    pub fn open(name: &str, incarnation: u64, clock: &Arc<Manual>) -> Self {
        let holder = id::holder(name, incarnation);
        let policy = Policy { horizon: Duration::from_secs(10), floor: 100, divisor: 4 };
        let context = Context {
            holder: Arc::clone(&holder),
            settings: Settings { policy, max_exposure: 60, ..Settings::default() },
            flush_interval: Duration::from_millis(20),
            pause_threshold: Duration::from_secs(2),
            clock: Arc::clone(clock) as Arc<dyn Clock>,
            log: Logger::root(Discard, o!()),
        };
        let (book, inbox) = event::open(context);
        Self {
            holder: holder.to_string(),
            clock: Arc::clone(clock),
            book,
            writer: inbox.writer(),
            in_flight: None,
            waiting: Vec::new(),
            reserved: Vec::new(),
            recording: Vec::new(),
            running: Vec::new(),
            started: Vec::new(),
            closing: None,
            pause_count: 0,
        }
    }

    pub fn reserve(&mut self, request: &str, budget: &str, bound: Tokens) {
        let book = self.book.clone();
        let (id, name): (RequestId, BudgetId) = (request.into(), budget.into());
        let future = Box::pin(async move { book.reserve(&id, &name, bound).await });
        let request = Waiting { request: request.into(), budget: budget.into(), future };
        self.waiting.push(request);
        self.receive();
    }

    /// Handles messages and polls the waiting requests.
    pub fn receive(&mut self) {
        self.writer.update_gate();
        self.pause_count = self.book.gate().pause_count();
        let mut rest = Vec::new();
        for mut waiting in self.waiting.drain(..) {
            match (&mut waiting.future).now_or_never() {
                None => rest.push(waiting),
                Some(Err(_)) => {}
                Some(Ok(hold)) => {
                    let Waiting { request, budget, .. } = waiting;
                    self.reserved.push(Active {
                        request,
                        budget,
                        hold,
                        durable: None,
                        recorded: false,
                    });
                }
            }
        }
        self.waiting = rest;
        self.send_recorded();
        let closed = self.closing.as_mut().and_then(FutureExt::now_or_never);
        if closed.is_some() {
            self.closing = None;
        }
        self.writer.drain();
        self.writer.core().sample_rates(Duration::from_millis(100));
    }

    pub fn handle_commit(&mut self, commit: &Commit) {
        self.writer.handle_commit(commit, self.pause_count);
        self.writer.finish();
    }

    pub fn recall(&mut self, budget: usize, tokens: Tokens) {
        let name = BUDGETS.get(budget).copied().unwrap_or(PARENT);
        self.writer.core().recall(&Recall { budget: name.into(), tokens });
    }

    /// Records and, if allowed, sends the oldest reserved request; a closed gate releases it.
    pub fn dispatch(&mut self, ignores_limit: bool) {
        if self.reserved.is_empty() {
            return;
        }
        let mut active = self.reserved.remove(0);
        if !self.book.gate().is_open() {
            active.hold.release();
            return;
        }
        active.durable = Some(active.hold.record(false));
        if active.hold.must_wait_for_record() && !ignores_limit {
            self.recording.push(active);
        } else {
            self.send(active);
        }
    }

    fn send(&mut self, active: Active) {
        let (request, budget) = (active.request.clone(), active.budget.clone());
        self.started.push((request, budget, active.hold.bound()));
        self.running.push(active);
    }

    /// Sends the requests whose records have become durable.
    fn send_recorded(&mut self) {
        for mut active in std::mem::take(&mut self.recording) {
            let durable = active.durable.as_mut().and_then(FutureExt::now_or_never);
            match durable {
                None => self.recording.push(active),
                Some(Ok(())) if self.book.gate().is_open() => {
                    active.recorded = true;
                    active.durable = None;
                    self.send(active);
                }
                Some(_) => active.hold.release(),
            }
        }
    }

    /// Settles the oldest running request; returns id, usage and whether its record was durable.
    pub fn settle(&mut self, used_percent: u64) -> Option<(String, Tokens, bool)> {
        if self.running.is_empty() {
            return None;
        }
        let Active { request, hold, durable, recorded, .. } = self.running.remove(0);
        let durable = durable.and_then(FutureExt::now_or_never);
        let used = hold.bound() * used_percent.min(100) / 100;
        hold.settle(used);
        Some((request, used, recorded || matches!(durable, Some(Ok(())))))
    }

    pub fn close(&mut self) {
        let book = self.book.clone();
        self.closing = Some(Box::pin(async move { book.close().await }));
        self.receive();
    }
}
