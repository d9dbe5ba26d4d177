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
const END_TIME: Duration = Duration::from_millis(50);
/// Time for which a new connection must stay open to show that an upstream still runs.
const REACH_TIME: Duration = Duration::from_millis(250);
/// Pause before a suspect asks again for its trial.
const BUSY_PAUSE: Duration = Duration::from_millis(100);
/// Times that a suspect asks for a trial.
const ASKS_MAX: u32 = 40;

/// A request as a possible cause of crashes.
#[derive(Debug, Clone)]
pub struct Case {
    suspects: Arc<dyn Suspects>,
    request: RequestId,
    account: AccountId,
    path: String,
    body: Bytes,
}

impl Case {
    /// Opens the case of a request.
    #[must_use]
    pub fn open(suspects: &Arc<dyn Suspects>, exchange: &Exchange) -> Self {
        let path = match &exchange.call {
            Call::Chat(_) => String::new(),
            Call::Service(call) => format!("{} {} {}", exchange.method, call.id, call.path),
        };
        Self {
            suspects: Arc::clone(suspects),
            request: Arc::clone(&exchange.request),
            account: Arc::clone(&exchange.caller().account),
            path,
            body: exchange.body.clone(),
        }
    }

    fn fingerprint(&self) -> Fingerprint {
        fingerprint(&self.account, &self.path, &self.body)
    }

    fn verdict(&self) -> Verdict {
        if self.suspects.is_empty() {
            return Verdict::Clear;
        }
        self.suspects.lookup(&self.fingerprint())
    }

    /// Waits until the request may run at the upstream.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request crashes upstreams or must wait for too long.
    pub async fn admit(&self, ticket: &Ticket) -> Result<(), Refusal> {
        match self.verdict() {
            Verdict::Clear => Ok(()),
            Verdict::Guilty => Err(guilty()),
            Verdict::Suspect => self.trial(ticket).await,
        }
    }

    async fn trial(&self, ticket: &Ticket) -> Result<(), Refusal> {
        let fingerprint = self.fingerprint();
        for _ in 0..ASKS_MAX {
            match self.suspects.request_trial(&fingerprint, &ticket.upstream().id).await {
                Admission::Granted => return Ok(()),
                Admission::Guilty => return Err(guilty()),
                Admission::Unreachable => break,
                Admission::Busy => sleep(BUSY_PAUSE).await,
            }
        }
        let message = "an upstream crashed with this request; it cannot be tried again now";
        let refusal =
            Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "request_suspected", message);
        Err(refusal.after(Duration::from_secs(2)))
    }

    /// Notes that the connection broke during the run and returns true if it may be tried again.
    ///
    /// Only an upstream that cannot be reached right after has crashed.
    pub async fn broke(&self, ticket: &Ticket) -> bool {
        let upstream = ticket.upstream();
        sleep(END_TIME).await;
        if !is_down(upstream.address).await {
            return true;
        }
        let crash = Crash {
            fingerprint: self.fingerprint(),
            run_id: format!("{}@{}", self.request, upstream.id),
            upstream: Arc::clone(&upstream.id),
        };
        self.suspects.report_crash(crash).await != Verdict::Guilty
    }

    /// Notes that the run has come to its end.
    pub fn complete(&self, ticket: &Ticket) {
        if self.verdict() == Verdict::Suspect {
            self.suspects.report_completion(&self.fingerprint(), &ticket.upstream().id);
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
    matches!(timeout(REACH_TIME, probe).await, Ok(Err(_) | Ok(0)))
}

fn guilty() -> Refusal {
    let message = "upstreams crashed each time they ran this request; it is refused for now";
    Refusal::not_run(StatusCode::UNPROCESSABLE_ENTITY, "request_crashes_upstreams", message)
}
