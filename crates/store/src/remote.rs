//! Client of the platform's services over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use ntex::SharedCfg;
use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::http::StatusCode;
use ntex::time::Millis;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{Commit, Error, Listing, Pending, Row, Txn};

/// Size of an answer, in bytes, above which the call fails.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Most connections that one client opens to the platform.
const MAX_CONNECTIONS: usize = 16;

/// Request body of a read by key.
#[derive(Debug, Serialize, Deserialize)]
pub struct Get {
    /// Keys to read; the answer leaves out those without a row.
    pub keys: Vec<String>,
}

/// Request body of a read by prefix.
#[derive(Debug, Serialize, Deserialize)]
pub struct Scan {
    /// Prefix of the keys to read.
    pub prefix: String,
    /// Key after which the answer starts; empty to start at the first.
    pub after: String,
    /// Most rows in the answer.
    pub limit: usize,
}

/// HTTP client of the platform, owned by one thread.
#[derive(Debug, Clone)]
pub struct Platform {
    client: Client,
    base_url: String,
    timeout: Duration,
}

impl Platform {
    /// Opens a client; it connects to `address` with the first call.
    ///
    /// `timeout` bounds each call to the object store. Calls to the table and the instance list
    /// apply it twice: up to the status of the answer, and to reading its body.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] if the HTTP client cannot be built.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, Error> {
        let client = Client::builder()
            .connector::<()>(Connector::default().limit(MAX_CONNECTIONS))
            .response_timeout(Millis::from(timeout))
            .response_payload_limit(MAX_RESPONSE_BYTES)
            .build(SharedCfg::default())
            .await
            .map_err(|error| Error::Unreachable(error.to_string()))?;
        Ok(Self { client, base_url: format!("http://{address}"), timeout })
    }

    async fn call<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, Error> {
        let request = self.client.post(format!("{}{path}", self.base_url));
        let response = self.with_timeout(send_json(request, body)).await?;
        self.with_timeout(read_json(response)).await
    }

    async fn with_timeout<T>(
        &self,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        ntex::time::timeout(Millis::from(self.timeout), call)
            .await
            .unwrap_or_else(|()| Err(Error::Unreachable("timeout".into())))
    }
}

async fn send_json<B: Serialize>(
    request: ClientRequest,
    body: &B,
) -> Result<ClientResponse, Error> {
    let response =
        request.send_json(body).await.map_err(|error| Error::Unreachable(error.to_string()))?;
    check_status(response)
}

fn check_status(response: ClientResponse) -> Result<ClientResponse, Error> {
    if response.status() == StatusCode::OK {
        Ok(response)
    } else {
        Err(Error::Status(response.status().as_u16()))
    }
}

async fn read_json<T: DeserializeOwned>(response: ClientResponse) -> Result<T, Error> {
    let body = response.body().await.map_err(|error| Error::Unreachable(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| Error::Malformed(error.to_string()))
}

impl crate::Table for Platform {
    fn get(&self, keys: Vec<String>) -> Pending<'_, Vec<Row>> {
        async move { self.call("/table/get", &Get { keys }).await }.boxed_local()
    }

    fn scan(&self, prefix: String, after: String, limit: usize) -> Pending<'_, Vec<Row>> {
        async move { self.call("/table/scan", &Scan { prefix, after, limit }).await }.boxed_local()
    }

    fn commit(&self, txn: Txn) -> Pending<'_, Commit> {
        async move { self.call("/table/commit", &txn).await }.boxed_local()
    }
}

impl crate::Objects for Platform {
    fn put(&self, name: String, body: Vec<u8>) -> Pending<'_, ()> {
        async move {
            let call = async {
                let request = self.client.put(format!("{}/objects/{name}", self.base_url));
                let response = request
                    .send_body(body)
                    .await
                    .map_err(|error| Error::Unreachable(error.to_string()))?;
                check_status(response).map(drop)
            };
            self.with_timeout(call).await
        }
        .boxed_local()
    }

    fn fetch(&self, name: String) -> Pending<'_, Option<Vec<u8>>> {
        async move {
            let call = async {
                let response = self
                    .client
                    .get(format!("{}/objects/{name}", self.base_url))
                    .send()
                    .await
                    .map_err(|error| Error::Unreachable(error.to_string()))?;
                if response.status() == StatusCode::NOT_FOUND {
                    return Ok(None);
                }
                let body = check_status(response)?
                    .body()
                    .await
                    .map_err(|error| Error::Unreachable(error.to_string()))?;
                Ok(Some(body.to_vec()))
            };
            self.with_timeout(call).await
        }
        .boxed_local()
    }
}

impl crate::Instances for Platform {
    fn list(&self) -> Pending<'_, Vec<Listing>> {
        async move { self.call("/instances", &()).await }.boxed_local()
    }
}
