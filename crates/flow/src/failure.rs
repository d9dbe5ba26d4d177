//! Failures of a single attempt at an upstream.
//!
//! Each failure tells whether the request can have run and whether the upstream is at fault.

use ntex::client::ClientResponse;
use ntex::client::error::{ClientError, ConnectError};
use ntex::http::StatusCode;
use thiserror::Error;

use crate::exchange::{Call, Exchange};

/// Reason why an attempt at an upstream gave no answer.
#[derive(Debug, Error)]
pub enum Failure {
    /// The HTTP client could not connect, or the connection broke.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The head of the answer did not arrive within the upstream timeout.
    #[error("the upstream did not begin its answer in time")]
    Timeout,
    /// The deadline of the request passed first; the upstream may be healthy.
    #[error("the deadline of the request passed")]
    DeadlineExceeded,
    /// The engine is saturated and did not start the request.
    #[error("the engine rejected the request with status {0}")]
    Rejected(StatusCode),
}

impl Failure {
    /// Returns true if the failure counts against the health of the upstream.
    #[must_use]
    pub fn is_upstream_fault(&self) -> bool {
        !matches!(self, Self::Rejected(_) | Self::DeadlineExceeded)
    }

    /// Returns true if the connection failed, which may mean that the upstream crashed.
    #[must_use]
    pub fn is_disconnect(&self) -> bool {
        matches!(self, Self::Client(_))
    }

    /// Returns true if the attempt loaded the upstream, so that a retry needs retry budget.
    #[must_use]
    pub fn needs_retry_budget(&self) -> bool {
        matches!(self, Self::Rejected(_)) || !self.proves_not_run()
    }

    /// Returns true if the request certainly did not run.
    ///
    /// A connection that closes without an answer proves nothing, since the request was already
    /// written to it. The HTTP client reports this as a disconnect without a cause.
    ///
    /// # Examples
    ///
    /// ```
    /// use flow::failure::Failure;
    /// use ntex::client::error::{ClientError, ConnectError};
    /// let refused = std::io::Error::from(std::io::ErrorKind::ConnectionRefused);
    /// let refused = ClientError::Connect(ConnectError::Disconnected(Some(refused)));
    /// assert!(Failure::Client(refused).proves_not_run());
    /// let stale = ClientError::Connect(ConnectError::Disconnected(None));
    /// assert!(!Failure::Client(stale).proves_not_run());
    /// ```
    #[must_use]
    pub fn proves_not_run(&self) -> bool {
        match self {
            Self::Rejected(_) => true,
            Self::Timeout
            | Self::DeadlineExceeded
            | Self::Client(ClientError::Connect(ConnectError::Disconnected(None))) => false,
            Self::Client(error) => {
                matches!(error, ClientError::Connect(_) | ClientError::Url(_))
            }
        }
    }
}

/// Returns true if an engine is saturated and did not start the request.
///
/// The same status codes from a plain service have no fixed meaning and go to the caller.
#[must_use]
pub fn is_rejected(exchange: &Exchange, response: &ClientResponse) -> bool {
    let busy = [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];
    matches!(exchange.call, Call::Chat(_)) && busy.contains(&response.status())
}
