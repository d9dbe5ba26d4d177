//! What one instance knows of versions and of streams; it has no I/O.

use std::collections::{HashMap, VecDeque};

use base::prelude::*;
use sha2::{Digest, Sha256};

/// Time after its first event for which the version of a stream is kept; longer than any stream.
pub const STREAM_TTL: Duration = Duration::from_secs(30);
/// Most streams in a journal; beyond it, the oldest are forgotten.
pub const MAX_STREAMS: usize = 8_192;
/// Time without a listed upstream after which a version is forgotten.
///
/// It is shorter than [`REMOVAL_TIME`], so that no instance uses a version whose row is removed.
pub const VERSION_TTL: Duration = Duration::from_mins(5);
/// Time without a listed upstream after which the row of a version is removed.
pub const REMOVAL_TIME: Duration = Duration::from_mins(10);

/// Digest of a service and of the id of a stream's first request.
pub type Key = u128;

/// Returns the key of a stream.
#[must_use]
pub fn stream_key(service: &str, stream: &str) -> Key {
    let mut hash = Sha256::new();
    hash.update(service.len().to_le_bytes());
    hash.update(service.as_bytes());
    hash.update(stream.as_bytes());
    let digest = hash.finalize();
    u128::from_be_bytes(std::array::from_fn(|index| digest[index]))
}

/// A version of a service.
#[derive(Debug, Clone, Copy)]
struct Version {
    /// When an upstream of the version was last listed.
    listed_at: Duration,
    /// Whether the table has had the version's row, so that streams may begin there.
    is_announced: bool,
    /// Whether the table has the row; a restore may have lost it.
    is_stored: bool,
}

impl Version {
    fn is_in_use(&self, now: Duration) -> bool {
        now < self.listed_at + VERSION_TTL
    }

    fn is_removable(&self, now: Duration) -> bool {
        now >= self.listed_at + REMOVAL_TIME
    }
}

/// A stream that has begun.
#[derive(Debug, Clone)]
struct Stream {
    service: ServiceId,
    version: SoftwareVersion,
    at: Duration,
    is_stored: bool,
}

/// Stream whose version is to be written to the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key of the stream.
    pub key: Key,
    /// Version at which the stream began.
    pub version: SoftwareVersion,
}

/// Versions of all services, and the streams that this instance has relayed lately.
#[derive(Debug, Default)]
pub struct Journal {
    versions: HashMap<(ServiceId, SoftwareVersion), Version>,
    streams: HashMap<Key, Stream>,
    /// Keys in the order of the records; a stream that is recorded again occurs twice.
    order: VecDeque<(Duration, Key)>,
    unstored: VecDeque<Key>,
    /// Keys whose rows are to be removed from the table.
    obsolete: VecDeque<Key>,
}

impl Journal {
    /// Notes a listed version; returns true if it is to be announced.
    pub fn observe(
        &mut self,
        service: &ServiceId,
        version: &SoftwareVersion,
        now: Duration,
    ) -> bool {
        let entry = self.entry(service, version, now);
        entry.listed_at = now;
        !entry.is_stored
    }

    /// Notes that the table has the row of a version.
    pub fn mark_announced(
        &mut self,
        service: &ServiceId,
        version: &SoftwareVersion,
        now: Duration,
    ) {
        let entry = self.entry(service, version, now);
        entry.is_announced = true;
        entry.is_stored = true;
    }

    fn entry(
        &mut self,
        service: &ServiceId,
        version: &SoftwareVersion,
        now: Duration,
    ) -> &mut Version {
        let key = (Arc::clone(service), Arc::clone(version));
        let new = Version { listed_at: now, is_announced: false, is_stored: false };
        self.versions.entry(key).or_insert(new)
    }

    /// Returns the listed versions whose rows the table lacks.
    #[must_use]
    pub fn unannounced(&self, now: Duration) -> Vec<(ServiceId, SoftwareVersion)> {
        let is_missing = |version: &Version| !version.is_stored && version.is_in_use(now);
        let missing = self.versions.iter().filter(|(_, version)| is_missing(version));
        missing.map(|(key, _)| key.clone()).collect()
    }

    /// Returns true if streams may begin at a version.
    #[must_use]
    pub fn is_announced(&self, service: &ServiceId, version: &SoftwareVersion) -> bool {
        let key = (Arc::clone(service), Arc::clone(version));
        self.versions.get(&key).is_some_and(|version| version.is_announced)
    }

    /// Returns the version of a service that has exactly one.
    #[must_use]
    pub fn sole_version(&self, service: &str) -> Option<SoftwareVersion> {
        let mut versions = self.versions.keys().filter(|(known, _)| **known == *service);
        let (_, version) = versions.next()?;
        versions.next().is_none().then(|| Arc::clone(version))
    }

