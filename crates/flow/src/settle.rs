//! End of a request: its claim and its bill.

use base::prelude::*;
use idem::claim::End;
use idem::{Claim, Ownership};
use ledger::Hold;

use crate::Exchange;
use crate::in_flight::Guard;

/// The reservation and the claim of a request that was dispatched.
#[derive(Debug)]
pub struct Settlement {
    hold: Hold,
    claim: Option<Claim>,
    in_flight: Guard,
}

impl Settlement {
    /// Takes what is to be settled out of a request; `in_flight` lasts until that is done.
    ///
    /// Returns `None` if nothing was reserved.
    pub fn take(exchange: &mut Exchange, in_flight: Guard) -> Option<Self> {
        let hold = exchange.hold.take()?;
        Some(Self { hold, claim: exchange.claim.take(), in_flight })
    }

    /// Returns the reserved tokens.
    #[must_use]
    pub fn bound(&self) -> Tokens {
        self.hold.bound()
    }

    /// Ends a request that did not run.
    pub fn release(self) {
        // Nothing was used, so nothing depends on whether the claim was kept.
        drop(self.claim.map(|claim| claim.end(End::NotRun)));
        self.hold.release();
    }

    /// Ends a request that used tokens.
    ///
    /// A claimed request is billed once its end is in the table, since another instance may own
    /// the key by now and bills it then.
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
