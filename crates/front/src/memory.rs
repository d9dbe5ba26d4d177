//! Account of the bytes and descriptors that connections hold, and the choice of who gives way.
//!
//! It handles one load pattern: clients that make an instance hold bytes or descriptors without
//! letting it finish anything. They leave large bodies unfinished, send or read a byte at a time, or
//! open connections and stay silent. Without a bound, tens of them exhaust the memory of the
//! machine, which ends the process.
//!
//! Under the bounds, nobody is affected. Above them, connections whose request is not being run
//! give way: for memory, those that hold the most and have gone longest without progress; for
//! descriptors, those that have finished no request, and among them the one longest without
//! progress. Large holders together get only a part of the memory, so that small requests go on
//! while a crowd holds the rest. A request that is being run at an upstream never gives way.

use std::time::Duration;

use slotmap::SlotMap;

pub mod holder;

pub use self::holder::{Holder, Registry};

/// Memory that is left to everything but held bytes.
///
/// The program takes 10 MB, an answer of the store up to 16 MB, tunnels of others up to 8 MB.
const RESERVED_BYTES: usize = 36_000_000;
/// Fraction of the remaining memory for held bytes; the rest is overhead of the allocator.
const BYTES_RATIO: (usize, usize) = (7, 8);
/// Fraction of the held bytes that large holders may have together.
///
/// The allocator returns freed buffers late: with a half, 26 MB, a crowd that sent large bodies
/// without a pause took 101 MB of resident memory.
const LARGE_RATIO: (usize, usize) = (1, 4);
/// Smallest bound on the bytes of large holders, so that one of the largest size fits beside another.
const MIN_LARGE_BYTES: usize = 9 << 20;
/// Bytes above which a holder is large; ordinary bodies have up to 100,000.
const LARGE_BYTES: usize = 256 << 10;
/// Bytes above which an answer that arrives is large; ordinary ones have less than a KB.
///
const LARGE_ANSWER_BYTES: usize = 32 << 10;
/// Part of the bound on large holders that large answers may have together while they arrive.
///
/// Upstreams that send without an end fill memory as fast as the allocator returns it: with the whole
/// bound, 300 of their answers took 100 MB of resident memory.
const LARGE_ANSWERS_DIVISOR: usize = 4;
/// Smallest bound on held bytes, so that a request of the largest size still fits.
const MIN_BYTES: usize = 12 << 20;
/// Descriptors of the machine that are reserved for files.
const RESERVED_DESCRIPTORS: usize = 200;
/// Fraction of the usable descriptors for callers and their requests at upstreams.
///
/// The rest is for idle connections to upstreams, tunnels, links, the store and the listeners.
const DESCRIPTORS_RATIO: (usize, usize) = (4, 5);
/// Fraction of the usable descriptors for the readiness, directory and metrics addresses.
const AUXILIARY_DESCRIPTORS_RATIO: (usize, usize) = (1, 16);
/// Most connections to the readiness, directory and metrics addresses together.
const MAX_AUXILIARY_DESCRIPTORS: usize = 64;
/// Most bytes that those connections hold together.
const MAX_AUXILIARY_BYTES: usize = 4 << 20;
/// Most tunnels of other instances, each of which has two descriptors.
const MAX_TUNNELS: usize = 256;
/// Fraction of the usable descriptors that may be tunnels.
const TUNNELS_RATIO: (usize, usize) = (1, 11);
/// Part of a bound by which holders fall below it once they give way, so that they are rarely sorted.
const RELIEF_DIVISOR: usize = 16;
/// Bytes of a connection besides its buffers: its task and its entry.
const CONNECTION_BYTES: usize = 2 << 10;
/// Received bytes that count as progress; fewer do not renew the standing of a slow sender.
const PROGRESS_BYTES: usize = 1 << 10;
/// Time that is added to a holder's time without progress, so that its size matters at once.
const STALL_OFFSET: Duration = Duration::from_secs(1);

slotmap::new_key_type! {
    /// Id of a holder in an account.
    pub struct Id;
}

/// Bounds on what all holders of an account have together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Bytes of all holders.
    pub bytes: usize,
    /// Bytes of the large holders.
    pub large_bytes: usize,
    /// Descriptors of all holders.
    pub descriptors: usize,
}

