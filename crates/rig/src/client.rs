//! HTTP client for calls with JSON, used by tests and experiments.

use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::http::Method;
use ntex::time::Millis;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Largest answer body that is read.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// Reasons why a call fails.
#[derive(Debug, Error)]
pub enum Error {
    /// No connection, no answer in time, or a broken answer.
    #[error("{0}")]
    Http(String),
    /// The answer has this status other than 200, and this body.
    #[error("status {0}: {1}")]
    Status(u16, String),
    /// The body is not the expected JSON.
    #[error("malformed answer: {0}")]
    Json(#[from] serde_json::Error),
}

/// Opens a client for the current thread with at most `connections` connections.
///
/// # Panics
///
/// Panics if the client cannot be built, which is a bug.
pub async fn open(connections: usize) -> Client {
    Client::builder()
        .connector::<()>(Connector::default().limit(connections))
        .response_timeout(Millis(60_000))
        .response_payload_limit(MAX_ANSWER_BYTES)
        .disable_redirects()
        .build(SharedCfg::default())
        .await
        .expect("a client without TLS can be built")
}

/// Sends `body` as JSON and parses the answer; a GET sends no body.
///
/// `key` is sent as a bearer token. An empty answer is parsed as `null`.
///
/// # Errors
///
/// Returns an error if the call fails, its status is not 200 or the answer does not parse.
pub async fn json<B: Serialize, T: DeserializeOwned>(
    client: &Client,
    method: Method,
    url: String,
    key: Option<&str>,
    body: &B,
) -> Result<T, Error> {
    let text = call(client, method, url, key, body).await?;
    Ok(serde_json::from_str(if text.is_empty() { "null" } else { &text })?)
}

async fn call<B: Serialize>(
    client: &Client,
    method: Method,
    url: String,
    key: Option<&str>,
    body: &B,
) -> Result<String, Error> {
    let failed = |error: &dyn std::fmt::Display| Error::Http(format!("{method} {url}: {error}"));
    let mut request = client.request(method.clone(), &url);
    if let Some(key) = key {
        request = request.bearer_auth(key);
    }
    let sent =
        if method == Method::GET { request.send().await } else { request.send_json(body).await };
    let answer = sent.map_err(|error| failed(&error))?;
    let bytes = answer.body().await.map_err(|error| failed(&error))?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    if answer.status().as_u16() == 200 {
        Ok(text)
    } else {
        Err(Error::Status(answer.status().as_u16(), text))
    }
}
