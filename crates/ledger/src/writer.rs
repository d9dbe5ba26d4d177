//! The writer's state without its I/O: messages go in, steps come out.

use base::prelude::*;
use futures::channel::{mpsc, oneshot};
use store::Commit;

use crate::book::Pieces;
use crate::core::{Core, Step};
use crate::event::{Context, Message};
use crate::gate::Gate;

/// The state machine together with its inbox and gate.
///
/// The loop in [`event`](crate::event) and the property tests drive this same type.
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

    /// Returns the state machine.
    pub fn core(&mut self) -> &mut Core {
        &mut self.core
    }

    /// Marks the gate and asks for a renewal of the lease if the process was paused.
    pub fn update_gate(&mut self) {
        self.gate.heartbeat();
        if self.gate.is_paused() {
            self.core.request_renewal();
        }
        let now = self.context.clock.now();
        self.gate.set_lease_lapsed(self.core.is_lease_lapsed(now));
    }

    /// Takes in all messages that have arrived.
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

    /// Returns what to do next.
    ///
    /// The lease that a new transaction states limits the exposure again. A request that still
    /// saw the old lease as lapsed has posted its record before, so the transaction carries it.
    pub fn step(&mut self) -> Step {
        self.gate.set_lease_lapsed(false);
        self.drain();
        let (now, wall) = (self.context.clock.now(), self.context.clock.wall());
        self.core.step(now, wall)
    }

    /// Takes in the table's answer to a commit that began after `pause_count` pauses.
    pub fn handle_commit(&mut self, commit: &Commit, pause_count: u64) {
        let now = self.context.clock.now();
        self.core.handle_commit(commit, now);
        if self.core.is_fenced() {
            self.gate.fence();
        }
        self.gate.confirm_lease(pause_count);
    }

    /// Shuts the gate of a fenced holder and tells those who wait for the end.
    pub fn finish(&mut self) {
        if self.core.is_fenced() {
            self.gate.fence();
        }
        if self.core.is_finished() {
            for reply in self.close_replies.drain(..) {
                // A waiter that has gone away needs no answer.
                reply.send(()).unwrap_or_default();
            }
        }
    }
}