impl Bounds {
    /// Returns the bounds for callers on a machine; `usize::MAX` means that nothing is stated.
    ///
    /// # Examples
    ///
    /// ```
    /// let bounds = front::memory::Bounds::for_callers(88_000_000, 3_075);
    /// assert_eq!((bounds.bytes, bounds.descriptors), (45_500_000, 2_300));
    /// ```
    #[must_use]
    pub fn for_callers(memory_bytes: usize, file_descriptors: usize) -> Self {
        let bytes = scale(memory_bytes.saturating_sub(RESERVED_BYTES), BYTES_RATIO).max(MIN_BYTES);
        let usable = file_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        Self {
            bytes,
            large_bytes: scale(bytes, LARGE_RATIO).max(MIN_LARGE_BYTES),
            descriptors: scale(usable, DESCRIPTORS_RATIO).max(1),
        }
    }

    /// Returns the bound on the bytes of large answers while they arrive.
    ///
    /// # Examples
    ///
    /// ```
    /// let bounds = front::memory::Bounds::for_callers(88_000_000, 3_075);
    /// assert_eq!(bounds.large_answer_bytes(), 2_843_750);
    /// ```
    #[must_use]
    pub fn large_answer_bytes(&self) -> usize {
        self.large_bytes / LARGE_ANSWERS_DIVISOR
    }

    /// Returns the bounds for the readiness, directory and metrics addresses together.
    #[must_use]
    pub fn for_auxiliary(file_descriptors: usize) -> Self {
        let usable = file_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let descriptors = scale(usable, AUXILIARY_DESCRIPTORS_RATIO);
        Self {
            bytes: MAX_AUXILIARY_BYTES,
            large_bytes: MAX_AUXILIARY_BYTES,
            descriptors: descriptors.clamp(1, MAX_AUXILIARY_DESCRIPTORS),
        }
    }
}

/// Returns how many tunnels of other instances a machine with these descriptors carries at most.
///
/// # Examples
///
/// ```
/// assert_eq!(front::memory::max_tunnels(3_075), 256);
/// assert_eq!(front::memory::max_tunnels(640), 40);
/// ```
#[must_use]
pub fn max_tunnels(file_descriptors: usize) -> usize {
    let usable = file_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    scale(usable, TUNNELS_RATIO).clamp(1, MAX_TUNNELS)
}

/// Multiplies without overflow.
fn scale(value: usize, (numerator, denominator): (usize, usize)) -> usize {
    value / denominator * numerator
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It waits for the next request, of which nothing has arrived.
    Idle,
    /// A request arrives; nothing has run.
    Receiving,
    /// A request is being run, so the holder does not give way.
    Running,
    /// A whole answer arrives or is sent.
    Answering,
}

/// What is scarce when a holder gives way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resource {
    /// Held bytes.
    Memory,
    /// Open descriptors.
    Descriptors,
}

impl Resource {
    /// Returns the name as it appears in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Descriptors => "descriptors",
        }
    }
}

/// A holder that has to give way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Eviction {
    /// The holder.
    pub id: Id,
    /// What is scarce.
    pub resource: Resource,
    /// What the holder was doing.
    pub phase: Phase,
    /// Bytes that it holds.
    pub bytes: usize,
    /// Time since its last progress.
    pub stalled: Duration,
}

#[derive(Debug)]
struct Entry {
    phase: Phase,
    bytes: usize,
    /// Bytes of an answer that arrives, which `bytes` includes.
    answer_bytes: usize,
    descriptors: usize,
    /// Bytes received since the last progress.
    received: usize,
    progress_at: Duration,
    has_finished: bool,
    /// Whether it has been told to give way; its bytes no longer count.
    is_leaving: bool,
}

impl Entry {
    fn may_leave(&self) -> bool {
        !self.is_leaving && self.phase != Phase::Running
    }

    fn stalled(&self, now: Duration) -> Duration {
        now.saturating_sub(self.progress_at)
    }

    /// Order in which holders give way for memory, the highest first.
    fn memory_weight(&self, now: Duration) -> u128 {
        self.bytes as u128 * (self.stalled(now) + STALL_OFFSET).as_millis()
    }
}

/// Account of what all holders have.
#[derive(Debug)]
pub struct Account {
    bounds: Bounds,
    entries: SlotMap<Id, Entry>,
    bytes: usize,
    large_bytes: usize,
    large_answer_bytes: usize,
    descriptors: usize,
    /// Descriptors of the holders that have been told to give way.
    leaving_descriptors: usize,
}

