//! The instances that share the load, and the addresses that callers receive.
//!
//! Instances write a row at a regular interval and read the rows of all others. A listed instance
//! whose row has not changed between two reads is probed directly; without an answer it counts as
//! dead. A row that does not change for several intervals is stale, whatever the probe says, since
//! its instance has lost the store. Rows do not age during an outage of the store, so an outage
//! makes no instance seem dead; the listed instances are probed meanwhile.
//!
//! In a large fleet only some instances keep a row, those that are listed or would be next
//! ([`candidate`]). The others write a row once a minute, which is only counted.
//!
//! Callers receive the addresses of the listed instances: as few as carry the load with headroom.
//! All instances derive the same order. The largest come first, since all requests of a large
//! account may go to one of them; equally large ones alternate between the failure domains. With
//! few listed instances, the budget of a client account is split into few shares. This matters near
//! its end, and in an outage of the store, when each share lasts the longer the more requests it
//! serves.

pub mod candidate;
pub mod member;
pub mod probe;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use futures::FutureExt;
use futures::future::{join, join_all};
use route::brittle::Rank;
use route::prefix;
use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};
use store::{Commit, Row, Table, Txn};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use self::candidate::{Position, Role};
use self::member::Member;
use self::probe::Probe;

/// Prefix of the keys of the rows; the name of the instance follows it.
const MEMBER: &str = "member/";
/// Prefix of the keys of the rows of instances that keep none of the former kind.
///
/// They are written rarely, and only counted.
const STANDBY: &str = "standby/";
/// Interval at which an instance without a row among the candidates shows that it exists.
const STANDBY_INTERVAL: Duration = Duration::from_mins(1);
/// Age above which a standby row is not counted, and is removed.
const STANDBY_EXPIRY: Duration = Duration::from_secs(150);
/// Interval at which the first listed instance counts the standby rows.
const STANDBY_COUNT_INTERVAL: Duration = Duration::from_secs(20);
/// Silence after which the first listed instance removes a row.
const REMOVE_AFTER: Duration = Duration::from_secs(30);
/// Time after the first read of the rows in which instances that start together get to know each
/// other.
const SETTLE_TIME: Duration = Duration::from_millis(4_040);
/// Most rows that one transaction removes.
const MAX_REMOVED_ROWS: usize = 20;
/// Part of a limit that an upstream states, for all listed instances together.
const LISTED_FRACTION: f64 = 0.7;
/// Part of such a limit for all other instances together; callers with old addresses use them.
const UNLISTED_FRACTION: f64 = 0.2;
/// Interval at which an instance reads all rows, and writes its own if it keeps one.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2_020);
/// Time of a heartbeat after which the listed instances are probed as without the store.
const HEARTBEAT_PATIENCE: Duration = Duration::from_millis(500);
/// Shortest pause between two heartbeats; leaves time for a probe.
const MIN_HEARTBEAT_PAUSE: Duration = Duration::from_millis(1_300);
/// Longest wait for the answer to a probe; leaves room for one lost packet of the handshake.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Wait for answers of listed instances after which others are probed, too.
const PROBE_PATIENCE: Duration = Duration::from_millis(300);
/// Shortest pause before an instance joins; leaves time for both rounds of probes.
const MIN_JOIN_PAUSE: Duration = Duration::from_millis(1_600);
/// Most instances that are probed besides the listed ones.
const MAX_FURTHER_PROBES: usize = 64;
/// Fewest listed instances, so that the loss of one affects few callers.
///
/// There is at least one for each failure domain, too.
const MIN_LISTED: usize = 4;
/// Ratio of the listed capacity to the request rate that leaves headroom for bursts.
const CAPACITY_HEADROOM: f64 = 1.5;
/// Request rate, relative to the mean of listed instances, that counts as overload.
///
/// An overloaded instance closes connections after answers, so that callers choose again.
const MIN_OVERLOAD_RATIO: f64 = 1.4;
/// Requests per second below which no connection is closed for balance.
const MIN_OVERLOAD_PER_SECOND: f64 = 8.0;
/// Most addresses in one answer; callers use no more.
const MAX_ADDRESSES: usize = 64;
/// Weight of a new sample in the smoothed request rate.
const RATE_SAMPLE_WEIGHT: f64 = 0.4;
/// Most rows in one read.
const MAX_ROWS: usize = 500;
/// Most standby rows that are counted.
const MAX_STANDBY_ROWS: usize = 5_000;
/// Longest wait for the heartbeat that writes the row of a leaving instance.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(800);

