//! Checks the head of a message and finds where the message ends.

use std::str::FromStr;

use http_types::Method;
use httparse::{Header, Status};

/// Headers in one message, the same limit as the codec's.
const MAX_HEADERS: usize = 128;

/// How the body of a message is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// There is no body.
    Empty,
    /// Exactly this many bytes.
    Fixed(usize),
    /// Chunks, ended by an empty one.
    Chunked,
}

/// A message that is refused, with the status that a server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fault {
    /// HTTP status.
    pub(crate) status: u16,
    /// What is wrong.
    pub(crate) detail: &'static str,
}

impl Fault {
    pub(crate) const fn new(status: u16, detail: &'static str) -> Self {
        Self { status, detail }
    }
}

/// What the guard needs to know of a request's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestHead {
    /// Bytes of the head, the empty line included.
    pub(crate) size: usize,
    pub(crate) method: Method,
    pub(crate) framing: Framing,
    /// The caller wants the connection closed after the answer.
    pub(crate) close: bool,
    /// The caller waits for `100 Continue` before it sends the body.
    pub(crate) expects: bool,
}

/// What the guard needs to know of an answer's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReplyHead {
    /// Bytes of the head, the empty line included.
    pub(crate) size: usize,
    pub(crate) framing: Framing,
    /// The server closes the connection after the answer.
    pub(crate) close: bool,
}

/// Checks the head of a request; `None` while it is incomplete.
pub(crate) fn request_head(bytes: &[u8]) -> Result<Option<RequestHead>, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let size = match head.parse(bytes).map_err(head_fault)? {
        Status::Complete(size) => size,
        Status::Partial => return Ok(None),
    };
    if head.version != Some(1) {
        return Err(Fault::new(505, "only HTTP/1.1 is served"));
    }
    check_lines(&bytes[..size], head.headers)?;
    if count(head.headers, "host") != 1 {
        return Err(Fault::new(400, "exactly one Host is needed"));
    }
    let method = head.method.unwrap_or_default();
    let method = Method::from_str(method).map_err(|_| Fault::new(501, "unknown method"))?;
    if matches!(method, Method::Connect | Method::Trace) {
        return Err(Fault::new(501, "method not served"));
    }
    Ok(Some(RequestHead {
        size,
        method,
        framing: framing(head.headers)?.unwrap_or(Framing::Empty),
        close: has_token(head.headers, "connection", "close"),
        expects: has_token(head.headers, "expect", "100-continue"),
    }))
}

/// Checks the head of an answer to `method`; `None` while it is incomplete.
pub(crate) fn reply_head(bytes: &[u8], method: &str) -> Result<Option<ReplyHead>, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let size = match head.parse(bytes).map_err(head_fault)? {
        Status::Complete(size) => size,
        Status::Partial => return Ok(None),
    };
    if head.version != Some(1) {
        return Err(Fault::new(502, "not HTTP/1.1"));
    }
    check_lines(&bytes[..size], head.headers)?;
    let code = head.code.unwrap_or_default();
    if code < 200 {
        return Err(Fault::new(502, "interim status without request"));
    }
    let stated = framing(head.headers)?;
    let bodiless = method == "HEAD" || code == 204 || code == 304;
    let framing = match stated {
        _ if bodiless => Framing::Empty,
        Some(framing) => framing,
        None => return Err(Fault::new(502, "answer without a length")),
    };
    Ok(Some(ReplyHead {
        size,
        framing,
        close: has_token(head.headers, "connection", "close"),
    }))
}

fn head_fault(error: httparse::Error) -> Fault {
    match error {
        httparse::Error::Version => Fault::new(505, "only HTTP/1.1 is served"),
        httparse::Error::TooManyHeaders => Fault::new(431, "too many headers"),
        _ => Fault::new(400, "malformed head"),
    }
}

fn check_lines(head: &[u8], headers: &[Header<'_>]) -> Result<(), Fault> {
    if !head.ends_with(b"\r\n\r\n") {
        return Err(Fault::new(400, "lines must end with CR LF"));
    }
    // The codec panics on a header value outside ASCII.
    if headers.iter().any(|header| !header.value.is_ascii()) {
        return Err(Fault::new(400, "header outside ASCII"));
    }
    Ok(())
}

fn framing(headers: &[Header<'_>]) -> Result<Option<Framing>, Fault> {
    let lengths = count(headers, "content-length");
    let codings = count(headers, "transfer-encoding");
    match (lengths, codings) {
        (0, 0) => Ok(None),
        (1, 0) => length(headers).map(|n| Some(Framing::Fixed(n))),
        (0, 1) if value(headers, "transfer-encoding").eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (0, 1) => Err(Fault::new(501, "unknown transfer coding")),
        _ => Err(Fault::new(400, "body length stated more than once")),
    }
}

fn length(headers: &[Header<'_>]) -> Result<usize, Fault> {
    let value = value(headers, "content-length");
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value)
        .ok()
        .filter(|_| digits)
        .and_then(|text| text.parse().ok())
        .ok_or(Fault::new(400, "Content-Length is not a number"))
}

fn count(headers: &[Header<'_>], name: &str) -> usize {
    named(headers, name).count()
}

fn value<'a>(headers: &'a [Header<'_>], name: &str) -> &'a [u8] {
    named(headers, name).next().unwrap_or_default()
}

fn has_token(headers: &[Header<'_>], name: &str, token: &str) -> bool {
    named(headers, name)
        .flat_map(|value| value.split(|byte| *byte == b','))
        .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

fn named<'a>(headers: &'a [Header<'_>], name: &str) -> impl Iterator<Item = &'a [u8]> {
    headers
        .iter()
        .filter(move |header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value)
}