impl Account {
    /// Opens an account without holders.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use front::memory::{Account, Bounds};
    /// let bounds = Bounds { bytes: 1 << 20, large_bytes: 1 << 20, descriptors: 8 };
    /// let mut account = Account::open(bounds);
    /// let holder = account.insert(Duration::ZERO).expect("descriptors are free");
    /// account.set_bytes(holder, 4 << 20, 4 << 20, Duration::ZERO);
    /// account.set_phase(holder, front::memory::Phase::Receiving, Duration::ZERO);
    /// assert_eq!(account.relieve(Duration::ZERO)[0].id, holder);
    /// ```
    #[must_use]
    pub fn open(bounds: Bounds) -> Self {
        Self {
            bounds,
            entries: SlotMap::with_key(),
            bytes: 0,
            large_bytes: 0,
            large_answer_bytes: 0,
            descriptors: 0,
            leaving_descriptors: 0,
        }
    }

    /// Adds an idle holder with one descriptor.
    ///
    /// Returns `None` if so many descriptors are in use that the connection must be closed at once.
    pub fn insert(&mut self, now: Duration) -> Option<Id> {
        // Holders that give way keep their descriptors for a moment.
        let margin = self.bounds.descriptors / RELIEF_DIVISOR;
        if self.descriptors > self.bounds.descriptors.saturating_add(margin) {
            return None;
        }
        self.descriptors += 1;
        self.bytes += CONNECTION_BYTES;
        Some(self.entries.insert(Entry {
            phase: Phase::Idle,
            bytes: CONNECTION_BYTES,
            answer_bytes: 0,
            descriptors: 1,
            received: 0,
            progress_at: now,
            has_finished: false,
            is_leaving: false,
        }))
    }

    /// Removes a holder whose connection has been closed.
    pub fn remove(&mut self, id: Id) {
        self.count_bytes(id, 0);
        self.set_answer_bytes(id, 0);
        if let Some(entry) = self.entries.remove(id) {
            self.descriptors -= entry.descriptors;
            if entry.is_leaving {
                self.leaving_descriptors -= entry.descriptors;
            }
        }
    }

    /// Sets the bytes that a holder has, of which `received` have just arrived.
    pub fn set_bytes(&mut self, id: Id, bytes: usize, received: usize, now: Duration) {
        self.count_bytes(id, CONNECTION_BYTES + bytes);
        let Some(entry) = self.entries.get_mut(id) else { return };
        if entry.phase == Phase::Idle && received > 0 {
            entry.phase = Phase::Receiving;
            entry.progress_at = now;
        }
        entry.received += received;
        if entry.received >= PROGRESS_BYTES {
            entry.received = 0;
            entry.progress_at = now;
        }
    }

    /// Sets how many of a holder's bytes belong to an answer that arrives.
    pub fn set_answer_bytes(&mut self, id: Id, bytes: usize) {
        let Some(entry) = self.entries.get_mut(id).filter(|entry| !entry.is_leaving) else {
            return;
        };
        let large = |bytes: usize| if bytes > LARGE_ANSWER_BYTES { bytes } else { 0 };
        self.large_answer_bytes =
            self.large_answer_bytes - large(entry.answer_bytes) + large(bytes);
        entry.answer_bytes = bytes;
    }

    /// Sets what a holder is doing; a request that runs has a descriptor at its upstream as well.
    pub fn set_phase(&mut self, id: Id, phase: Phase, now: Duration) {
        let Some(entry) = self.entries.get_mut(id).filter(|entry| !entry.is_leaving) else {
            return;
        };
        entry.has_finished |= entry.phase == Phase::Running;
        entry.phase = phase;
        entry.received = 0;
        entry.progress_at = now;
        let descriptors = if matches!(phase, Phase::Running | Phase::Answering) { 2 } else { 1 };
        self.descriptors = self.descriptors - entry.descriptors + descriptors;
        entry.descriptors = descriptors;
    }

    /// Returns the bytes of all holders that have not been told to give way.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the descriptors of all holders.
    #[must_use]
    pub fn descriptors(&self) -> usize {
        self.descriptors
    }

