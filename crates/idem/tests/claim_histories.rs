//! Guards against double billing and double runs under one idempotency key.
//!
//! Both could come about when instances claim the same key in one table while replies are lost,
//! transactions arrive late and instances crash. The test generates such histories.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use idem::claim::{Ack, End, Request};
use idem::core::{Core, Settings, Step};
use idem::event::Message;
use idem::{Answer, Claim, Decision, Ownership, row};
use ledger::row::{Holder, State, holder_key};
use proptest::prelude::*;
use store::Txn;
use store::memory::Platform;

const INSTANCES: usize = 3;
const KEYS: usize = 4;
/// Length of a holder's lease, which only [`Op::Advance`] renews.
const LEASE: Duration = Duration::from_secs(10);

/// One operation of a history.
///
/// Claims with different `body` have different digests. `Step` does nothing while a transaction is
/// in flight. `DeliverDelayed` applies the newest delayed transaction. `Start` and `Drop` apply to
/// a run that was not started, `End` to a started one; `index`, modulo the number of such runs,
/// selects it. An `outcome` of 0 is unknown, 1 is not run, and others are completed. `Kill` starts
/// a new incarnation. `Advance` moves the clock and renews the leases of the instances in the bit
/// set `renew`.
#[derive(Debug, Clone)]
enum Op {
    Claim { instance: usize, key: usize, body: u8 },
    Step { instance: usize },
    Deliver { instance: usize, delivery: Delivery },
    DeliverDelayed,
    Start { index: usize },
    Drop { index: usize },
    End { index: usize, outcome: u8 },
    Unreachable { instance: usize },
    Kill { instance: usize },
    Advance { seconds: u64, renew: usize },
}

#[derive(Debug, Clone, Copy)]
enum Delivery {
    /// The transaction is applied and its reply arrives.
    Replied,
    /// The transaction is applied and its reply is lost.
    ReplyLost,
    /// The transaction is lost before it reaches the table.
    RequestLost,
    /// The transaction is kept for [`Op::DeliverDelayed`].
    Delayed,
}

fn op_strategy() -> impl Strategy<Value = Op> {
    let delivery_strategy = prop_oneof![
        4 => Just(Delivery::Replied),
        2 => Just(Delivery::ReplyLost),
        1 => Just(Delivery::RequestLost),
        1 => Just(Delivery::Delayed),
    ];
    prop_oneof![
        4 => (0..INSTANCES, 0..KEYS, 0..8_u8).prop_map(|(instance, key, body)| {
            Op::Claim { instance, key, body: u8::from(body == 0) }
        }),
        6 => (0..INSTANCES).prop_map(|instance| Op::Step { instance }),
        6 => (0..INSTANCES, delivery_strategy).prop_map(|(instance, delivery)| Op::Deliver { instance, delivery }),
        1 => Just(Op::DeliverDelayed),
        3 => (0..8_usize).prop_map(|index| Op::Start { index }),
        1 => (0..8_usize).prop_map(|index| Op::Drop { index }),
        3 => (0..8_usize, 0..4_u8).prop_map(|(index, outcome)| Op::End { index, outcome }),
        1 => (0..INSTANCES).prop_map(|instance| Op::Unreachable { instance }),
        1 => (0..INSTANCES).prop_map(|instance| Op::Kill { instance }),
        2 => (1..20_u64, 0..8_usize).prop_map(|(seconds, renew)| Op::Advance { seconds, renew }),
    ]
}

struct Instance {
    core: Core,
    receiver: mpsc::UnboundedReceiver<Message>,
    holder: Arc<str>,
    /// Transaction in flight; it is repeated until its reply arrives.
    txn: Option<Txn>,
}

/// A request whose claim was granted.
struct Run {
    key: usize,
    digest: String,
    holder: Arc<str>,
    claim: Option<Claim>,
    started: bool,
    /// Whether the claim ended as not run.
    skipped: bool,
    answer: Option<Answer>,
    ack: Option<Ack>,
    ownership: Option<Ownership>,
}

/// A request that waits for its decision.
struct Waiting {
    key: usize,
    request: Request,
    holder: Arc<str>,
    decision: oneshot::Receiver<Decision>,
}

struct Simulation {
    table: Platform,
    now: Duration,
    instances: Vec<Instance>,
    waiting: Vec<Waiting>,
    runs: Vec<Run>,
    delayed_txns: Vec<Txn>,
    starts: u64,
    requests: u64,
    dead_holders: Vec<Arc<str>>,
}

fn is_idempotent(key: usize) -> bool {
    key % 2 == 1
}

impl Simulation {
    fn open() -> Self {
        let mut simulation = Self {
            table: Platform::default(),
            now: Duration::from_secs(1_000),
            instances: Vec::new(),
            waiting: Vec::new(),
            runs: Vec::new(),
            delayed_txns: Vec::new(),
            starts: 0,
            requests: 0,
            dead_holders: Vec::new(),
        };
        for instance in 0..INSTANCES {
            let instance = simulation.start(instance);
            simulation.instances.push(instance);
        }
        simulation
    }

