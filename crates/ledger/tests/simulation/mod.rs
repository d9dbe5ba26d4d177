//! Simulation of several holders over one table, which drives the production code step by step.

pub mod invariants;
pub mod node;
pub mod op;

use std::cell::RefCell;
use std::collections::BTreeMap;

use base::clock::{Manual, millis};
use base::prelude::*;
use futures::FutureExt;
use ledger::core::Step;
use ledger::recover::{self, DeadHolder};
use ledger::row;
use store::memory::Platform;
use store::{Commit, Error, Pending, Row, Table, Txn};

use node::Node;
use op::{Delivery, Op};

/// Change of a transaction before it is sent, which breaks a rule on purpose.
pub type Mutation = fn(&mut Txn);

/// Whether the request path of a node follows its rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPath {
    Correct,
    /// Answers are sent before the record of their request is durable.
    AnswersBeforeRecord,
    /// Requests are sent before their record is durable, even above the exposure limit.
    IgnoresExposureLimit,
}

/// Request that was sent to an upstream.
#[derive(Debug, Clone)]
pub struct Run {
    pub budget: String,
    /// Tokens that the upstream may have spent.
    pub spent: Tokens,
    pub answered: bool,
}

/// Budgets of every history; the first two share a parent.
pub const BUDGETS: [&str; 3] = ["left", "right", "alone"];
pub const PARENT: &str = "parent";

pub struct Simulation {
    pub platform: Arc<Platform>,
    pub clock: Arc<Manual>,
    pub nodes: Vec<Node>,
    /// Holders whose process has crashed or is considered dead.
    pub dead: Vec<DeadHolder>,
    pub runs: BTreeMap<String, Run>,
    /// Transactions of which a copy can still arrive.
    pub delayed: Vec<Txn>,
    pub mutation: Option<Mutation>,
    pub request_path: RequestPath,
    /// Number of the last request or incarnation.
    last_number: u64,
}

impl Simulation {
    pub fn open(nodes: usize, mutation: Option<Mutation>, request_path: RequestPath) -> Self {
        let platform = Arc::new(Platform::default());
        let clock = Arc::new(Manual::default());
        clock.advance(Duration::from_secs(100));
        let mut txn = Txn::default();
        let account = String::from("client");
        let parent = row::Budget { account: account.clone(), paid: 1_500, ..Default::default() };
        txn.put(row::budget_key(PARENT), &parent);
        for name in BUDGETS {
            let parent = (name != "alone").then(|| PARENT.to_owned());
            let budget =
                row::Budget { account: account.clone(), parent, paid: 1_000, ..Default::default() };
            txn.put(row::budget_key(name), &budget);
        }
        platform.apply(&txn);
        let mut simulation = Self {
            platform,
            clock,
            nodes: Vec::new(),
            dead: Vec::new(),
            runs: BTreeMap::new(),
            delayed: Vec::new(),
            mutation,
            request_path,
            last_number: 0,
        };
        for number in 0..nodes {
            let node = simulation.start(number);
            simulation.nodes.push(node);
        }
        simulation
    }

    fn start(&mut self, number: usize) -> Node {
        self.last_number += 1;
        Node::open(&format!("node-{number}"), self.last_number, &self.clock)
    }

    /// Applies one operation and checks the invariants.
    pub fn apply(&mut self, op: &Op) -> Result<(), String> {
        match *op {
            Op::Reserve { node, budget, bound } => {
                self.last_number += 1;
                let request = format!("r{}", self.last_number);
                let node = self.node(node);
                node.reserve(&request, BUDGETS[budget % BUDGETS.len()], bound);
            }
            Op::Step { node, delivery } => self.step(node, delivery),
            Op::Dispatch { node } => self.dispatch(node),
            Op::Settle { node, used_percent } => self.settle(node, used_percent),
            Op::DeliverLate { index } => self.deliver_late(index),
            Op::Advance { millis } => self.clock.advance(Duration::from_millis(millis)),
            Op::TopUp { budget, tokens } => self.top_up(BUDGETS[budget % BUDGETS.len()], tokens),
            Op::Recall { node, budget, tokens } => self.node(node).recall(budget, tokens),
            Op::Crash { node } => self.crash(node),
            Op::Fence { node } => {
                let holder = self.node(node).holder.clone();
                self.dead.push(DeadHolder { holder, died_in_lease: false });
            }
            Op::Recover { calls } => self.recover(usize::from(calls)),
        }
        invariants::check(self)
    }

    /// Ends all requests, closes all holders, and checks that all tokens are accounted for.
    pub fn finish(&mut self) -> Result<(), String> {
        for number in 0..self.nodes.len() {
            self.run_steps(number);
            while !self.nodes[number].reserved.is_empty() {
                self.dispatch(number);
            }
            self.run_steps(number);
            while !self.nodes[number].running.is_empty() {
                self.settle(number, 50);
            }
            self.nodes[number].close();
            self.run_steps(number);
            if !self.nodes[number].writer.core().is_finished() {
                return Err(format!("node {number} does not close"));
            }
        }
        for index in 0..self.delayed.len() {
            self.deliver_late(index);
        }
        for _ in 0..2 {
            self.recover(usize::MAX);
        }
        invariants::check(self)?;
        invariants::check_finished(self)
    }

    fn run_steps(&mut self, number: usize) {
        for _ in 0..60 {
            self.step(number, Delivery::Applied);
            self.clock.advance(Duration::from_millis(20));
        }
    }

