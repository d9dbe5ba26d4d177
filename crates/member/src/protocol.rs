//! The membership protocol as a state machine without I/O.
//!
//! Updates about a member are ordered by incarnation, beat and state, and the greatest wins, so
//! messages may be lost, duplicated and reordered. A member increments its beat at every tick. A
//! suspicion carries the beat that was last seen, and any higher beat refutes it.

use std::collections::BTreeMap;

use base::prelude::*;
use rand::Rng;
use rand::seq::IteratorRandom;
use store::Listing;
use wire::message::{Gossip, Member, Record, State};

use crate::{Records, ring};

/// Upper limit of recently changed members in one message.
pub const MAX_CHANGED_MEMBERS: usize = 6;
/// Members added to each message round-robin, whether or not they have changed.
const ROUND_ROBIN_MEMBERS: usize = 2;
/// Most helpers asked to probe a member that does not answer.
const PROBE_HELPERS: usize = 2;
/// Ticks between heartbeats to a randomly chosen dead member.
const DEAD_RETRY_TICKS: u64 = 4;
/// Ticks between heartbeats to a seed that is not a known member.
const SEED_RETRY_TICKS: u64 = 16;

/// Intervals and timeouts of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Interval between ticks; each tick sends the regular heartbeat.
    pub heartbeat_interval: Duration,
    /// Time after which a suspected member is declared dead.
    pub suspicion_timeout: Duration,
    /// Time for which a dead, unlisted member is kept.
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

/// A message that the caller of the protocol must send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat.
    ///
    /// The reply goes to [`Protocol::merge_gossip`], a failure to [`Protocol::heartbeat_failed`].
    Heartbeat {
        /// Instance of the receiver; empty for a seed, whose instance is unknown.
        target: String,
        /// Address of the receiver for peers.
        address: String,
        /// Gossip to send.
        gossip: Gossip,
    },
    /// Request an indirect probe of a member from a helper.
    ///
    /// The result goes to [`Protocol::probe_finished`].
    Probe {
        /// Address of the helper for peers.
        helper_address: String,
        /// Instance of the member that did not answer.
        target: String,
        /// Address of that member for peers.
        target_address: String,
    },
}

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    /// Monotonic time at which the member became suspect here, `None` if it is not.
    suspected_at: Option<Duration>,
    /// Monotonic time at which the member was declared dead; `None` if it is not dead.
    dead_at: Option<Duration>,
    /// True if the platform's latest list contains the member.
    listed: bool,
    /// Number of messages that have carried the latest change.
    send_count: u32,
    /// Number of helpers whose probe results are outstanding.
    pending_probes: usize,
}

impl Entry {
    fn new(member: Member) -> Self {
        Self {
            member,
            suspected_at: None,
            dead_at: None,
            listed: false,
            send_count: 0,
            pending_probes: 0,
        }
    }
}

/// Returns the sort key by which the greater of two updates wins.
fn precedence(member: &Member) -> (Incarnation, u64, State) {
    (member.incarnation, member.beat, member.state)
}

/// State of the membership protocol at one instance.
#[derive(Debug)]
pub struct Protocol {
    own: Member,
    settings: Settings,
    /// Peer addresses from the settings.
    seeds: Vec<String>,
    others: BTreeMap<String, Entry>,
    records: Records,
    received_records: Vec<Record>,
    round_robin_index: usize,
    tick_count: u64,
    /// Newest configuration version in any message received.
    newest_seen_version: Version,
}

impl Protocol {
    /// Opens a protocol that knows only this instance and the seed addresses.
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

    /// Returns this instance as it is gossiped to the peers.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Sets the number of requests in flight here.
    pub fn set_load(&mut self, load: u32) {
        self.own.load = load;
    }

    /// Sets the configuration version in force here and returns true if it is newer.
    ///
    /// If it is newer, the caller should spread the version with [`Protocol::notify_neighbours`].
    pub fn set_version(&mut self, version: Version, wall_ms: u64) -> bool {
        let newer = version > self.own.version;
        if newer {
            self.own.version = version;
            self.own.since = wall_ms;
            self.increment_beat();
        }
        newer
    }

    /// Marks this instance as leaving (planned stop).
    pub fn leave(&mut self) {
        self.own.state = State::Leaving;
        self.increment_beat();
    }

