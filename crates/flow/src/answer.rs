//! HTTP answers to callers: refusals, complete answers and replays.

use base::outcome::HEADER;
use base::prelude::*;
use idem::Answer;
use ntex::http::StatusCode;
use ntex::http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use serde_json::json;

use crate::Refusal;

/// Response header with the id of the request; also sent to upstreams.
pub const REQUEST_ID_HEADER: &str = "lacewing-request-id";

/// Renders a refusal as an error answer with its outcome header.
#[must_use]
pub fn refusal(refusal: &Refusal, request_id: &str) -> HttpResponse {
    let mut answer = HttpResponse::build(refusal.status);
    answer.header(HEADER, refusal.outcome.as_str());
    answer.header(REQUEST_ID_HEADER, request_id);
    if let Some(delay) = refusal.retry_after {
        answer.header(RETRY_AFTER, delay.as_secs().max(1).to_string());
    }
    answer.json(&error_body(refusal))
}

/// Returns the error object of a refusal, as in the published chat format.
#[must_use]
pub fn error_body(refusal: &Refusal) -> serde_json::Value {
    let error_type = error_type(refusal.status);
    json!({"error": {
        "message": refusal.message,
        "type": error_type,
        "param": null,
        "code": refusal.code,
    }})
}

fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::FORBIDDEN => "permission_error",
        StatusCode::PAYMENT_REQUIRED => "insufficient_quota",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}

/// Response header that marks a stored answer of an earlier request.
pub const REPLAYED_HEADER: &str = "lacewing-replayed";

/// Renders the stored answer of an earlier request under the same idempotency key.
#[must_use]
pub fn replay(stored: &Answer, request_id: &str) -> HttpResponse {
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let content_type = HeaderValue::from_str(&stored.content_type).ok();
    let mut answer = completed(status, content_type.as_ref(), request_id);
    answer.header(REPLAYED_HEADER, "true");
    answer.body(Bytes::copy_from_slice(&stored.body))
}

/// Returns the builder of an answer with the outcome `completed` and no body yet.
#[must_use]
pub fn completed(
    status: StatusCode,
    content_type: Option<&HeaderValue>,
    request_id: &str,
) -> ntex::web::HttpResponseBuilder {
    let mut answer = HttpResponse::build(status);
    answer.header(HEADER, Outcome::Completed.as_str());
    answer.header(REQUEST_ID_HEADER, request_id);
    if let Some(value) = content_type {
        answer.set_header(CONTENT_TYPE, value.clone());
    }
    answer
}
