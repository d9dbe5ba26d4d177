//! Estimated content of the prefix cache of an upstream.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::prefix::Hash;

/// A change of the prefix cache of an engine, as the engine reports it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the event, ascending by 1; a gap means that events were lost.
    pub sequence: u64,
    /// Hashes of the blocks that the engine has added.
    pub stored: Vec<Hash>,
    /// Hashes of the blocks that the engine has evicted.
    pub removed: Vec<Hash>,
}

/// Events of one engine in ascending order of [`Event::sequence`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Events after the requested number; empty if there are none.
    pub events: Vec<Event>,
}

/// Bounded set of the blocks that one upstream probably has cached.
///
/// The least recently used blocks are evicted first.
#[derive(Debug)]
pub struct Cache {
    max_blocks: usize,
    use_count: u64,
    last_uses: HashMap<Hash, u64>,
    use_order: VecDeque<(u64, Hash)>,
    sequence: u64,
}

impl Cache {
    /// Creates an empty set of at most `max_blocks` blocks.
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

    /// Returns the number of the last applied event, 0 before the first.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns how many leading blocks of a prompt are probably cached.
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

    /// Adds blocks that were sent to the upstream or reported by it.
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

    /// Applies events that are newer than the last applied one.
    ///
    /// A gap may hide evictions, so it evicts the eighth of the blocks that was unused longest.
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

    /// Removes all blocks and resets the event number, as after a restart of the engine.
    pub fn clear(&mut self) {
        *self = Self::open(self.max_blocks);
    }

    /// Evicts the eighth of the blocks that was unused for the longest time.
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
