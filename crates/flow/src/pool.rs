//! Slots at the upstreams of one model or service, with a fair queue for them.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use base::prelude::*;
use futures::channel::oneshot;
use tokio::time::timeout;

use crate::scheduler::{Admission, Request, Scheduler, WaiterId};

/// Most requests that wait for one pool; more are rejected at once.
const MAX_WAITING: usize = 4_096;

#[derive(Debug, Default)]
struct State {
    scheduler: Scheduler,
    capacity: usize,
    grants: HashMap<WaiterId, oneshot::Sender<()>>,
}

/// Slots that requests of all accounts share.
#[derive(Debug)]
pub struct Pool {
    state: Mutex<State>,
    clock: Arc<dyn Clock>,
}

impl Pool {
    /// Creates a pool; each request sets the current number of slots.
    #[must_use]
    pub fn open(clock: Arc<dyn Clock>) -> Self {
        Self { state: Mutex::default(), clock }
    }

    /// Waits for one of `capacity` slots.
    ///
    /// # Errors
    ///
    /// Returns the estimated wait if it is too long or the queue is full, or `max_wait` if no slot
    /// became free in time.
    pub async fn acquire(
        self: &Arc<Self>,
        request: &Request,
        capacity: usize,
    ) -> Result<Slot, Duration> {
        let (admission, granted) = self.admit(request, capacity);
        let id = match admission {
            Admission::Granted => return Ok(Slot { pool: Arc::clone(self) }),
            Admission::Rejected(delay) => return Err(delay),
            Admission::Queued(id) => id,
        };
        let account = Arc::clone(&request.account);
        let mut waiter = Waiter { pool: Arc::clone(self), account, id, ended: false };
        match timeout(request.max_wait, granted).await {
            Ok(Ok(())) => Ok(waiter.accept()),
            Ok(Err(_)) | Err(_) => waiter.time_out(request.max_wait),
        }
    }

    /// Returns how many requests hold a slot and how many wait for one.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        self.lock().scheduler.load()
    }

    fn admit(&self, request: &Request, capacity: usize) -> (Admission, oneshot::Receiver<()>) {
        let (sender, granted) = oneshot::channel();
        let mut state = self.lock();
        state.capacity = capacity;
        let admission = state.scheduler.admit(request, capacity, MAX_WAITING);
        if let Admission::Queued(id) = admission {
            state.grants.insert(id, sender);
        }
        state.grant_free_slots();
        (admission, granted)
    }

    fn release(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.scheduler.release(now);
        state.grant_free_slots();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Notifies queued requests, in fair order, while slots are free.
    fn grant_free_slots(&mut self) {
        while let Some(id) = self.scheduler.grant_next(self.capacity) {
            if let Some(sender) = self.grants.remove(&id) {
                // If the request was just cancelled, dropping its `Waiter` frees the slot.
                sender.send(()).unwrap_or_default();
            }
        }
    }
}

/// A queued request; leaves the queue or frees its granted slot on drop.
struct Waiter {
    pool: Arc<Pool>,
    account: AccountId,
    id: WaiterId,
    ended: bool,
}

impl Waiter {
    fn accept(&mut self) -> Slot {
        self.ended = true;
        Slot { pool: Arc::clone(&self.pool) }
    }

    /// Cancels the wait, unless the slot was granted at the same moment.
    fn time_out(&mut self, waited: Duration) -> Result<Slot, Duration> {
        if self.cancel() { Err(waited) } else { Ok(self.accept()) }
    }

    fn cancel(&mut self) -> bool {
        self.ended = true;
        let mut state = self.pool.lock();
        state.grants.remove(&self.id);
        state.scheduler.cancel(&self.account, self.id)
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if !self.ended && !self.cancel() {
            self.pool.release();
        }
    }
}

/// Slot of one request; freed on drop.
#[derive(Debug)]
pub struct Slot {
    pool: Arc<Pool>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.pool.release();
    }
}
