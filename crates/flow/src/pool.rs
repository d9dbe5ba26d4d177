//! Places at the upstreams of one model or service, shared fairly.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use base::prelude::*;
use futures::channel::oneshot;
use tokio::time::timeout;

use crate::scheduler::{Admission, Request, Scheduler, WaiterId};

/// Requests that may wait for one pool.
const MAX_WAITING: usize = 4_096;

#[derive(Debug, Default)]
struct State {
    scheduler: Scheduler,
    capacity: usize,
    grants: HashMap<WaiterId, oneshot::Sender<()>>,
}

/// Places at a set of upstreams.
#[derive(Debug)]
pub struct Pool {
    state: Mutex<State>,
    clock: Arc<dyn Clock>,
}

impl Pool {
    /// Opens a pool without places.
    #[must_use]
    pub fn open(clock: Arc<dyn Clock>) -> Self {
        Self { state: Mutex::default(), clock }
    }

    /// Waits for a place among `capacity`.
    ///
    /// # Errors
    ///
    /// Returns after which time a place is likely if the request would wait too long for one.
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

    /// Returns how many requests run and wait.
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
    /// Hands free places to those that wait.
    fn grant_free_slots(&mut self) {
        while let Some(id) = self.scheduler.grant_next(self.capacity) {
            if let Some(sender) = self.grants.remove(&id) {
                // A request that goes away right now gives its place back when its turn drops.
                sender.send(()).unwrap_or_default();
            }
        }
    }
}

/// A request that waits.
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

    /// Ends the wait, unless the place was granted at the last moment.
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

/// One request's place, given back on drop.
#[derive(Debug)]
pub struct Slot {
    pool: Arc<Pool>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.pool.release();
    }
}
