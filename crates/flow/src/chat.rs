//! Parser of requests in the published chat completion format.

use base::prelude::*;
use serde_json::{Map, Value, json};

use crate::Refusal;
use crate::fields::{self, CostEffect};

/// Most choices (alternative answers) in one request.
const MAX_CHOICES: u64 = 8;
/// Largest accepted limit of completion tokens.
const MAX_COMPLETION_TOKENS: u64 = 1 << 20;
/// Most tokens for each byte of a nested JSON value, since templates may indent it.
const TOKENS_PER_NESTED_BYTE: u64 = 2;
/// Fields that are removed, since callers could override the priority class with them.
const SCHEDULING_FIELDS: [&str; 2] = ["priority", "request_id"];
/// Fields that can hold the limit of completion tokens; the smaller value counts.
const MAX_TOKENS_FIELDS: [&str; 2] = ["max_completion_tokens", "max_tokens"];

/// Parsed request, with the numbers that its cost bound needs.
#[derive(Debug, Clone, PartialEq)]
pub struct Chat {
    /// Model that must serve the request; not empty.
    pub model: String,
    /// True if the caller requested a streamed answer.
    pub stream: bool,
    /// True if the caller requested the usage chunk at the end of the stream.
    pub wants_usage: bool,
    /// Completion token limit for each choice; 0 until the model's default is set.
    pub max_tokens: Tokens,
    /// Number of alternative answers (`n`), at least 1.
    pub choices: u64,
    /// Bytes of all content that can become part of the prompt, except images.
    pub prompt_bytes: u64,
    /// Number of messages; the chat template adds tokens to each.
    pub message_count: u64,
    /// Number of image parts; the model declares a token bound for each.
    pub image_count: u64,
    fields: Map<String, Value>,
}

impl Chat {
    /// Parses and checks the body of a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose message names the malformed or unsupported field.
    ///
    /// # Examples
    ///
    /// ```
    /// let body = br#"{"model":"m","messages":[{"role":"user","content":"hi"}]}"#;
    /// assert_eq!(flow::chat::Chat::parse(body).unwrap().model, "m");
    /// assert!(flow::chat::Chat::parse(b"[").is_err());
    /// ```
    pub fn parse(body: &[u8]) -> Result<Self, Refusal> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| Refusal::invalid(format!("the body is not valid JSON: {error}")))?;
        let Value::Object(mut fields) = value else {
            return Err(Refusal::invalid("the body must be a JSON object"));
        };
        for name in SCHEDULING_FIELDS {
            fields.remove(name);
        }
        let model = match fields.get("model") {
            Some(Value::String(model)) if !model.is_empty() => model.clone(),
            _ => return Err(Refusal::invalid("'model' must be a non-empty string")),
        };
        let size = PromptSize::measure(&fields)?;
        Ok(Self {
            model,
            stream: parse_flag(&fields, "stream")?,
            wants_usage: parse_wants_usage(&fields)?,
            max_tokens: parse_max_tokens(&fields)?,
            choices: parse_number(&fields, "n", MAX_CHOICES)?.unwrap_or(1),
            prompt_bytes: size.prompt_bytes + extra_prompt_bytes(&fields)?,
            message_count: size.message_count,
            image_count: size.image_count,
            fields,
        })
    }

    /// Sets the limit of completion tokens if the caller sent none.
    pub fn set_default_max_tokens(&mut self, default: Tokens) {
        if self.max_tokens == 0 {
            self.max_tokens = default;
            self.fields.insert("max_tokens".into(), json!(default));
        }
    }

    /// Returns the `messages` field as received.
    #[must_use]
    pub fn messages(&self) -> &Value {
        self.fields.get("messages").unwrap_or(&Value::Null)
    }

    /// Returns the body for the upstream; streams always request the usage chunk.
    ///
    /// # Panics
    ///
    /// Panics if the fields cannot be serialized, which is a bug.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut fields = self.fields.clone();
        for name in MAX_TOKENS_FIELDS {
            if let Some(value) = fields.get_mut(name) {
                *value = json!(self.max_tokens);
            }
        }
        if self.stream {
            let options = fields.entry("stream_options").or_insert_with(|| json!({}));
            if let Value::Object(options) = options {
                options.insert("include_usage".into(), json!(true));
            }
        }
        serde_json::to_vec(&fields).expect("fields parsed from JSON can be serialized")
    }
}

