//! Prefix cache of limited size, with change events that lag and get lost.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::Rng;
use route::cache::{Batch, Event};
use route::prefix::Hash;

/// Most events that are kept for readers; the oldest are dropped first.
const MAX_EVENTS: usize = 4_096;
/// Most events in one answer.
const MAX_ANSWER_EVENTS: usize = 512;

/// Returns the most events in an answer if the request sets no limit.
#[must_use]
pub fn answer_max() -> usize {
    MAX_ANSWER_EVENTS
}

/// Blocks of prompts, with eviction of the least recently used.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    event_lag: Duration,
    event_loss: f64,
    use_count: u64,
    last_use: HashMap<Hash, u64>,
    by_last_use: BTreeMap<u64, Hash>,
    sequence: u64,
    events: VecDeque<(Instant, Event)>,
}

impl Cache {
    /// Opens an empty cache that holds at most `capacity` blocks.
    ///
    /// `event_loss` is the share of events that are lost, from 0 to 1.
    #[must_use]
    pub fn open(capacity: usize, event_lag: Duration, event_loss: f64) -> Self {
        Self {
            capacity,
            event_lag,
            event_loss,
            use_count: 0,
            last_use: HashMap::new(),
            by_last_use: BTreeMap::new(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Marks the blocks of a prompt as used and stores missing ones.
    ///
    /// Returns the number of leading blocks that were cached.
    pub fn touch(&mut self, blocks: &[Hash]) -> usize {
        let hits = blocks.iter().take_while(|block| self.last_use.contains_key(block)).count();
        // The first block becomes the most recently used: eviction starts at the end of a prefix.
        for block in blocks.iter().rev() {
            self.use_count += 1;
            if let Some(previous_use) = self.last_use.insert(*block, self.use_count) {
                self.by_last_use.remove(&previous_use);
            }
            self.by_last_use.insert(self.use_count, *block);
        }
        let removed = self.evict();
        let stored = blocks[hits..].to_vec();
        if !stored.is_empty() || !removed.is_empty() {
            self.publish(stored, removed);
        }
        hits
    }

    fn evict(&mut self) -> Vec<Hash> {
        let mut removed = Vec::new();
        while self.by_last_use.len() > self.capacity {
            if let Some((_, block)) = self.by_last_use.pop_first() {
                self.last_use.remove(&block);
                removed.push(block);
            }
        }
        removed
    }

    fn publish(&mut self, stored: Vec<Hash>, removed: Vec<Hash>) {
        self.sequence += 1;
        if self.event_loss > 0.0 && rand::rng().random_bool(self.event_loss) {
            return;
        }
        let event = Event { sequence: self.sequence, stored, removed };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the sequence number of the newest event, lost or not; 0 without events.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the oldest events after sequence number `after` that are visible.
    ///
    /// An event is visible once it is older than the event lag. No answer has more than
    /// [`answer_max`] events.
    #[must_use]
    pub fn events(&self, after: u64, limit: usize) -> Batch {
        let visible =
            self.events.iter().take_while(|(stored_at, _)| stored_at.elapsed() >= self.event_lag);
        let events =
            visible.filter(|(_, event)| event.sequence > after).take(limit.min(MAX_ANSWER_EVENTS));
        Batch { events: events.map(|(_, event)| event.clone()).collect() }
    }
}
