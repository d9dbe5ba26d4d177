//! One attempt of a caller: sends a request to one address and classifies the answer.

use std::net::SocketAddr;
use std::time::Instant;

use base::prelude::*;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse};
use ntex::http::StatusCode;
use ntex::http::header::RETRY_AFTER;
use ntex::util::Bytes;
use serde_json::Value;
use tokio::time::timeout;

use super::record::{Attempt, Ending, Failure, Refused};
use super::workload::{Kind, Request};
use crate::engine::wall_ms;

/// Timeout for the response head and for each part of the body.
const READ_TIMEOUT: Duration = Duration::from_secs(4);

/// Sends a request to one address and reads the whole answer.
pub async fn send(http: &Client, address: SocketAddr, path: &str, request: &Request) -> Attempt {
    let started_at = Instant::now();
    let mut attempt = Attempt {
        address: address.to_string(),
        start_ms: wall_ms(),
        end_ms: 0,
        request_id: String::new(),
        time_to_first_event: Duration::ZERO,
        total_time: Duration::ZERO,
        ending: Ending::Failed(Failure::Timeout),
    };
    let response = http
        .post(format!("http://{address}{path}"))
        .bearer_auth(request.payer().key)
        .header("idempotency-key", request.name.as_str())
        .header("content-type", if request.is_chat() { "application/json" } else { "text/plain" })
        .send_body(request.body());
    match timeout(READ_TIMEOUT, response).await {
        Err(_elapsed) => {}
        // The client returns this error if the connection closes after the request was sent.
        Ok(Err(ClientError::Connect(ConnectError::Disconnected(None)))) => {
            attempt.ending = Ending::Failed(Failure::Transport);
        }
        Ok(Err(ClientError::Connect(_))) => attempt.ending = Ending::Failed(Failure::Connect),
        Ok(Err(_)) => attempt.ending = Ending::Failed(Failure::Transport),
        Ok(Ok(answer)) => {
            attempt.request_id = header(&answer, "lacewing-request-id");
            let mut reader = Reader { answer, started_at, time_to_first_event: None };
            attempt.ending = reader.read(request).await;
            attempt.time_to_first_event =
                reader.time_to_first_event.unwrap_or_else(|| started_at.elapsed());
        }
    }
    attempt.total_time = started_at.elapsed();
    attempt.end_ms = wall_ms();
    attempt
}

fn header(answer: &ClientResponse, name: &str) -> String {
    let value = answer.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// An answer that is being read.
struct Reader {
    answer: ClientResponse,
    started_at: Instant,
    time_to_first_event: Option<Duration>,
}

impl Reader {
    async fn read(&mut self, request: &Request) -> Ending {
        if self.answer.status() != StatusCode::OK {
            return self.read_refusal().await;
        }
        match request.kind {
            Kind::Stream => self.read_stream(request).await,
            Kind::Whole => self.read_whole(request, chat_text).await,
            Kind::Lookup | Kind::Confirm => self.read_whole(request, service_text).await,
        }
    }

    async fn read_refusal(&mut self) -> Ending {
        let Ok(body) = self.read_body().await else { return Ending::Failed(Failure::Broken) };
        let object: Value = serde_json::from_slice(&body).unwrap_or_default();
        let code = object.pointer("/error/code").and_then(Value::as_str).unwrap_or_default();
        Ending::Refused(Refused {
            status: self.answer.status().as_u16(),
            code: code.to_owned(),
            outcome: header(&self.answer, base::outcome::HEADER),
            retry_after: header(&self.answer, RETRY_AFTER.as_str()).parse().ok(),
        })
    }

    async fn read_whole(
        &mut self,
        request: &Request,
        text: fn(&Request, &Value) -> Option<String>,
    ) -> Ending {
        let body = match self.read_body().await {
            Ok(body) => body,
            Err(failure) => return Ending::Failed(failure),
        };
        let object: Value = serde_json::from_slice(&body).unwrap_or_default();
        let right = text(request, &object).is_some_and(|text| {
            if request.is_chat() { request.is_answered_by(&text) } else { text == request.name }
        });
        if right { Ending::Whole } else { Ending::Wrong }
    }

    async fn read_body(&mut self) -> Result<Vec<u8>, Failure> {
        let mut payload = self.answer.take_payload();
        let mut body = Vec::new();
        loop {
            match timeout(READ_TIMEOUT, payload.recv()).await {
                Err(_elapsed) => return Err(Failure::Timeout),
                Ok(None) => return Ok(body),
                Ok(Some(Err(_))) => return Err(Failure::Broken),
                Ok(Some(Ok(chunk))) => body.extend_from_slice(&chunk),
            }
        }
    }

    async fn read_stream(&mut self, request: &Request) -> Ending {
        let mut payload = self.answer.take_payload();
        let mut splitter = flow::sse::Splitter::default();
        let mut text = String::new();
        loop {
            let chunk: Bytes = match timeout(READ_TIMEOUT, payload.recv()).await {
                Err(_elapsed) => return Ending::Failed(Failure::Timeout),
                Ok(None | Some(Err(_))) => return Ending::Failed(Failure::Cut),
                Ok(Some(Ok(chunk))) => chunk,
            };
            self.time_to_first_event.get_or_insert_with(|| self.started_at.elapsed());
            splitter.push(&chunk);
            for event in splitter.by_ref() {
                if event.is_done() {
                    let right = request.is_answered_by(&text);
                    return if right { Ending::Whole } else { Ending::Wrong };
                }
                let object: Value = event
                    .data()
                    .and_then(|data| serde_json::from_str(data).ok())
                    .unwrap_or_default();
                if object.get("error").is_some() {
                    return Ending::Failed(Failure::Explicit);
                }
                let delta = object.pointer("/choices/0/delta/content").and_then(Value::as_str);
                text.push_str(delta.unwrap_or_default());
            }
        }
    }
}

fn chat_text(_request: &Request, object: &Value) -> Option<String> {
    object.pointer("/choices/0/message/content")?.as_str().map(str::to_owned)
}

fn service_text(_request: &Request, object: &Value) -> Option<String> {
    object.get("marker")?.as_str().map(str::to_owned)
}
