//! Instances of a fleet that share a table, in simulated time.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::Bound;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::clock::Clock;
use front::roster::probe::Probe;
use front::roster::{Identity, Roster};
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use slog::{Discard, Logger, o};
use store::{Check, Commit, Error, Pending, Row, Table, Txn};
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::{Instant, sleep};

/// Time of one call to the store.
const CALL_TIME: Duration = Duration::from_millis(9);
/// Time after which a call without an answer fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Round trip between two instances.
const ROUND_TRIP: Duration = Duration::from_millis(3);
/// Failure domains, over which the instances are spread.
const DOMAINS: usize = 3;

/// Runs a future in a runtime whose time advances only while all tasks wait.
pub fn simulate<T>(future: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(future))
}

/// How the store answers an instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Path {
    /// At once.
    Up,
    /// After this time.
    Slow(Duration),
    /// Not at all.
    Silent,
    /// Writes are applied, and this part of their answers is lost.
    LosesAnswers(f64),
}

/// Clock of the simulation.
#[derive(Debug, Clone, Copy)]
struct SimulatedClock(Instant);

impl Clock for SimulatedClock {
    fn now(&self) -> Duration {
        self.0.elapsed()
    }

    fn wall(&self) -> Duration {
        self.now()
    }
}

/// Copy of the rows of the store.
#[derive(Debug, Clone)]
pub struct Backup(BTreeMap<String, Row>, u64);

#[derive(Debug)]
struct Store {
    rows: RefCell<BTreeMap<String, Row>>,
    revision: Cell<u64>,
    era: Cell<u64>,
    opened_at: Instant,
    random: Cell<u64>,
}

impl Store {
    /// Returns a number from 0 to 1 that follows from the seed.
    fn random(&self) -> f64 {
        let next = self.random.get().wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.random.set(next);
        f64::from(u32::try_from(next >> 33).expect("31 bits")) / f64::from(1_u32 << 31)
    }
}

/// Connection of one instance to the store.
#[derive(Debug)]
struct Connection {
    store: Rc<Store>,
    path: Cell<Path>,
    era: Cell<Option<u64>>,
    calls: Cell<u64>,
    bytes: Cell<u64>,
}

impl Connection {
    async fn call<T>(&self, apply: impl FnOnce(&Store) -> T) -> Result<T, Error> {
        self.calls.set(self.calls.get() + 1);
        let lost = || Error::Unreachable("no answer in time".into());
        let time = match self.path.get() {
            Path::Up | Path::LosesAnswers(_) => CALL_TIME,
            Path::Slow(time) => time,
            Path::Silent => {
                sleep(CALL_TIMEOUT).await;
                return Err(lost());
            }
        };
        sleep(time / 2).await;
        let result = apply(&self.store);
        if matches!(self.path.get(), Path::LosesAnswers(ratio) if self.store.random() < ratio) {
            sleep(CALL_TIMEOUT).await;
            return Err(lost());
        }
        sleep(time / 2).await;
        self.era.set(Some(self.store.era.get()));
        Ok(result)
    }
}

impl Table for Connection {
    fn get(&self, _keys: Vec<String>) -> Pending<'_, Vec<Row>> {
        unreachable!("a roster reads ranges only")
    }

    fn scan(&self, prefix: String, after: String, limit: usize) -> Pending<'_, Vec<Row>> {
        let read = move |store: &Store| {
            let rows = store.rows.borrow();
            let range = rows.range((Bound::Excluded(after), Bound::Unbounded));
            let matching = range.filter(|(key, _)| key.starts_with(&prefix));
            matching.take(limit).map(|(_, row)| row.clone()).collect::<Vec<Row>>()
        };
        async move {
            let rows = self.call(read).await?;
            // The content is sent in base64; all rows are about equally long.
            let row_bytes = rows.first().map_or(0, |row| row.value.to_string().len() * 4 / 3 + 110);
            let bytes = row_bytes * rows.len();
            self.bytes.set(self.bytes.get() + bytes as u64);
            Ok(rows)
        }
        .boxed_local()
    }

    fn commit(&self, txn: Txn) -> Pending<'_, Commit> {
        let write = move |store: &Store| {
            let revision = store.revision.get() + 1;
            store.revision.set(revision);
            let mut rows = store.rows.borrow_mut();
            let is_current = |check: &Check| {
                check.revision == rows.get(&check.key).map_or(0, |row| row.revision)
            };
            if !txn.checks.iter().all(is_current) {
                return Commit::Conflict(Vec::new());
            }
            for write in txn.writes {
                match write.value {
                    Some(value) => {
                        let row = Row { key: write.key.clone(), revision, value };
                        rows.insert(write.key, row);
                    }
                    None => drop(rows.remove(&write.key)),
                }
            }
            Commit::Applied(revision)
        };
        self.call(write).boxed_local()
    }

    fn now(&self) -> Option<Duration> {
        self.era.get().map(|_| self.store.opened_at.elapsed())
    }

    fn era(&self) -> Option<u64> {
        self.era.get()
    }
}

/// How an instance answers the probes of others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reply {
    /// After this time.
    After(Duration),
    /// Not at all: the instance is off, stands still or is cut off.
    Silent,
    /// With a refused connection: its process is down.
    Refused,
}

/// Replies to probes, by address.
#[derive(Debug, Default)]
struct Peers {
    replies: RefCell<BTreeMap<String, Reply>>,
    probes: Cell<u64>,
}

