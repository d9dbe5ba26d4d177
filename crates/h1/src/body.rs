//! Incremental decoding of message bodies.

use bytes::{Buf, Bytes, BytesMut};

use crate::Error;
use crate::head::Framing;

/// Longest chunk size line or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 1024;

/// Most bytes of all trailer lines together.
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// Decoder of one message body, independent of the connection that delivers it.
#[derive(Debug, Clone)]
pub struct Body {
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    /// Holds the number of trailer bytes so far.
    Trailer(usize),
    UntilClose,
    Done,
}

impl Body {
    /// Creates the decoder of a body with a given framing.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut body = h1::Body::open(h1::Framing::Chunked);
    /// let mut input = bytes::BytesMut::from(&b"3\r\nabc\r\n0\r\n\r\nnext"[..]);
    /// assert_eq!(body.decode(&mut input)?.as_deref(), Some(&b"abc"[..]));
    /// assert_eq!(body.decode(&mut input)?, None);
    /// assert!(body.is_done());
    /// assert_eq!(&input[..], b"next");
    /// # Ok::<(), h1::Error>(())
    /// ```
    #[must_use]
    pub fn open(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Returns true once the whole body is decoded.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Removes the next bytes of the body from `input` and returns them without their framing.
    ///
    /// `None` means that the body is complete or that more input is needed. Bytes after the body
    /// stay in `input`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the chunked coding is invalid.
    pub fn decode(&mut self, input: &mut BytesMut) -> Result<Option<Bytes>, Error> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::UntilClose => {
                    let bytes = input.split().freeze();
                    return Ok((!bytes.is_empty()).then_some(bytes));
                }
                State::Length(left) => {
                    let Some((part, left)) = split_up_to(input, left) else { return Ok(None) };
                    self.state = if left == 0 { State::Done } else { State::Length(left) };
                    return Ok(Some(part));
                }
                State::Chunk(left) => {
                    let Some((part, left)) = split_up_to(input, left) else { return Ok(None) };
                    self.state = if left == 0 { State::ChunkEnd } else { State::Chunk(left) };
                    return Ok(Some(part));
                }
                State::ChunkSize => {
                    let Some(line) = split_line(input)? else { return Ok(None) };
                    let size = parse_chunk_size(&line)?;
                    self.state = if size == 0 { State::Trailer(0) } else { State::Chunk(size) };
                }
                State::ChunkEnd => {
                    let Some(line) = split_line(input)? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(Error::Malformed("a chunk is longer than its stated size"));
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailer(size) => {
                    let Some(line) = split_line(input)? else { return Ok(None) };
                    let size = size + line.len();
                    if size > MAX_TRAILER_BYTES {
                        return Err(Error::Malformed("the trailer is too long"));
                    }
                    self.state = if line.is_empty() { State::Done } else { State::Trailer(size) };
                }
            }
        }
    }

    /// Marks the end of the input, which completes only a body framed by the close.
    ///
    /// # Errors
    ///
    /// Returns [`Error::UnexpectedEof`] if the body is incomplete.
    pub fn handle_eof(&mut self) -> Result<(), Error> {
        match self.state {
            State::Done => Ok(()),
            State::UntilClose => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(Error::UnexpectedEof),
        }
    }
}

/// Splits off at most `left` bytes; also returns the number of bytes still missing.
fn split_up_to(input: &mut BytesMut, left: u64) -> Option<(Bytes, u64)> {
    if input.is_empty() {
        return None;
    }
    let size = usize::try_from(left).unwrap_or(usize::MAX).min(input.len());
    let part = input.split_to(size).freeze();
    Some((part, left - size as u64))
}

/// Splits off one line and strips its CR LF; `None` if the line is incomplete.
fn split_line(input: &mut BytesMut) -> Result<Option<BytesMut>, Error> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        return if input.len() > MAX_LINE_BYTES {
            Err(Error::Malformed("a chunk size or trailer line is too long"))
        } else {
            Ok(None)
        };
    };
    let mut line = input.split_to(end);
    input.advance(1);
    if line.last() != Some(&b'\r') {
        return Err(Error::Malformed("a line does not end with CR LF"));
    }
    line.truncate(line.len() - 1);
    Ok(Some(line))
}

/// Parses a chunk size line and ignores chunk extensions.
fn parse_chunk_size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_hex);
    let size = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    size.ok_or(Error::Malformed("a chunk size is not a hexadecimal number"))
}
