//! Handler of chat completions, whole or streamed.

use std::io;

use futures::SinkExt;
use futures::channel::mpsc;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Json, State};
use ntex::web::{HttpRequest, HttpResponse};
use route::prefix::{self, Hash};
use serde_json::{Value, json};
use tokio::time::sleep;

use super::batch::{Priority, Slot};
use super::{Engine, header, value_after, wall_ms};
use crate::journal::Run;

/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Prompt tokens that the chat template adds for each message.
const TEMPLATE_TOKENS: u64 = 8;
/// Number of generated tokens if the prompt names none.
const DEFAULT_TOKENS: u64 = 16;
/// Start of the word in a prompt that sets the number of generated tokens.
const TOKENS_PREFIX: &str = "tokens=";
/// Start of the word in a prompt that the answer repeats, to identify it.
const MARKER_PREFIX: &str = "marker=";
/// Text in a prompt that ends the process, if `crashes_on_poison` is set.
const CRASH_WORD: &str = "poison";

fn prompt_text(body: &Value) -> String {
    let messages = body.get("messages").and_then(Value::as_array);
    let texts = messages.into_iter().flatten().filter_map(|message| message.get("content"));
    texts
        .map(|content| content.as_str().map_or_else(|| content.to_string(), str::to_owned))
        .collect::<Vec<_>>()
        .join("\n")
}

/// One chat completion in progress.
struct Generation {
    engine: Engine,
    id: String,
    model: String,
    marker: String,
    prompt_tokens: u64,
    token_count: u64,
    run_index: usize,
    stream_usage: bool,
    continuous_usage: bool,
    priority: Priority,
    blocks: Vec<Hash>,
}

/// Answers a chat request.
///
/// If `crashes_on_poison` is set, a poison request ends the process with exit code 70.
pub async fn chat(http: HttpRequest, body: Json<Value>, engine: State<Engine>) -> HttpResponse {
    let prompt = prompt_text(&body);
    if engine.settings.crashes_on_poison && prompt.contains(CRASH_WORD) {
        std::process::exit(70);
    }
    let model = body.get("model").and_then(Value::as_str).unwrap_or_default();
    if !engine.report().serves(model) {
        let error = json!({"error": {"message": "the model is not loaded", "code": "not_loaded"}});
        return HttpResponse::build(StatusCode::NOT_FOUND).json(&error);
    }
    let generation = Generation::open(&http, &body, &engine, &prompt);
    if body.get("stream") == Some(&Value::Bool(true)) {
        generation.answer_stream()
    } else {
        generation.answer_whole().await
    }
}

impl Generation {
    fn open(http: &HttpRequest, body: &Value, engine: &Engine, prompt: &str) -> Self {
        let limits = ["max_tokens", "max_completion_tokens"];
        let limit = limits.iter().filter_map(|name| body.get(*name)?.as_u64()).min();
        let requested = value_after(prompt, TOKENS_PREFIX)
            .and_then(|text| text.parse().ok())
            .unwrap_or(DEFAULT_TOKENS);
        let marker = value_after(prompt, MARKER_PREFIX).unwrap_or_default();
        let messages = body.get("messages").and_then(Value::as_array).map_or(0, Vec::len) as u64;
        let prompt_tokens =
            prompt.len().div_ceil(BYTES_PER_TOKEN) as u64 + messages * TEMPLATE_TOKENS;
        let run = Run {
            upstream: engine.settings.name.clone(),
            account: header(http, "lacewing-account"),
            idempotency_key: header(http, "idempotency-key"),
            request_id: header(http, "lacewing-request-id"),
            path: http.path().to_owned(),
            marker: marker.clone(),
            prompt_tokens,
            started_ms: wall_ms(),
            ..Run::default()
        };
        let option = |name: &str| {
            body.pointer(&format!("/stream_options/{name}")) == Some(&Value::Bool(true))
        };
        Self {
            id: format!("chatcmpl-{}", run.request_id),
            model: body.get("model").and_then(Value::as_str).unwrap_or_default().to_owned(),
            marker,
            prompt_tokens,
            token_count: requested.min(limit.unwrap_or(u64::MAX)),
            run_index: engine.journal.start(run),
            engine: engine.clone(),
            stream_usage: option("include_usage"),
            continuous_usage: option("continuous_usage_stats"),
            priority: body.get("priority").and_then(Value::as_i64).unwrap_or_default(),
            blocks: body.get("messages").map(prefix::hash_messages).unwrap_or_default(),
        }
    }

    /// Waits for a slot in the batch.
    async fn acquire_slot(&self) -> Admission {
        let slot = self.engine.batch.acquire(self.priority, self.prompt_tokens + self.token_count);
        // The admission exists before its slot, so that a request cancelled while it waits is
        // reported too.
        let mut admission = Admission { engine: self.engine.clone(), slot: None };
        self.engine.record_report();
        admission.slot = Some(slot.await);
        self.engine.record_report();
        admission
    }

