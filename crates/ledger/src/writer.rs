//! The writer: the state machine with its inbox and gate, but without I/O.

use base::prelude::*;
use futures::channel::{mpsc, oneshot};
use store::Commit;

use crate::book::Pieces;
use crate::core::{Core, Step};
use crate::event::{Context, Message};
use crate::gate::Gate;

/// State machine together with its inbox and gate.
///
/// The [`event`](crate::event) loop and the property tests drive this same type.
#[derive(Debug)]
pub struct Writer {
    pub(crate) core: Core,
    pub(crate) context: Context,
    pub(crate) gate: Arc<Gate>,
    pub(crate) receiver: mpsc::UnboundedReceiver<Message>,
    close_replies: Vec<oneshot::Sender<()>>,
}

impl Writer {
    pub(crate) fn open(
        context: Context,
        pieces: Arc<Pieces>,
        gate: Arc<Gate>,
        receiver: mpsc::UnboundedReceiver<Message>,
    ) -> Self {
        let core = Core::open(Arc::clone(&context.holder), context.settings.clone(), pieces);
        Self { core, context, gate, receiver, close_replies: Vec::new() }
    }

    /// Returns the state machine, for calls that involve neither inbox nor gate.
    pub fn core(&mut self) -> &mut Core {
        &mut self.core
    }

    /// Updates the gate and requests a renewal of the lease after a pause.
    pub fn update_gate(&mut self) {
        self.gate.heartbeat();
        if self.gate.is_paused() {
            self.core.request_renewal();
        }
        let now = self.context.clock.now();
        self.gate.set_lease_lapsed(self.core.is_lease_lapsed(now));
    }

    /// Handles all messages that have arrived.
    pub fn drain(&mut self) {
        while let Ok(message) = self.receiver.try_recv() {
            self.handle(message);
        }
    }

    pub(crate) fn handle(&mut self, message: Message) {
        let now = self.context.clock.now();
        match message {
            Message::Refill { budget, tokens, reply } => {
                self.core.request_refill(&budget, tokens, reply, now);
            }
            Message::Record { entry, ack } => self.core.record(entry, ack, now),
            Message::Expedite => self.core.expedite(),
            Message::Recall(recall) => self.core.recall(&recall),
            Message::Close(reply) => {
                self.core.close();
                self.close_replies.push(reply);
            }
        }
    }

    /// Handles the messages that have arrived and returns the next action.
    ///
    /// A new transaction renews the lease, so the exposure limit applies again. A request that
    /// found the old lease lapsed has already sent its record, so the transaction contains it.
    pub fn step(&mut self) -> Step {
        self.gate.set_lease_lapsed(false);
        self.drain();
        let (now, wall) = (self.context.clock.now(), self.context.clock.wall());
        self.core.step(now, wall)
    }

    /// Handles the table's reply to a commit; `pause_count` is the count before it.
    pub fn handle_commit(&mut self, commit: &Commit, pause_count: u64) {
        let now = self.context.clock.now();
        self.core.handle_commit(commit, now);
        if self.core.is_fenced() {
            self.gate.fence();
        }
        self.gate.confirm_lease(pause_count);
    }

    /// Closes the gate of a fenced holder and notifies the callers of a close.
    pub fn finish(&mut self) {
        if self.core.is_fenced() {
            self.gate.fence();
        }
        if self.core.is_finished() {
            for reply in self.close_replies.drain(..) {
                // The receiver is gone if the caller no longer waits.
                reply.send(()).unwrap_or_default();
            }
        }
    }
}
