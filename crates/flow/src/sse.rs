//! Splits a stream of server-sent events and reads the usage from them.

use ntex::util::{Bytes, BytesMut};
use serde_json::Value;

/// Longest end of an event.
const LONGEST_END: &[u8] = b"\r\n\r\n";
/// Data of the last event of a stream in the published chat format.
const DONE_DATA: &str = "[DONE]";

/// One event as received, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Unchanged bytes, so that a relay forwards exactly what it received.
    pub raw: Bytes,
}

/// Token usage that an engine reports for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt as the engine counted them.
    pub prompt_tokens: u64,
    /// Completion tokens of all choices, up to this report.
    pub completion_tokens: u64,
}

impl Usage {
    /// Reads the `usage` field of a chat completion; `None` if missing or incomplete.
    #[must_use]
    pub fn from_object(object: &Value) -> Option<Self> {
        let usage = object.get("usage")?;
        Some(Self {
            prompt_tokens: usage.get("prompt_tokens")?.as_u64()?,
            completion_tokens: usage.get("completion_tokens")?.as_u64()?,
        })
    }

    /// Returns the sum of prompt and completion tokens.
    #[must_use]
    pub fn total_tokens(self) -> u64 {
        self.prompt_tokens.saturating_add(self.completion_tokens)
    }
}

impl Event {
    /// Returns the first `data` line; `None` if missing or not valid UTF-8.
    #[must_use]
    pub fn data(&self) -> Option<&str> {
        let text = std::str::from_utf8(&self.raw).ok()?;
        text.lines().find_map(|line| line.strip_prefix("data:")).map(str::trim)
    }

    /// Returns true for the last event of a complete stream.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.data() == Some(DONE_DATA)
    }

    /// Returns the JSON data of the event if it has a `usage` object.
    #[must_use]
    pub fn usage_object(&self) -> Option<Value> {
        let data = self.data()?;
        let object: Value =
            data.contains("\"usage\"").then(|| serde_json::from_str(data).ok())??;
        object.get("usage").is_some_and(Value::is_object).then_some(object)
    }
}

/// Splits received bytes into events, wherever the chunks end.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Buffered bytes that hold no end of an event.
    scanned: usize,
    buffer: BytesMut,
}

impl Splitter {
    /// Appends received bytes; `next` returns the events that they complete.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut splitter = flow::sse::Splitter::default();
    /// splitter.push(b"data: 1\n\nda");
    /// assert_eq!(splitter.next().unwrap().data(), Some("1"));
    /// assert!(splitter.next().is_none());
    /// splitter.push(b"ta: 2\n\n");
    /// assert_eq!(splitter.next().unwrap().data(), Some("2"));
    /// ```
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes of an incomplete event.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the offset after the next event, and remembers how far it has searched.
    ///
    /// Without that, an event that arrives in many parts costs time by the square of its size.
    fn event_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(LONGEST_END.len() - 1);
        let lf = find(&self.buffer[from..], b"\n\n").map(|at| from + at + 2);
        let crlf = find(&self.buffer[from..], LONGEST_END).map(|at| from + at + LONGEST_END.len());
        self.scanned = self.buffer.len();
        match (lf, crlf) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}

impl Iterator for Splitter {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let end = self.event_end()?;
        self.scanned = 0;
        Some(Event { raw: self.buffer.split_to(end) })
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}
