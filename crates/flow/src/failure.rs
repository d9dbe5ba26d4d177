//! Failures of an attempt at an upstream, and what they say about the run.

use ntex::client::ClientResponse;
use ntex::client::error::{ClientError, ConnectError};
use ntex::http::StatusCode;
use thiserror::Error;

use crate::exchange::{Call, Exchange};

/// Why an attempt at an upstream gave no answer.
#[derive(Debug, Error)]
pub enum Failure {
    /// The HTTP client failed.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The upstream did not begin its answer in time.
    #[error("no answer began in time")]
    Timeout,
    /// The deadline of the request passed, which says nothing about the upstream.
    #[error("the deadline of the request passed")]
    DeadlineExceeded,
    /// The engine had no room for the request.
    #[error("the engine turned the request away with status {0}")]
    Rejected(StatusCode),
}

impl Failure {
    /// Returns true if the failure says something about the health of the upstream.
    #[must_use]
    pub fn is_upstream_fault(&self) -> bool {
        !matches!(self, Self::Rejected(_) | Self::DeadlineExceeded)
    }

    /// Returns true if the connection broke, as it does when an upstream crashes.
    #[must_use]
    pub fn is_disconnect(&self) -> bool {
        matches!(self, Self::Client(_))
    }

    /// Returns true if the attempt cost the upstream something, so that a retry needs a budget.
    #[must_use]
    pub fn needs_retry_budget(&self) -> bool {
        matches!(self, Self::Rejected(_)) || !self.proves_not_run()
    }

    /// Returns true if the failure shows that the request did not run.
    ///
    /// A connection that ends without an answer proves nothing, since the request was written to
    /// it before; the client reports that as a disconnection without a cause.
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

/// Returns true if an engine answered that it has no room, before it ran anything.
///
/// A plain service may mean anything by these codes, so its answer goes to the caller.
#[must_use]
pub fn is_rejected(exchange: &Exchange, response: &ClientResponse) -> bool {
    let busy = [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];
    matches!(exchange.call, Call::Chat(_)) && busy.contains(&response.status())
}