    /// Returns the bounds.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// Returns true if somebody has to give way.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.bytes > self.bounds.bytes
            || self.large_bytes > self.bounds.large_bytes
            || self.large_answer_bytes > self.bounds.large_answer_bytes()
            || self.descriptors - self.leaving_descriptors > self.bounds.descriptors
    }

    /// Chooses the holders that give way until the bounds are kept, in their order.
    ///
    /// The bounds stay exceeded if only requests that run are left.
    pub fn relieve(&mut self, now: Duration) -> Vec<Eviction> {
        let mut evictions = Vec::new();
        let relieved = |bound: usize| bound - bound / RELIEF_DIVISOR;
        if self.large_answer_bytes > self.bounds.large_answer_bytes() {
            let limit = relieved(self.bounds.large_answer_bytes());
            let is_large = |entry: &Entry| entry.answer_bytes > LARGE_ANSWER_BYTES;
            let has_room = |account: &Self| account.large_answer_bytes <= limit;
            self.relieve_memory(is_large, has_room, now, &mut evictions);
        }
        if self.large_bytes > self.bounds.large_bytes {
            let limit = relieved(self.bounds.large_bytes);
            let is_large = |entry: &Entry| entry.bytes > LARGE_BYTES;
            let has_room = |account: &Self| account.large_bytes <= limit;
            self.relieve_memory(is_large, has_room, now, &mut evictions);
        }
        if self.bytes > self.bounds.bytes {
            let limit = relieved(self.bounds.bytes);
            let is_holding = |entry: &Entry| entry.bytes > CONNECTION_BYTES;
            let has_room = |account: &Self| account.bytes <= limit;
            self.relieve_memory(is_holding, has_room, now, &mut evictions);
        }
        if self.descriptors - self.leaving_descriptors > self.bounds.descriptors {
            self.relieve_descriptors(now, &mut evictions);
        }
        evictions
    }

    fn relieve_memory(
        &mut self,
        is_candidate: impl Fn(&Entry) -> bool,
        has_room: impl Fn(&Self) -> bool,
        now: Duration,
        evictions: &mut Vec<Eviction>,
    ) {
        let candidates = self.entries.iter();
        let candidates = candidates
            .filter(|(_, entry)| entry.may_leave() && is_candidate(entry))
            .map(|(id, entry)| (entry.memory_weight(now), id));
        let mut candidates: Vec<(u128, Id)> = candidates.collect();
        candidates.sort_unstable();
        while !has_room(self) {
            let Some((_, id)) = candidates.pop() else { return };
            evictions.extend(self.evict(id, Resource::Memory, now));
        }
    }

    fn relieve_descriptors(&mut self, now: Duration, evictions: &mut Vec<Eviction>) {
        let limit = self.bounds.descriptors - self.bounds.descriptors / RELIEF_DIVISOR;
        let candidates = self.entries.iter().filter(|(_, entry)| entry.may_leave());
        // The run of an answer has been paid for, so it gives way last.
        let order = |entry: &Entry| {
            (entry.phase != Phase::Answering, !entry.has_finished, entry.stalled(now))
        };
        let mut candidates: Vec<_> = candidates.map(|(id, entry)| (order(entry), id)).collect();
        candidates.sort_unstable();
        while self.descriptors - self.leaving_descriptors > limit {
            let Some((_, id)) = candidates.pop() else { return };
            evictions.extend(self.evict(id, Resource::Descriptors, now));
        }
    }

    /// Marks a holder as leaving; its bytes no longer count.
    fn evict(&mut self, id: Id, resource: Resource, now: Duration) -> Option<Eviction> {
        let entry = self.entries.get(id)?;
        let (phase, bytes, stalled) = (entry.phase, entry.bytes, entry.stalled(now));
        self.count_bytes(id, 0);
        self.set_answer_bytes(id, 0);
        let entry = self.entries.get_mut(id)?;
        entry.is_leaving = true;
        self.leaving_descriptors += entry.descriptors;
        Some(Eviction { id, resource, phase, bytes, stalled })
    }

    fn count_bytes(&mut self, id: Id, bytes: usize) {
        let Some(entry) = self.entries.get_mut(id).filter(|entry| !entry.is_leaving) else {
            return;
        };
        let large = |bytes: usize| if bytes > LARGE_BYTES { bytes } else { 0 };
        self.bytes = self.bytes - entry.bytes + bytes;
        self.large_bytes = self.large_bytes - large(entry.bytes) + large(bytes);
        entry.bytes = bytes;
    }
}