/// Returns the prompt bytes of fields besides the messages, such as tools.
///
/// A field that is not listed in [`fields`] may enlarge the prompt or the completion without a
/// known bound (a template, a search, audio, several runs), so the request is refused.
fn extra_prompt_bytes(fields: &Map<String, Value>) -> Result<u64, Refusal> {
    let mut bytes = 0;
    for (name, value) in fields.iter().filter(|(_, value)| !value.is_null()) {
        match fields::cost_effect(name) {
            Some(CostEffect::None) => {}
            // Templates may print nested values with line breaks and indentation.
            Some(CostEffect::Prompt) => bytes += json_bytes(value) * TOKENS_PER_NESTED_BYTE,
            None => {
                let message = format!("'{name}' is not supported, since its cost has no bound");
                return Err(Refusal::invalid(message));
            }
        }
    }
    Ok(bytes)
}

fn json_bytes(value: &Value) -> u64 {
    value.to_string().len() as u64
}

/// Size of the messages, as needed for the cost bound.
#[derive(Debug, Default)]
struct PromptSize {
    message_count: u64,
    image_count: u64,
    prompt_bytes: u64,
}

impl PromptSize {
    fn measure(fields: &Map<String, Value>) -> Result<Self, Refusal> {
        let Some(Value::Array(messages)) = fields.get("messages") else {
            return Err(Refusal::invalid("'messages' must be a list"));
        };
        if messages.is_empty() {
            return Err(Refusal::invalid("'messages' must not be empty"));
        }
        let mut size = Self { message_count: messages.len() as u64, ..Self::default() };
        for message in messages {
            let Value::Object(message) = message else {
                return Err(Refusal::invalid("each message must be an object"));
            };
            if !message.get("role").is_some_and(Value::is_string) {
                return Err(Refusal::invalid("each message needs a 'role'"));
            }
            for (name, value) in message {
                match (name.as_str(), value) {
                    ("content", value) => size.add_content(value)?,
                    ("audio", Value::Null) => {}
                    // `audio` refers to an earlier answer whose token count is not known here.
                    ("audio", _) => return Err(Refusal::invalid("'audio' is not supported")),
                    (_, Value::String(text)) => size.prompt_bytes += text.len() as u64,
                    (_, value) => size.prompt_bytes += json_bytes(value) * TOKENS_PER_NESTED_BYTE,
                }
            }
        }
        Ok(size)
    }

    fn add_content(&mut self, content: &Value) -> Result<(), Refusal> {
        match content {
            Value::Null => Ok(()),
            Value::String(text) => {
                self.prompt_bytes += text.len() as u64;
                Ok(())
            }
            Value::Array(parts) => parts.iter().try_for_each(|part| self.add_part(part)),
            _ => Err(Refusal::invalid("'content' must be a string or a list of parts")),
        }
    }

    fn add_part(&mut self, part: &Value) -> Result<(), Refusal> {
        match part.get("type").and_then(Value::as_str) {
            Some("text" | "refusal") => {
                self.prompt_bytes += json_bytes(part);
                Ok(())
            }
            Some("image_url") => {
                let url = part.pointer("/image_url/url").and_then(Value::as_str);
                url.ok_or_else(|| Refusal::invalid("an image needs a 'url'"))?;
                self.image_count += 1;
                Ok(())
            }
            // Other parts have no known token bound, so their cost cannot be reserved.
            _ => Err(Refusal::invalid("content parts must be of type 'text' or 'image_url'")),
        }
    }
}

fn parse_flag(fields: &Map<String, Value>, name: &str) -> Result<bool, Refusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(Refusal::invalid(format!("'{name}' must be true or false"))),
    }
}

fn parse_wants_usage(fields: &Map<String, Value>) -> Result<bool, Refusal> {
    match fields.get("stream_options") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Object(options)) => parse_flag(options, "include_usage"),
        Some(_) => Err(Refusal::invalid("'stream_options' must be an object")),
    }
}

fn parse_number(fields: &Map<String, Value>, name: &str, max: u64) -> Result<Option<u64>, Refusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(number) if (1..=max).contains(&number) => Ok(Some(number)),
            _ => Err(Refusal::invalid(format!("'{name}' must be between 1 and {max}"))),
        },
    }
}

fn parse_max_tokens(fields: &Map<String, Value>) -> Result<Tokens, Refusal> {
    let mut least = None;
    for name in MAX_TOKENS_FIELDS {
        if let Some(limit) = parse_number(fields, name, MAX_COMPLETION_TOKENS)? {
            least = Some(least.map_or(limit, |known: u64| known.min(limit)));
        }
    }
    Ok(least.unwrap_or(0))
}
