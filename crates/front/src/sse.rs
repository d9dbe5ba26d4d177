//! Decoding of server-sent events.

use bytes::{Bytes, BytesMut};

/// Splits the bytes of a stream into complete events.
#[derive(Debug, Default)]
pub struct Decoder {
    pending: BytesMut,
    /// Start of the first pending line whose end has not been found yet.
    scanned: usize,
}

/// A complete event, including the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event as received.
    pub raw: Bytes,
    /// Value of the `id` field; `None` if it is absent or not a number.
    pub id: Option<u64>,
}

impl Decoder {
    /// Appends received bytes to the buffer.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut decoder = front::sse::Decoder::default();
    /// decoder.push(b"id: 7\ndata: a\n\nid: 8\nda");
    /// assert_eq!(decoder.next().and_then(|event| event.id), Some(7));
    /// assert_eq!(decoder.next(), None);
    /// assert_eq!(decoder.pending_bytes(), 8);
    /// ```
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns how many buffered bytes have not been returned as events.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns the offset after the next event, and remembers how far it has searched.
    fn event_end(&mut self) -> Option<usize> {
        let mut line_start = self.scanned;
        while let Some(length) = self.pending[line_start..].iter().position(|byte| *byte == b'\n') {
            let end = line_start + length;
            let line = &self.pending[line_start..end];
            if line.strip_suffix(b"\r").unwrap_or(line).is_empty() {
                return Some(end + 1);
            }
            line_start = end + 1;
        }
        self.scanned = line_start;
        None
    }
}

impl Iterator for Decoder {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let end = self.event_end()?;
        let raw = self.pending.split_to(end).freeze();
        self.scanned = 0;
        let id = raw.split(|byte| *byte == b'\n').find_map(parse_id);
        Some(Event { raw, id })
    }
}

fn parse_id(line: &[u8]) -> Option<u64> {
    let value = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
    value.trim().parse().ok()
}
