//! Whole events of a stream.

use bytes::{Bytes, BytesMut};

/// Splits the bytes of a stream into whole events.
#[derive(Debug, Default)]
pub struct Decoder {
    pending: BytesMut,
}

/// A whole event with its empty line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Bytes as they came.
    pub raw: Bytes,
    /// Id, if it has one.
    pub id: Option<u64>,
}

impl Decoder {
    /// Takes in bytes.
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

    /// Returns the bytes of an event that is not complete.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    fn event_end(&self) -> Option<usize> {
        let bytes = &self.pending[..];
        let mut line_start = 0;
        for (index, byte) in bytes.iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            let content =
                bytes[line_start..index].strip_suffix(b"\r").unwrap_or(&bytes[line_start..index]);
            if content.is_empty() {
                return Some(index + 1);
            }
            line_start = index + 1;
        }
        None
    }
}

impl Iterator for Decoder {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let end = self.event_end()?;
        let raw = self.pending.split_to(end).freeze();
        let id = raw.split(|byte| *byte == b'\n').find_map(parse_id);
        Some(Event { raw, id })
    }
}

fn parse_id(line: &[u8]) -> Option<u64> {
    let value = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
    value.trim().parse().ok()
}
