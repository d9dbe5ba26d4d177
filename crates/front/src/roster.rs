//! The instances that share the work, and the addresses that callers are given.
//!
//! Each instance writes a row at a regular interval and reads the rows of all. A row that does
//! not change for several intervals belongs to an instance that is gone. While the store is out
//! nothing is learned, so that nobody is taken for gone either.
//!
//! Callers are given the addresses of as few instances as carry the load with room to spare, in
//! an order that all instances derive alike: the largest first, since all requests of a large
//! account may go to one of them, and spread over the failure domains. The budgets of the client
//! accounts are then spread over few shares, which matters most near their end.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use base::prelude::*;
use route::prefix;
use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};
use store::{Row, Table, Txn};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// First part of the keys of the rows.
const MEMBER: &str = "member/";
/// Interval at which an instance writes its row and reads the others.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Age of an unchanged row at which its instance is taken for gone.
const STALE_AFTER: Duration = Duration::from_secs(7);
/// Fewest instances that callers are given, so that the loss of one is a small part.
const LISTED_MIN: usize = 4;
/// Fewest instances that callers are given, as a divisor of all.
const LISTED_DIVISOR: usize = 12;
/// Room for bursts: capacity of the listed instances in relation to the rate of requests.
const CAPACITY_HEADROOM: f64 = 1.5;
/// Rate of requests in relation to the mean of the listed instances from which on connections
/// are closed after an answer, so that their callers choose again.
const OVERLOAD_RATIO_MIN: f64 = 1.4;
/// Rate of requests, per second, below which no connection is closed for balance.
const OVERLOAD_RATE_MIN: f64 = 8.0;
/// Addresses in one answer at most; callers use no more.
const ADDRESSES_MAX: usize = 64;
/// Weight of a new measurement in the rate of requests.
const RATE_SAMPLE_WEIGHT: f64 = 0.4;
/// Rows that are read at once.
const ROWS_MAX: usize = 500;
/// Longest wait for the row of a planned stop.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(800);

/// This instance as the others see it.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name.
    pub instance: InstanceId,
    /// Address for callers.
    pub address: String,
    /// Failure domain.
    pub domain: DomainId,
    /// Requests that it can serve in a second at a low load of its processor.
    pub capacity_per_s: f64,
}

/// Content of an instance's row.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Record {
    address: String,
    domain: String,
    beat: u64,
    leaving: bool,
    /// Requests in a second.
    rate: f64,
    capacity: f64,
}

#[derive(Debug, Clone)]
struct Member {
    record: Record,
    revision: u64,
    changed_at: Duration,
}

/// The instances as this one knows them.
#[derive(Debug)]
pub struct Roster {
    identity: Identity,
    members: RefCell<HashMap<String, Member>>,
    /// Time during which the rows could be read.
    observed_time: Cell<Duration>,
    last_read_at: Cell<Option<Duration>>,
    heartbeats: Cell<u64>,
    /// Requests since the last beat.
    requests_since_heartbeat: Cell<u32>,
    requests_per_second: Cell<f64>,
    measured_at: Cell<Duration>,
    listed: RefCell<Vec<String>>,
    leaving: Cell<bool>,
    heartbeat_now: Notify,
}

impl Roster {
    /// Opens a roster that knows only its own instance.
    #[must_use]
    pub fn open(identity: Identity) -> Self {
        Self {
            identity,
            members: RefCell::default(),
            observed_time: Cell::default(),
            last_read_at: Cell::new(None),
            heartbeats: Cell::new(0),
            requests_since_heartbeat: Cell::new(0),
            requests_per_second: Cell::new(0.0),
            measured_at: Cell::default(),
            listed: RefCell::default(),
            leaving: Cell::new(false),
            heartbeat_now: Notify::new(),
        }
    }

    /// Returns the addresses that callers should use.
    #[must_use]
    pub fn addresses(&self) -> Vec<String> {
        let members = self.members.borrow();
        let listed = self.listed.borrow();
        let records =
            listed.iter().filter_map(|name| members.get(name)).map(|member| &member.record);
        let mut addresses: Vec<String> = records.map(|record| record.address.clone()).collect();
        if self.leaving.get() && addresses.len() > 1 {
            addresses.retain(|address| *address != self.identity.address);
        }
        if addresses.is_empty() {
            addresses.push(self.identity.address.clone());
        }
        addresses.truncate(ADDRESSES_MAX);
        addresses
    }

    /// Returns how many instances callers are given, 0 while that is not known.
    #[must_use]
    pub fn listed_count(&self) -> u64 {
        self.listed.borrow().len() as u64
    }

