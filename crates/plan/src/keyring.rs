//! Callers' keys, read from the table on demand and kept in a bounded cache.
//!
//! A cached key is valid until the active configuration lists a change of the key that is newer
//! than the copy, see [`crate::doc::KeyChanges`]. While the table is unreachable, valid copies are
//! still used, and a revocation in a configuration received from a peer still invalidates them.

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

/// Number of cache shards; an update copies only one shard.
const SHARD_COUNT: usize = 64;
/// Most keys in each shard; one more evicts the least recently used key.
const MAX_SHARD_KEYS: usize = 256;
/// Time for which the absence of a key is cached before another read.
const ABSENT_KEY_TTL: Duration = Duration::from_secs(1);
/// Longest time that a request waits for its key.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(800);
/// Most lookups that one read of the source answers.
const MAX_BATCH_KEYS: usize = 256;

/// No valid copy of the key was read in time; the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the key cannot be looked up now")]
pub struct Unreachable;

/// Keys as of a version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Version up to which `keys` contains all changes; later ones may be included.
    pub version: Version,
    /// Requested keys that exist, by digest.
    pub keys: HashMap<String, Key>,
}

/// A source of keys, such as the table or a peer.
pub trait Source {
    /// Reads keys by digest; those missing from the snapshot do not exist.
    fn read(&self, digests: Vec<String>) -> LocalBoxFuture<'_, Result<Snapshot, Unreachable>>;
}

#[derive(Debug)]
struct Entry {
    /// The key, `None` if it does not exist.
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

    /// Marks the cached entry of a key as used and returns it if valid.
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

/// Handle through which requests look up callers' keys.
#[derive(Debug, Clone)]
pub struct Keyring {
    cache: Arc<Cache>,
    sender: mpsc::UnboundedSender<Lookup>,
}

/// The receiving end of a [`Keyring`], which answers its lookups.
#[derive(Debug)]
pub struct Inbox {
    cache: Arc<Cache>,
    receiver: mpsc::UnboundedReceiver<Lookup>,
}

/// Creates a keyring and the inbox that serves its lookups.
#[must_use]
pub fn open(active: Arc<ActiveDoc>, clock: Arc<dyn Clock>) -> (Keyring, Inbox) {
    let (sender, receiver) = mpsc::unbounded();
    let shards = (0..SHARD_COUNT).map(|_| ArcSwap::from_pointee(Shard::new())).collect();
    let cache = Arc::new(Cache { shards, hasher: RandomState::new(), active, clock });
    (Keyring { cache: Arc::clone(&cache), sender }, Inbox { cache, receiver })
}

impl Keyring {
    /// Finds a key by its digest; `None` means that the key does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] if no valid copy is cached and the key cannot be read in time.
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

    /// Returns a valid cached copy of a key and the version of its snapshot.
    ///
    /// Returns `None` if there is no such copy; the source is not read.
    #[must_use]
    pub fn cached(&self, digest: &str) -> Option<(Version, Key)> {
        let entry = self.cache.get(digest)?;
        Some((entry.version, entry.key.clone()?))
    }
}

impl Inbox {
    /// Answers lookups from a source until all keyrings are dropped.
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
                // A snapshot older than the last change of the key may hold a revoked key.
                let is_valid = self.cache.active.load().touched.is_valid(&digest, snapshot.version);
                is_valid.then_some(key).ok_or(Unreachable)
            });
            // The request may have timed out; the error is ignored then.
            reply.send(found).unwrap_or_default();
        }
    }
}
