//! Claims of idempotency keys as request handlers use them.

use base::prelude::*;
use futures::channel::{mpsc, oneshot};

use crate::Answer;
use crate::event::Message;

/// A request to claim an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Key of the claim row; see [`crate::row::key`].
    pub row_key: Arc<str>,
    /// Client account of the caller.
    pub account: AccountId,
    /// Id of the request that is to run under the key.
    pub id: RequestId,
    /// Digest of method, path and body; see [`crate::row::digest`].
    pub digest: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// Result of an attempt to claim a key.
#[derive(Debug)]
pub enum Decision {
    /// The request may run, under [`Claim::request_id`].
    Granted(Claim),
    /// The key was used for a request with another digest.
    Mismatch,
    /// Another request with the key is in flight, or its claim is being written.
    Running,
    /// The request completed before; `None` if its answer was not kept.
    Completed(Option<Answer>),
    /// An earlier request with the key may have run, so this one must not.
    Unknown,
    /// The claim could not be recorded, so the request must not run.
    Unreachable,
}

/// Whether this instance still owned the key when its claim ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ownership {
    /// The end is in the table or needs no row; this instance bills the request.
    Kept,
    /// Another instance owns the key and bills the request; this instance must not.
    Lost,
}

/// Receives whether this instance kept the key, once that is known.
///
/// The channel is cancelled if the loop has stopped.
pub type Ack = oneshot::Receiver<Ownership>;

/// Handle of the [`crate::event`] loop through which requests claim keys.
#[derive(Debug, Clone)]
pub struct Claims {
    sender: mpsc::UnboundedSender<Message>,
}

impl Claims {
    pub(crate) fn new(sender: mpsc::UnboundedSender<Message>) -> Self {
        Self { sender }
    }

    /// Claims a key and waits for the decision.
    ///
    /// Returns [`Decision::Unreachable`] if the loop has stopped.
    pub async fn claim(&self, request: Request) -> Decision {
        let (reply, decision) = oneshot::channel();
        let sent = self.sender.unbounded_send(Message::Claim { request, reply });
        if sent.is_err() {
            return Decision::Unreachable;
        }
        decision.await.unwrap_or(Decision::Unreachable)
    }

    /// Stops the loop once all pending rows are written.
    ///
    /// It does not wait for claims that have not ended.
    pub async fn close(&self) {
        let (reply, closed) = oneshot::channel();
        if self.sender.unbounded_send(Message::Close(reply)).is_ok() {
            // The reply is dropped if the loop has already stopped.
            closed.await.unwrap_or_default();
        }
    }
}

/// End of a claim, as the request handler reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The request did not run; the key may be claimed again.
    NotRun,
    /// The request completed; `None` if its answer is not kept.
    Completed(Option<Answer>),
    /// The request may have run, and no answer is known.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Granted,
    Started,
    Ended,
}

/// The right to run a request under its key.
///
/// Dropping the claim ends it: as [`End::NotRun`] before [`Claim::mark_started`], as
/// [`End::Unknown`] afterwards.
#[derive(Debug)]
pub struct Claim {
    row_key: Arc<str>,
    request_id: RequestId,
    phase: Phase,
    sender: mpsc::UnboundedSender<Message>,
}

impl Claim {
    pub(crate) fn new(
        row_key: Arc<str>,
        request_id: RequestId,
        sender: mpsc::UnboundedSender<Message>,
    ) -> Self {
        Self { row_key, request_id, phase: Phase::Granted, sender }
    }

    /// Returns the id under which the request is billed.
    #[must_use]
    pub fn request_id(&self) -> &RequestId {
        &self.request_id
    }

    /// Records that the request is about to be sent and may run from now on.
    pub fn mark_started(&mut self) {
        self.phase = Phase::Started;
    }

    /// Ends the claim.
    ///
    /// The request must be billed only after the returned [`Ack`] gives [`Ownership::Kept`].
    pub fn end(mut self, end: End) -> Ack {
        self.send_end(end)
    }

    fn send_end(&mut self, end: End) -> Ack {
        self.phase = Phase::Ended;
        let (ack, ownership) = oneshot::channel();
        let message = Message::End { row_key: Arc::clone(&self.row_key), end, ack };
        // If the loop has stopped, the message and the sender of the ack are dropped.
        drop(self.sender.unbounded_send(message));
        ownership
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let end = match self.phase {
            Phase::Granted => End::NotRun,
            Phase::Started => End::Unknown,
            Phase::Ended => return,
        };
        drop(self.send_end(end));
    }
}
