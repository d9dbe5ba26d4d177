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
const BEAT: Duration = Duration::from_secs(2);
/// Age of an unchanged row at which its instance is taken for gone.
const GONE: Duration = Duration::from_secs(7);
/// Fewest instances that callers are given, so that the loss of one is a small part.
const LISTED_MIN: usize = 4;
/// Fewest instances that callers are given, as a divisor of all.
const LISTED_DIVISOR: usize = 12;
/// Room for bursts: capacity of the listed instances in relation to the rate of requests.
const ROOM: f64 = 1.5;
/// Rate of requests in relation to the mean of the listed instances from which on connections
/// are closed after an answer, so that their callers choose again.
const BUSY: f64 = 1.4;
/// Rate of requests, per second, below which no connection is closed for balance.
const BUSY_MIN: f64 = 8.0;
/// Addresses in one answer at most; callers use no more.
const ANSWER_MAX: usize = 64;
/// Weight of a new measurement in the rate of requests.
const RATE_WEIGHT: f64 = 0.4;
/// Rows that are read at once.
const ROWS_MAX: usize = 500;
/// Longest wait for the row of a planned stop.
const LEAVE_TIME: Duration = Duration::from_millis(800);

/// This instance as the others see it.
#[derive(Debug, Clone)]
pub struct Own {
    /// Name.
    pub instance: InstanceId,
    /// Address for callers.
    pub address: String,
    /// Failure domain.
    pub domain: DomainId,
    /// Requests that it can serve in a second at a low load of its processor.
    pub capacity: f64,
}

/// Content of an instance's row.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Card {
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
    card: Card,
    revision: u64,
    changed_at: Duration,
}

/// The instances as this one knows them.
#[derive(Debug)]
pub struct Roster {
    own: Own,
    members: RefCell<HashMap<String, Member>>,
    /// Time during which the rows could be read.
    observed: Cell<Duration>,
    read_at: Cell<Option<Duration>>,
    beats: Cell<u64>,
    /// Requests since the last beat.
    requests: Cell<u32>,
    rate: Cell<f64>,
    beat_at: Cell<Duration>,
    listed: RefCell<Vec<String>>,
    leaving: Cell<bool>,
    wake: Notify,
}

impl Roster {
    /// Opens a roster that knows only its own instance.
    #[must_use]
    pub fn open(own: Own) -> Self {
        Self {
            own,
            members: RefCell::default(),
            observed: Cell::default(),
            read_at: Cell::new(None),
            beats: Cell::new(0),
            requests: Cell::new(0),
            rate: Cell::new(0.0),
            beat_at: Cell::default(),
            listed: RefCell::default(),
            leaving: Cell::new(false),
            wake: Notify::new(),
        }
    }

    /// Returns the addresses that callers should use.
    #[must_use]
    pub fn addresses(&self) -> Vec<String> {
        let members = self.members.borrow();
        let listed = self.listed.borrow();
        let cards = listed.iter().filter_map(|name| members.get(name)).map(|member| &member.card);
        let mut addresses: Vec<String> = cards.map(|card| card.address.clone()).collect();
        if self.leaving.get() && addresses.len() > 1 {
            addresses.retain(|address| *address != self.own.address);
        }
        if addresses.is_empty() {
            addresses.push(self.own.address.clone());
        }
        addresses.truncate(ANSWER_MAX);
        addresses
    }

    /// Returns how many instances callers are given, 0 while that is not known.
    #[must_use]
    pub fn listed(&self) -> u64 {
        self.listed.borrow().len() as u64
    }