    /// Waits for the first token: fixed delay plus time for uncached prompt tokens.
    async fn prefill(&self) {
        let hit_blocks = self.engine.touch(&self.blocks);
        let cached = (hit_blocks * prefix::BLOCK_BYTES / BYTES_PER_TOKEN) as u64;
        let missing = u32::try_from(self.prompt_tokens.saturating_sub(cached)).unwrap_or(u32::MAX);
        self.engine.journal.update(self.run_index, |run| run.cached_tokens = cached);
        sleep(
            self.engine.settings.first_token_delay
                + self.engine.settings.prefill_per_token * missing,
        )
        .await;
    }

    /// Waits for the next token; the interval grows with the running requests.
    async fn wait_for_token(&self) {
        let settings = &self.engine.settings;
        let others = self.engine.batch.occupancy().running.saturating_sub(1);
        let fullness = f64::from(others) / f64::from(settings.slots.max(1));
        sleep(settings.token_interval.mul_f64(1.0 + settings.full_batch_slowdown * fullness)).await;
    }

    fn token_text(&self, index: u64) -> String {
        if index == 0 && !self.marker.is_empty() {
            format!("marker={} ", self.marker)
        } else {
            format!("t{index} ")
        }
    }

    fn usage(&self, tokens: u64) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self.prompt_tokens + tokens,
        })
    }

    fn record_progress(&self, tokens: u64, finished: bool) {
        self.engine.journal.update(self.run_index, |run| {
            run.completion_tokens = tokens;
            run.finished = finished;
        });
    }

    async fn answer_whole(self) -> HttpResponse {
        let _admission = self.acquire_slot().await;
        let mut content = String::new();
        self.prefill().await;
        for index in 0..self.token_count {
            if index > 0 {
                self.wait_for_token().await;
            }
            content.push_str(&self.token_text(index));
            self.record_progress(index + 1, false);
        }
        self.record_progress(self.token_count, true);
        HttpResponse::build(StatusCode::OK).json(&json!({
            "id": self.id, "object": "chat.completion", "created": wall_ms() / 1_000,
            "model": self.model, "usage": self.usage(self.token_count),
            "choices": [{
                "index": 0, "finish_reason": "stop", "logprobs": null,
                "message": {"role": "assistant", "content": content, "refusal": null},
            }],
        }))
    }

    fn answer_stream(self) -> HttpResponse {
        let (sender, receiver) = mpsc::channel::<Result<Bytes, io::Error>>(4);
        ntex::rt::spawn(self.stream_tokens(sender));
        HttpResponse::Ok().content_type("text/event-stream").streaming(receiver)
    }

    async fn stream_tokens(self, mut sender: mpsc::Sender<Result<Bytes, io::Error>>) {
        let _admission = self.acquire_slot().await;
        self.prefill().await;
        for index in 0..self.token_count {
            if index > 0 {
                self.wait_for_token().await;
            }
            let delta = json!({"role": "assistant", "content": self.token_text(index)});
            let choice = json!({"index": 0, "delta": delta, "finish_reason": null});
            let usage = self.continuous_usage.then(|| self.usage(index + 1));
            self.record_progress(index + 1, false);
            if self.send_chunk(&mut sender, &json!([choice]), usage).await.is_err() {
                return;
            }
        }
        self.record_progress(self.token_count, true);
        let choice = json!({"index": 0, "delta": {}, "finish_reason": "stop"});
        let sent = self.send_chunk(&mut sender, &json!([choice]), None).await;
        if sent.is_ok() && self.stream_usage {
            self.send_chunk(&mut sender, &json!([]), Some(self.usage(self.token_count)))
                .await
                .unwrap_or_default();
        }
        // The send fails if the caller has closed the stream; it needs no last event then.
        sender.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await.unwrap_or_default();
    }

    async fn send_chunk(
        &self,
        sender: &mut mpsc::Sender<Result<Bytes, io::Error>>,
        choices: &Value,
        usage: Option<Value>,
    ) -> Result<(), mpsc::SendError> {
        let mut chunk = json!({
            "id": self.id, "object": "chat.completion.chunk", "created": wall_ms() / 1_000,
            "model": self.model, "choices": choices,
        });
        if let Some(usage) = usage {
            chunk["usage"] = usage;
        }
        sender.send(Ok(Bytes::from(format!("data: {chunk}\n\n")))).await
    }
}

/// Admission of one request; its end is recorded in the load reports.
struct Admission {
    engine: Engine,
    slot: Option<Slot>,
}

impl Drop for Admission {
    fn drop(&mut self) {
        drop(self.slot.take());
        self.engine.record_report();
    }
}
