//! Settlement at the end of a request: its claim and its bill.

use base::prelude::*;
use idem::claim::End;
use idem::{Claim, Ownership};
use ledger::Hold;

use crate::Exchange;
use crate::in_flight::Guard;

/// Hold and claim of a dispatched request, until both are settled.
#[derive(Debug)]
pub struct Settlement {
    hold: Hold,
    claim: Option<Claim>,
    in_flight: Guard,
}

impl Settlement {
    /// Takes the hold and the claim out of a request; `None` without a hold.
    ///
    /// The settlement keeps `in_flight`, so that a planned stop waits for it.
    pub fn take(exchange: &mut Exchange, in_flight: Guard) -> Option<Self> {
        let hold = exchange.hold.take()?;
        Some(Self { hold, claim: exchange.claim.take(), in_flight })
    }

    /// Returns the reserved tokens, the most that can be billed.
    #[must_use]
    pub fn bound(&self) -> Tokens {
        self.hold.bound()
    }

    /// Releases all tokens and the claim of a request that did not run.
    pub fn release(self) {
        // No tokens are billed, so the result of ending the claim does not matter.
        drop(self.claim.map(|claim| claim.end(End::NotRun)));
        self.hold.release();
    }

    /// Bills the used tokens and ends the claim, if there is one.
    ///
    /// A claimed request is billed only after its end is in the table: another instance may have
    /// taken over the key and would bill the request as well. If the loop of the claims has stopped
    /// and confirms nothing, the request is billed too.
    pub fn settle(mut self, end: End, used: Tokens) {
        let Some(claim) = self.claim.take() else {
            self.hold.settle(used);
            return;
        };
        let Self { mut hold, in_flight, .. } = self;
        hold.shrink(used);
        let ack = claim.end(end);
        ntex::rt::spawn(async move {
            match ack.await {
                Ok(Ownership::Lost) => hold.release(),
                Ok(Ownership::Kept) | Err(_) => hold.settle(used),
            }
            drop(in_flight);
        });
    }
}
