//! Claims on the request path.

use base::prelude::*;
use futures::channel::{mpsc, oneshot};

use crate::Answer;
use crate::event::Message;

/// A request that wants to run under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Key of the claim row.
    pub row_key: Arc<str>,
    /// Client account.
    pub account: AccountId,
    /// Request.
    pub id: RequestId,
    /// Digest of method, path and body.
    pub digest: String,
    /// Whether the request may be run again.
    pub idempotent: bool,
}

/// What a request under a key may do.
#[derive(Debug)]
pub enum Decision {
    /// The request may run, under the request id of the claim.
    Granted(Claim),
    /// The key names another request.
    Mismatch,
    /// A request under the key runs now.
    Running,
    /// The request ran; the answer is there if it was kept.
    Completed(Option<Answer>),
    /// The request may have run and is not run again.
    Unknown,
    /// The claim could not be recorded, and the request must not run without it.
    Unreachable,
}

/// Whether the end of a claim counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ownership {
    /// The end is in the table, so that the request is billed here.
    Kept,
    /// Another instance owns the key and bills the request.
    Lost,
}

/// Resolves when the end of a claim is durable.
pub type Ack = oneshot::Receiver<Ownership>;

/// Handle through which requests claim keys.
#[derive(Debug, Clone)]
pub struct Claims {
    sender: mpsc::UnboundedSender<Message>,
}

impl Claims {
    pub(crate) fn new(sender: mpsc::UnboundedSender<Message>) -> Self {
        Self { sender }
    }

    /// Claims a key for a request.
    pub async fn claim(&self, request: Request) -> Decision {
        let (reply, decision) = oneshot::channel();
        let sent = self.sender.unbounded_send(Message::Claim { request, reply });
        if sent.is_err() {
            return Decision::Unreachable;
        }
        decision.await.unwrap_or(Decision::Unreachable)
    }

    /// Waits until all ends are in the table, and stops the loop.
    pub async fn close(&self) {
        let (reply, closed) = oneshot::channel();
        if self.sender.unbounded_send(Message::Close(reply)).is_ok() {
            // A dropped reply means that the loop has stopped already.
            closed.await.unwrap_or_default();
        }
    }
}

/// How a claim ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The request did not run.
    NotRun,
    /// The request ran to its end, with the answer if it is kept.
    Completed(Option<Answer>),
    /// The request may have run.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Granted,
    Started,
    Ended,
}

/// The right to run the request of a key.
///
/// A claim that is dropped is given back if the request was not begun, and ends as unknown
/// otherwise.
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

    /// Returns the request under which the key is billed.
    #[must_use]
    pub fn request_id(&self) -> &RequestId {
        &self.request_id
    }

    /// Notes that the request is about to be sent.
    pub fn mark_started(&mut self) {
        self.phase = Phase::Started;
    }

    /// Ends the claim; the request must be billed only after the end was kept.
    pub fn end(mut self, end: End) -> Ack {
        self.send_end(end)
    }

    fn send_end(&mut self, end: End) -> Ack {
        self.phase = Phase::Ended;
        let (ack, ownership) = oneshot::channel();
        let message = Message::End { row_key: Arc::clone(&self.row_key), end, ack };
        // A loop that has stopped drops the message and with it the acknowledgement.
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
