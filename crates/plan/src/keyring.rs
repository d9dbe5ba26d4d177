//! Callers' keys, read from the table on demand and kept in a bounded cache.
//!
//! A copy of a key is valid as long as the configuration in force does not say that the key was
//! changed after the copy was read, see [`crate::doc::KeyChanges`]. While the table is out, valid
//! copies go on working, and a revocation that arrives by a peer still ends them.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use base::clock::millis;
use base::prelude::*;
use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use futures::future::LocalBoxFuture;

use crate::ActiveDoc;
use crate::doc::Key;

/// Number of independently updated parts of the cache.
const SHARD_COUNT: usize = 64;
/// Keys kept in each part.
const MAX_SHARD_KEYS: usize = 256;
/// Time for which it is remembered that a key does not exist.
const ABSENT_KEY_TTL: Duration = Duration::from_secs(1);
/// Longest time a request waits for its key.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(800);
/// Most keys read at once.
const MAX_BATCH_KEYS: usize = 256;

/// The key could not be read; the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the key cannot be looked up now")]
pub struct Unreachable;

/// Keys read at a version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Version that the reading reflects at least.
    pub version: Version,
    /// Keys that exist, by digest.
    pub keys: HashMap<String, Key>,
}

/// Where keys are read from.
pub trait Source {
    /// Reads keys by digest; those that are not in the answer do not exist.
    fn read(&self, digests: Vec<String>) -> LocalBoxFuture<'_, Result<Snapshot, Unreachable>>;
}

#[derive(Debug)]
struct Entry {
    key: Option<Key>,
    version: Version,
    read_at: Duration,
    last_used_ms: AtomicU64,
}

type Shard = HashMap<String, Arc<Entry>>;

#[derive(Debug)]
struct Lookup {
    digest: String,
    reply: oneshot::Sender<Result<Option<Key>, Unreachable>>,
}

#[derive(Debug)]
struct Cache {
    shards: Vec<ArcSwap<Shard>>,
    hasher: RandomState,
    active: Arc<ActiveDoc>,
    clock: Arc<dyn Clock>,
}

impl Cache {
    fn shard(&self, digest: &str) -> &ArcSwap<Shard> {
        let hash = self.hasher.hash_one(digest);
        &self.shards[usize::try_from(hash % SHARD_COUNT as u64).unwrap_or_default()]
    }

    /// Returns a valid copy.
    fn get(&self, digest: &str) -> Option<Arc<Entry>> {
        let entry = self.shard(digest).load().get(digest).map(Arc::clone)?;
        let now = self.clock.now();
        let is_fresh = entry.key.is_some() || now.saturating_sub(entry.read_at) < ABSENT_KEY_TTL;
        let is_valid = self.active.load().touched.is_valid(digest, entry.version);
        entry.last_used_ms.store(millis(now), Ordering::Relaxed);
        (is_fresh && is_valid).then_some(entry)
    }

    fn put(&self, digest: &str, key: Option<Key>, version: Version) {
        let now = self.clock.now();
        let entry =
            Arc::new(Entry { key, version, read_at: now, last_used_ms: millis(now).into() });
        self.shard(digest).rcu(|shard| {
            let mut shard = Shard::clone(shard);
            shard.insert(digest.to_owned(), Arc::clone(&entry));
            if shard.len() > MAX_SHARD_KEYS {
                let oldest = shard
                    .iter()
                    .min_by_key(|(_, entry)| entry.last_used_ms.load(Ordering::Relaxed));
                let oldest = oldest.map(|(digest, _)| digest.clone()).unwrap_or_default();
                shard.remove(&oldest);
            }
            shard
        });
    }
}

/// Callers' keys as this instance knows them.
#[derive(Debug, Clone)]
pub struct Keyring {
    cache: Arc<Cache>,
    sender: mpsc::UnboundedSender<Lookup>,
}

/// The receiving end of a [`Keyring`].
#[derive(Debug)]
pub struct Inbox {
    cache: Arc<Cache>,
    receiver: mpsc::UnboundedReceiver<Lookup>,
}

/// Creates a keyring together with the inbox to run it with.
#[must_use]
pub fn open(active: Arc<ActiveDoc>, clock: Arc<dyn Clock>) -> (Keyring, Inbox) {
    let (sender, receiver) = mpsc::unbounded();
    let shards = (0..SHARD_COUNT).map(|_| ArcSwap::from_pointee(Shard::new())).collect();
    let cache = Arc::new(Cache { shards, hasher: RandomState::new(), active, clock });
    (Keyring { cache: Arc::clone(&cache), sender }, Inbox { cache, receiver })
}

impl Keyring {
    /// Finds a key by its digest; `None` means that there is no such key.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid copy is kept and the key cannot be read now.
    pub async fn find(&self, digest: &str) -> Result<Option<Key>, Unreachable> {
        if let Some(entry) = self.cache.get(digest) {
            return Ok(entry.key.clone());
        }
        let (reply, answer) = oneshot::channel();
        let lookup = Lookup { digest: digest.to_owned(), reply };
        self.sender.unbounded_send(lookup).map_err(|_closed| Unreachable)?;
        match tokio::time::timeout(LOOKUP_TIMEOUT, answer).await {
            Ok(Ok(found)) => found,
            _ => Err(Unreachable),
        }
    }

    /// Returns a valid copy of a key and the version at which it was read.
    #[must_use]
    pub fn cached(&self, digest: &str) -> Option<(Version, Key)> {
        let entry = self.cache.get(digest)?;
        Some((entry.version, entry.key.clone()?))
    }
}

impl Inbox {
    /// Reads keys from a source until all keyrings are dropped.
    pub async fn run(mut self, source: Rc<dyn Source>) {
        while let Some(first) = self.receiver.next().await {
            let mut lookups = vec![first];
            while lookups.len() < MAX_BATCH_KEYS
                && let Ok(lookup) = self.receiver.try_recv()
            {
                lookups.push(lookup);
            }
            self.resolve(lookups, &*source).await;
        }
    }

    async fn resolve(&self, lookups: Vec<Lookup>, source: &dyn Source) {
        let mut digests: Vec<String> = lookups.iter().map(|lookup| lookup.digest.clone()).collect();
        digests.sort();
        digests.dedup();
        let snapshot = source.read(digests).await;
        for Lookup { digest, reply } in lookups {
            let found = snapshot.as_ref().map_err(|error| *error).and_then(|snapshot| {
                let key = snapshot.keys.get(&digest).cloned();
                self.cache.put(&digest, key.clone(), snapshot.version);
                // A reading that is older than the last change of the key proves nothing.
                let is_valid = self.cache.active.load().touched.is_valid(&digest, snapshot.version);
                is_valid.then_some(key).ok_or(Unreachable)
            });
            // A request that has given up needs no answer.
            reply.send(found).unwrap_or_default();
        }
    }
}
