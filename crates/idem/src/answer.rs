//! Answers that are replayed to requests with the same key.

use std::sync::Arc;

use crate::row;

/// A complete answer as the first caller received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, empty if the answer has none.
    pub content_type: String,
    /// Complete body; it need not be UTF-8.
    pub body: Arc<[u8]>,
}

impl Answer {
    /// Returns the answer as the claim row stores it.
    ///
    /// Returns `None` if the body has more than `max_bytes` bytes or is not valid UTF-8.
    ///
    /// # Examples
    ///
    /// ```
    /// let answer = idem::Answer {
    ///     status: 200,
    ///     content_type: "text/plain".into(),
    ///     body: b"done".as_slice().into(),
    /// };
    /// assert!(answer.to_row(3).is_none());
    /// assert_eq!(idem::Answer::from(answer.to_row(4).unwrap()), answer);
    /// ```
    #[must_use]
    pub fn to_row(&self, max_bytes: usize) -> Option<row::Answer> {
        if self.body.len() > max_bytes {
            return None;
        }
        let body = std::str::from_utf8(&self.body).ok()?.to_owned();
        let content_type = self.content_type.clone();
        Some(row::Answer { status: self.status, content_type, body })
    }
}

impl From<row::Answer> for Answer {
    fn from(row: row::Answer) -> Self {
        let row::Answer { status, content_type, body } = row;
        Self { status, content_type, body: body.into_bytes().into() }
    }
}
