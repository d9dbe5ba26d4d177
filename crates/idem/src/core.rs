//! The state machine that composes an instance's claim transactions.
//!
//! The machine has no I/O and no clock of its own. [`event`](crate::event) feeds it messages and
//! answers of the table; property tests feed it generated histories.

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

/// Most claims in one transaction.
const MAX_BATCH_CLAIMS: usize = 128;
/// Pause before an ended claim looks again whether another holder's claim has ended.
const FOREIGN_CLAIM_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after the end of its lease from which a holder counts as dead.
const LEASE_GRACE: Duration = Duration::from_secs(2);
/// Time for which the row of a freed claim stays.
const FREED_ROW_TTL: Duration = Duration::from_mins(10);

/// Settings of the machine.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Time for which a key keeps its meaning.
    pub key_ttl: Duration,
    /// Time for which an answer stays in memory.
    pub cache_ttl: Duration,
    /// Most bytes of answers in memory.
    pub max_cache_bytes: usize,
    /// Largest answer that is written to the table, in bytes.
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

/// What the machine wants done next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read these rows and call [`Core::handle_rows`].
    Read(Vec<String>),
    /// Commit this transaction, repeating it until the table answers, and call [`Core::handle_commit`].
    Commit(Txn),
    /// Nothing to do now.
    Idle,
}

/// A transaction in flight, with the change count of each entry that it writes.
#[derive(Debug)]
struct Batch {
    stamp: u64,
    change_counts: BTreeMap<Key, u64>,
}

/// A claim of another holder.
#[derive(Debug)]
struct Foreign {
    revision: u64,
    claim: Claim,
}

/// The state machine of one holder's claims.
#[derive(Debug)]
pub struct Core {
    holder: HolderId,
    settings: Settings,
    sender: mpsc::UnboundedSender<Message>,
    entries: BTreeMap<Key, Entry>,
    /// Entries whose row is to be written.
    dirty: BTreeSet<Key>,
    /// Claims that wait for news of their holder.
    foreign: BTreeMap<Key, Foreign>,
    /// Ended claims that wait for the end of another holder's claim.
    end_retries: VecDeque<(Duration, Key)>,
    in_flight: Option<Batch>,
    stamp: u64,
    recorded: VecDeque<(Duration, Key)>,
    recorded_answer_bytes: usize,
}

impl Core {
    /// Opens the machine of a holder; granted claims report their end to `sender`.
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

    /// Takes in a message.
    pub fn handle(&mut self, message: Message) {
        match message {
            Message::Claim { request, reply } => self.claim(request, reply),
            Message::End { row_key, end, ack } => self.end(&row_key, end, ack),
            Message::Close(_) => {}
        }
    }

    /// Returns true if something is to be written or read.
    #[must_use]
    pub fn has_work(&self) -> bool {
        let is_waiting = !self.foreign.is_empty() || !self.end_retries.is_empty();
        is_waiting || self.in_flight.is_some() || !self.dirty.is_empty()
    }

    /// Returns true if a request waits for the table.
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
        // A caller that has gone away needs no answer.
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

    /// Answers the requests that wait for the table, for use while it does not answer.
    ///
    /// An idempotent request runs without its row, which is written later; the request is billed
    /// only if the row then shows that no other instance owns the key. Others are refused.
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

    /// Returns what to do next.
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

    /// Tries again to write the ends that waited for another holder.
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

    /// Takes in the table's answer to the transaction in flight.
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
            // Another row of the batch was in the way.
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
            // The transaction was applied before, and its reply was lost.
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

    /// Handles a row that another request, of this or another holder, has written.
    fn handle_occupied(&mut self, key: &Key, revision: u64, claim: Claim) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.ended_not_run() {
            entry.acknowledge(Ownership::Kept);
            self.remove(key);
            return;
        }
        let is_claiming = entry.phase == Phase::Claiming;
        if entry.request.digest != claim.digest {
            self.handle_mismatch(key);
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

    /// Takes in the holder rows that were read for [`Step::Read`].
    pub fn handle_rows(&mut self, rows: &[Row], now: Duration, wall: Duration) {
        for (key, foreign) in std::mem::take(&mut self.foreign) {
            let Foreign { revision, claim } = foreign;
            let is_alive =
                *claim.holder != *self.holder && is_holder_alive(rows, &claim.holder, wall);
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            let is_claiming = entry.phase == Phase::Claiming;
            match (is_alive, is_claiming) {
                (true, true) => self.reply_and_remove(&key, Decision::Running),
                // Whether the other request ends as run is not known yet.
                (true, false) if entry.phase == Phase::Ending => {
                    self.end_retries.push_back((now + FOREIGN_CLAIM_RETRY_DELAY, key));
                }
                (true, false) => {}
                // The ledger bills what a dead holder had recorded, so that a second run under the
                // key would be billed again.
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

    /// Forgets old ends, and the oldest ones when their answers take too much memory.
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

    /// Handles a key that names another request.
    fn handle_mismatch(&mut self, key: &Key) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        match entry.phase {
            Phase::Claiming => self.reply_and_remove(key, Decision::Mismatch),
            Phase::Granted => entry.mismatched = true,
            Phase::Ending | Phase::Recorded => self.move_to_own_row(key),
        }
    }

    /// Moves a request that ran under another's key to a row of its own, to be billed once.
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

    fn reply_and_remove(&mut self, key: &Key, decision: Decision) {
        if let Some(mut entry) = self.remove(key) {
            entry.send_decision(decision);
        }
    }

    /// Gives up a key that another holder owns.
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

/// Returns true if a holder may still act.
///
/// A wrong answer does no harm, since the row has one owner in any case.
fn is_holder_alive(rows: &[Row], holder: &str, wall: Duration) -> bool {
    let key = holder_key(holder);
    let row = rows.iter().find(|row| row.key == key);
    let holder = row.and_then(|row| serde_json::from_value::<Holder>(row.value.clone()).ok());
    holder.is_some_and(|holder| {
        holder.state == HolderState::Open && holder.lease_until + millis(LEASE_GRACE) > millis(wall)
    })
}
