//! Decoding of bodies.

use bytes::{Buf, Bytes, BytesMut};

use crate::Error;
use crate::head::Framing;

/// Longest line of a chunk's size or of a trailer, in bytes.
const LINE_BYTES_MAX: usize = 1024;

/// A body that is being read.
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
    Trailer,
    UntilClose,
    Done,
}

impl Body {
    /// Opens the body of a message.
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

    /// Returns true once the end of the body was read.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Takes the next bytes of the body; `None` if more input is needed or the body is done.
    ///
    /// # Errors
    ///
    /// Returns an error if the chunks are malformed.
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
                    self.state = if size == 0 { State::Trailer } else { State::Chunk(size) };
                }
                State::ChunkEnd => {
                    let Some(line) = split_line(input)? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(Error::Malformed("a chunk is longer than its size"));
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailer => {
                    let Some(line) = split_line(input)? else { return Ok(None) };
                    if line.is_empty() {
                        self.state = State::Done;
                    }
                }
            }
        }
    }

    /// Notes that the connection ended in order.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not complete.
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

fn split_up_to(input: &mut BytesMut, left: u64) -> Option<(Bytes, u64)> {
    if input.is_empty() {
        return None;
    }
    let size = usize::try_from(left).unwrap_or(usize::MAX).min(input.len());
    let part = input.split_to(size).freeze();
    Some((part, left - size as u64))
}

/// Takes a line without its end.
fn split_line(input: &mut BytesMut) -> Result<Option<BytesMut>, Error> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        return if input.len() > LINE_BYTES_MAX {
            Err(Error::Malformed("a line of a chunk is too long"))
        } else {
            Ok(None)
        };
    };
    let mut line = input.split_to(end);
    input.advance(1);
    if line.last() != Some(&b'\r') {
        return Err(Error::Malformed("a line ends with half a line end"));
    }
    line.truncate(line.len() - 1);
    Ok(Some(line))
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_hex);
    let size = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    size.ok_or(Error::Malformed("the size of a chunk is no number"))
}
