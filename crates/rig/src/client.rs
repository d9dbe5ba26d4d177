//! Small HTTP calls that tests and trials need.

use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::http::Method;
use ntex::time::Millis;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection failed.
    #[error("{0}")]
    Http(String),
    /// The answer has another status than 200.
    #[error("status {0}: {1}")]
    Status(u16, String),
    /// The answer is not the expected JSON.
    #[error("malformed answer: {0}")]
    Json(#[from] serde_json::Error),
}

/// Opens a client for the current thread.
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

/// Sends JSON and reads JSON.
///
/// # Errors
///
/// Returns an error if the call fails or its status is not 200.
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