    fn increment_beat(&mut self) {
        self.own.beat += 1;
    }

    /// Merges the platform's instance list, which may be stale.
    ///
    /// Unknown instances become members. A missing instance is not declared dead.
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

    /// Returns the newest version seen and the peer addresses of members to fetch from.
    ///
    /// These members are not dead and have a newer version than this instance.
    ///
    /// `None` means that no version newer than the own one was seen. A version known only
    /// from dead members is confirmed as well, so it is returned, but without an address.
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

    /// Adds a record to be gossiped to all instances.
    pub fn add_record(&mut self, record: Record, wall_ms: u64) {
        self.records.insert(record, wall_ms);
    }

    /// Returns the records that expire after `wall_ms`.
    #[must_use]
    pub fn records(&self, wall_ms: u64) -> Vec<Record> {
        self.records.unexpired(wall_ms)
    }

    /// Returns the records received from peers since the last call.
    pub fn take_received_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.received_records)
    }

    /// Advances by one heartbeat interval and returns the messages to send.
    ///
    /// Declares suspects dead and removes dead members after the timeouts in [`Settings`].
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

    /// Returns a heartbeat to a random seed, if one is due.
    ///
    /// One is due at every tick without neighbours. Otherwise one is due every
    /// [`SEED_RETRY_TICKS`] ticks, unless the seed is a known member.
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

    /// Returns heartbeats to all neighbours, for changes that cannot wait for the next ticks.
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

    /// Builds a message for a member, starting with this instance as the sender.
    fn build_gossip(&mut self, target: &str, wall_ms: u64) -> Gossip {
        let max_sends = self.max_sends();
        let mut members = vec![self.own.clone()];
        // A suspected member can refute the suspicion only if it receives it.
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

    /// Returns how many messages carry each change, so that it reaches all members.
    fn max_sends(&self) -> u32 {
        2 * (self.others.len() + 1).ilog2() + 3
    }

    /// Merges a peer's heartbeat and returns the gossip to reply with.
    pub fn receive_heartbeat(&mut self, gossip: Gossip, now: Duration, wall_ms: u64) -> Gossip {
        let sender = gossip.members.first().map(|member| member.instance.clone());
        self.merge_gossip(gossip, now, wall_ms);
        self.build_gossip(&sender.unwrap_or_default(), wall_ms)
    }

    /// Merges gossip, whose first member is the sender.
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
            // Unknown members that are already dead are not added.
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
        entry.dead_at = (update.state == State::Dead).then_some(now);
        // Within an incarnation, a member's version never decreases.
        let same_incarnation = update.incarnation == entry.member.incarnation;
        let version = if same_incarnation {
            update.version.max(entry.member.version)
        } else {
            update.version
        };
        entry.member = Member { version, ..update };
    }

    /// Refutes an update with a wrong state of this instance by a higher beat.
    ///
    /// A higher incarnation in the update is adopted.
    fn refute(&mut self, update: &Member) {
        let is_stale =
            precedence(update) < precedence(&self.own) || update.incarnation < self.own.incarnation;
        if is_stale || update.state == self.own.state {
            return;
        }
        self.own.incarnation = self.own.incarnation.max(update.incarnation);
        self.own.beat = self.own.beat.max(update.beat) + 1;
    }

    /// Handles a heartbeat that was not answered and returns probe requests.
    ///
    /// The member is suspected only after all helpers fail, or at once if there is no helper.
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

    /// Handles the result of one helper's probe.
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

    /// Declares members dead after the suspicion timeout and removes dead, unlisted ones.
    fn expire_members(&mut self, now: Duration) {
        for entry in self.others.values_mut() {
            let is_expired =
                |since: Duration| now.saturating_sub(since) >= self.settings.suspicion_timeout;
            if entry.suspected_at.is_some_and(is_expired) {
                entry.member.state = State::Dead;
                entry.suspected_at = None;
                entry.dead_at = Some(now);
                entry.send_count = 0;
            }
        }
        let retention = self.settings.dead_retention;
        self.others.retain(|_, entry| {
            let is_past_retention = |since| now.saturating_sub(since) >= retention;
            entry.listed || !entry.dead_at.is_some_and(is_past_retention)
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
