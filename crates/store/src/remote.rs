//! Client of the platform's services over HTTP.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use h1::client::{Client, Request};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{Commit, Error, Listing, Pending, Row, Txn};

/// Size of an answer, in bytes, above which the call fails.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Most connections to the platform that are kept open while no call uses them.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Header fields of calls with JSON.
const JSON_FIELDS: &[(&str, &[u8])] = &[("Content-Type", b"application/json")];

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
    client: Rc<Client>,
    timeout: Duration,
}

impl Platform {
    /// Opens a client; it connects to `address` with the first call.
    ///
    /// Each call applies `timeout` twice: up to the status of the answer, and to reading its body.
    #[must_use]
    pub fn open(address: SocketAddr, timeout: Duration) -> Self {
        Self { client: Rc::new(Client::open(address, MAX_IDLE_CONNECTIONS)), timeout }
    }

    async fn call<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, Error> {
        let malformed = |error: serde_json::Error| Error::Malformed(error.to_string());
        let body = serde_json::to_vec(body).map_err(malformed)?;
        let answer = self.send("POST", path, JSON_FIELDS, &body).await?;
        serde_json::from_slice(&answer).map_err(malformed)
    }

    /// Sends a request and returns the body of its answer with the status 200.
    async fn send(
        &self,
        method: &str,
        target: &str,
        fields: &[(&str, &[u8])],
        body: &[u8],
    ) -> Result<Bytes, Error> {
        let request = Request { method, target, fields, body };
        let answer = self.client.call(&request, MAX_RESPONSE_BYTES, self.timeout).await;
        match answer.map_err(|failure| Error::Unreachable(failure.to_string()))? {
            (200, body) => Ok(body),
            (status, _) => Err(Error::Status(status)),
        }
    }
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
            self.send("PUT", &format!("/objects/{name}"), &[], &body).await?;
            Ok(())
        }
        .boxed_local()
    }

    fn fetch(&self, name: String) -> Pending<'_, Option<Vec<u8>>> {
        async move {
            match self.send("GET", &format!("/objects/{name}"), &[], &[]).await {
                Ok(body) => Ok(Some(body.to_vec())),
                Err(Error::Status(404)) => Ok(None),
                Err(error) => Err(error),
            }
        }
        .boxed_local()
    }
}

impl crate::Instances for Platform {
    fn list(&self) -> Pending<'_, Vec<Listing>> {
        async move { self.call("/instances", &()).await }.boxed_local()
    }
}
