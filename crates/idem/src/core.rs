//! The state machine that composes an instance's claim transactions.
//!
//! It performs no I/O and reads no clock. The [`event`](crate::event) loop passes in messages,
//! times and replies of the table; property tests pass in generated histories.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::clock::millis;
use base::prelude::*;
use futures::channel::{mpsc, oneshot};
use ledger::row::{Holder, State as HolderState, holder_key};
use store::{Commit, Row, Txn};

use crate::claim::{Decision, End, Ownership, Request};
use crate::entry::{Entry, Key, Phase};
use crate::event::Message;
use crate::row::{Claim, State};

/// Most claim rows that one transaction writes.
const MAX_BATCH_CLAIMS: usize = 128;
/// Delay before an end that conflicts with a live holder's claim is written again.
const FOREIGN_CLAIM_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after the end of its lease at which a holder is considered dead.
const LEASE_GRACE: Duration = Duration::from_secs(2);
/// Lifetime of the row of a claim that ended as not run.
const FREED_ROW_TTL: Duration = Duration::from_mins(10);

/// Lifetimes and size limits of claim rows and of claims in memory.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Lifetime of a claim row since its last write; afterwards the key may be reused.
    pub key_ttl: Duration,
    /// Time for which an ended claim and its answer stay in memory.
    pub cache_ttl: Duration,
    /// Most bytes of answer bodies in memory; the oldest answers are evicted first.
    pub max_cache_bytes: usize,
    /// Largest answer body that is written to the table, in bytes.
    pub max_stored_answer_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            key_ttl: Duration::from_hours(24),
            cache_ttl: Duration::from_mins(5),
            max_cache_bytes: 4 << 20,
            max_stored_answer_bytes: 8 << 10,
        }
    }
}

/// Next action that the caller of [`Core::step`] must perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read the rows with these keys and pass them to [`Core::handle_rows`].
    Read(Vec<String>),
    /// Commit this transaction and pass the reply to [`Core::handle_commit`].
    ///
    /// Without a reply the same transaction must be repeated until the table replies.
    Commit(Txn),
    /// Nothing can be done now.
    Idle,
}

/// The transaction in flight.
#[derive(Debug)]
struct Batch {
    stamp: u64,
    /// Change count of each written entry; a differing one means that the entry changed since.
    change_counts: BTreeMap<Key, u64>,
}

/// The stored claim of another request, with the state [`State::Running`].
#[derive(Debug)]
struct Foreign {
    revision: u64,
    claim: Claim,
}

/// The state machine of all claims of one holder.
#[derive(Debug)]
pub struct Core {
    holder: HolderId,
    settings: Settings,
    sender: mpsc::UnboundedSender<Message>,
    entries: BTreeMap<Key, Entry>,
    /// Keys whose row must be written.
    dirty: BTreeSet<Key>,
    /// Conflicting claims whose holder must be looked up before a decision.
    foreign: BTreeMap<Key, Foreign>,
    /// Ended claims that conflict with another holder's, with the time of the next attempt.
    end_retries: VecDeque<(Duration, Key)>,
    in_flight: Option<Batch>,
    stamp: u64,
    /// Ended claims in memory, with the time at which their end was recorded, oldest first.
    recorded: VecDeque<(Duration, Key)>,
    recorded_answer_bytes: usize,
}

impl Core {
    /// Opens the state machine of a holder; granted claims send their end to `sender`.
    #[must_use]
    pub fn open(
        holder: HolderId,
        settings: Settings,
        sender: mpsc::UnboundedSender<Message>,
    ) -> Self {
        Self {
            holder,
            settings,
            sender,
            entries: BTreeMap::new(),
            dirty: BTreeSet::new(),
            foreign: BTreeMap::new(),
            end_retries: VecDeque::new(),
            in_flight: None,
            stamp: 0,
            recorded: VecDeque::new(),
            recorded_answer_bytes: 0,
        }
    }

    /// Handles a claim or an end; [`Message::Close`] is ignored.
    pub fn handle(&mut self, message: Message) {
        match message {
            Message::Claim { request, reply } => self.claim(request, reply),
            Message::End { row_key, end, ack } => self.end(&row_key, end, ack),
            Message::Close(_) => {}
        }
    }

