//! The state machine of membership.
//!
//! What is known of a member is ordered by incarnation, beat and state, and the greater always
//! wins, so that news may be lost, doubled and reordered. A member raises its beat with every
//! heartbeat; a suspicion names the beat that it is about, and any later beat refutes it.

use std::collections::BTreeMap;

use base::prelude::*;
use rand::Rng;
use rand::seq::IteratorRandom;
use store::Listing;
use wire::message::{Gossip, Member, Record, State};

use crate::{Records, ring};

/// News of members in one message, at most.
pub const MAX_CHANGED_MEMBERS: usize = 6;
/// Members in one message that are named in turn, whether or not they are news.
const ROUND_ROBIN_MEMBERS: usize = 2;
/// Peers that are asked to reach a member that does not answer.
const PROBE_HELPERS: usize = 2;
/// Every how many heartbeats a member taken for dead is tried.
const DEAD_RETRY_TICKS: u64 = 4;
/// Every how many heartbeats an unknown seed is tried.
const SEED_RETRY_TICKS: u64 = 16;

/// Times of the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time from suspicion to death.
    pub suspicion_timeout: Duration,
    /// Time for which a dead member that the platform does not list is remembered.
    pub dead_retention: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            suspicion_timeout: Duration::from_millis(2_500),
            dead_retention: Duration::from_mins(1),
        }
    }
}

/// Something to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat and report the answer or its failure.
    Heartbeat {
        /// Member that it is for.
        target: String,
        /// Address of the member for peers.
        address: String,
        /// Message.
        gossip: Gossip,
    },
    /// Ask a helper to reach a member, and report whether it did.
    Probe {
        /// Address of the helper for peers.
        helper_address: String,
        /// Member that does not answer.
        target: String,
        /// Address of that member for peers.
        target_address: String,
    },
}

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    /// When this instance began to suspect the member.
    suspected_at: Option<Duration>,
    /// When the member died or was no longer listed.
    gone_at: Option<Duration>,
    listed: bool,
    send_count: u32,
    pending_probes: usize,
}

impl Entry {
    fn new(member: Member) -> Self {
        Self {
            member,
            suspected_at: None,
            gone_at: None,
            listed: false,
            send_count: 0,
            pending_probes: 0,
        }
    }
}

fn precedence(member: &Member) -> (Incarnation, u64, State) {
    (member.incarnation, member.beat, member.state)
}

/// All members as one instance knows them.
#[derive(Debug)]
pub struct Protocol {
    own: Member,
    settings: Settings,
    seeds: Vec<String>,
    others: BTreeMap<String, Entry>,
    records: Records,
    received_records: Vec<Record>,
    round_robin_index: usize,
    tick_count: u64,
    /// Newest configuration version heard of.
    newest_seen_version: Version,
}

impl Protocol {
    /// Opens a roster that holds only this instance and addresses of peers to start with.
    #[must_use]
    pub fn open(own: Member, settings: Settings, seeds: Vec<String>) -> Self {
        Self {
            own,
            settings,
            seeds,
            others: BTreeMap::new(),
            records: Records::default(),
            received_records: Vec::new(),
            round_robin_index: 0,
            tick_count: 0,
            newest_seen_version: 0,
        }
    }

    /// Returns what this instance says of itself.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Sets the number of requests that run here.
    pub fn set_load(&mut self, load: u32) {
        self.own.load = load;
    }

    /// Sets the configuration version in force here and returns true if it is newer.
    ///
    /// The caller should tell all neighbours at once with [`Protocol::notify_neighbours`].
    pub fn set_version(&mut self, version: Version, wall_ms: u64) -> bool {
        let newer = version > self.own.version;
        if newer {
            self.own.version = version;
            self.own.since = wall_ms;
            self.increment_beat();
        }
        newer
    }

    /// Says that this instance is about to stop.
    pub fn leave(&mut self) {
        self.own.state = State::Leaving;
        self.increment_beat();
    }

    fn increment_beat(&mut self) {
        self.own.beat += 1;
    }

