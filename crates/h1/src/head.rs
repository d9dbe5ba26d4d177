//! Parsing of request and response heads.

use bytes::{Bytes, BytesMut};

use crate::Error;

/// Most header fields in a head; known clients and engines send fewer.
const MAX_FIELDS: usize = 96;
/// Status codes that the protocol has classes for.
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;
/// Status of an answer after which another protocol is spoken.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Header fields in the order of the message; names are compared without case.
#[derive(Debug, Clone, Default)]
pub struct Fields {
    entries: Vec<(Bytes, Bytes)>,
}

impl Fields {
    /// Returns the first value of a field; `None` if it is absent or not UTF-8.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.get_all(name).next().and_then(|value| std::str::from_utf8(value).ok())
    }

    /// Returns the values of all fields with this name, in order.
    pub fn get_all<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a Bytes> {
        let matches =
            move |(field, _): &&(Bytes, Bytes)| field.eq_ignore_ascii_case(name.as_bytes());
        self.entries.iter().filter(matches).map(|(_, value)| value)
    }

    /// Returns the name and the value of each field, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.entries.iter().map(|(name, value)| (&name[..], &value[..]))
    }

    /// Returns true if a comma-separated field contains a token, compared without case.
    #[must_use]
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        let contains = |value: &Bytes| {
            std::str::from_utf8(value)
                .is_ok_and(|text| text.split(',').any(|one| one.trim().eq_ignore_ascii_case(token)))
        };
        self.get_all(name).any(contains)
    }

    /// Returns the trimmed value of a field; fails if it is repeated or not UTF-8.
    fn get_single(&self, name: &str) -> Result<Option<&str>, Error> {
        let mut values = self.get_all(name);
        let Some(value) = values.next() else { return Ok(None) };
        if values.next().is_some() {
            return Err(Error::Malformed("a field that must be unique is repeated"));
        }
        let text = std::str::from_utf8(value);
        text.map(|text| Some(text.trim()))
            .map_err(|_utf8| Error::Malformed("a field value is not valid UTF-8"))
    }
}

/// How a receiver finds the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has this number of bytes; 0 means no body.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the connection closes; responses only.
    UntilClose,
}

/// Request line and header fields of a request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method as sent, for example `GET`.
    pub method: String,
    /// Path and query; always starts with `/`.
    pub target: String,
    /// All header fields, including those about framing and the connection.
    pub fields: Fields,
    /// Framing of the body; [`Framing::Length`] with 0 if no field states one.
    pub framing: Framing,
    /// Whether the caller allows another request on the connection.
    pub keep_alive: bool,
}

/// Status line and header fields of a response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code as sent, from 100 to 599.
    pub status: u16,
    /// All header fields, including those about framing and the connection.
    pub fields: Fields,
    /// Framing of the body; 1xx, 204 and 304 responses have none.
    pub framing: Framing,
    /// Whether the upstream allows another request on the connection.
    pub keep_alive: bool,
}

impl Request {
    /// Removes a request head from the start of `input`; `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed, exceeds `max_bytes` or has ambiguous framing.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut input = bytes::BytesMut::from(&b"GET /a HTTP/1.1\r\nHost: x\r\n\r\nrest"[..]);
    /// let head = h1::Request::decode(&mut input, 100)?.expect("a complete head");
    /// assert_eq!((head.target.as_str(), &input[..]), ("/a", &b"rest"[..]));
    /// # Ok::<(), h1::Error>(())
    /// ```
    pub fn decode(input: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>, Error> {
        let Some(size) = find_head_end(input, max_bytes)? else { return Ok(None) };
        let raw = input.split_to(size).freeze();
        check_line_ends(&raw)?;
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let status = parsed.parse(&raw).map_err(parse_error)?;
        if status.is_partial() {
            return Err(Error::Malformed("the head is incomplete"));
        }
        let version = parsed.version.unwrap_or_default();
        let method = parsed.method.unwrap_or_default().to_owned();
        let target = parsed.path.unwrap_or_default().to_owned();
        let fields = slice_fields(&raw, parsed.headers);
        if !target.starts_with('/') {
            return Err(Error::Malformed("the request target is not a path"));
        }
        if fields.get_single("host")?.is_none() {
            return Err(Error::Malformed("the Host field is missing"));
        }
        let framing = request_framing(&fields, version)?;
        let keep_alive = keep_alive(&fields, version);
        Ok(Some(Self { method, target, fields, framing, keep_alive }))
    }

    /// Returns the path of the target without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }
}

impl Response {
    /// Removes a response head from the start of `input`; `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed, exceeds `max_bytes` or has ambiguous framing, or
    /// if its status is outside 100 to 599 or 101, since no request asks for another protocol.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut input = bytes::BytesMut::from(&b"HTTP/1.1 000 Odd\r\n\r\n"[..]);
    /// assert!(matches!(h1::Response::decode(&mut input, 100), Err(h1::Error::Malformed(_))));
    /// ```
    pub fn decode(input: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>, Error> {
        let Some(size) = find_head_end(input, max_bytes)? else { return Ok(None) };
        let raw = input.split_to(size).freeze();
        check_line_ends(&raw)?;
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let complete = parsed.parse(&raw).map_err(parse_error)?;
        if complete.is_partial() {
            return Err(Error::Malformed("the head is incomplete"));
        }
        let version = parsed.version.unwrap_or_default();
        let status = parsed.code.unwrap_or_default();
        if !STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
            return Err(Error::Malformed("the status is none of the protocol"));
        }
        let fields = slice_fields(&raw, parsed.headers);
        let framing = response_framing(&fields, status)?;
        let keep_alive = framing != Framing::UntilClose && keep_alive(&fields, version);
        Ok(Some(Self { status, fields, framing, keep_alive }))
    }