    /// Returns true if callers are given this instance.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        let listed = self.listed.borrow();
        listed.is_empty() || listed.iter().any(|name| **name == *self.own.instance)
    }

    /// Returns how many instances share the limits on what all of them send.
    ///
    /// An instance that callers are not given gets few requests and takes a smaller part.
    #[must_use]
    pub fn sharers(&self) -> u64 {
        let members = self.members.borrow();
        let alive = members.values().filter(|member| self.is_alive(member)).count() as u64;
        if self.is_listed() { self.listed().max(1) } else { alive.max(1) }
    }

    /// Returns the part of connections that should be closed after an answer.
    ///
    /// Callers use an open connection before they open another, so that all requests of a large
    /// caller may end up at one instance. Those that have to choose again spread out.
    #[must_use]
    pub fn excess(&self) -> f64 {
        let members = self.members.borrow();
        let listed = self.listed.borrow();
        let rates = listed.iter().filter_map(|name| members.get(name)).map(|one| one.card.rate);
        let count = f64::from(u32::try_from(listed.len().max(1)).unwrap_or(u32::MAX));
        let mean = rates.sum::<f64>() / count;
        let own = self.rate.get();
        if own < BUSY_MIN || own < BUSY * mean { 0.0 } else { 1.0 - mean / own }
    }

    /// Counts a request.
    pub fn count(&self) {
        self.requests.set(self.requests.get().saturating_add(1));
    }

    /// Chooses the instances that callers are given.
    fn choose(&self) -> Vec<String> {
        let members = self.members.borrow();
        let alive = members.iter().filter(|(_, member)| self.is_alive(member));
        let rate: f64 = alive.clone().map(|(_, member)| member.card.rate).sum();
        let staying: Vec<(&String, &Card)> = alive
            .filter(|(_, member)| !member.card.leaving)
            .map(|(name, member)| (name, &member.card))
            .collect();
        let least = LISTED_MIN.max(staying.len().div_ceil(LISTED_DIVISOR));
        let mut listed = Vec::new();
        let mut capacity = 0.0;
        for (name, card) in ranked(staying) {
            if listed.len() >= least && capacity >= ROOM * rate {
                break;
            }
            capacity += card.capacity;
            listed.push(name.clone());
        }
        listed
    }

    fn is_alive(&self, member: &Member) -> bool {
        self.observed.get().saturating_sub(member.changed_at) < GONE
    }

    /// Takes in the rows that were read at a time.
    pub fn read(&self, rows: &[Row], now: Duration) {
        let since = self.read_at.replace(Some(now)).map(|at| now.saturating_sub(at));
        // The time of an outage does not age the rows.
        let step = since.unwrap_or_default().min(BEAT * 2);
        let observed = self.observed.get() + step;
        self.observed.set(observed);
        let mut members = self.members.borrow_mut();
        for row in rows {
            let Some(name) = row.key.strip_prefix(MEMBER) else { continue };
            // A row of another form belongs to no instance that callers could use.
            let Ok(card) = serde_json::from_value::<Card>(row.value.clone()) else { continue };
            let known = members.get(name).filter(|known| known.revision == row.revision);
            let changed_at = known.map_or(observed, |known| known.changed_at);
            members.insert(name.to_owned(), Member { card, revision: row.revision, changed_at });
        }
        members.retain(|name, _| rows.iter().any(|row| row.key[MEMBER.len()..] == **name));
        drop(members);
        *self.listed.borrow_mut() = self.choose();
    }

    /// Writes and reads the rows for as long as the instance runs.
    pub async fn run(self: Rc<Self>, table: Rc<dyn Table>, clock: Arc<dyn Clock>, log: Logger) {
        let mut is_out = false;
        loop {
            let result = self.beat(&*table, &*clock).await;
            match &result {
                Err(error) if !is_out => {
                    warn!(log, "store lost"; "dependency" => "member rows", "error" => %error);
                }
                Ok(()) if is_out => info!(log, "store regained"; "dependency" => "member rows"),
                _ => {}
            }
            is_out = result.is_err();
            // A planned stop is written at once.
            drop(timeout(BEAT, self.wake.notified()).await);
        }
    }

    async fn beat(&self, table: &dyn Table, clock: &dyn Clock) -> Result<(), store::Error> {
        self.beats.set(self.beats.get() + 1);
        self.measure(clock.now());
        let card = Card {
            address: self.own.address.clone(),
            domain: self.own.domain.to_string(),
            beat: self.beats.get(),
            leaving: self.leaving.get(),
            rate: self.rate.get(),
            capacity: self.own.capacity,
        };
        let mut txn = Txn::default();
        txn.put(format!("{MEMBER}{}", self.own.instance), &card);
        table.commit(txn).await?;
        let rows = table.scan(MEMBER.to_owned(), String::new(), ROWS_MAX).await?;
        self.read(&rows, clock.now());
        Ok(())
    }

    fn measure(&self, now: Duration) {
        let time = now.saturating_sub(self.beat_at.replace(now)).as_secs_f64();
        let sample = f64::from(self.requests.take()) / time.max(BEAT.as_secs_f64() / 2.0);
        let rate = self.rate.get();
        self.rate.set(rate + RATE_WEIGHT * (sample - rate));
    }

    /// Takes this instance out of the addresses.
    pub async fn leave(&self) {
        self.leaving.set(true);
        let beats = self.beats.get();
        self.wake.notify_one();
        let written = async {
            while self.beats.get() == beats {
                sleep(Duration::from_millis(20)).await;
            }
        };
        // With the store out the others learn it from the missing beats.
        drop(timeout(LEAVE_TIME, written).await);
    }
}

/// Orders instances so that each start of the order holds the largest ones, spread over the
/// failure domains.
fn ranked<'a>(mut members: Vec<(&'a String, &'a Card)>) -> Vec<(&'a String, &'a Card)> {
    let weight = |name: &str| prefix::mix(prefix::extend_hash(prefix::mix(11), name.as_bytes()));
    members.sort_unstable_by_key(|(name, _)| weight(name));
    let mut before: HashMap<(&str, i32), usize> = HashMap::new();
    let mut rounds: Vec<_> = members
        .into_iter()
        .map(|member| {
            let (domain, size) = (member.1.domain.as_str(), size(member.1.capacity));
            let round = before.entry((domain, size)).or_default();
            *round += 1;
            ((-size, *round, weight(domain)), member)
        })
        .collect();
    rounds.sort_by_key(|(key, _)| *key);
    rounds.into_iter().map(|(_, member)| member).collect()
}

/// Returns the power of two below a capacity, so that nearly equal instances count as equal.
#[expect(clippy::cast_possible_truncation, reason = "a logarithm is small")]
fn size(capacity: f64) -> i32 {
    capacity.max(1.0).log2().floor() as i32
}