impl Probe for Peers {
    fn is_ready(&self, address: &str) -> LocalBoxFuture<'_, bool> {
        self.probes.set(self.probes.get() + 1);
        let address = address.to_owned();
        async move {
            let reply = |peers: &Peers| peers.replies.borrow().get(&address).copied();
            sleep(ROUND_TRIP).await;
            match reply(self) {
                Some(Reply::After(time)) => {
                    sleep(time).await;
                    true
                }
                Some(Reply::Silent) => std::future::pending().await,
                Some(Reply::Refused) | None => false,
            }
        }
        .boxed_local()
    }
}

#[derive(Debug)]
struct Instance {
    connection: Rc<Connection>,
    roster: RefCell<Rc<Roster>>,
    task: RefCell<Option<JoinHandle<()>>>,
}

/// Instances that run on one table.
#[derive(Debug)]
pub struct Fleet {
    store: Rc<Store>,
    clock: SimulatedClock,
    peers: Rc<Peers>,
    instances: Vec<Instance>,
}

impl Fleet {
    /// Starts `count` instances within one heartbeat.
    pub fn spawn(count: usize, seed: u64) -> Self {
        let opened_at = Instant::now();
        let store = Rc::new(Store {
            rows: RefCell::default(),
            revision: Cell::default(),
            era: Cell::default(),
            opened_at,
            random: Cell::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        });
        let peers: Rc<Peers> = Rc::default();
        let open = |index: usize| {
            let connection = Rc::new(Connection {
                store: Rc::clone(&store),
                path: Cell::new(Path::Up),
                era: Cell::default(),
                calls: Cell::default(),
                bytes: Cell::default(),
            });
            let roster = RefCell::new(open_roster(index, &peers));
            Instance { connection, roster, task: RefCell::default() }
        };
        let instances = (0..count).map(open).collect();
        let fleet = Self { store, clock: SimulatedClock(opened_at), peers, instances };
        for index in 0..count {
            fleet.start(index, Duration::from_secs(2).mul_f64(fleet.store.random()));
        }
        fleet
    }

    fn start(&self, index: usize, delay: Duration) {
        self.set_reply(index, Reply::After(Duration::ZERO));
        let Instance { connection, roster, task } = &self.instances[index];
        let roster = Rc::clone(&roster.borrow());
        let table = Rc::clone(connection) as Rc<dyn Table>;
        let clock = Arc::new(self.clock);
        let run = async move {
            sleep(delay).await;
            roster.run(table, clock, Logger::root(Discard, o!())).await;
        };
        *task.borrow_mut() = Some(tokio::task::spawn_local(run));
    }

    /// Lets the instances run for a time.
    pub async fn run(&self, time: Duration) {
        sleep(time).await;
    }

    /// Stops an instance without notice.
    pub fn power_off(&self, index: usize) {
        if let Some(task) = self.instances[index].task.borrow_mut().take() {
            task.abort();
        }
        self.set_reply(index, Reply::Silent);
    }

    /// Sets how an instance answers the probes of others.
    pub fn set_reply(&self, index: usize, reply: Reply) {
        self.peers.replies.borrow_mut().insert(probe_address(index), reply);
    }

    /// Returns the number of probes of all instances since their start.
    pub fn probe_count(&self) -> u64 {
        self.peers.probes.get()
    }

    /// Starts an instance anew that knows nothing.
    pub fn restart(&self, index: usize) {
        self.power_off(index);
        *self.instances[index].roster.borrow_mut() = open_roster(index, &self.peers);
        self.instances[index].connection.era.set(None);
        self.start(index, Duration::ZERO);
    }

    /// Sets how the store answers each instance.
    pub fn set_paths(&self, path: impl Fn(usize) -> Path) {
        let instances = self.instances.iter().enumerate();
        instances.for_each(|(index, instance)| instance.connection.path.set(path(index)));
    }

    /// Copies the rows of the store.
    pub fn backup(&self) -> Backup {
        Backup(self.store.rows.borrow().clone(), self.store.revision.get())
    }

    /// Replaces the rows of the store by those of a copy.
    pub fn restore(&self, backup: &Backup) {
        self.store.rows.borrow_mut().clone_from(&backup.0);
        self.store.revision.set(backup.1);
        self.store.era.set(self.store.era.get() + 1);
    }

    /// Returns an instance whose address callers receive.
    pub fn listed_instance(&self) -> usize {
        let addresses = self.addresses(0);
        let listed = (0..self.instances.len()).find(|index| addresses.contains(&address(*index)));
        listed.expect("a listed instance")
    }

    /// Returns the instances that keep a row among the candidates.
    pub fn candidates(&self) -> Vec<usize> {
        let rows = self.store.rows.borrow();
        let names = rows.keys().filter_map(|key| key.strip_prefix("member/instance-"));
        names.filter_map(|number| number.parse().ok()).collect()
    }

    /// Returns the addresses that callers of an instance receive.
    pub fn addresses(&self, index: usize) -> Vec<String> {
        self.instances[index].roster.borrow().addresses()
    }

    /// Returns the calls to the store and the bytes read, of all instances since their start.
    pub fn store_load(&self) -> (u64, u64) {
        let connections = self.instances.iter().map(|instance| &instance.connection);
        connections.fold((0, 0), |(calls, bytes), connection| {
            (calls + connection.calls.get(), bytes + connection.bytes.get())
        })
    }
}

/// Returns the address of an instance.
pub fn address(index: usize) -> String {
    format!("instance-{index}:80")
}

fn probe_address(index: usize) -> String {
    format!("instance-{index}:81")
}

fn open_roster(index: usize, peers: &Rc<Peers>) -> Rc<Roster> {
    let identity = Identity {
        instance: format!("instance-{index}").into(),
        address: address(index),
        probe_port: 81,
        domain: format!("domain-{}", index % DOMAINS).into(),
        capacity_per_s: 100.0,
    };
    Rc::new(Roster::open(identity, Rc::clone(peers) as Rc<dyn Probe>))
}
