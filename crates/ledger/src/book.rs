//! Reservations on the request path.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::pin::Pin;
use std::task::{Context, Poll};

use arc_swap::ArcSwap;
use base::clock::millis;
use base::prelude::*;
use futures::FutureExt;
use futures::channel::{mpsc, oneshot};

use crate::Error;
use crate::core::Ack;
use crate::event::Message;
use crate::gate::Gate;
use crate::peer::Recall;
use crate::piece::Piece;
use crate::row::{Bill, Entry, Intent};

/// Number of independently updated parts of the piece map.
const SHARDS: usize = 64;
/// Refills a request waits for before it is refused.
const MAX_REFILLS: usize = 3;

type Shard = HashMap<BudgetId, Arc<Piece>>;

/// Pieces by budget, read without locks.
#[derive(Debug)]
pub struct Pieces {
    shards: Vec<ArcSwap<Shard>>,
    hasher: RandomState,
}

impl Default for Pieces {
    fn default() -> Self {
        let shards = (0..SHARDS).map(|_| ArcSwap::from_pointee(Shard::new())).collect();
        Self { shards, hasher: RandomState::new() }
    }
}

impl Pieces {
    /// Returns the piece of a budget, creating an empty one if needed.
    pub fn get_or_insert(&self, budget: &BudgetId) -> Arc<Piece> {
        let shard = self.shard(budget);
        if let Some(piece) = shard.load().get(budget) {
            return Arc::clone(piece);
        }
        let fresh = Arc::new(Piece::default());
        shard.rcu(|map| {
            let mut map = Shard::clone(map);
            map.entry(Arc::clone(budget)).or_insert_with(|| Arc::clone(&fresh));
            map
        });
        shard.load().get(budget).map_or(fresh, Arc::clone)
    }

    /// Drops a piece that is empty and out of use.
    ///
    /// A request that still has the old piece in hand finds nothing in it and asks again.
    pub(crate) fn remove(&self, budget: &BudgetId) {
        self.shard(budget).rcu(|map| {
            let mut map = Shard::clone(map);
            map.remove(budget);
            map
        });
    }

    fn shard(&self, budget: &BudgetId) -> &ArcSwap<Shard> {
        let hash = self.hasher.hash_one(budget);
        let index = usize::try_from(hash % SHARDS as u64).unwrap_or_default();
        &self.shards[index]
    }
}

/// Handle through which requests reserve and settle.
#[derive(Debug, Clone)]
pub struct Book {
    pieces: Arc<Pieces>,
    gate: Arc<Gate>,
    clock: Arc<dyn Clock>,
    sender: mpsc::UnboundedSender<Message>,
}

impl Book {
    pub(crate) fn new(
        pieces: Arc<Pieces>,
        gate: Arc<Gate>,
        clock: Arc<dyn Clock>,
        sender: mpsc::UnboundedSender<Message>,
    ) -> Self {
        Self { pieces, gate, clock, sender }
    }

    /// Reserves the upper bound of a request's cost.
    ///
    /// The usual case is one atomic operation; only when the piece is too small does the call
    /// wait for the writer to take more from the table.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget is exhausted or unknown, if the table cannot be reached,
    /// or if this instance has lost its lease. Nothing is reserved then.
    pub async fn reserve(
        &self,
        request: &RequestId,
        budget: &BudgetId,
        bound: Tokens,
    ) -> Result<Hold, Error> {
        for _ in 0..MAX_REFILLS {
            if !self.gate.is_open() {
                return Err(Error::Fenced);
            }
            // The writer may have dropped the piece that an earlier attempt used.
            let piece = self.pieces.get_or_insert(budget);
            if piece.reserve(bound, millis(self.clock.now())) {
                return Ok(self.hold(request, budget, bound, piece));
            }
            self.refill(budget, bound).await?;
        }
        // Other requests took each refill first, so what is left is not enough for all.
        Err(Error::Exhausted { available: self.pieces.get_or_insert(budget).free(), bound })
    }

    /// Returns the gate that tells whether this instance may still act.
    #[must_use]
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Returns all pieces to the table and closes the holder.
    ///
    /// Must be called after the last request has settled.
    pub async fn close(&self) {
        let (reply, closed) = oneshot::channel();
        if self.sender.unbounded_send(Message::Close(reply)).is_ok() {
            // A dropped reply means that the writer has stopped already.
            closed.await.unwrap_or_default();
        }
    }

    /// Gives free tokens back to the table because another holder is short of them.
    pub fn recall(&self, recall: Recall) {
        // A writer that has stopped has nothing to give.
        drop(self.sender.unbounded_send(Message::Recall(recall)));
    }

    async fn refill(&self, budget: &BudgetId, bound: Tokens) -> Result<(), Error> {
        let (reply, answer) = oneshot::channel();
        let message = Message::Refill { budget: Arc::clone(budget), tokens: bound, reply };
        self.send(message)?;
        answer.await.unwrap_or(Err(Error::Unreachable))
    }

