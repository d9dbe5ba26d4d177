//! The instances that share the load, and the addresses that callers receive.
//!
//! Each instance writes a row at a regular interval and reads the rows of all. A row that does not
//! change for several intervals is stale, and its instance counts as dead. Rows do not age during
//! an outage of the store, so an outage makes no instance seem dead.
//!
//! Callers receive the addresses of the listed instances: as few as carry the load with headroom.
//! All instances derive the same order. The largest come first, since all requests of a large
//! account may go to one of them; equally large ones alternate between the failure domains. With
//! few listed instances, the budget of a client account is split into few shares, which matters
//! most when it is nearly used up.

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

/// Prefix of the keys of the rows; the name of the instance follows it.
const MEMBER: &str = "member/";
/// Part of a limit that an upstream states, for all listed instances together.
const LISTED_FRACTION: f64 = 0.7;
/// Part of such a limit for all other instances together; callers with old addresses use them.
const UNLISTED_FRACTION: f64 = 0.2;
/// Interval at which an instance writes its row and reads all rows.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Age of an unchanged row at which its instance counts as dead.
const STALE_AFTER: Duration = Duration::from_secs(7);
/// Fewest listed instances, so that the loss of one affects few callers.
const MIN_LISTED: usize = 4;
/// At least one in this many of the live, not leaving instances is listed.
const LISTED_DIVISOR: usize = 12;
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
/// Longest wait for the heartbeat that writes the row of a leaving instance.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(800);

/// Properties of this instance that its row publishes.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance, which is part of the key of its row.
    pub instance: InstanceId,
    /// Address to which callers connect.
    pub address: String,
    /// Failure domain; the listed instances are spread over the domains.
    pub domain: DomainId,
    /// Requests per second that the instance can serve at low processor load.
    pub capacity_per_s: f64,
}

/// Content of an instance's row, as stored in JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Record {
    address: String,
    domain: String,
    beat: u64,
    leaving: bool,
    /// Smoothed number of requests per second.
    rate: f64,
    /// Value of [`Identity::capacity_per_s`].
    capacity: f64,
}

#[derive(Debug, Clone)]
struct Member {
    record: Record,
    revision: u64,
    /// Value of `Roster::observed_time` when the revision last changed.
    changed_at: Duration,
}

/// All instances, as their rows were last read by this one.
#[derive(Debug)]
pub struct Roster {
    identity: Identity,
    members: RefCell<HashMap<String, Member>>,
    /// Time during which the rows could be read; outages of the store are left out.
    observed_time: Cell<Duration>,
    last_read_at: Cell<Option<Duration>>,
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
    /// Starts the next heartbeat before the interval ends.
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
            era: Cell::new(None),
            was_restored: Cell::new(false),
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
        addresses.truncate(MAX_ADDRESSES);
        addresses
    }

    /// Returns the number of listed instances, 0 while no rows have been read.
    #[must_use]
    pub fn listed_count(&self) -> u64 {
        self.listed.borrow().len() as u64
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
        let members = self.members.borrow();
        let alive = members.values().filter(|member| self.is_alive(member)).count() as u64;
        if self.is_listed() { self.listed_count().max(1) } else { alive.max(1) }
    }

    /// Returns the part of a limit for all instances that this one may use, 0 to 1.
    #[must_use]
    pub fn limit_share(&self) -> f64 {
        let members = self.members.borrow();
        let alive = members.values().filter(|member| self.is_alive(member)).count() as u64;
        let listed = self.listed_count();
        let to_f64 = |count: u64| f64::from(u32::try_from(count.max(1)).unwrap_or(u32::MAX));
        if self.is_listed() {
            LISTED_FRACTION / to_f64(listed)
        } else {
            UNLISTED_FRACTION / to_f64(alive.saturating_sub(listed))
        }
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
        let alive = members.iter().filter(|(_, member)| self.is_alive(member));
        let rate: f64 = alive.clone().map(|(_, member)| member.record.rate).sum();
        let candidates: Vec<(&String, &Record)> = alive
            .filter(|(_, member)| !member.record.leaving)
            .map(|(name, member)| (name, &member.record))
            .collect();
        let min_listed = MIN_LISTED.max(candidates.len().div_ceil(LISTED_DIVISOR));
        let mut listed = Vec::new();
        let mut capacity = 0.0;
        for (name, record) in rank_members(candidates) {
            if listed.len() >= min_listed && capacity >= CAPACITY_HEADROOM * rate {
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

    /// Notes the era of the store from which the rows of the next update were read.
    pub fn enter_era(&self, era: Option<u64>) {
        let last = self.era.replace(era);
        self.was_restored.set(self.was_restored.get() || last.is_some_and(|_| last != era));
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
            let Ok(record) = serde_json::from_value::<Record>(row.value.clone()) else { continue };
            // A restored row is older than the known one, and shows no sign of life.
            let known =
                members.get(name).filter(|known| was_restored || known.revision == row.revision);
            let changed_at = known.map_or(observed_time, |known| known.changed_at);
            members.insert(name.to_owned(), Member { record, revision: row.revision, changed_at });
        }
        // Rows that a restore has lost are written again within one heartbeat.
        let is_read = |name: &str| rows.iter().any(|row| row.key[MEMBER.len()..] == *name);
        members.retain(|name, _| was_restored || is_read(name));
        drop(members);
        *self.listed.borrow_mut() = self.select_listed();
    }

    /// Writes this instance's row and reads all rows until the thread ends.
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
            // A planned stop ends the wait, so that the row marks the instance as leaving at once.
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
        let rows = table.scan(MEMBER.to_owned(), String::new(), MAX_ROWS).await?;
        self.enter_era(table.era());
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