    fn start(&mut self, instance: usize) -> Instance {
        self.starts += 1;
        let holder = base::id::holder(&format!("n{instance}"), self.starts);
        let (sender, receiver) = mpsc::unbounded();
        let core = Core::open(Arc::clone(&holder), Settings::default(), sender);
        self.renew(&holder);
        Instance { core, receiver, holder, txn: None }
    }

    fn renew(&self, holder: &str) {
        let lease_until = base::clock::millis(self.now + LEASE);
        let mut txn = Txn::default();
        let row = Holder { state: State::Open, seq: 1, lease_until, exposed: 0 };
        txn.put(holder_key(holder), &row);
        self.table.apply(&txn);
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Claim { instance, key, body } => self.claim(instance, key, body),
            Op::Step { instance } => self.step(instance),
            Op::Deliver { instance, delivery } => self.deliver(instance, delivery),
            Op::DeliverDelayed => {
                if let Some(txn) = self.delayed_txns.pop() {
                    self.table.apply(&txn);
                }
            }
            Op::Start { index } => self.start_run(index),
            Op::Drop { index } => self.drop_claim(index),
            Op::End { index, outcome } => self.end(index, outcome),
            Op::Unreachable { instance } => self.instances[instance].core.handle_outage(),
            Op::Kill { instance } => self.kill(instance),
            Op::Advance { seconds, renew } => {
                self.now += Duration::from_secs(seconds);
                for instance in (0..INSTANCES).filter(|instance| renew & (1 << instance) != 0) {
                    self.renew(&self.instances[instance].holder);
                }
            }
        }
        self.process_messages();
    }

    fn claim(&mut self, instance: usize, key: usize, body: u8) {
        self.requests += 1;
        let request = Request {
            row_key: row::key("shop", &key.to_string()).into(),
            account: "shop".into(),
            id: format!("r{}", self.requests).into(),
            digest: row::digest("POST", "/", &[body]),
            idempotent: is_idempotent(key),
        };
        let (reply, decision) = oneshot::channel();
        self.instances[instance].core.handle(Message::Claim { request: request.clone(), reply });
        let holder = Arc::clone(&self.instances[instance].holder);
        self.waiting.push(Waiting { key, request, holder, decision });
    }

    fn step(&mut self, instance: usize) {
        let (now, table) = (self.now, &self.table);
        let instance = &mut self.instances[instance];
        if instance.txn.is_some() {
            return;
        }
        match instance.core.step(now, now) {
            Step::Idle => {}
            Step::Read(keys) => instance.core.handle_rows(&table.read(&keys), now, now),
            Step::Commit(txn) => instance.txn = Some(txn),
        }
    }

    fn deliver(&mut self, instance: usize, delivery: Delivery) {
        let now = self.now;
        let instance = &mut self.instances[instance];
        let Some(txn) = &instance.txn else { return };
        match delivery {
            Delivery::Replied => {
                let commit = self.table.apply(txn);
                instance.txn = None;
                instance.core.handle_commit(&commit, now, now);
            }
            Delivery::ReplyLost => drop(self.table.apply(txn)),
            Delivery::RequestLost => {}
            Delivery::Delayed => self.delayed_txns.push(txn.clone()),
        }
    }

    fn find_open_run(&mut self, index: usize, started: bool) -> Option<&mut Run> {
        let fits = |run: &&mut Run| run.claim.is_some() && run.started == started;
        let mut runs: Vec<&mut Run> = self.runs.iter_mut().filter(fits).collect();
        let count = runs.len();
        (count > 0).then(|| runs.swap_remove(index % count))
    }

    fn start_run(&mut self, index: usize) {
        let Some(run) = self.find_open_run(index, false) else { return };
        run.started = true;
        run.claim.as_mut().unwrap().mark_started();
        let key = run.key;
        let started = self.runs.iter().filter(|run| run.key == key && run.started && !run.skipped);
        assert!(is_idempotent(key) || started.count() == 1, "non-idempotent key {key} ran twice");
    }

    fn drop_claim(&mut self, index: usize) {
        if let Some(run) = self.find_open_run(index, false) {
            run.claim = None;
            run.skipped = true;
        }
    }

    fn end(&mut self, index: usize, outcome: u8) {
        let Some(run) = self.find_open_run(index, true) else { return };
        let claim = run.claim.take().unwrap();
        let end = match outcome {
            0 => End::Unknown,
            1 => {
                run.skipped = true;
                End::NotRun
            }
            _ => {
                let body: Arc<[u8]> = claim.request_id().as_bytes().into();
                let answer = Answer { status: 200, content_type: String::new(), body };
                run.answer = Some(answer.clone());
                End::Completed(Some(answer))
            }
        };
        run.ack = Some(claim.end(end));
    }

    fn kill(&mut self, instance: usize) {
        let replacement = self.start(instance);
        let old = std::mem::replace(&mut self.instances[instance], replacement);
        self.delayed_txns.extend(old.txn);
        for run in &mut self.runs {
            if run.holder == old.holder {
                // A dead instance can neither end its claims nor bill.
                std::mem::forget(run.claim.take());
                run.ack = None;
            }
        }
        self.dead_holders.push(old.holder);
    }

    /// Delivers messages to the state machines, and decisions and acknowledgements to requests.
    fn process_messages(&mut self) {
        for instance in &mut self.instances {
            while let Ok(message) = instance.receiver.try_recv() {
                instance.core.handle(message);
            }
        }
        let all_waiting = std::mem::take(&mut self.waiting);
        for mut waiting in all_waiting {
            match waiting.decision.try_recv() {
                Ok(None) => self.waiting.push(waiting),
                Ok(Some(decision)) => self.handle_decision(&waiting, decision),
                Err(_) => {}
            }
        }
        for run in &mut self.runs {
            if let Some(Ok(Some(ownership))) = run.ack.as_mut().map(oneshot::Receiver::try_recv) {
                run.ownership = Some(ownership);
            }
        }
        self.check_bills();
    }

    fn handle_decision(&mut self, waiting: &Waiting, decision: Decision) {
        let Waiting { key, request, holder, .. } = waiting;
        match decision {
            Decision::Granted(claim) => {
                self.runs.push(Run {
                    key: *key,
                    digest: request.digest.clone(),
                    holder: Arc::clone(holder),
                    claim: Some(claim),
                    started: false,
                    skipped: false,
                    answer: None,
                    ack: None,
                    ownership: None,
                });
            }
            Decision::Completed(Some(answer)) => {
                let candidates = self.runs.iter().filter(|run| run.key == *key);
                let mut candidates = candidates.filter(|run| run.digest == request.digest);
                assert!(
                    candidates.any(|run| run.answer.as_ref() == Some(&answer)),
                    "an answer of another request was replayed"
                );
            }
            Decision::Mismatch
            | Decision::Running
            | Decision::Completed(None)
            | Decision::Unknown
            | Decision::Unreachable => {}
        }
    }

    fn check_bills(&self) {
        let mut bills = BTreeMap::new();
        let recorded =
            self.runs.iter().filter(|run| run.ownership == Some(Ownership::Kept) && !run.skipped);
        for run in recorded {
            *bills.entry((run.key, run.digest.clone())).or_insert(0) += 1;
        }
        assert!(bills.values().all(|count| *count <= 1), "a key was billed twice");
    }

    /// Lets all instances reach the table, then checks that no reply is missing.
    ///
    /// Replies are the decisions on claims and the acknowledgements of ends.
    fn drain(&mut self) {
        for _ in 0..40 {
            self.now += Duration::from_secs(1);
            for instance in 0..INSTANCES {
                self.step(instance);
                self.deliver(instance, Delivery::Replied);
                self.process_messages();
            }
        }
        assert!(self.waiting.is_empty(), "a request got no decision");
        for run in &self.runs {
            let waits = self.runs.iter().any(|other| other.key == run.key && other.claim.is_some());
            let ended = run.ack.is_none() || run.ownership.is_some();
            assert!(ended || waits, "an end was never acknowledged");
        }
        self.check_lost_runs();
    }

    /// Checks that a key whose claim was lost is billed elsewhere.
    ///
    /// A claim that is still open, or a run of a dead holder, counts as billed.
    fn check_lost_runs(&self) {
        for run in self.runs.iter().filter(|run| run.ownership == Some(Ownership::Lost)) {
            let mut others = self.runs.iter().filter(|other| other.key == run.key);
            let billed = others.any(|other| {
                other.ownership == Some(Ownership::Kept)
                    || other.claim.is_some()
                    || self.dead_holders.contains(&other.holder)
            });
            assert!(billed, "a key that ran was never billed");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn no_key_is_billed_twice_and_no_non_idempotent_key_runs_twice(ops in prop::collection::vec(op_strategy(), 1..120)) {
        let mut simulation = Simulation::open();
        for op in &ops {
            simulation.apply(op);
        }
        simulation.drain();
    }
}

/// Guards against two bills for two runs of one request in an outage, while another body held the key
/// and then freed it.
#[test]
fn a_key_that_another_body_frees_after_an_outage_is_billed_once() {
    let claim = |instance, body| Op::Claim { instance, key: 3, body };
    let ops = [
        claim(1, 1),
        claim(2, 0),
        Op::Unreachable { instance: 2 },
        Op::Start { index: 0 },
        Op::Step { instance: 1 },
        claim(0, 0),
        Op::Deliver { instance: 1, delivery: Delivery::Replied },
        Op::Drop { index: 0 },
        Op::Unreachable { instance: 0 },
        Op::End { index: 0, outcome: 2 },
        Op::Start { index: 0 },
        Op::End { index: 0, outcome: 2 },
    ];
    let mut simulation = Simulation::open();
    for op in &ops {
        simulation.apply(op);
    }
    simulation.drain();
}
