//! Checks that stop poison requests, which crash the upstreams that run them.
//!
//! A request that was in flight when an upstream crashed is a suspect. It may run again only on
//! trial, as the only suspect at its upstream.

use std::net::SocketAddr;

use base::prelude::*;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use route::Ticket;
use route::poison::{Admission, Crash, Fingerprint, Suspects, Verdict, fingerprint};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::Refusal;
use crate::exchange::{Call, Exchange};

/// Delay before a crash check, since a crashing process takes time to exit.
const EXIT_GRACE: Duration = Duration::from_millis(50);
/// Time that a new connection must stay open to show that the upstream is running.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between attempts to get a trial while another suspect is on trial.
const TRIAL_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Most attempts to get a trial before the request is refused.
const MAX_TRIAL_ATTEMPTS: u32 = 40;

/// Checks one request against the records of crashes, and reports its crashes.
#[derive(Debug, Clone)]
pub struct Check {
    crash_records: Arc<dyn Suspects>,
    request_id: RequestId,
    account: AccountId,
    path: String,
    body: Bytes,
}

impl Check {
    /// Collects what identifies the request; dispatch and relay each open their own check.
    #[must_use]
    pub fn open(crash_records: &Arc<dyn Suspects>, exchange: &Exchange) -> Self {
        let path = match &exchange.call {
            Call::Chat(_) => String::new(),
            Call::Service(call) => format!("{} {} {}", exchange.method, call.id, call.path),
        };
        Self {
            crash_records: Arc::clone(crash_records),
            request_id: Arc::clone(&exchange.request_id),
            account: Arc::clone(&exchange.caller().account),
            path,
            body: exchange.body.clone(),
        }
    }

    fn fingerprint(&self) -> Fingerprint {
        fingerprint(&self.account, &self.path, &self.body)
    }

    fn verdict(&self) -> Verdict {
        if self.crash_records.is_empty() {
            return Verdict::Clear;
        }
        self.crash_records.lookup(&self.fingerprint())
    }

    /// Admits the request at an upstream; a suspect first waits for its trial there.
    ///
    /// # Errors
    ///
    /// Returns a refusal for a known poison request, or if a suspect gets no trial in time.
    pub async fn admit(&self, ticket: &Ticket) -> Result<(), Refusal> {
        match self.verdict() {
            Verdict::Clear => Ok(()),
            Verdict::Guilty => Err(crashes_upstreams()),
            Verdict::Suspect => self.await_trial(ticket).await,
        }
    }

    async fn await_trial(&self, ticket: &Ticket) -> Result<(), Refusal> {
        let fingerprint = self.fingerprint();
        for _ in 0..MAX_TRIAL_ATTEMPTS {
            match self.crash_records.request_trial(&fingerprint, &ticket.upstream().id).await {
                Admission::Granted => return Ok(()),
                Admission::Guilty => return Err(crashes_upstreams()),
                Admission::Unreachable => break,
                Admission::Busy => sleep(TRIAL_RETRY_INTERVAL).await,
            }
        }
        let message = "an upstream crashed with this request; it cannot be tried again now";
        let refusal =
            Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "request_suspected", message);
        Err(refusal.with_retry_after(Duration::from_secs(2)))
    }

    /// Reports a crash if the upstream is down; returns false for a poison request.
    ///
    /// Called after the connection broke during the run. An upstream that accepts new connections
    /// has not crashed.
    pub async fn report_disconnect(&self, ticket: &Ticket) -> bool {
        let upstream = ticket.upstream();
        sleep(EXIT_GRACE).await;
        if !is_down(upstream.address).await {
            return true;
        }
        let crash = Crash {
            fingerprint: self.fingerprint(),
            run_id: format!("{}@{}", self.request_id, upstream.id),
            upstream: Arc::clone(&upstream.id),
        };
        self.crash_records.report_crash(crash).await != Verdict::Guilty
    }

    /// Clears a suspect whose run has completed without a crash.
    pub fn report_completion(&self, ticket: &Ticket) {
        if self.verdict() == Verdict::Suspect {
            self.crash_records.report_completion(&self.fingerprint(), &ticket.upstream().id);
        }
    }
}

/// Returns true if a new connection is refused or closed at once.
///
/// A proxy in front of the upstream accepts connections and closes them while the upstream is
/// down. An upstream that does not respond in time may be slow, so it does not count as down.
async fn is_down(address: SocketAddr) -> bool {
    let probe = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.read(&mut [0]).await
    };
    matches!(timeout(PROBE_TIMEOUT, probe).await, Ok(Err(_) | Ok(0)))
}

fn crashes_upstreams() -> Refusal {
    let message = "upstreams crashed each time they ran this request; it is refused for now";
    Refusal::not_run(StatusCode::UNPROCESSABLE_ENTITY, "request_crashes_upstreams", message)
}