/// Properties of this instance that its row publishes.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance, which is part of the key of its row.
    pub instance: InstanceId,
    /// Address to which callers connect.
    pub address: String,
    /// Port of [`Self::address`]'s host at which other instances probe this one.
    pub probe_port: u16,
    /// Failure domain; the listed instances are spread over the domains.
    pub domain: DomainId,
    /// Requests per second that the instance can serve at low processor load.
    pub capacity_per_s: f64,
}

/// Content of an instance's row, as stored in JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Record {
    address: String,
    /// Value of [`Identity::probe_port`]; `None` in rows of earlier releases.
    #[serde(default)]
    probe_port: Option<u16>,
    domain: String,
    beat: u64,
    /// Time of the write by the clock of the store, in milliseconds; `None` if it was not known.
    #[serde(default)]
    written_ms: Option<u64>,
    leaving: bool,
    /// Smoothed number of requests per second.
    rate: f64,
    /// Value of [`Identity::capacity_per_s`].
    capacity: f64,
    /// Number of instances without such a row, as the first listed instance has counted them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    standbys: Option<u64>,
}

/// Content of a standby row.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct StandbyRecord {
    /// Time of the write by the clock of the store, in milliseconds.
    written_ms: u64,
}

/// An instance that may be dead.
#[derive(Debug, Clone)]
struct Suspect {
    name: String,
    /// Address at which it is probed.
    address: String,
    /// Whether callers receive its address, or would if a probe had not failed.
    is_listed: bool,
}

impl Record {
    /// Returns the address for probes, `None` if the row states no port for them.
    fn probe_address(&self) -> Option<String> {
        let (host, _) = self.address.rsplit_once(':')?;
        Some(format!("{host}:{}", self.probe_port?))
    }
}

/// All instances, as their rows were last read by this one.
#[derive(Debug)]
pub struct Roster {
    identity: Identity,
    probe: Rc<dyn Probe>,
    members: RefCell<HashMap<String, Member>>,
    /// Time during which the rows could be read; outages of the store are left out.
    observed_time: Cell<Duration>,
    last_read_at: Cell<Option<Duration>>,
    /// When this instance knows enough others to use its part of what they share.
    settled_at: Cell<Option<Duration>>,
    /// Clock of the store when the rows of the next update were read.
    store_time: Cell<Option<Duration>>,
    era: Cell<Option<u64>>,
    /// Whether the store was restored from a copy since the last update.
    was_restored: Cell<bool>,
    heartbeats: Cell<u64>,
    requests_since_heartbeat: Cell<u32>,
    requests_per_second: Cell<f64>,
    measured_at: Cell<Duration>,
    /// Names of the listed instances; empty until rows have been read.
    listed: RefCell<Vec<String>>,
    leaving: Cell<bool>,
    role: Cell<Role>,
    /// When the standby row was last written; `None` if there is none.
    standby_written_at: Cell<Option<Duration>>,
    /// Number of standby rows as counted by this instance, and when.
    standbys: Cell<Option<(u64, Duration)>>,
    /// Starts the next heartbeat before the interval ends.
    heartbeat_now: Notify,
}

impl Roster {
    /// Opens a roster that knows only its own instance.
    #[must_use]
    pub fn open(identity: Identity, probe: Rc<dyn Probe>) -> Self {
        Self {
            identity,
            probe,
            members: RefCell::default(),
            observed_time: Cell::default(),
            last_read_at: Cell::new(None),
            settled_at: Cell::new(None),
            store_time: Cell::new(None),
            era: Cell::new(None),
            was_restored: Cell::new(false),
            heartbeats: Cell::new(0),
            requests_since_heartbeat: Cell::new(0),
            requests_per_second: Cell::new(0.0),
            measured_at: Cell::default(),
            listed: RefCell::default(),
            leaving: Cell::new(false),
            role: Cell::default(),
            standby_written_at: Cell::default(),
            standbys: Cell::default(),
            heartbeat_now: Notify::new(),
        }
    }