    /// Takes in the platform's list, which lags.
    ///
    /// Unknown instances become members; the list alone never declares one dead.
    pub fn update_listed(&mut self, listed: &[Listing], now: Duration) {
        for entry in self.others.values_mut() {
            entry.listed = false;
        }
        let others = listed.iter().filter(|listing| listing.instance != self.own.instance);
        for listing in others.filter(|listing| !listing.peer_address.is_empty()) {
            let entry = self
                .others
                .entry(listing.instance.clone())
                .or_insert_with(|| Entry::new(listed_member(listing)));
            entry.listed = true;
            if entry.member.incarnation == 0 {
                entry.member = Member { state: entry.member.state, ..listed_member(listing) };
            }
        }
        self.expire_members(now);
    }

    /// Returns all members, this instance first.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.others.values().map(|entry| &entry.member))
    }

    /// Returns the newest version heard of, with the addresses of members that are ahead.
    ///
    /// A version that only a dead member ran is named as well: it was confirmed all the same.
    #[must_use]
    pub fn newest_version(&self) -> Option<(Version, Vec<String>)> {
        let is_ahead = |entry: &&Entry| {
            entry.member.version > self.own.version && entry.member.state != State::Dead
        };
        let mut ahead: Vec<&Entry> = self.others.values().filter(is_ahead).collect();
        ahead.sort_by_key(|entry| std::cmp::Reverse(entry.member.version));
        let addresses = ahead.into_iter().map(|entry| entry.member.peer_address.clone()).collect();
        (self.newest_seen_version > self.own.version)
            .then_some((self.newest_seen_version, addresses))
    }

    /// Puts a record into the bag that goes to all instances.
    pub fn add_record(&mut self, record: Record, wall_ms: u64) {
        self.records.insert(record, wall_ms);
    }

    /// Returns the records in the bag.
    #[must_use]
    pub fn records(&self, wall_ms: u64) -> Vec<Record> {
        self.records.unexpired(wall_ms)
    }

    /// Returns the records that came from others since the last call.
    pub fn take_received_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.received_records)
    }

    /// Does what is due once an interval: heartbeats, deaths and forgetting.
    pub fn tick(&mut self, now: Duration, wall_ms: u64, rng: &mut impl Rng) -> Vec<Action> {
        self.increment_beat();
        self.tick_count += 1;
        self.expire_members(now);
        let neighbours = self.neighbours();
        let index = usize::try_from(self.tick_count).unwrap_or_default();
        let next = index.checked_rem(neighbours.len()).map(|index| neighbours[index].clone());
        let mut targets: Vec<String> = next.into_iter().collect();
        if self.tick_count.is_multiple_of(DEAD_RETRY_TICKS) {
            let dead = self.others.values().filter(|entry| entry.member.state == State::Dead);
            targets.extend(dead.choose(rng).map(|entry| entry.member.instance.clone()));
        }
        let mut actions: Vec<Action> =
            targets.into_iter().filter_map(|target| self.heartbeat(&target, wall_ms)).collect();
        actions.extend(self.contact_seed(neighbours.len(), wall_ms, rng));
        actions
    }

    /// Says hello to a seed, at each heartbeat while alone and now and then afterwards.
    fn contact_seed(
        &mut self,
        neighbours: usize,
        wall_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<Action> {
        if neighbours > 0 && !self.tick_count.is_multiple_of(SEED_RETRY_TICKS) {
            return None;
        }
        let seed = self.seeds.iter().choose(rng)?.clone();
        let is_member = self.others.values().any(|entry| entry.member.peer_address == seed);
        if (is_member && neighbours > 0) || seed == self.own.peer_address {
            return None;
        }
        let gossip = self.build_gossip("", wall_ms);
        Some(Action::Heartbeat { target: String::new(), address: seed, gossip })
    }

    /// Tells all neighbours at once, for news that cannot wait.
    pub fn notify_neighbours(&mut self, wall_ms: u64) -> Vec<Action> {
        let neighbours = self.neighbours();
        neighbours.iter().filter_map(|target| self.heartbeat(target, wall_ms)).collect()
    }

    fn neighbours(&self) -> Vec<String> {
        let mut names: Vec<&str> = self
            .others
            .values()
            .filter(|entry| entry.member.state != State::Dead)
            .map(|entry| entry.member.instance.as_str())
            .collect();
        let own = names.partition_point(|name| *name < self.own.instance.as_str());
        names.insert(own, &self.own.instance);
        ring::neighbours(own, names.len())
            .into_iter()
            .map(|index| names[index].to_owned())
            .collect()
    }

    fn heartbeat(&mut self, target: &str, wall_ms: u64) -> Option<Action> {
        let address = self.others.get(target)?.member.peer_address.clone();
        let gossip = self.build_gossip(target, wall_ms);
        Some(Action::Heartbeat { target: target.to_owned(), address, gossip })
    }

    /// Writes a message for a member: this instance, what it says of the member, and news.
    fn build_gossip(&mut self, target: &str, wall_ms: u64) -> Gossip {
        let max_sends = self.max_sends();
        let mut members = vec![self.own.clone()];
        // A member that is suspected must hear of it to refute it.
        let target_member = self.others.get(target).map(|entry| entry.member.clone());
        members.extend(target_member.filter(|member| member.state != State::Alive));
        let mut changed: Vec<&mut Entry> =
            self.others.values_mut().filter(|entry| entry.send_count < max_sends).collect();
        changed.sort_by_key(|entry| entry.send_count);
        for entry in changed.into_iter().take(MAX_CHANGED_MEMBERS) {
            entry.send_count += 1;
            members.push(entry.member.clone());
        }
        for _ in 0..ROUND_ROBIN_MEMBERS.min(self.others.len()) {
            self.round_robin_index = (self.round_robin_index + 1) % self.others.len();
            members.extend(
                self.others.values().nth(self.round_robin_index).map(|entry| entry.member.clone()),
            );
        }
        let version = self.newest_seen_version.max(self.own.version);
        Gossip { version, members, records: self.records.select(wall_ms, max_sends) }
    }

    /// Returns how often each piece of news is sent, so that it reaches everyone.
    fn max_sends(&self) -> u32 {
        2 * (self.others.len() + 1).ilog2() + 3
    }

    /// Takes in a message of a peer and returns the answer.
    pub fn receive_heartbeat(&mut self, gossip: Gossip, now: Duration, wall_ms: u64) -> Gossip {
        let sender = gossip.members.first().map(|member| member.instance.clone());
        self.merge_gossip(gossip, now, wall_ms);
        self.build_gossip(&sender.unwrap_or_default(), wall_ms)
    }

    /// Takes in the answer of a peer.
    pub fn merge_gossip(&mut self, gossip: Gossip, now: Duration, wall_ms: u64) {
        self.newest_seen_version = self.newest_seen_version.max(gossip.version);
        for (index, member) in gossip.members.into_iter().enumerate() {
            self.newest_seen_version = self.newest_seen_version.max(member.version);
            if index == 0 {
                self.mark_reachable(&member.instance);
            }
            self.merge_member(member, now);
        }
        for record in gossip.records {
            if self.records.insert(record.clone(), wall_ms) {
                self.received_records.push(record);
            }
        }
    }

    fn mark_reachable(&mut self, instance: &str) {
        if let Some(entry) = self.others.get_mut(instance) {
            entry.suspected_at = None;
            entry.pending_probes = 0;
        }
    }

    fn merge_member(&mut self, update: Member, now: Duration) {
        if update.instance == self.own.instance {
            self.refute(&update);
            return;
        }
        let Some(entry) = self.others.get_mut(&update.instance) else {
            // An unknown member that is dead already is of no use to anyone.
            if update.state != State::Dead && !update.peer_address.is_empty() {
                self.others.insert(update.instance.clone(), Entry::new(update));
            }
            return;
        };
        if precedence(&update) <= precedence(&entry.member) {
            return;
        }
        let is_change = update.state != entry.member.state
            || update.incarnation != entry.member.incarnation
            || update.version > entry.member.version;
        if is_change {
            entry.send_count = 0;
        }
        entry.suspected_at = match update.state {
            State::Suspect => entry.suspected_at.or(Some(now)),
            State::Alive | State::Leaving | State::Dead => None,
        };
        entry.gone_at = (update.state == State::Dead).then_some(now);
        // A version never goes back within an incarnation.
        let same_incarnation = update.incarnation == entry.member.incarnation;
        let version = if same_incarnation {
            update.version.max(entry.member.version)
        } else {
            update.version
        };
        entry.member = Member { version, ..update };
    }

    /// Answers a rumour about this instance with a higher beat.
    fn refute(&mut self, update: &Member) {
        let is_stale =
            precedence(update) < precedence(&self.own) || update.incarnation < self.own.incarnation;
        if is_stale || update.state == self.own.state {
            return;
        }
        self.own.incarnation = self.own.incarnation.max(update.incarnation);
        self.own.beat = self.own.beat.max(update.beat) + 1;
    }

    /// Notes that a heartbeat was not answered; helpers are asked before anyone is suspected.
    pub fn heartbeat_failed(
        &mut self,
        target: &str,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let Some(entry) = self.others.get(target) else { return Vec::new() };
        if entry.member.state == State::Dead {
            return Vec::new();
        }
        let address = entry.member.peer_address.clone();
        let helpers = self
            .others
            .values()
            .filter(|other| other.member.state == State::Alive && other.member.instance != target);
        let chosen = helpers.choose_multiple(rng, PROBE_HELPERS);
        let actions: Vec<Action> = chosen
            .into_iter()
            .map(|helper| Action::Probe {
                helper_address: helper.member.peer_address.clone(),
                target: target.to_owned(),
                target_address: address.clone(),
            })
            .collect();
        if actions.is_empty() {
            self.suspect(target, now);
        } else if let Some(entry) = self.others.get_mut(target) {
            entry.pending_probes = actions.len();
        }
        actions
    }

    /// Notes whether a helper has reached a member.
    pub fn probe_finished(&mut self, target: &str, reached: bool, now: Duration) {
        let Some(entry) = self.others.get_mut(target) else { return };
        if reached {
            self.mark_reachable(target);
            return;
        }
        if entry.pending_probes == 0 {
            return;
        }
        entry.pending_probes -= 1;
        if entry.pending_probes == 0 {
            self.suspect(target, now);
        }
    }

    fn suspect(&mut self, target: &str, now: Duration) {
        let Some(entry) = self.others.get_mut(target) else { return };
        if entry.member.state == State::Alive {
            entry.member.state = State::Suspect;
            entry.send_count = 0;
        }
        entry.suspected_at = entry.suspected_at.or(Some(now));
    }

    /// Declares members dead whose suspicion was not refuted, and forgets those long gone.
    fn expire_members(&mut self, now: Duration) {
        for entry in self.others.values_mut() {
            let is_expired =
                |since: Duration| now.saturating_sub(since) >= self.settings.suspicion_timeout;
            if entry.suspected_at.is_some_and(is_expired) {
                entry.member.state = State::Dead;
                entry.suspected_at = None;
                entry.gone_at = Some(now);
                entry.send_count = 0;
            }
        }
        let retention = self.settings.dead_retention;
        self.others.retain(|_, entry| {
            let is_past_retention = |since| now.saturating_sub(since) >= retention;
            entry.listed || !entry.gone_at.is_some_and(is_past_retention)
        });
    }
}

fn listed_member(listing: &Listing) -> Member {
    Member {
        instance: listing.instance.clone(),
        address: listing.address.clone(),
        peer_address: listing.peer_address.clone(),
        domain: listing.domain.clone(),
        state: if listing.leaving { State::Leaving } else { State::Alive },
        ..Member::default()
    }
}