    fn node(&mut self, index: usize) -> &mut Node {
        let count = self.nodes.len();
        &mut self.nodes[index % count]
    }

    fn step(&mut self, index: usize, delivery: Delivery) {
        self.exchange(index, delivery);
        self.record_started(index);
    }

    fn exchange(&mut self, index: usize, delivery: Delivery) {
        let platform = Arc::clone(&self.platform);
        let mutation = self.mutation;
        let node = self.node(index);
        node.receive();
        let txn = match node.in_flight.take() {
            Some(txn) => txn,
            None => match node.writer.step() {
                Step::Idle => return,
                Step::Read(keys) => {
                    let now = node.clock.now();
                    if delivery == Delivery::Lost {
                        node.writer.core().handle_outage();
                    } else {
                        node.writer.core().handle_rows(&keys, &platform.read(&keys), now);
                    }
                    return;
                }
                Step::Commit(mut txn) => {
                    if let Some(mutation) = mutation {
                        mutation(&mut txn);
                    }
                    txn
                }
            },
        };
        let answer = match delivery {
            Delivery::Applied | Delivery::Duplicated => Some(platform.apply(&txn)),
            Delivery::ReplyLost => {
                platform.apply(&txn);
                None
            }
            Delivery::Lost | Delivery::Delayed => None,
        };
        if let Some(commit) = answer {
            node.handle_commit(&commit);
        } else {
            node.in_flight = Some(txn.clone());
            node.writer.core().handle_outage();
        }
        node.receive();
        if matches!(delivery, Delivery::Duplicated | Delivery::Delayed) {
            self.delayed.push(txn);
        }
    }

    fn dispatch(&mut self, index: usize) {
        let ignores_limit = self.request_path == RequestPath::IgnoresExposureLimit;
        self.node(index).dispatch(ignores_limit);
        self.record_started(index);
    }

    fn record_started(&mut self, index: usize) {
        for (request, budget, bound) in std::mem::take(&mut self.node(index).started) {
            self.runs.insert(request, Run { budget, spent: bound, answered: false });
        }
    }

    fn settle(&mut self, index: usize, used_percent: u64) {
        let answers_early = self.request_path == RequestPath::AnswersBeforeRecord;
        if let Some((request, used, durable)) = self.node(index).settle(used_percent) {
            let run = self.runs.get_mut(&request).expect("a settled request was sent before");
            run.spent = used;
            run.answered = durable || answers_early;
        }
    }

    fn deliver_late(&mut self, index: usize) {
        if !self.delayed.is_empty() {
            let txn = &self.delayed[index % self.delayed.len()];
            self.platform.apply(txn);
        }
    }

    fn top_up(&self, budget: &str, tokens: Tokens) {
        let key = row::budget_key(budget);
        let found = self.platform.read(std::slice::from_ref(&key)).remove(0);
        let mut state: row::Budget = serde_json::from_value(found.value).unwrap();
        state.paid += tokens;
        let mut txn = Txn::default();
        txn.check(&key, found.revision);
        txn.put(&key, &state);
        self.platform.apply(&txn);
    }

    fn crash(&mut self, index: usize) {
        let number = index % self.nodes.len();
        let fresh = self.start(number);
        let old = std::mem::replace(&mut self.nodes[number], fresh);
        let found = self.platform.read(&[row::holder_key(&old.holder)]);
        let row = found.first().map(|row| serde_json::from_value(row.value.clone()).unwrap());
        let lease_until = row.map_or(0, |row: row::Holder| row.lease_until);
        let died_in_lease = millis(self.clock.wall()) < lease_until;
        self.dead.push(DeadHolder { holder: old.holder.clone(), died_in_lease });
        // A process that dies runs no destructors.
        std::mem::forget(old);
    }

    /// Recovers the dead holders in a process that dies after `calls` calls.
    fn recover(&self, calls: usize) {
        let table = CrashingTable {
            platform: &self.platform,
            calls_left: RefCell::new(calls),
            mutation: self.mutation,
        };
        for holder in &self.dead {
            let recovery = recover::recover(&table, holder, self.clock.wall());
            let ended = recovery.now_or_never().expect("the table replies immediately");
            if ended.is_err() {
                return;
            }
        }
    }
}

/// Table that fails after some calls; a failed call still takes effect.
struct CrashingTable<'a> {
    platform: &'a Platform,
    calls_left: RefCell<usize>,
    mutation: Option<Mutation>,
}

impl CrashingTable<'_> {
    fn call<T>(&self, result: T) -> Result<T, Error> {
        let left = *self.calls_left.borrow();
        *self.calls_left.borrow_mut() = left.saturating_sub(1);
        if left == 0 { Err(Error::Status(503)) } else { Ok(result) }
    }
}

impl Table for CrashingTable<'_> {
    fn get(&self, keys: Vec<String>) -> Pending<'_, Vec<Row>> {
        let rows = self.call(self.platform.read(&keys));
        std::future::ready(rows).boxed_local()
    }

    fn scan(&self, prefix: String, after: String, limit: usize) -> Pending<'_, Vec<Row>> {
        let rows = self.call(self.platform.range(&prefix, &after, limit));
        std::future::ready(rows).boxed_local()
    }

    fn commit(&self, mut txn: Txn) -> Pending<'_, Commit> {
        if let Some(mutation) = self.mutation {
            mutation(&mut txn);
        }
        let commit = self.call(self.platform.apply(&txn));
        std::future::ready(commit).boxed_local()
    }
}
