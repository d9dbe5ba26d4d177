//! Requests that crash upstreams: checks before, during and after a run.

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

/// Pause before an upstream is tried for life, since a process does not end at once.
const EXIT_GRACE: Duration = Duration::from_millis(50);
/// Time for which a new connection must stay open to show that an upstream still runs.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause before a suspect asks again for its trial.
const TRIAL_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Times that a suspect asks for a trial.
const MAX_TRIAL_ATTEMPTS: u32 = 40;

/// A request as a possible cause of crashes.
#[derive(Debug, Clone)]
pub struct Check {
    crash_records: Arc<dyn Suspects>,
    request_id: RequestId,
    account: AccountId,
    path: String,
    body: Bytes,
}

impl Check {
    /// Opens the case of a request.
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

    /// Waits until the request may run at the upstream.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request crashes upstreams or must wait for too long.
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
                Admission::Busy => sleep(TRIAL_RETRY_PAUSE).await,
            }
        }
        let message = "an upstream crashed with this request; it cannot be tried again now";
        let refusal =
            Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "request_suspected", message);
        Err(refusal.with_retry_after(Duration::from_secs(2)))
    }

    /// Notes that the connection broke during the run and returns true if it may be tried again.
    ///
    /// Only an upstream that cannot be reached right after has crashed.
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

    /// Notes that the run has come to its end.
    pub fn report_completion(&self, ticket: &Ticket) {
        if self.verdict() == Verdict::Suspect {
            self.crash_records.report_completion(&self.fingerprint(), &ticket.upstream().id);
        }
    }
}

/// Returns true if a new connection is refused or closed at once.
///
/// A proxy before the upstream accepts connections for it and closes them when it is down. An
/// upstream that does not answer in time may be slow, so that it does not count as down.
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
