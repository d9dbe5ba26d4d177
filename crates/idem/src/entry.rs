//! One key as its holder knows it.

use base::prelude::*;
use futures::channel::{mpsc, oneshot};

use crate::Answer;
use crate::claim::{Claim, Decision, End, Ownership, Request};
use crate::event::Message;
use crate::row;

/// Key of a claim row.
pub type Key = Arc<str>;

/// How far a claim has come here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The request waits for its claim.
    Claiming,
    /// The request may run.
    Granted,
    /// The request has ended, and its end is to be written.
    Ending,
    /// The end is in the table.
    Recorded,
}

/// One key.
#[derive(Debug)]
pub struct Entry {
    /// Request that the key names.
    pub request: Request,
    /// How far it has come.
    pub phase: Phase,
    /// Revision of the row that the next write replaces, 0 if none is known.
    pub revision: u64,
    /// Number of changes to what the row should hold.
    pub change_count: u64,
    /// Whether a transaction may have written the row.
    pub may_be_stored: bool,
    /// Whether another holder owns the key.
    pub owned_elsewhere: bool,
    /// Whether the key turned out to name another request after this one was let run.
    pub mismatched: bool,
    end: End,
    reply: Option<oneshot::Sender<Decision>>,
    ack: Option<oneshot::Sender<Ownership>>,
}

impl Entry {
    /// Opens the entry of a request that asks for its key.
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

    /// Lets another request ask for a key that was given back.
    pub fn reopen(&mut self, request: Request, reply: oneshot::Sender<Decision>) {
        self.acknowledge(Ownership::Kept);
        self.request = request;
        self.phase = Phase::Claiming;
        self.change_count += 1;
        self.reply = Some(reply);
    }

    /// Returns true if the request did not run and never will.
    pub fn ended_not_run(&self) -> bool {
        let ended = matches!(self.phase, Phase::Ending | Phase::Recorded);
        ended && self.end == End::NotRun
    }

    /// Tells a request what has become of the one that the key names.
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

    /// Returns what the row should hold.
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

    /// Takes over the row of a dead holder and bills under its request.
    pub fn take_over_row(&mut self, revision: u64, claim: &row::Claim) {
        self.revision = revision;
        if self.phase == Phase::Claiming {
            self.request.id = claim.request.as_str().into();
        }
    }

    /// Lets the request run.
    pub fn grant(&mut self, sender: &mpsc::UnboundedSender<Message>) {
        let request_id = Arc::clone(&self.request.id);
        let claim = Claim::new(Arc::clone(&self.request.row_key), request_id, sender.clone());
        self.send_decision(Decision::Granted(claim));
    }

    /// Answers the request that asked.
    ///
    /// If it has gone away, a granted claim is dropped and thereby given back.
    pub fn send_decision(&mut self, decision: Decision) {
        if let Some(reply) = self.reply.take() {
            drop(reply.send(decision));
        }
    }

    /// Refuses a request whose claim cannot be recorded.
    pub fn reject_unreachable(&mut self) {
        self.send_decision(Decision::Unreachable);
        self.phase = Phase::Ending;
        self.end = End::NotRun;
        self.change_count += 1;
    }

    /// Gives an ended request a row that no other request uses.
    pub fn move_to_row(&mut self, row_key: Key) {
        self.request.row_key = row_key;
        self.revision = 0;
        self.may_be_stored = false;
        self.mismatched = false;
        self.change_count += 1;
    }

    /// Ends the request.
    pub fn finish(&mut self, end: End, ack: oneshot::Sender<Ownership>) {
        self.phase = Phase::Ending;
        self.end = end;
        self.ack = Some(ack);
        self.change_count += 1;
    }

    /// Tells who ended the request whether that counts.
    pub fn acknowledge(&mut self, ownership: Ownership) {
        if let Some(ack) = self.ack.take() {
            // A request that has ended no longer waits.
            ack.send(ownership).unwrap_or_default();
        }
    }

    /// Returns the bytes of the kept answer.
    pub fn answer_bytes(&self) -> usize {
        match &self.end {
            End::Completed(Some(Answer { body, .. })) => body.len(),
            _ => 0,
        }
    }
}