    /// Returns true for a 1xx response, which the final response follows.
    #[must_use]
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }
}

fn parse_error(error: httparse::Error) -> Error {
    match error {
        httparse::Error::TooManyHeaders => Error::HeadTooLarge(MAX_FIELDS),
        _ => Error::Malformed("the head cannot be parsed"),
    }
}

/// Returns the parsed fields as slices of `raw`, without copying bytes.
fn slice_fields(raw: &Bytes, parsed: &[httparse::Header<'_>]) -> Fields {
    let part = |text: &[u8]| if text.is_empty() { Bytes::new() } else { raw.slice_ref(text) };
    let entries =
        parsed.iter().map(|header| (part(header.name.as_bytes()), part(header.value))).collect();
    Fields { entries }
}

/// Returns the size of the head including its blank line; `None` if it is incomplete.
fn find_head_end(input: &BytesMut, max_bytes: usize) -> Result<Option<usize>, Error> {
    let mut offset = 0;
    // RFC 9112 asks recipients to ignore empty lines before a message.
    while input[offset..].starts_with(b"\r\n") {
        offset += 2;
    }
    let end = find_blank_line(&input[offset..]).map(|end| offset + end);
    match end {
        Some(end) if end > max_bytes => Err(Error::HeadTooLarge(max_bytes)),
        None if input.len() > max_bytes => Err(Error::HeadTooLarge(max_bytes)),
        end => Ok(end),
    }
}

/// Returns the offset after the first blank line; bare line feeds count as line ends.
fn find_blank_line(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (offset, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..offset];
        if line.is_empty() || line == b"\r" {
            return Some(offset + 1);
        }
        line_start = offset + 1;
    }
    None
}

/// Rejects a bare CR or LF, which another parser may interpret differently.
fn check_line_ends(raw: &[u8]) -> Result<(), Error> {
    let has_bare_ending = raw.iter().enumerate().any(|(offset, byte)| match byte {
        b'\n' => offset == 0 || raw[offset - 1] != b'\r',
        b'\r' => raw.get(offset + 1) != Some(&b'\n'),
        _ => false,
    });
    if has_bare_ending {
        Err(Error::Malformed("the head contains a bare CR or LF"))
    } else {
        Ok(())
    }
}

fn request_framing(fields: &Fields, version: u8) -> Result<Framing, Error> {
    let coding = fields.get_single("transfer-encoding")?;
    let length = fields.get_single("content-length")?;
    match (coding, length) {
        (Some(_), Some(_)) => Err(Error::Malformed("both a coding and a length are stated")),
        (Some(coding), None) if version == 1 && coding.eq_ignore_ascii_case("chunked") => {
            Ok(Framing::Chunked)
        }
        (Some(_), None) => Err(Error::Malformed("unknown transfer coding")),
        (None, Some(length)) => parse_length(length).map(Framing::Length),
        (None, None) => Ok(Framing::Length(0)),
    }
}

fn response_framing(fields: &Fields, status: u16) -> Result<Framing, Error> {
    let coding = fields.get_single("transfer-encoding")?;
    let length = fields.get_single("content-length")?;
    if matches!(status, 100..200 | 204 | 304) {
        return Ok(Framing::Length(0));
    }
    match (coding, length) {
        (Some(_), Some(_)) => Err(Error::Malformed("both a coding and a length are stated")),
        (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (Some(_), None) => Err(Error::Malformed("unknown transfer coding")),
        (None, Some(length)) => parse_length(length).map(Framing::Length),
        (None, None) => Ok(Framing::UntilClose),
    }
}

fn parse_length(text: &str) -> Result<u64, Error> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    digits
        .then(|| text.parse().ok())
        .flatten()
        .ok_or(Error::Malformed("Content-Length is not a number"))
}

fn keep_alive(fields: &Fields, version: u8) -> bool {
    if fields.contains_token("connection", "close") {
        return false;
    }
    version == 1 || fields.contains_token("connection", "keep-alive")
}
