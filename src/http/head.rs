//! Parses and checks the head of a message and determines how its body is framed.

use std::str::FromStr;

use http_types::Method;
use httparse::{Header, Status};

/// Limit for the headers of one message; the codec has the same.
const MAX_HEADERS: usize = 128;

/// How the end of a message body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The message has no body.
    Empty,
    /// The body has this many bytes.
    Fixed(usize),
    /// Chunked transfer coding.
    Chunked,
}

/// Why a message is refused, with the status that a server responds with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MessageError {
    /// HTTP status of the refusal.
    pub(crate) status: u16,
    /// What is wrong with the message; a server sends it to the client.
    pub(crate) detail: &'static str,
}

impl MessageError {
    pub(crate) const fn new(status: u16, detail: &'static str) -> Self {
        Self { status, detail }
    }
}

/// The parts of a request head that are needed to read the rest of the message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestHead {
    /// Size of the head in bytes, including the empty line.
    pub(crate) size: usize,
    pub(crate) method: Method,
    pub(crate) framing: Framing,
    /// The client wants the connection closed after the response.
    pub(crate) close: bool,
    /// The client waits for `100 Continue` before it sends the body.
    pub(crate) expects_continue: bool,
}

/// The parts of a response head that are needed to read the rest of the message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReplyHead {
    /// Size of the head in bytes, including the empty line.
    pub(crate) size: usize,
    pub(crate) framing: Framing,
    /// The server closes the connection after the response.
    pub(crate) close: bool,
}

/// Parses and checks the head of a request; `None` while it is incomplete.
pub(crate) fn parse_request_head(bytes: &[u8]) -> Result<Option<RequestHead>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let size = match head.parse(bytes).map_err(head_error)? {
        Status::Complete(size) => size,
        Status::Partial => return Ok(None),
    };
    if head.version != Some(1) {
        return Err(MessageError::new(505, "only HTTP/1.1 is served"));
    }
    check_head(&bytes[..size], head.headers)?;
    if header_count(head.headers, "host") != 1 {
        return Err(MessageError::new(400, "exactly one Host is needed"));
    }
    let method = head.method.unwrap_or_default();
    let method = Method::from_str(method).map_err(|_| MessageError::new(501, "unknown method"))?;
    if matches!(method, Method::Connect | Method::Trace) {
        return Err(MessageError::new(501, "method not served"));
    }
    Ok(Some(RequestHead {
        size,
        method,
        framing: framing(head.headers)?.unwrap_or(Framing::Empty),
        close: has_token(head.headers, "connection", "close"),
        expects_continue: has_token(head.headers, "expect", "100-continue"),
    }))
}

/// Parses and checks the head of the response to a request with `method`; `None` while it
/// is incomplete.
pub(crate) fn parse_reply_head(
    bytes: &[u8],
    method: &str,
) -> Result<Option<ReplyHead>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let size = match head.parse(bytes).map_err(head_error)? {
        Status::Complete(size) => size,
        Status::Partial => return Ok(None),
    };
    if head.version != Some(1) {
        return Err(MessageError::new(502, "not HTTP/1.1"));
    }
    check_head(&bytes[..size], head.headers)?;
    let code = head.code.unwrap_or_default();
    if code < 200 {
        return Err(MessageError::new(502, "interim status without request"));
    }
    let stated = framing(head.headers)?;
    let bodiless = method == "HEAD" || code == 204 || code == 304;
    let framing = match stated {
        _ if bodiless => Framing::Empty,
        Some(framing) => framing,
        None => return Err(MessageError::new(502, "answer without a length")),
    };
    Ok(Some(ReplyHead {
        size,
        framing,
        close: has_token(head.headers, "connection", "close"),
    }))
}

fn head_error(error: httparse::Error) -> MessageError {
    match error {
        httparse::Error::Version => MessageError::new(505, "only HTTP/1.1 is served"),
        httparse::Error::TooManyHeaders => MessageError::new(431, "too many headers"),
        _ => MessageError::new(400, "malformed head"),
    }
}

fn check_head(head: &[u8], headers: &[Header<'_>]) -> Result<(), MessageError> {
    if !head.ends_with(b"\r\n\r\n") {
        return Err(MessageError::new(400, "lines must end with CR LF"));
    }
    // The codec panics on a header value outside ASCII.
    if headers.iter().any(|header| !header.value.is_ascii()) {
        return Err(MessageError::new(400, "header outside ASCII"));
    }
    Ok(())
}

fn framing(headers: &[Header<'_>]) -> Result<Option<Framing>, MessageError> {
    let lengths = header_count(headers, "content-length");
    let codings = header_count(headers, "transfer-encoding");
    match (lengths, codings) {
        (0, 0) => Ok(None),
        (1, 0) => content_length(headers).map(|n| Some(Framing::Fixed(n))),
        (0, 1) if header_value(headers, "transfer-encoding").eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (0, 1) => Err(MessageError::new(501, "unknown transfer coding")),
        _ => Err(MessageError::new(400, "body length stated more than once")),
    }
}

fn content_length(headers: &[Header<'_>]) -> Result<usize, MessageError> {
    let value = header_value(headers, "content-length");
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value)
        .ok()
        .filter(|_| digits)
        .and_then(|text| text.parse().ok())
        .ok_or(MessageError::new(400, "Content-Length is not a number"))
}

fn header_count(headers: &[Header<'_>], name: &str) -> usize {
    header_values(headers, name).count()
}

fn header_value<'a>(headers: &'a [Header<'_>], name: &str) -> &'a [u8] {
    header_values(headers, name).next().unwrap_or_default()
}

fn has_token(headers: &[Header<'_>], name: &str, token: &str) -> bool {
    header_values(headers, name)
        .flat_map(|value| value.split(|byte| *byte == b','))
        .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

fn header_values<'a>(headers: &'a [Header<'_>], name: &str) -> impl Iterator<Item = &'a [u8]> {
    headers
        .iter()
        .filter(move |header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value)
}
