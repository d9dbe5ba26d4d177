//! State of one claimed key in the memory of its holder.

use base::prelude::*;
use futures::channel::{mpsc, oneshot};

use crate::Answer;
use crate::claim::{Claim, Decision, End, Ownership, Request};
use crate::event::Message;
use crate::row;

/// Key of a claim row.
pub type Key = Arc<str>;

/// Phase of a claim in this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The request waits for the decision on its claim.
    Claiming,
    /// The request may run.
    Granted,
    /// The request has ended, and its end is not in the table yet.
    Ending,
    /// The end is in the table.
    Recorded,
}

/// A key, the request that claimed it, and what its row should hold.
#[derive(Debug)]
pub struct Entry {
    /// Request that claimed the key.
    pub request: Request,
    /// Phase of the claim.
    pub phase: Phase,
    /// Revision of the row that the next write replaces, 0 if no row is known.
    pub revision: u64,
    /// Number of changes to the intended row; a write in flight may lag behind.
    pub change_count: u64,
    /// Whether a transaction with the row was composed, so that the row may exist.
    pub may_be_stored: bool,
    /// Whether another holder owns the key, so that the end is not written.
    pub owned_elsewhere: bool,
    /// Whether the row showed a request with another digest after this one was granted.
    pub mismatched: bool,
    end: End,
    reply: Option<oneshot::Sender<Decision>>,
    ack: Option<oneshot::Sender<Ownership>>,
}

impl Entry {
    /// Opens the entry of a request that claims its key; `reply` receives the decision.
    pub fn open(request: Request, reply: oneshot::Sender<Decision>) -> Self {
        Self {
            request,
            phase: Phase::Claiming,
            revision: 0,
            change_count: 0,
            may_be_stored: false,
            owned_elsewhere: false,
            mismatched: false,
            end: End::NotRun,
            reply: Some(reply),
            ack: None,
        }
    }

    /// Lets another request claim a key whose last request ended as not run.
    pub fn reopen(&mut self, request: Request, reply: oneshot::Sender<Decision>) {
        self.acknowledge(Ownership::Kept);
        self.request = request;
        self.phase = Phase::Claiming;
        self.change_count += 1;
        self.reply = Some(reply);
    }

    /// Returns true if the request has ended without running.
    pub fn ended_not_run(&self) -> bool {
        let ended = matches!(self.phase, Phase::Ending | Phase::Recorded);
        ended && self.end == End::NotRun
    }

    /// Returns the decision for another request with the same key.
    pub fn decision_for(&self, request: &Request) -> Decision {
        if request.digest != self.request.digest {
            return Decision::Mismatch;
        }
        match (self.phase, &self.end) {
            (Phase::Claiming | Phase::Granted, _) | (_, End::NotRun) => Decision::Running,
            (_, End::Completed(answer)) => Decision::Completed(answer.clone()),
            (_, End::Unknown) => Decision::Unknown,
        }
    }

    /// Returns the state that the row should hold.
    ///
    /// Answers of more than `max_answer_bytes` bytes are left out.
    pub fn row_state(&self, max_answer_bytes: usize) -> row::State {
        if matches!(self.phase, Phase::Claiming | Phase::Granted) {
            return row::State::Running;
        }
        match &self.end {
            End::NotRun => row::State::Free,
            End::Unknown => row::State::Unknown,
            End::Completed(answer) => {
                let answer = answer.as_ref().and_then(|answer| answer.to_row(max_answer_bytes));
                row::State::Completed(answer)
            }
        }
    }

    /// Takes over a row, at its revision, that no other live holder owns.
    ///
    /// A request that still waits for its decision continues under the id in the row.
    pub fn take_over_row(&mut self, revision: u64, claim: &row::Claim) {
        self.revision = revision;
        if self.phase == Phase::Claiming {
            self.request.id = claim.request.as_str().into();
        }
    }

    /// Grants the claim, which reports its end to `sender`.
    pub fn grant(&mut self, sender: &mpsc::UnboundedSender<Message>) {
        let request_id = Arc::clone(&self.request.id);
        let claim = Claim::new(Arc::clone(&self.request.row_key), request_id, sender.clone());
        self.send_decision(Decision::Granted(claim));
    }

    /// Sends the decision to the request, unless one was sent before.
    ///
    /// If the request no longer waits, a granted claim is dropped and so ends as not run.
    pub fn send_decision(&mut self, decision: Decision) {
        if let Some(reply) = self.reply.take() {
            drop(reply.send(decision));
        }
    }

    /// Rejects a request whose claim cannot be recorded, and ends it as not run.
    pub fn reject_unreachable(&mut self) {
        self.send_decision(Decision::Unreachable);
        self.phase = Phase::Ending;
        self.end = End::NotRun;
        self.change_count += 1;
    }

    /// Moves an ended request to a new row with the given key.
    pub fn move_to_row(&mut self, row_key: Key) {
        self.request.row_key = row_key;
        self.revision = 0;
        self.may_be_stored = false;
        self.mismatched = false;
        self.change_count += 1;
    }

    /// Records how the request ended.
    ///
    /// `ack` is answered once it is known whether this holder kept the key.
    pub fn finish(&mut self, end: End, ack: oneshot::Sender<Ownership>) {
        self.phase = Phase::Ending;
        self.end = end;
        self.ack = Some(ack);
        self.change_count += 1;
    }

    /// Answers the request handler that ended the request, unless it was answered before.
    pub fn acknowledge(&mut self, ownership: Ownership) {
        if let Some(ack) = self.ack.take() {
            // The request handler may have stopped waiting; the error is ignored then.
            ack.send(ownership).unwrap_or_default();
        }
    }

    /// Returns the length of the answer body in memory, 0 without an answer.
    pub fn answer_bytes(&self) -> usize {
        match &self.end {
            End::Completed(Some(Answer { body, .. })) => body.len(),
            _ => 0,
        }
    }
}
