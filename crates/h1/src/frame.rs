//! Frames that tell the end of a byte stream from the loss of its connection.
//!
//! A frame is its length in four bytes, most significant first, and as many bytes. A frame without
//! bytes ends the stream.

use std::io;

use bytes::{Buf, BytesMut};

/// Length of the header of a frame in bytes.
pub const HEADER_BYTES: usize = 4;

/// Returns the header of a frame with `length` bytes; 0 ends the stream.
///
/// # Errors
///
/// Returns an error if the length does not fit into the header.
///
/// # Examples
///
/// ```
/// assert_eq!(h1::frame::header(258).unwrap(), [0, 0, 1, 2]);
/// ```
pub fn header(length: usize) -> io::Result<[u8; HEADER_BYTES]> {
    u32::try_from(length).map(u32::to_be_bytes).map_err(io::Error::other)
}

/// Decoder of a framed byte stream.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Received bytes that are not decoded yet.
    pub input: BytesMut,
    /// Bytes of the present frame that are still missing.
    missing: usize,
    has_ended: bool,
}

impl Decoder {
    /// Moves the decoded bytes to `output` and returns their number.
    ///
    /// # Examples
    ///
    /// ```
    /// # use bytes::BytesMut;
    /// let mut decoder = h1::frame::Decoder::default();
    /// let mut output = BytesMut::new();
    /// decoder.input.extend_from_slice(&[0, 0, 0, 2, b'o', b'k', 0, 0, 0, 0]);
    /// assert_eq!(decoder.decode(&mut output), 2);
    /// assert!(decoder.has_ended());
    /// ```
    pub fn decode(&mut self, output: &mut BytesMut) -> usize {
        let mut count = 0;
        while !self.has_ended {
            if self.missing == 0 {
                let Some((header, _)) = self.input.split_first_chunk::<HEADER_BYTES>() else {
                    break;
                };
                self.missing = u32::from_be_bytes(*header) as usize;
                self.input.advance(HEADER_BYTES);
                self.has_ended = self.missing == 0;
                continue;
            }
            let part = self.input.split_to(self.missing.min(self.input.len()));
            if part.is_empty() {
                break;
            }
            self.missing -= part.len();
            count += part.len();
            output.extend_from_slice(&part);
        }
        count
    }

    /// Returns true once the stream has ended as its sender intended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }
}
