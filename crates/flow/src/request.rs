//! Reads a request from the network and parses it into an exchange.

use base::prelude::*;
use ntex::http::StatusCode;
use ntex::http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap};
use ntex::time::{Millis, timeout};
use ntex::util::{Bytes, BytesMut};
use ntex::web::HttpRequest;
use ntex::web::types::Payload;

use crate::Refusal;
use crate::chat::Chat;
use crate::exchange::{Call, Exchange, Service};

/// Request header with the idempotency key that the caller chose.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Request header: `false` forbids running the request more than once.
pub const IDEMPOTENT_HEADER: &str = "lacewing-idempotent";
/// Header, from callers and to upstreams, with the milliseconds until the deadline.
pub const TIMEOUT_HEADER: &str = "lacewing-timeout-ms";
/// Longest accepted idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Limits on the size and duration of a caller's request.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest accepted request body.
    pub max_body_bytes: usize,
    /// Longest time from the request head to the end of its body.
    pub body_timeout: Duration,
    /// Most header lines in one request.
    pub max_headers: usize,
    /// Longest time from arrival to the end of the answer; callers can only shorten it.
    pub request_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 << 20,
            body_timeout: Duration::from_secs(15),
            max_headers: 64,
            request_timeout: Duration::from_mins(30),
        }
    }
}

/// Checks the headers of a request against the limits.
///
/// # Errors
///
/// Returns a refusal if there are too many headers or two authorization headers.
pub fn check_head(http: &HttpRequest, limits: Limits) -> Result<(), Refusal> {
    // Two API keys would leave open which account pays.
    if http.headers().get_all(AUTHORIZATION).count() > 1 {
        return Err(Refusal::invalid("the request has two authorization headers"));
    }
    let max = limits.max_headers;
    if http.headers().iter().count() <= max {
        return Ok(());
    }
    let message = format!("the request has more than {max} headers");
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    Err(Refusal::not_run(status, "too_many_headers", message))
}

/// Reads the whole request body within the size and time limits.
///
/// # Errors
///
/// Returns a refusal if the body is too large, arrives too slowly or ends early.
pub async fn read_body(payload: &mut Payload, limits: Limits) -> Result<Bytes, Refusal> {
    let collect = collect_body(payload, limits.max_body_bytes);
    if let Ok(result) = timeout(Millis::from(limits.body_timeout), collect).await {
        result
    } else {
        let message = "the body did not arrive in time";
        Err(Refusal::not_run(StatusCode::REQUEST_TIMEOUT, "body_timeout", message))
    }
}

async fn collect_body(payload: &mut Payload, max_bytes: usize) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk
            .map_err(|error| Refusal::invalid(format!("the body could not be read: {error}")))?;
        if body.len() + chunk.len() > max_bytes {
            let message = format!("the body is larger than {max_bytes} bytes");
            return Err(Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Parses a chat completion request.
///
/// # Errors
///
/// Returns a refusal if the request is malformed.
pub fn parse_chat(
    request_id: RequestId,
    http: &HttpRequest,
    body: Bytes,
    config: Arc<plan::Doc>,
) -> Result<Exchange, Refusal> {
    let chat = Chat::parse(&body)?;
    build_exchange(request_id, http, body, config, Call::Chat(Box::new(chat)))
}

/// Parses a call of a plain service; its path is `/v1/services/ID/REST`.
///
/// # Errors
///
/// Returns a refusal if the request is malformed.
pub fn parse_service(
    request_id: RequestId,
    http: &HttpRequest,
    body: Bytes,
    config: Arc<plan::Doc>,
) -> Result<Exchange, Refusal> {
    let rest = http.path().strip_prefix("/v1/services/").unwrap_or_default();
    let (id, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = http.query_string();
    let separator = if query.is_empty() { "" } else { "?" };
    let call = Service { id: id.into(), path: format!("/{path}{separator}{query}") };
    build_exchange(request_id, http, body, config, Call::Service(call))
}

fn build_exchange(
    request_id: RequestId,
    http: &HttpRequest,
    body: Bytes,
    config: Arc<plan::Doc>,
    call: Call,
) -> Result<Exchange, Refusal> {
    let headers = http.headers();
    let idempotency_key = parse_idempotency_key(headers)?;
    let request_digest = idempotency_key.is_some().then(|| digest_request(http, &body));
    Ok(Exchange {
        request_id,
        config,
        method: http.method().clone(),
        content_type: headers.get(CONTENT_TYPE).cloned(),
        body,
        call,
        bearer_key: bearer_key(headers),
        caller: None,
        idempotency_key,
        idempotent: parse_idempotent(headers)?,
        candidates: Vec::new(),
        bound: 0,
        hold: None,
        slot: None,
        concurrency_permit: None,
        deadline: parse_timeout(headers)?,
        request_digest,
        claim: None,
        replay: None,
    })
}

/// Returns the digest that tells a retry from another request under the same key.
fn digest_request(http: &HttpRequest, body: &[u8]) -> String {
    let path = format!("{}?{}", http.path(), http.query_string());
    idem::row::digest(http.method().as_str(), &path, body)
}

/// Returns the API key of the `Authorization: Bearer` header, if there is one.
#[must_use]
pub fn bearer_key(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim().to_owned())
}

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else { return Ok(None) };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key.to_owned())),
        _ => Err(Refusal::invalid(format!(
            "'Idempotency-Key' must be 1 to {MAX_KEY_BYTES} visible ASCII characters"
        ))),
    }
}

/// Returns the timeout that the caller set, or the maximum without the header.
fn parse_timeout(headers: &HeaderMap) -> Result<Duration, Refusal> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else { return Ok(Duration::MAX) };
    let millis: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    match millis {
        Some(millis) if millis > 0 => Ok(Duration::from_millis(millis)),
        _ => Err(Refusal::invalid("'Lacewing-Timeout-Ms' must be a positive whole number")),
    }
}

fn parse_idempotent(headers: &HeaderMap) -> Result<bool, Refusal> {
    let Some(value) = headers.get(IDEMPOTENT_HEADER) else { return Ok(true) };
    match value.to_str() {
        Ok("true") => Ok(true),
        Ok("false") => Ok(false),
        _ => Err(Refusal::invalid("'Lacewing-Idempotent' must be 'true' or 'false'")),
    }
}