    /// Returns the addresses that callers should use.
    #[must_use]
    pub fn addresses(&self) -> Vec<String> {
        let members = self.members.borrow();
        let listed = self.listed.borrow();
        let known = listed.iter().filter_map(|name| members.get(name));
        let records = known.filter(|member| member.is_verified()).map(|member| &member.record);
        let mut addresses: Vec<String> = records.map(|record| record.address.clone()).collect();
        if self.leaving.get() && addresses.len() > 1 {
            addresses.retain(|address| *address != self.identity.address);
        }
        if addresses.is_empty() {
            addresses.push(self.identity.address.clone());
        }
        addresses.truncate(MAX_ADDRESSES);
        addresses
    }

    /// Returns the number of listed instances, 0 while no rows have been read.
    #[must_use]
    pub fn listed_count(&self) -> u64 {
        self.listed.borrow().len() as u64
    }

    /// Returns the names of the listed instances.
    #[must_use]
    pub fn listed_instances(&self) -> Vec<InstanceId> {
        self.listed.borrow().iter().map(|name| name.as_str().into()).collect()
    }

    /// Returns the names of the other live instances that keep a row and stay.
    #[must_use]
    pub fn live_instances(&self) -> Vec<InstanceId> {
        let members = self.members.borrow();
        let ranked = self.ranked(&members).into_iter().map(|(name, _)| name);
        let others = ranked.filter(|name| ***name != *self.identity.instance);
        others
            .filter(|name| members[*name].is_verified())
            .map(|name| name.as_str().into())
            .collect()
    }

    /// Returns the IP address of an instance, `None` if its row is not known.
    #[must_use]
    pub fn host(&self, instance: &str) -> Option<IpAddr> {
        let members = self.members.borrow();
        let (host, _) = members.get(instance)?.record.address.rsplit_once(':')?;
        host.parse().ok()
    }

    /// Returns true if an instance is known and neither its row nor a probe shows it to be off.
    #[must_use]
    pub fn is_instance_alive(&self, instance: &str) -> bool {
        self.members.borrow().get(instance).is_some_and(|member| self.is_alive(member))
    }