    /// Returns true if callers are given this instance.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        let listed = self.listed.borrow();
        listed.is_empty() || listed.iter().any(|name| **name == *self.identity.instance)
    }

    /// Returns how many instances share the limits on what all of them send.
    ///
    /// An instance that callers are not given gets few requests and takes a smaller part.
    #[must_use]
    pub fn sharing_instances(&self) -> u64 {
        let members = self.members.borrow();
        let alive = members.values().filter(|member| self.is_alive(member)).count() as u64;
        if self.is_listed() { self.listed_count().max(1) } else { alive.max(1) }
    }

    /// Returns the part of connections that should be closed after an answer.
    ///
    /// Callers use an open connection before they open another, so that all requests of a large
    /// caller may end up at one instance. Those that have to choose again spread out.
    #[must_use]
    pub fn close_ratio(&self) -> f64 {
        let members = self.members.borrow();
        let listed = self.listed.borrow();
        let rates = listed.iter().filter_map(|name| members.get(name)).map(|one| one.record.rate);
        let count = f64::from(u32::try_from(listed.len().max(1)).unwrap_or(u32::MAX));
        let mean = rates.sum::<f64>() / count;
        let own_rate = self.requests_per_second.get();
        if own_rate < OVERLOAD_RATE_MIN || own_rate < OVERLOAD_RATIO_MIN * mean {
            0.0
        } else {
            1.0 - mean / own_rate
        }
    }

    /// Counts a request.
    pub fn count_request(&self) {
        self.requests_since_heartbeat.set(self.requests_since_heartbeat.get().saturating_add(1));
    }

    /// Chooses the instances that callers are given.
    fn select_listed(&self) -> Vec<String> {
        let members = self.members.borrow();
        let alive = members.iter().filter(|(_, member)| self.is_alive(member));
        let rate: f64 = alive.clone().map(|(_, member)| member.record.rate).sum();
        let candidates: Vec<(&String, &Record)> = alive
            .filter(|(_, member)| !member.record.leaving)
            .map(|(name, member)| (name, &member.record))
            .collect();
        let listed_min = LISTED_MIN.max(candidates.len().div_ceil(LISTED_DIVISOR));
        let mut listed = Vec::new();
        let mut capacity = 0.0;
        for (name, record) in rank_members(candidates) {
            if listed.len() >= listed_min && capacity >= CAPACITY_HEADROOM * rate {
                break;
            }
            capacity += record.capacity;
            listed.push(name.clone());
        }
        listed
    }

    fn is_alive(&self, member: &Member) -> bool {
        self.observed_time.get().saturating_sub(member.changed_at) < STALE_AFTER
    }

    /// Takes in the rows that were read at a time.
    pub fn update(&self, rows: &[Row], now: Duration) {
        let elapsed = self.last_read_at.replace(Some(now)).map(|at| now.saturating_sub(at));
        // The time of an outage does not age the rows.
        let step = elapsed.unwrap_or_default().min(HEARTBEAT_INTERVAL * 2);
        let observed_time = self.observed_time.get() + step;
        self.observed_time.set(observed_time);
        let mut members = self.members.borrow_mut();
        for row in rows {
            let Some(name) = row.key.strip_prefix(MEMBER) else { continue };
            // A row of another form belongs to no instance that callers could use.
            let Ok(record) = serde_json::from_value::<Record>(row.value.clone()) else { continue };
            let known = members.get(name).filter(|known| known.revision == row.revision);
            let changed_at = known.map_or(observed_time, |known| known.changed_at);
            members.insert(name.to_owned(), Member { record, revision: row.revision, changed_at });
        }
        members.retain(|name, _| rows.iter().any(|row| row.key[MEMBER.len()..] == **name));
        drop(members);
        *self.listed.borrow_mut() = self.select_listed();
    }

    /// Writes and reads the rows for as long as the instance runs.
    pub async fn run(self: Rc<Self>, table: Rc<dyn Table>, clock: Arc<dyn Clock>, log: Logger) {
        let mut is_down = false;
        loop {
            let result = self.heartbeat(&*table, &*clock).await;
            match &result {
                Err(error) if !is_down => {
                    warn!(log, "store lost"; "dependency" => "member rows", "error" => %error);
                }
                Ok(()) if is_down => info!(log, "store regained"; "dependency" => "member rows"),
                _ => {}
            }
            is_down = result.is_err();
            // A planned stop is written at once.
            drop(timeout(HEARTBEAT_INTERVAL, self.heartbeat_now.notified()).await);
        }
    }

    async fn heartbeat(&self, table: &dyn Table, clock: &dyn Clock) -> Result<(), store::Error> {
        self.heartbeats.set(self.heartbeats.get() + 1);
        self.measure_rate(clock.now());
        let record = Record {
            address: self.identity.address.clone(),
            domain: self.identity.domain.to_string(),
            beat: self.heartbeats.get(),
            leaving: self.leaving.get(),
            rate: self.requests_per_second.get(),
            capacity: self.identity.capacity_per_s,
        };
        let mut txn = Txn::default();
        txn.put(format!("{MEMBER}{}", self.identity.instance), &record);
        table.commit(txn).await?;
        let rows = table.scan(MEMBER.to_owned(), String::new(), ROWS_MAX).await?;
        self.update(&rows, clock.now());
        Ok(())
    }

    fn measure_rate(&self, now: Duration) {
        let seconds = now.saturating_sub(self.measured_at.replace(now)).as_secs_f64();
        let sample = f64::from(self.requests_since_heartbeat.take())
            / seconds.max(HEARTBEAT_INTERVAL.as_secs_f64() / 2.0);
        let rate = self.requests_per_second.get();
        self.requests_per_second.set(rate + RATE_SAMPLE_WEIGHT * (sample - rate));
    }

    /// Takes this instance out of the addresses.
    pub async fn leave(&self) {
        self.leaving.set(true);
        let heartbeats = self.heartbeats.get();
        self.heartbeat_now.notify_one();
        let written = async {
            while self.heartbeats.get() == heartbeats {
                sleep(Duration::from_millis(20)).await;
            }
        };
        // With the store out the others learn it from the missing beats.
        drop(timeout(LEAVE_TIMEOUT, written).await);
    }
}

/// Orders instances so that each start of the order holds the largest ones, spread over the
/// failure domains.
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

/// Returns the power of two below a capacity, so that nearly equal instances count as equal.
#[expect(clippy::cast_possible_truncation, reason = "a logarithm is small")]
fn capacity_class(capacity: f64) -> i32 {
    capacity.max(1.0).log2().floor() as i32
}
