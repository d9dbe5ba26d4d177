//! Error answers that this instance writes itself.

use base::prelude::*;
use bytes::BytesMut;

/// An error answer of this instance in place of an upstream's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status code, 400 or higher.
    pub status: u16,
    /// Whether an upstream ran the request, as far as this instance knows.
    pub outcome: Outcome,
    /// Cause, as written to the answer's body, logs and metrics.
    pub code: &'static str,
    /// Delay after which a retry can succeed; `None` if the caller gets no hint.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns the refusal of a request that did not run and never will.
    #[must_use]
    pub const fn not_run(status: u16, code: &'static str) -> Self {
        Self { status, outcome: Outcome::NotRun, code, retry_after: None }
    }

    /// Returns the refusal of a request that may have run.
    #[must_use]
    pub const fn unknown(status: u16, code: &'static str) -> Self {
        Self { status, outcome: Outcome::Unknown, code, retry_after: None }
    }

    /// Sets the delay after which a retry can succeed.
    #[must_use]
    pub const fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Appends the whole answer to `out`.
    ///
    /// `request` is the name of the request id's field and the id, if it is known.
    pub fn write(&self, request: Option<(&str, &str)>, keep_alive: bool, out: &mut BytesMut) {
        let body = format!("{{\"error\":{{\"code\":\"{}\"}}}}\n", self.code);
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            self.status,
            reason_phrase(self.status),
            body.len()
        );
        head.push_str(base::outcome::HEADER);
        head.push_str(": ");
        head.push_str(self.outcome.as_str());
        head.push_str("\r\n");
        if let Some((field, id)) = request {
            for text in [field, ": ", id, "\r\n"] {
                head.push_str(text);
            }
        }
        if let Some(delay) = self.retry_after {
            let seconds = format!("{:.2}", delay.as_secs_f64());
            for text in ["Retry-After: ", &seconds, "\r\n"] {
                head.push_str(text);
            }
        }
        if !keep_alive {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        out.extend_from_slice(head.as_bytes());
        out.extend_from_slice(body.as_bytes());
    }
}

/// Returns the standard reason phrase of a status code, `Status` for unlisted ones.
#[must_use]
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        402 => "Payment Required",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