    /// Returns true if this instance is listed, or if no rows have been read.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        let listed = self.listed.borrow();
        listed.is_empty() || listed.iter().any(|name| **name == *self.identity.instance)
    }

    /// Returns how many instances share the limits on connections and retries.
    ///
    /// These are the listed ones. An instance that is not listed gets few requests and counts all
    /// live instances, so that its part is smaller.
    #[must_use]
    pub fn sharing_instances(&self) -> u64 {
        if self.is_listed() { self.listed_count().max(1) } else { self.alive_count().max(1) }
    }

    /// Returns the number of live instances, with or without a row among the candidates.
    fn alive_count(&self) -> u64 {
        let members = self.members.borrow();
        let alive = members.values().filter(|member| self.is_alive(member));
        let (mut count, mut standbys) = (0, 0);
        for member in alive {
            count += 1;
            standbys = standbys.max(member.record.standbys.unwrap_or_default());
        }
        count + standbys
    }

    /// Returns the part of a limit for all instances that this one may use, 0 to 1.
    #[must_use]
    pub fn limit_share(&self) -> f64 {
        let alive = self.alive_count();
        let listed = self.listed_count();
        let to_f64 = |count: u64| f64::from(u32::try_from(count.max(1)).unwrap_or(u32::MAX));
        if self.is_listed() {
            LISTED_FRACTION / to_f64(listed)
        } else {
            UNLISTED_FRACTION / to_f64(alive.saturating_sub(listed))
        }
    }

    /// Returns the number of live instances that are not listed, at least 1.
    #[must_use]
    pub fn unlisted_count(&self) -> u64 {
        self.alive_count().saturating_sub(self.listed_count()).max(1)
    }

    /// Returns true if this instance knows enough others to use its part of what they share.
    ///
    /// One that has just started knows none, and of several that start together each would take
    /// itself for the only one.
    #[must_use]
    pub fn is_settled(&self, now: Duration) -> bool {
        self.settled_at.get().is_some_and(|at| now >= at)
    }

    /// Returns the rank of this instance among the listed ones, which differs for each upstream.
    ///
    /// Instances that are not listed have no rank; callers with old addresses use them.
    #[must_use]
    pub fn rank(&self, upstream: &str) -> Rank {
        let listed = self.listed.borrow();
        let upstream_hash = prefix::extend_hash(prefix::mix(13), upstream.as_bytes());
        let weight = |name: &str| prefix::mix(prefix::extend_hash(upstream_hash, name.as_bytes()));
        let own = weight(&self.identity.instance);
        let is_listed =
            listed.is_empty() || listed.iter().any(|name| **name == *self.identity.instance);
        let position = listed.iter().filter(|name| weight(name) > own).count();
        Rank { position: is_listed.then_some(position), instances: listed.len().max(1) }
    }

    /// Returns the part of connections to close after an answer, 0 to 1.
    ///
    /// Callers reuse an open connection before they open another, so that all requests of a large
    /// caller may reach one instance. Callers whose connection is closed choose again and spread.
    #[must_use]
    pub fn close_ratio(&self) -> f64 {
        let members = self.members.borrow();
        let listed = self.listed.borrow();
        let rates = listed.iter().filter_map(|name| members.get(name)).map(|one| one.record.rate);
        let count = f64::from(u32::try_from(listed.len().max(1)).unwrap_or(u32::MAX));
        let mean = rates.sum::<f64>() / count;
        let own_rate = self.requests_per_second.get();
        if own_rate < MIN_OVERLOAD_PER_SECOND || own_rate < MIN_OVERLOAD_RATIO * mean {
            0.0
        } else {
            1.0 - mean / own_rate
        }
    }

    /// Counts a request for this instance's request rate.
    pub fn count_request(&self) {
        self.requests_since_heartbeat.set(self.requests_since_heartbeat.get().saturating_add(1));
    }

    /// Selects the instances whose addresses callers receive.
    fn select_listed(&self) -> Vec<String> {
        let members = self.members.borrow();
        let alive = members.values().filter(|member| self.is_alive(member));
        let rate: f64 = alive.map(|member| member.record.rate).sum();
        let ranked = self.ranked(&members);
        let domains: HashSet<&str> =
            ranked.iter().map(|(_, record)| record.domain.as_str()).collect();
        let min_listed = MIN_LISTED.max(domains.len());
        let mut listed = Vec::new();
        let mut capacity = 0.0;
        for (name, record) in ranked {
            if listed.len() >= min_listed && capacity >= CAPACITY_HEADROOM * rate {
                break;
            }
            capacity += record.capacity;
            listed.push(name.clone());
        }
        listed
    }

    /// Returns the instances that may be listed, in the order in which they are.
    fn ranked<'a>(&self, members: &'a HashMap<String, Member>) -> Vec<(&'a String, &'a Record)> {
        let alive = members.iter().filter(|(_, member)| self.is_alive(member));
        let candidates = alive.filter(|(_, member)| !member.record.leaving);
        rank_members(candidates.map(|(name, member)| (name, &member.record)).collect())
    }

    fn is_alive(&self, member: &Member) -> bool {
        member.is_alive(self.observed_time.get())
    }

    /// Notes the era of the store from which the rows of the next update were read.
    pub fn enter_era(&self, era: Option<u64>) {
        let last = self.era.replace(era);
        self.was_restored.set(self.was_restored.get() || last.is_some_and(|_| last != era));
    }

    /// Notes the clock of the store when the rows of the next update were read.
    pub fn set_store_time(&self, time: Option<Duration>) {
        self.store_time.set(time);
    }

    /// Replaces the known rows by `rows`, which were read at `now`.
    pub fn update(&self, rows: &[Row], now: Duration) {
        let elapsed = self.last_read_at.replace(Some(now)).map(|at| now.saturating_sub(at));
        // The step is capped, so that an outage of the store does not age the rows.
        let step = elapsed.unwrap_or_default().min(HEARTBEAT_INTERVAL * 2);
        let observed_time = self.observed_time.get() + step;
        self.observed_time.set(observed_time);
        let was_restored = self.was_restored.take();
        let mut members = self.members.borrow_mut();
        for row in rows {
            let Some(name) = row.key.strip_prefix(MEMBER) else { continue };
            // A malformed row is skipped; a record read before from its key goes stale.
            let Ok(record) = Record::deserialize(&row.value) else { continue };
            let age = record.written_ms.and_then(|written_ms| {
                let written_at = Duration::from_millis(written_ms);
                Some(self.store_time.get()?.saturating_sub(written_at))
            });
            match members.get_mut(name) {
                // A restored row is older than the known one, and shows no sign of life.
                Some(known) if was_restored || known.revision == row.revision => {
                    known.keep(record, row.revision);
                }
                Some(known) => known.renew(record, row.revision, observed_time, age),
                None => {
                    let member = Member::open(record, row.revision, observed_time, age);
                    members.insert(name.to_owned(), member);
                }
            }
        }
        // Rows that a restore has lost are written again within one heartbeat.
        let read: HashSet<&str> =
            rows.iter().filter_map(|row| row.key.strip_prefix(MEMBER)).collect();
        members.retain(|name, _| was_restored || read.contains(name.as_str()));
        drop(members);
        *self.listed.borrow_mut() = self.select_listed();
        if self.settled_at.get().is_none() {
            // Rows of a fleet that runs already, or did before all instances were restarted.
            let is_known = self.listed_count() >= MIN_LISTED as u64;
            self.settled_at.set(Some(if is_known { now } else { now + SETTLE_TIME }));
        }
    }

    /// Writes this instance's row and reads all rows until the thread ends.
    pub async fn run(self: Rc<Self>, table: Rc<dyn Table>, clock: Arc<dyn Clock>, log: Logger) {
        let mut is_down = false;
        loop {
            let started_at = clock.now();
            let heartbeat = self.heartbeat(&*table, &*clock);
            tokio::pin!(heartbeat);
            let result = match timeout(HEARTBEAT_PATIENCE, &mut heartbeat).await {
                Ok(result) => result,
                Err(_elapsed) => join(heartbeat, self.probe_suspects(true, &*clock, &log)).await.0,
            };
            match &result {
                Err(error) if !is_down => {
                    warn!(log, "store lost"; "dependency" => "member rows", "error" => %error);
                }
                Ok(()) if is_down => info!(log, "store regained"; "dependency" => "member rows"),
                _ => {}
            }
            is_down = result.is_err();
            self.log_changes(&log);
            // A planned stop ends the wait, so that the row marks the instance as leaving at once.
            let elapsed = clock.now().saturating_sub(started_at);
            let usual = HEARTBEAT_INTERVAL.saturating_sub(elapsed).max(MIN_HEARTBEAT_PAUSE);
            let pause =
                self.role.get().pause(self.min_join_pause(), rand::random()).unwrap_or(usual);
            let next = timeout(pause, self.heartbeat_now.notified());
            let probing = self.probe_suspects(is_down, &*clock, &log);
            tokio::select! {
                _ = next => {}
                () = probing.then(|()| std::future::pending::<()>()) => {}
            }
        }
    }

    /// Returns the shortest pause of an instance that wants to join.
    ///
    /// The next heartbeat ends the probes, so that they need time unless there is none to probe.
    fn min_join_pause(&self) -> Duration {
        let is_alone = self.members.borrow().is_empty();
        if is_alone { Duration::ZERO } else { MIN_JOIN_PAUSE }
    }

    /// Probes the listed instances that may be dead, and selects others in place of those that are.
    ///
    /// The others must not be dead either. They are probed too unless the listed ones answer fast.
    /// Without the store any instance may be dead.
    async fn probe_suspects(&self, is_store_down: bool, clock: &dyn Clock, log: &Logger) {
        let (listed, others): (Vec<_>, Vec<_>) =
            self.suspects(is_store_down).into_iter().partition(|suspect| suspect.is_listed);
        if listed.is_empty() {
            return;
        }
        let started_at = clock.now();
        let probe = |suspect: Suspect| async move {
            let is_ready = self.probe.is_ready(&suspect.address);
            (suspect, timeout(PROBE_TIMEOUT, is_ready).await == Ok(true))
        };
        let first = join_all(listed.into_iter().map(probe));
        tokio::pin!(first);
        let answers = match timeout(PROBE_PATIENCE, &mut first).await {
            Ok(answers) if answers.iter().all(|(_, is_ready)| *is_ready) => answers,
            result => {
                let others = join_all(others.into_iter().take(MAX_FURTHER_PROBES).map(probe));
                let (first, others) = match result {
                    Ok(answers) => (answers, others.await),
                    Err(_elapsed) => join(first, others).await,
                };
                [first, others].concat()
            }
        };
        // This instance stood still itself, and may have missed the answers.
        if clock.now().saturating_sub(started_at) > PROBE_TIMEOUT * 2 {
            return;
        }
        let failures = answers.iter().filter(|(_, is_ready)| !is_ready).count();
        // Without the store and without most of the others, this instance is the one cut off.
        if is_store_down && failures * 2 > answers.len() {
            return;
        }
        let mut members = self.members.borrow_mut();
        for (suspect, is_ready) in answers {
            if let Some(member) = members.get_mut(&suspect.name) {
                member.record_probe(is_ready);
            }
        }
        drop(members);
        *self.listed.borrow_mut() = self.select_listed();
        self.log_changes(log);
    }

    /// Returns the instances that may be dead and can be probed, in the order of their listing.
    ///
    /// Those whose last probe failed come first.
    fn suspects(&self, is_store_down: bool) -> Vec<Suspect> {
        let members = self.members.borrow();
        let listed = self.listed.borrow();
        let observed_time = self.observed_time.get();
        let failed = members
            .iter()
            .filter(|(_, member)| member.has_failed_probe() && !member.is_stale(observed_time))
            .map(|(name, _)| name);
        let silent = self.ranked(&members).into_iter().map(|(name, _)| name);
        let silent = silent.filter(|name| is_store_down || members[*name].needs_probe());
        let suspect = |name: &String| {
            let member = &members[name];
            Some(Suspect {
                name: name.clone(),
                address: member.record.probe_address()?,
                is_listed: member.has_failed_probe() || listed.contains(name),
            })
        };
        let others = failed.chain(silent).filter(|name| ***name != *self.identity.instance);
        others.filter_map(suspect).collect()
    }

    /// Logs each instance that has become dead, or alive again, since the last call.
    fn log_changes(&self, log: &Logger) {
        let observed_time = self.observed_time.get();
        for (name, member) in self.members.borrow_mut().iter_mut() {
            let is_alive = member.is_alive(observed_time);
            if std::mem::replace(&mut member.was_alive, is_alive) == is_alive {
                continue;
            }
            if is_alive {
                info!(log, "instance regained"; "instance" => name);
            } else {
                let cause = if member.has_failed_probe() { "no answer" } else { "stale row" };
                warn!(log, "instance lost"; "instance" => name, "cause" => cause,
                    "silent_ms" => millis(member.silence(observed_time)));
            }
        }
    }

    async fn heartbeat(&self, table: &dyn Table, clock: &dyn Clock) -> Result<(), store::Error> {
        self.heartbeats.set(self.heartbeats.get() + 1);
        self.measure_rate(clock.now());
        if self.role.get() == Role::Candidate {
            self.write_row(table).await?;
        }
        let rows = table.scan(MEMBER.to_owned(), String::new(), MAX_ROWS).await?;
        self.enter_era(table.era());
        self.set_store_time(table.now());
        self.update(&rows, clock.now());
        let found_row = self.members.borrow().contains_key(&*self.identity.instance);
        let last = self.role.get();
        let role = last.after_read(found_row, self.keeps_row());
        self.role.set(role);
        match role {
            Role::Candidate if last != Role::Candidate => self.write_row(table).await?,
            Role::Candidate if self.is_first_listed() => {
                self.remove_silent_rows(table).await?;
                self.count_standbys(table, clock.now()).await?;
            }
            Role::Standby if found_row || self.is_standby_row_due(clock.now()) => {
                self.write_standby_row(table, clock.now()).await?;
            }
            _ => {}
        }
        Ok(())
    }

    /// Returns true if this instance should keep a row among the candidates.
    fn keeps_row(&self) -> bool {
        let members = self.members.borrow();
        let own = self.record(None);
        let mut candidates: Vec<(&String, &Record)> = members
            .iter()
            .filter(|(name, member)| {
                ***name != *self.identity.instance
                    && self.is_alive(member)
                    && !member.record.leaving
            })
            .map(|(name, member)| (name, &member.record))
            .collect();
        let own_name = self.identity.instance.to_string();
        candidates.push((&own_name, &own));
        let ranked = rank_members(candidates);
        let before = ranked.iter().take_while(|(name, _)| ***name != *own_name);
        let mut position = Position { overall: 0, in_domain: 0 };
        for (_, record) in before {
            position.overall += 1;
            position.in_domain += usize::from(record.domain == *self.identity.domain);
        }
        position.keeps_row(self.listed.borrow().len(), self.role.get() == Role::Candidate)
    }

    fn record(&self, store_now: Option<Duration>) -> Record {
        Record {
            address: self.identity.address.clone(),
            probe_port: Some(self.identity.probe_port),
            domain: self.identity.domain.to_string(),
            beat: self.heartbeats.get(),
            written_ms: store_now.map(millis),
            leaving: self.leaving.get(),
            // Further digits would only lengthen the rows that all instances read.
            rate: (self.requests_per_second.get() * 100.0).round() / 100.0,
            capacity: self.identity.capacity_per_s,
            standbys: self.standbys.get().map(|(count, _)| count),
        }
    }

    /// Writes the row of a candidate, in place of a standby row.
    async fn write_row(&self, table: &dyn Table) -> Result<(), store::Error> {
        let record = self.record(table.now());
        let mut txn = Txn::default();
        txn.put(format!("{MEMBER}{}", self.identity.instance), &record);
        if self.standby_written_at.take().is_some() {
            txn.delete(format!("{STANDBY}{}", self.identity.instance));
        }
        if let Commit::Applied(revision) = table.commit(txn).await? {
            let now = self.observed_time.get();
            let mut members = self.members.borrow_mut();
            members
                .entry(self.identity.instance.to_string())
                .and_modify(|known| known.renew(record.clone(), revision, now, None))
                .or_insert_with(|| Member::open(record, revision, now, Some(Duration::ZERO)));
            drop(members);
            *self.listed.borrow_mut() = self.select_listed();
        }
        Ok(())
    }

    /// Returns true if the standby row has to be written again.
    fn is_standby_row_due(&self, now: Duration) -> bool {
        let written_at = self.standby_written_at.get();
        written_at.is_none_or(|at| now.saturating_sub(at) >= STANDBY_INTERVAL)
    }

    /// Writes the standby row, in place of a row among the candidates.
    async fn write_standby_row(
        &self,
        table: &dyn Table,
        now: Duration,
    ) -> Result<(), store::Error> {
        let mut txn = Txn::default();
        let record = StandbyRecord { written_ms: table.now().map_or(0, millis) };
        txn.put(format!("{STANDBY}{}", self.identity.instance), &record);
        txn.delete(format!("{MEMBER}{}", self.identity.instance));
        table.commit(txn).await?;
        self.standby_written_at.set(Some(now));
        self.standbys.set(None);
        self.members.borrow_mut().remove(&*self.identity.instance);
        Ok(())
    }

    /// Returns true if this instance comes first of the listed ones.
    fn is_first_listed(&self) -> bool {
        self.listed.borrow().first().is_some_and(|name| **name == *self.identity.instance)
    }

    /// Removes rows of candidates that have been silent for long.
    ///
    /// An instance that comes back meanwhile has changed its row, and the removal fails.
    async fn remove_silent_rows(&self, table: &dyn Table) -> Result<(), store::Error> {
        let mut txn = Txn::default();
        let now = self.observed_time.get();
        for (name, member) in &*self.members.borrow() {
            if member.silence(now) >= REMOVE_AFTER && txn.writes.len() < MAX_REMOVED_ROWS {
                txn.check(format!("{MEMBER}{name}"), member.revision);
                txn.delete(format!("{MEMBER}{name}"));
            }
        }
        if !txn.writes.is_empty() {
            table.commit(txn).await?;
        }
        Ok(())
    }

    /// Counts the standby rows at times, and removes those that are too old.
    async fn count_standbys(&self, table: &dyn Table, now: Duration) -> Result<(), store::Error> {
        let counted_at = self.standbys.get().map(|(_, at)| at);
        let is_recent =
            counted_at.is_some_and(|at| now.saturating_sub(at) < STANDBY_COUNT_INTERVAL);
        // While there are fewer candidates than wanted, each instance becomes one.
        if is_recent || self.members.borrow().len() < candidate::MIN_CANDIDATES {
            return Ok(());
        }
        let rows = table.scan(STANDBY.to_owned(), String::new(), MAX_STANDBY_ROWS).await?;
        let oldest = table.now().map_or(0, millis).saturating_sub(millis(STANDBY_EXPIRY));
        let is_expired = |row: &Row| {
            let record = StandbyRecord::deserialize(&row.value);
            record.is_ok_and(|record| record.written_ms < oldest)
        };
        let expired: Vec<&Row> = rows.iter().filter(|row| is_expired(row)).collect();
        let count = rows.len() - expired.len();
        self.standbys.set(Some((count as u64, now)));
        let mut txn = Txn::default();
        for row in expired.iter().take(MAX_REMOVED_ROWS) {
            txn.check(row.key.clone(), row.revision);
            txn.delete(row.key.clone());
        }
        if !txn.writes.is_empty() {
            table.commit(txn).await?;
        }
        Ok(())
    }

    fn measure_rate(&self, now: Duration) {
        let seconds = now.saturating_sub(self.measured_at.replace(now)).as_secs_f64();
        let sample = f64::from(self.requests_since_heartbeat.take())
            / seconds.max(HEARTBEAT_INTERVAL.as_secs_f64() / 2.0);
        let rate = self.requests_per_second.get();
        self.requests_per_second.set(rate + RATE_SAMPLE_WEIGHT * (sample - rate));
    }

    /// Marks this instance as leaving, and waits until the next heartbeat starts.
    ///
    /// That heartbeat writes the mark. The wait ends after `LEAVE_TIMEOUT` in any case.
    pub async fn leave(&self) {
        self.leaving.set(true);
        let heartbeats = self.heartbeats.get();
        self.heartbeat_now.notify_one();
        let written = async {
            while self.heartbeats.get() == heartbeats {
                sleep(Duration::from_millis(20)).await;
            }
        };
        // If the store is unreachable, the other instances notice the missing heartbeats.
        drop(timeout(LEAVE_TIMEOUT, written).await);
    }
}

/// Orders instances by capacity class, and spreads equal ones over the failure domains.
fn rank_members<'a>(mut members: Vec<(&'a String, &'a Record)>) -> Vec<(&'a String, &'a Record)> {
    let weight = |name: &str| prefix::mix(prefix::extend_hash(prefix::mix(11), name.as_bytes()));
    members.sort_unstable_by_key(|(name, _)| weight(name));
    let mut counts: HashMap<(&str, i32), usize> = HashMap::new();
    let mut ranked: Vec<_> = members
        .into_iter()
        .map(|member| {
            let (domain, capacity_class) =
                (member.1.domain.as_str(), capacity_class(member.1.capacity));
            let round = counts.entry((domain, capacity_class)).or_default();
            *round += 1;
            ((-capacity_class, *round, weight(domain)), member)
        })
        .collect();
    ranked.sort_by_key(|(key, _)| *key);
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Returns the binary logarithm of a capacity, rounded down.
///
/// Nearly equal capacities mostly count as equal.
#[expect(clippy::cast_possible_truncation, reason = "the logarithm of an f64 is below 1025")]
fn capacity_class(capacity: f64) -> i32 {
    capacity.max(1.0).log2().floor() as i32
}
