//! Continuous batching: a limited number of requests runs, others wait by priority.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use futures::channel::oneshot;

/// Priority of a request; lower values run earlier, as in published engines.
pub type Priority = i64;

#[derive(Debug, Default)]
struct State {
    running: u32,
    kv_tokens: u64,
    arrivals: u64,
    waiting: BTreeMap<(Priority, u64), (u64, oneshot::Sender<Slot>)>,
}

/// The running and the waiting requests of an engine; clones share them.
#[derive(Debug, Clone)]
pub struct Batch {
    slots: u32,
    state: Arc<Mutex<State>>,
}

/// Load of a batch at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Occupancy {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Tokens of key-value memory that running requests occupy.
    pub kv_tokens: u64,
}

impl Batch {
    /// Opens an empty batch that runs at most `slots` requests at once.
    #[must_use]
    pub fn open(slots: u32) -> Self {
        Self { slots, state: Arc::default() }
    }

    /// Requests a slot and returns a future that resolves once it is granted.
    ///
    /// The request is queued by this call, not by the first poll. Dropping the future cancels it.
    ///
    /// # Panics
    ///
    /// The future panics if the batch drops a queued request, which is a bug.
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
            // The receiver is alive in this function, so the send succeeds.
            drop(sender.send(Slot { batch: self.clone(), kv_tokens }));
        }
        async move { receiver.await.expect("the batch grants a slot to each queued request") }
    }

    /// Returns the current load of the batch.
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
            // If the request was cancelled, dropping the slot here grants it to the next one.
            drop(sender.send(Slot { batch: self.clone(), kv_tokens }));
        }
    }

    fn with_state<T>(&self, action: impl FnOnce(&mut State) -> T) -> T {
        action(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Permission to run one request, released on drop.
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