    /// Returns true if a service has several versions.
    #[must_use]
    pub fn is_mixed(&self, service: &str) -> bool {
        self.versions.keys().filter(|(known, _)| **known == *service).nth(1).is_some()
    }

    /// Returns true if a version's row may be removed.
    #[must_use]
    pub fn is_removable(
        &self,
        service: &ServiceId,
        version: &SoftwareVersion,
        now: Duration,
    ) -> bool {
        let key = (Arc::clone(service), Arc::clone(version));
        self.versions.get(&key).is_some_and(|version| version.is_removable(now))
    }

    /// Ends the use of versions without a listed upstream, until they are announced again.
    ///
    /// They still count as versions of their service until their rows are removed.
    pub fn expire_versions(&mut self, now: Duration) {
        for version in self.versions.values_mut().filter(|version| !version.is_in_use(now)) {
            version.is_announced = false;
            version.is_stored = false;
        }
    }

    /// Forgets old versions that are not among those of the table.
    pub fn retain_versions(&mut self, stored: &[(ServiceId, SoftwareVersion)], now: Duration) {
        self.versions.retain(|key, version| !version.is_removable(now) || stored.contains(key));
    }

    /// Records the version of a stream; returns true if it is to be written to the table.
    pub fn record(
        &mut self,
        key: Key,
        service: &ServiceId,
        version: &SoftwareVersion,
        now: Duration,
    ) -> bool {
        self.expire_streams(now);
        let (service, version) = (Arc::clone(service), Arc::clone(version));
        let is_mixed = self.is_mixed(&service);
        let stream = Stream { service, version, at: now, is_stored: false };
        self.streams.insert(key, stream);
        self.order.push_back((now, key));
        self.unstored.push_back(key);
        is_mixed
    }

    /// Returns the version at which a stream began, if this instance has relayed it.
    #[must_use]
    pub fn find(&self, key: Key) -> Option<SoftwareVersion> {
        self.streams.get(&key).map(|stream| Arc::clone(&stream.version))
    }

    /// Forgets streams that are too old, and the oldest ones above [`MAX_STREAMS`].
    fn expire_streams(&mut self, now: Duration) {
        while let Some((at, key)) = self.order.front().copied() {
            if now < at + STREAM_TTL && self.order.len() < MAX_STREAMS {
                break;
            }
            self.order.pop_front();
            if self.streams.get(&key).is_some_and(|stream| stream.at == at)
                && self.streams.remove(&key).is_some_and(|stream| stream.is_stored)
                && self.obsolete.len() < MAX_STREAMS
            {
                self.obsolete.push_back(key);
            }
        }
        while self.unstored.front().is_some_and(|key| !self.streams.contains_key(key)) {
            self.unstored.pop_front();
        }
    }

    /// Takes up to `limit` streams of services with several versions that the table lacks.
    pub fn take_unstored(&mut self, limit: usize) -> Vec<Entry> {
        let mut taken = Vec::new();
        let mut rest = VecDeque::new();
        for key in std::mem::take(&mut self.unstored) {
            let Some(stream) = self.streams.get(&key) else { continue };
            if taken.len() < limit && self.is_mixed(&stream.service) {
                taken.push(Entry { key, version: Arc::clone(&stream.version) });
            } else {
                rest.push_back(key);
            }
        }
        self.unstored = rest;
        taken
    }

    /// Takes up to `limit` keys whose rows are to be removed.
    pub fn take_obsolete(&mut self, limit: usize) -> Vec<Key> {
        let count = limit.min(self.obsolete.len());
        self.obsolete.drain(..count).collect()
    }

    /// Notes that the table has the rows of these streams.
    pub fn mark_stored(&mut self, entries: &[Entry]) {
        for entry in entries {
            if let Some(stream) = self.streams.get_mut(&entry.key) {
                stream.is_stored = true;
            }
        }
    }

    /// Returns entries and keys that could not be written, so that they are taken again.
    pub fn put_back(&mut self, entries: &[Entry], obsolete: &[Key]) {
        entries.iter().rev().for_each(|entry| self.unstored.push_front(entry.key));
        obsolete.iter().rev().for_each(|key| self.obsolete.push_front(*key));
    }

    /// Treats all rows as missing, because a restore of the table may have lost them.
    pub fn unstore(&mut self) {
        self.versions.values_mut().for_each(|version| version.is_stored = false);
        self.streams.values_mut().for_each(|stream| stream.is_stored = false);
        self.unstored = self.order.iter().map(|(_, key)| *key).collect();
    }
}
