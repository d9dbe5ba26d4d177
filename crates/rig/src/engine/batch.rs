//! Continuous batching: requests that run together and those that wait by priority.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use futures::channel::oneshot;

/// Priority of a request; lower runs earlier, as in published engines.
pub type Priority = i64;

#[derive(Debug, Default)]
struct State {
    running: u32,
    kv_tokens: u64,
    arrivals: u64,
    waiting: BTreeMap<(Priority, u64), (u64, oneshot::Sender<Slot>)>,
}

/// The requests that an engine runs at once.
#[derive(Debug, Clone)]
pub struct Batch {
    slots: u32,
    state: Arc<Mutex<State>>,
}

/// How full a batch is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Tokens of key-value memory in use.
    pub kv_tokens: u64,
}

impl Batch {
    /// Opens an empty batch.
    #[must_use]
    pub fn open(slots: u32) -> Self {
        Self { slots, state: Arc::default() }
    }

    /// Asks for a place at once and returns the wait for it; dropping the wait gives it up.
    ///
    /// # Panics
    ///
    /// The wait panics if a waiting request is forgotten, which is a bug.
    pub fn acquire(
        &self,
        priority: Priority,
        kv_tokens: u64,
    ) -> impl Future<Output = Slot> + use<> {
        let (sender, receiver) = oneshot::channel();
        let admitted = self.with_state(|state| {
            if state.running < self.slots {
                state.running += 1;
                state.kv_tokens += kv_tokens;
                return Some(sender);
            }
            state.arrivals += 1;
            state.waiting.insert((priority, state.arrivals), (kv_tokens, sender));
            None
        });
        if let Some(sender) = admitted {
            // The receiver is still here, so the place arrives.
            drop(sender.send(Slot { batch: self.clone(), kv_tokens }));
        }
        async move { receiver.await.expect("a waiting request is served or dropped") }
    }

    /// Returns how full the batch is.
    #[must_use]
    pub fn occupancy(&self) -> Occupancy {
        self.with_state(|state| {
            state.waiting.retain(|_, (_, sender)| !sender.is_canceled());
            let waiting = u32::try_from(state.waiting.len()).unwrap_or(u32::MAX);
            Occupancy { running: state.running, waiting, kv_tokens: state.kv_tokens }
        })
    }

    fn release(&self, kv_tokens: u64) {
        let next = self.with_state(|state| {
            state.kv_tokens -= kv_tokens;
            let next = state.waiting.pop_first();
            match &next {
                Some((_, (kv_tokens, _))) => state.kv_tokens += kv_tokens,
                None => state.running -= 1,
            }
            next
        });
        if let Some((_, (kv_tokens, sender))) = next {
            // A request that was given up hands its place on when the place is dropped here.
            drop(sender.send(Slot { batch: self.clone(), kv_tokens }));
        }
    }

    fn with_state<T>(&self, action: impl FnOnce(&mut State) -> T) -> T {
        action(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A place among the running requests, given back on drop.
#[derive(Debug)]
pub struct Slot {
    batch: Batch,
    kv_tokens: u64,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.batch.release(self.kv_tokens);
    }
}