    /// Returns true if a row must be read or written, now or later.
    #[must_use]
    pub fn has_work(&self) -> bool {
        let is_waiting = !self.foreign.is_empty() || !self.end_retries.is_empty();
        is_waiting || self.in_flight.is_some() || !self.dirty.is_empty()
    }

    /// Returns true if a waiting claim must be written or a conflict resolved.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        let is_claiming =
            |key| self.entries.get(key).is_some_and(|entry| entry.phase == Phase::Claiming);
        !self.foreign.is_empty() || self.dirty.iter().any(is_claiming)
    }

    fn claim(&mut self, request: Request, reply: oneshot::Sender<Decision>) {
        let key = Arc::clone(&request.row_key);
        let Some(entry) = self.entries.get_mut(&key) else {
            self.entries.insert(Arc::clone(&key), Entry::open(request, reply));
            self.dirty.insert(key);
            return;
        };
        let is_in_flight =
            self.in_flight.as_ref().is_some_and(|batch| batch.change_counts.contains_key(&key));
        if entry.ended_not_run() && !is_in_flight {
            entry.reopen(request, reply);
            self.dirty.insert(key);
            return;
        }
        // The caller may have disconnected; the error is ignored then.
        reply.send(entry.decision_for(&request)).unwrap_or_default();
    }

    fn end(&mut self, key: &Key, end: End, ack: oneshot::Sender<Ownership>) {
        let Some(entry) = self.entries.get_mut(key) else {
            ack.send(Ownership::Kept).unwrap_or_default();
            return;
        };
        entry.finish(end, ack);
        if entry.mismatched {
            self.handle_mismatch(key);
        } else if entry.owned_elsewhere {
            self.relinquish(key);
        } else if entry.ended_not_run() && !entry.may_be_stored {
            entry.acknowledge(Ownership::Kept);
            self.remove(key);
        } else {
            self.dirty.insert(Arc::clone(key));
        }
    }

    /// Decides all waiting claims without the table, which does not answer.
    ///
    /// An idempotent request runs before its row is written. It is billed only if the row, once
    /// written, shows that no other instance owns the key. Other requests are rejected. A request
    /// whose key conflicts with a stored claim gets [`Decision::Running`] in either case.
    pub fn handle_outage(&mut self) {
        let waiting = self.entries.iter().filter(|(_, entry)| entry.phase == Phase::Claiming);
        let keys: Vec<Key> = waiting.map(|(key, _)| Arc::clone(key)).collect();
        for key in keys {
            if self.foreign.contains_key(&key) {
                self.reply_and_remove(&key, Decision::Running);
                continue;
            }
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            if entry.request.idempotent {
                entry.phase = Phase::Granted;
                entry.grant(&self.sender);
            } else {
                entry.reject_unreachable();
                if entry.may_be_stored {
                    self.dirty.insert(key);
                } else {
                    self.remove(&key);
                }
            }
        }
    }

    /// Evicts old entries and returns the next action.
    ///
    /// Returns [`Step::Idle`] while a transaction is in flight.
    pub fn step(&mut self, now: Duration, wall: Duration) -> Step {
        if self.in_flight.is_some() {
            return Step::Idle;
        }
        self.evict(now);
        self.retry_ends(now);
        if !self.foreign.is_empty() {
            let holders = self.foreign.values().map(|foreign| holder_key(&foreign.claim.holder));
            return Step::Read(holders.collect::<BTreeSet<_>>().into_iter().collect());
        }
        if self.dirty.is_empty() {
            return Step::Idle;
        }
        Step::Commit(self.compose(wall))
    }

    /// Marks the rows of ends whose retry delay has passed to be written again.
    fn retry_ends(&mut self, now: Duration) {
        while let Some((_, key)) = self.end_retries.pop_front_if(|(due_at, _)| *due_at <= now) {
            if self.entries.get(&key).is_some_and(|entry| entry.phase == Phase::Ending) {
                self.dirty.insert(key);
            }
        }
    }

    fn compose(&mut self, wall: Duration) -> Txn {
        self.stamp += 1;
        let mut txn = Txn::default();
        let mut change_counts = BTreeMap::new();
        while change_counts.len() < MAX_BATCH_CLAIMS {
            let Some(key) = self.dirty.pop_first() else { break };
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            entry.may_be_stored = true;
            change_counts.insert(Arc::clone(&key), entry.change_count);
            let state = entry.row_state(self.settings.max_stored_answer_bytes);
            let ttl = if state == State::Free { FREED_ROW_TTL } else { self.settings.key_ttl };
            let claim = Claim {
                account: entry.request.account.to_string(),
                request: entry.request.id.to_string(),
                digest: entry.request.digest.clone(),
                idempotent: entry.request.idempotent,
                holder: self.holder.to_string(),
                stamp: self.stamp,
                state,
                until: millis(wall + ttl),
            };
            txn.check(&*key, entry.revision);
            txn.put(&*key, &claim);
        }
        self.in_flight = Some(Batch { stamp: self.stamp, change_counts });
        txn
    }

    /// Handles the table's reply to the transaction in flight.
    pub fn handle_commit(&mut self, commit: &Commit, now: Duration, wall: Duration) {
        let Some(batch) = self.in_flight.take() else { return };
        for (key, count) in &batch.change_counts {
            match commit {
                Commit::Applied(revision) => self.handle_applied(key, *count, *revision, now),
                Commit::Conflict(rows) => {
                    let row = rows.iter().find(|row| row.key == **key);
                    self.handle_conflict(key, *count, batch.stamp, row, now, wall);
                }
            }
        }
    }

    fn handle_conflict(
        &mut self,
        key: &Key,
        change_count: u64,
        stamp: u64,
        row: Option<&Row>,
        now: Duration,
        wall: Duration,
    ) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let revision = row.map_or(0, |row| row.revision);
        if revision == entry.revision {
            // This row did not conflict; another row of the batch did.
            self.dirty.insert(Arc::clone(key));
            return;
        }
        let claim = row.and_then(|row| serde_json::from_value::<Claim>(row.value.clone()).ok());
        let Some(claim) = claim else {
            entry.revision = revision;
            self.dirty.insert(Arc::clone(key));
            return;
        };
        if *claim.holder == *self.holder && claim.stamp == stamp {
            // An earlier attempt was applied, but its reply was lost.
            self.handle_applied(key, change_count, revision, now);
            return;
        }
        let is_expired = claim.until < millis(wall);
        if claim.state == State::Free || is_expired {
            entry.revision = revision;
            self.dirty.insert(Arc::clone(key));
            return;
        }
        self.handle_occupied(key, revision, claim);
    }

    /// Resolves a conflict with the row of another request, of this or another holder.
    fn handle_occupied(&mut self, key: &Key, revision: u64, claim: Claim) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.ended_not_run() {
            entry.acknowledge(Ownership::Kept);
            self.remove(key);
            return;
        }
        let is_claiming = entry.phase == Phase::Claiming;
        if entry.request.digest != claim.digest {
            match (entry.phase, &claim.state) {
                // The other request may still end as not run and free the row, which a second run
                // of this one could then take.
                (Phase::Ending, State::Running) => {
                    self.foreign.insert(Arc::clone(key), Foreign { revision, claim });
                }
                (Phase::Granted, State::Running) => {}
                _ => self.handle_mismatch(key),
            }
            return;
        }
        match claim.state {
            State::Running => {
                self.foreign.insert(Arc::clone(key), Foreign { revision, claim });
            }

            State::Completed(answer) if is_claiming => {
                self.reply_and_remove(key, Decision::Completed(answer.map(Into::into)));
            }
            State::Unknown if is_claiming => self.reply_and_remove(key, Decision::Unknown),
            State::Completed(_) | State::Unknown | State::Free => self.relinquish(key),
        }
    }

    /// Resolves conflicts with the holder rows that were read for [`Step::Read`].
    pub fn handle_rows(&mut self, rows: &[Row], now: Duration, wall: Duration) {
        for (key, foreign) in std::mem::take(&mut self.foreign) {
            let Foreign { revision, claim } = foreign;
            let is_alive =
                *claim.holder != *self.holder && is_holder_alive(rows, &claim.holder, wall);
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            let is_claiming = entry.phase == Phase::Claiming;
            match (is_alive, is_claiming) {
                (true, true) => self.reply_and_remove(&key, Decision::Running),
                // The other request may still end as not run, so this end is written again later.
                (true, false) if entry.phase == Phase::Ending => {
                    self.end_retries.push_back((now + FOREIGN_CLAIM_RETRY_DELAY, key));
                }
                (true, false) => {}
                // The ledger bills what the dead holder recorded, so a second run under the key
                // would bill the key twice.
                (false, true) => self.reply_and_remove(&key, Decision::Unknown),
                (false, false) => {
                    entry.take_over_row(revision, &claim);
                    self.dirty.insert(key);
                }
            }
        }
    }

    fn handle_applied(&mut self, key: &Key, change_count: u64, revision: u64, now: Duration) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.revision = revision;
        if entry.change_count != change_count {
            self.dirty.insert(Arc::clone(key));
            return;
        }
        match entry.phase {
            Phase::Claiming => {
                entry.phase = Phase::Granted;
                entry.grant(&self.sender);
            }
            Phase::Granted | Phase::Recorded => {}
            Phase::Ending => {
                entry.phase = Phase::Recorded;
                entry.acknowledge(Ownership::Kept);
                self.recorded_answer_bytes += entry.answer_bytes();
                self.recorded.push_back((now, Arc::clone(key)));
            }
        }
    }

    /// Evicts ended claims that are too old, then the oldest while answers exceed their limit.
    fn evict(&mut self, now: Duration) {
        while let Some((recorded_at, key)) = self.recorded.front() {
            let is_expired = now.saturating_sub(*recorded_at) >= self.settings.cache_ttl;
            if !is_expired && self.recorded_answer_bytes <= self.settings.max_cache_bytes {
                return;
            }
            if let Some(entry) = self.entries.get(key)
                && entry.phase == Phase::Recorded
            {
                self.recorded_answer_bytes =
                    self.recorded_answer_bytes.saturating_sub(entry.answer_bytes());
                self.entries.remove(key);
            }
            self.recorded.pop_front();
        }
        self.recorded_answer_bytes = 0;
    }

    /// Handles a claim whose row belongs to a request with another digest.
    fn handle_mismatch(&mut self, key: &Key) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        match entry.phase {
            Phase::Claiming => self.reply_and_remove(key, Decision::Mismatch),
            Phase::Granted => entry.mismatched = true,
            Phase::Ending | Phase::Recorded => self.move_to_own_row(key),
        }
    }

    /// Moves an ended request to a row of its own.
    ///
    /// The request ran before its row could be read, and the key turned out to belong to another
    /// request. The new row, named after key and digest, ensures that it is billed once.
    fn move_to_own_row(&mut self, key: &Key) {
        let Some(mut entry) = self.remove(key) else { return };
        let own_key: Key = format!("{key}/{}", entry.request.digest).into();
        if self.entries.contains_key(&own_key) {
            entry.acknowledge(Ownership::Lost);
            return;
        }
        entry.move_to_row(Arc::clone(&own_key));
        self.entries.insert(Arc::clone(&own_key), entry);
        self.dirty.insert(own_key);
    }

    /// Sends the decision to the waiting request and removes the entry.
    fn reply_and_remove(&mut self, key: &Key, decision: Decision) {
        if let Some(mut entry) = self.remove(key) {
            entry.send_decision(decision);
        }
    }

    /// Gives up a key that another holder owns, once the request has ended.
    ///
    /// Until then the entry only records that the key is owned elsewhere.
    fn relinquish(&mut self, key: &Key) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.owned_elsewhere = true;
        if entry.phase == Phase::Ending {
            entry.acknowledge(Ownership::Lost);
            self.remove(key);
        }
    }

    fn remove(&mut self, key: &Key) -> Option<Entry> {
        self.dirty.remove(key);
        self.foreign.remove(key);
        self.entries.remove(key)
    }
}

/// Returns true if the holder is open and its lease plus [`LEASE_GRACE`] has not ended.
///
/// A wrong result is harmless: the revision check gives each row one owner in any case.
fn is_holder_alive(rows: &[Row], holder: &str, wall: Duration) -> bool {
    let key = holder_key(holder);
    let row = rows.iter().find(|row| row.key == key);
    let holder = row.and_then(|row| serde_json::from_value::<Holder>(row.value.clone()).ok());
    holder.is_some_and(|holder| {
        holder.state == HolderState::Open && holder.lease_until + millis(LEASE_GRACE) > millis(wall)
    })
}
