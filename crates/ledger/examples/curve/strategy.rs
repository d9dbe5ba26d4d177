//! Strategies to share a budget between instances.

use std::collections::VecDeque;
use std::pin::Pin;

use base::clock::Manual;
use base::prelude::*;
use futures::FutureExt;
use ledger::core::{Settings, Step};
use ledger::event::{self, Context};
use ledger::peer::Recall;
use ledger::size::Policy;
use ledger::writer::Writer;
use ledger::{Book, Error, Hold, row};
use slog::{Discard, Logger, o};
use store::Txn;
use store::memory::Platform;

use crate::{BOUND, Request, TICK};

/// Id of the budget that all requests spend.
const BUDGET: &str = "budget";

/// Rule by which instances admit requests against a shared budget.
pub trait Strategy {
    /// Advances the time by one tick and returns the decisions made since the last call.
    fn advance(&mut self) -> Vec<(Request, bool)>;

    /// Submits a request, which is decided now or in a later tick.
    fn submit(&mut self, request: Request);

    /// Settles a request that was admitted.
    fn complete(&mut self, request: Request);
}

/// Parts of a budget, one per instance or one for all, refilled from a pool.
pub struct Split {
    pub remaining: Vec<Tokens>,
    /// Tokens from which parts are refilled; 0 if they never are.
    pub pool: Tokens,
    /// Tokens that an instance takes from the pool when its part is used up.
    pub piece_tokens: Tokens,
    pub decided: Vec<(Request, bool)>,
}

impl Strategy for Split {
    fn advance(&mut self) -> Vec<(Request, bool)> {
        std::mem::take(&mut self.decided)
    }

    fn submit(&mut self, request: Request) {
        let index = request.instance % self.remaining.len();
        if self.remaining[index] < BOUND {
            let taken = self.piece_tokens.min(self.pool);
            self.pool -= taken;
            self.remaining[index] += taken;
        }
        let is_admitted = self.remaining[index] >= BOUND;
        if is_admitted {
            self.remaining[index] -= BOUND;
        }
        self.decided.push((request, is_admitted));
    }

    fn complete(&mut self, request: Request) {
        let index = request.instance % self.remaining.len();
        self.remaining[index] += BOUND - request.used;
    }
}

type Reserving = Pin<Box<dyn Future<Output = Result<Hold, Error>>>>;

struct Node {
    book: Book,
    writer: Writer,
    waiting: Vec<(Request, Reserving)>,
    holds: VecDeque<Hold>,
}

/// Strategy of the ledger, over a table in memory that replies immediately.
pub struct Pieces {
    pub platform: Platform,
    clock: Arc<Manual>,
    nodes: Vec<Node>,
    ticks: u64,
    /// Whether recalls reach the other instances.
    recalls_enabled: bool,
}

impl Pieces {
    pub fn open(instances: usize, paid: Tokens, policy: Policy, recalls_enabled: bool) -> Self {
        let platform = Platform::default();
        let mut txn = Txn::default();
        txn.put(row::budget_key(BUDGET), &row::Budget { paid, ..Default::default() });
        platform.apply(&txn);
        let clock = Arc::new(Manual::default());
        let nodes = (0..instances).map(|number| node(number, policy, &clock)).collect();
        Self { platform, clock, nodes, ticks: 0, recalls_enabled }
    }

    fn step(&mut self, index: usize) -> Vec<Recall> {
        let now = self.clock.now();
        let writer = &mut self.nodes[index].writer;
        writer.update_gate();
        writer.drain();
        for _ in 0..2 {
            match writer.step() {
                Step::Idle => break,
                Step::Read(keys) => {
                    writer.core().handle_rows(&keys, &self.platform.read(&keys), now);
                }
                Step::Commit(txn) => writer.handle_commit(&self.platform.apply(&txn), 0),
            }
        }
        writer.core().take_recalls()
    }

    fn forward_recall(&self, from: usize, recall: &Recall) {
        let others = self.nodes.iter().enumerate().filter(|(index, _)| *index != from);
        for (_, node) in others.filter(|_| self.recalls_enabled) {
            node.book.recall(recall.clone());
        }
    }
}

fn node(number: usize, policy: Policy, clock: &Arc<Manual>) -> Node {
    let context = Context {
        holder: base::id::holder(&format!("node-{number}"), 1),
        settings: Settings { policy, ..Settings::default() },
        flush_interval: Duration::from_millis(20),
        pause_threshold: Duration::from_secs(2),
        clock: Arc::clone(clock) as Arc<dyn Clock>,
        log: Logger::root(Discard, o!()),
    };
    let (book, inbox) = event::open(context);
    Node { book, writer: inbox.writer(), waiting: Vec::new(), holds: VecDeque::new() }
}

impl Node {
    /// Polls the waiting requests and returns those that were decided.
    fn poll_waiting(&mut self) -> Vec<(Request, bool)> {
        let mut decided = Vec::new();
        for (request, mut future) in std::mem::take(&mut self.waiting) {
            match (&mut future).now_or_never() {
                None => self.waiting.push((request, future)),
                Some(Err(_)) => decided.push((request, false)),
                Some(Ok(mut hold)) => {
                    drop(hold.record(false));
                    self.holds.push_back(hold);
                    decided.push((request, true));
                }
            }
        }
        decided
    }
}

impl Strategy for Pieces {
    fn advance(&mut self) -> Vec<(Request, bool)> {
        self.clock.advance(TICK);
        self.ticks += 1;
        let mut decided = Vec::new();
        for index in 0..self.nodes.len() {
            decided.extend(self.nodes[index].poll_waiting());
            // A writer without waiting requests runs once per flush interval, as in the event loop.
            if self.ticks.is_multiple_of(2) || !self.nodes[index].waiting.is_empty() {
                for recall in self.step(index) {
                    self.forward_recall(index, &recall);
                }
            }
            if self.ticks.is_multiple_of(50) {
                self.nodes[index].writer.core().sample_rates(TICK * 50);
            }
        }
        decided
    }

    fn submit(&mut self, request: Request) {
        let node = &mut self.nodes[request.instance];
        let book = node.book.clone();
        let id: RequestId = format!("{}-{}", request.tick, request.number).into();
        let future = Box::pin(async move { book.reserve(&id, &BUDGET.into(), BOUND).await });
        node.waiting.push((request, future));
    }

    fn complete(&mut self, request: Request) {
        // All bounds are equal, so any hold of the instance can be settled.
        let hold = self.nodes[request.instance].holds.pop_front();
        hold.expect("a completed request was admitted before").settle(request.used);
    }
}
