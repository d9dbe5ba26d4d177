//! Answers kept for replay.

use std::sync::Arc;

use crate::row;

/// A whole answer as its caller got it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty if the answer named none.
    pub content_type: String,
    /// Body.
    pub body: Arc<[u8]>,
}

impl Answer {
    /// Returns the form for the table, if the body is text of at most `max_bytes` bytes.
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