    fn send(&self, message: Message) -> Result<(), Error> {
        self.sender.unbounded_send(message).map_err(|_closed| Error::Fenced)
    }

    fn hold(
        &self,
        request: &RequestId,
        budget: &BudgetId,
        bound: Tokens,
        piece: Arc<Piece>,
    ) -> Hold {
        Hold {
            gate: Arc::clone(&self.gate),
            exceeds_exposure: false,
            request: Arc::clone(request),
            budget: Arc::clone(budget),
            bound,
            piece,
            sender: self.sender.clone(),
            phase: Phase::Reserved,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Reserved,
    Recorded,
    Ended,
}

/// Tokens reserved for one request.
///
/// Dropping a hold releases it if the request was never recorded as dispatched, and otherwise
/// bills the whole bound, since what ran is not known.
#[derive(Debug)]
pub struct Hold {
    gate: Arc<Gate>,
    exceeds_exposure: bool,
    request: RequestId,
    budget: BudgetId,
    bound: Tokens,
    piece: Arc<Piece>,
    sender: mpsc::UnboundedSender<Message>,
    phase: Phase,
}

/// Resolves when a record is durable; an error means that it may never be.
///
/// The first wait for it asks the writer not to wait for its batch to fill.
#[derive(Debug)]
pub struct Durable {
    receiver: oneshot::Receiver<()>,
    sender: mpsc::UnboundedSender<Message>,
    has_expedited: bool,
}

impl Future for Durable {
    type Output = Result<(), oneshot::Canceled>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let polled = self.receiver.poll_unpin(context);
        if polled.is_pending() && !self.has_expedited {
            self.has_expedited = true;
            // A writer that has stopped drops the other end, which ends this wait.
            drop(self.sender.unbounded_send(Message::Expedite));
        }
        polled
    }
}

impl Hold {
    /// Returns the reserved tokens.
    #[must_use]
    pub fn bound(&self) -> Tokens {
        self.bound
    }

    /// Records that the request is about to run; the result resolves when that is durable.
    ///
    /// A prompt record goes into the next possible transaction, others wait for a batch.
    /// An idempotent request that costs nothing has no bill to lose, so its record is not
    /// waited for.
    pub fn record(&mut self, immediate: bool) -> Durable {
        let (sender, receiver) = oneshot::channel();
        let ack = match (immediate, self.bound) {
            (true, _) => Ack::Immediate(sender),
            (false, 0) => {
                sender.send(()).unwrap_or_default();
                Ack::None
            }
            (false, _) => Ack::Batched(sender),
        };
        let intent = Intent {
            request: self.request.to_string(),
            budget: self.budget.to_string(),
            bound: self.bound,
        };
        self.phase = Phase::Recorded;
        let unrecorded = self.piece.add_unrecorded(self.bound);
        self.send_entry(Entry::Intent(intent), ack);
        // The record is posted before the lease is looked at, see `Writer::step`.
        self.exceeds_exposure =
            unrecorded > self.piece.exposure_limit() && !self.gate.is_lease_lapsed();
        Durable { receiver, sender: self.sender.clone(), has_expedited: false }
    }

    /// Returns true if the request must not be sent before its record is durable.
    ///
    /// What requests without a durable record may spend is limited while the lease is valid,
    /// so that little has to be set aside if the instance dies.
    #[must_use]
    pub fn must_wait_for_record(&self) -> bool {
        self.exceeds_exposure
    }

    /// Gives back all but `used` tokens before it is known whether they will be billed.
    pub fn shrink(&mut self, used: Tokens) {
        let used = used.min(self.bound);
        self.piece.settle(self.bound - used, 0);
        self.bound = used;
    }

    /// Bills the used tokens and releases the rest.
    ///
    /// Usage above the bound is cut to the bound, so that a budget is never passed.
    pub fn settle(mut self, used: Tokens) {
        self.finish(used.min(self.bound));
    }

    /// Releases everything; for a request that certainly did not run.
    pub fn release(mut self) {
        self.finish(0);
    }

    fn finish(&mut self, used: Tokens) {
        let recorded = self.phase == Phase::Recorded;
        self.phase = Phase::Ended;
        if recorded {
            let bill = Bill {
                request: self.request.to_string(),
                budget: self.budget.to_string(),
                tokens: used,
            };
            // The bill goes first: the writer must see it before the tokens look unused.
            self.send_entry(Entry::Bill(bill), Ack::None);
        }
        self.piece.settle(self.bound, used);
    }

    fn send_entry(&self, entry: Entry, ack: Ack) {
        // A writer that has stopped was fenced; its records would be refused anyway.
        drop(self.sender.unbounded_send(Message::Record { entry, ack }));
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        match self.phase {
            Phase::Reserved => self.finish(0),
            Phase::Recorded => self.finish(self.bound),
            Phase::Ended => {}
        }
    }
}
