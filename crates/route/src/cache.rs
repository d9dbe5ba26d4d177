//! What is known about the prefix caches of the upstreams.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::prefix::Hash;

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the event; a gap shows that events were lost.
    pub sequence: u64,
    /// Blocks that are cached now.
    pub stored: Vec<Hash>,
    /// Blocks that are no longer cached.
    pub removed: Vec<Hash>,
}

/// Events of one engine in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Events.
    pub events: Vec<Event>,
}

/// Blocks that one upstream probably holds, within a fixed size.
#[derive(Debug)]
pub struct Cache {
    max_blocks: usize,
    use_count: u64,
    last_uses: HashMap<Hash, u64>,
    use_order: VecDeque<(u64, Hash)>,
    sequence: u64,
}

impl Cache {
    /// Opens an empty record of at most `capacity` blocks.
    #[must_use]
    pub fn open(max_blocks: usize) -> Self {
        Self {
            max_blocks,
            use_count: 0,
            last_uses: HashMap::new(),
            use_order: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Returns the number of the last event seen.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns how many leading blocks are probably cached.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut cache = route::cache::Cache::open(8);
    /// cache.insert(&[1, 2]);
    /// assert_eq!(cache.count_leading_hits(&[1, 2, 3]), 2);
    /// assert_eq!(cache.count_leading_hits(&[4]), 0);
    /// ```
    #[must_use]
    pub fn count_leading_hits(&self, blocks: &[Hash]) -> usize {
        blocks.iter().take_while(|block| self.last_uses.contains_key(block)).count()
    }

    /// Notes blocks that were sent to the upstream or reported by it.
    pub fn insert(&mut self, blocks: &[Hash]) {
        for block in blocks.iter().rev() {
            self.use_count += 1;
            self.last_uses.insert(*block, self.use_count);
            self.use_order.push_back((self.use_count, *block));
        }
        while self.last_uses.len() > self.max_blocks || self.use_order.len() > 4 * self.max_blocks {
            let Some((use_number, block)) = self.use_order.pop_front() else { break };
            if self.last_uses.get(&block) == Some(&use_number) {
                self.last_uses.remove(&block);
            }
        }
    }

    /// Takes in events; after a gap what was lost may be stale, so the oldest blocks are dropped.
    pub fn apply(&mut self, batch: &Batch) {
        for event in &batch.events {
            if event.sequence <= self.sequence {
                continue;
            }
            if event.sequence > self.sequence + 1 && self.sequence > 0 {
                self.evict_oldest();
            }
            self.sequence = event.sequence;
            self.insert(&event.stored);
            for block in &event.removed {
                self.last_uses.remove(block);
            }
        }
    }

    /// Starts over, as after a restart of the engine.
    pub fn clear(&mut self) {
        *self = Self::open(self.max_blocks);
    }

    /// Drops a share of the blocks that were not used for the longest time.
    fn evict_oldest(&mut self) {
        let target_len = self.last_uses.len() - self.last_uses.len() / 8;
        while self.last_uses.len() > target_len {
            let Some((use_number, block)) = self.use_order.pop_front() else { break };
            if self.last_uses.get(&block) == Some(&use_number) {
                self.last_uses.remove(&block);
            }
        }
    }
}
