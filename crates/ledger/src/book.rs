//! Reservation and settlement on the request path.

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

/// Number of shards of the piece map; inserting a piece copies only its shard.
const SHARDS: usize = 64;
/// Refills that a request waits for before it is refused.
const MAX_REFILLS: usize = 3;

type Shard = HashMap<BudgetId, Arc<Piece>>;

/// Map from budgets to their pieces, read without locks.
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
    /// Returns the piece of a budget; an empty one is inserted if there is none.
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

    /// Removes a piece that is empty and unused.
    ///
    /// A request that still uses the removed piece finds nothing free in it and requests a refill.
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

/// Handle through which requests reserve and settle tokens; clones share the pieces.
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
    /// The usual case is one atomic operation. Only when the piece is too small does the call wait
    /// for the event loop to take more tokens from the table.
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
            // The event loop may have removed the piece that the previous attempt used.
            let piece = self.pieces.get_or_insert(budget);
            if piece.reserve(bound, millis(self.clock.now())) {
                return Ok(self.hold(request, budget, bound, piece));
            }
            self.refill(budget, bound).await?;
        }
        // Other requests reserved the tokens of each refill, and too few are left for the bound.
        Err(Error::Exhausted { available: self.pieces.get_or_insert(budget).free(), bound })
    }

    /// Returns the gate that tells whether this instance may spend, bill and answer.
    #[must_use]
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Returns all pieces to the table and closes the holder.
    ///
    /// All requests must have settled before the call. It also returns if the holder was fenced.
    pub async fn close(&self) {
        let (reply, closed) = oneshot::channel();
        if self.sender.unbounded_send(Message::Close(reply)).is_ok() {
            // A dropped reply means that the event loop has stopped already.
            closed.await.unwrap_or_default();
        }
    }

    /// Returns free tokens to the table because another holder lacks them.
    pub fn recall(&self, recall: Recall) {
        // An event loop that has stopped cannot return tokens.
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
/// Dropping a hold frees the tokens if the request was never recorded. Otherwise it bills the
/// whole bound, since the request may have run.
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

/// Future of a record: resolves once the record is in the table.
///
/// An error means that the record may never be in the table. The first poll that finds the record
/// pending asks the event loop to send the batch sooner.
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
            // An event loop that has stopped drops the sender, which resolves this future.
            drop(self.sender.unbounded_send(Message::Expedite));
        }
        polled
    }
}

impl Hold {
    /// Returns the reserved tokens, the upper bound of the request's cost.
    #[must_use]
    pub fn bound(&self) -> Tokens {
        self.bound
    }

    /// Records that the request is about to run; the future resolves once that is durable.
    ///
    /// With `immediate` the record goes into the next possible transaction, otherwise it waits for
    /// a batch. `immediate` must be set for a request that is not idempotent. For an idempotent
    /// request with a bound of 0 the future resolves at once, since there is no bill to lose.
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
        // The record must be sent before the lease is checked, see `Writer::step`.
        self.exceeds_exposure =
            unrecorded > self.piece.exposure_limit() && !self.gate.is_lease_lapsed();
        Durable { receiver, sender: self.sender.clone(), has_expedited: false }
    }

    /// Returns true if the request must not be sent before its record is durable.
    ///
    /// While the lease is valid, requests without a durable record may use only a limited number
    /// of tokens, so that few must be set aside if the instance dies.
    #[must_use]
    pub fn must_wait_for_record(&self) -> bool {
        self.exceeds_exposure
    }

    /// Lowers the reservation to `used` tokens, which may be billed later.
    pub fn shrink(&mut self, used: Tokens) {
        let used = used.min(self.bound);
        self.piece.settle(self.bound - used, 0);
        self.bound = used;
    }

    /// Bills the used tokens and frees the rest.
    ///
    /// Usage above the bound is cut to the bound, so that no budget is overspent.
    pub fn settle(mut self, used: Tokens) {
        self.finish(used.min(self.bound));
    }

    /// Frees all tokens; only for a request that certainly did not run.
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
            // The bill is sent first: the event loop must count it before the tokens become free.
            self.send_entry(Entry::Bill(bill), Ack::None);
        }
        self.piece.settle(self.bound, used);
    }

    fn send_entry(&self, entry: Entry, ack: Ack) {
        // Sending fails once the holder is fenced or closed; the table then refuses the entry.
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
