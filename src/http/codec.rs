//! Encodes and decodes HTTP messages with async-h1, over streams in memory. The heads to
//! decode have passed the checks of `head`.
//!
//! Reads from memory are always ready, so the codec's futures never wait and are run to
//! completion here. As part of a connection's future they would take 4 KB per connection.

use std::io;
use std::pin::Pin;
use std::str::FromStr;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_lite::future::block_on;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite};
use http_types::headers::{HeaderName, HeaderValue};
use http_types::{Body, Method, Response, StatusCode, Url};

use super::stream::RawBody;
use super::{Reply, Request};

/// Reads from bytes in memory; discards what is written.
#[derive(Clone)]
struct MemoryStream {
    bytes: Arc<[u8]>,
    position: usize,
}

impl MemoryStream {
    fn new(bytes: &[u8]) -> Self {
        Self {
            bytes: Arc::from(bytes),
            position: 0,
        }
    }
}

impl AsyncRead for MemoryStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let size = buf.len().min(self.bytes.len() - self.position);
        buf[..size].copy_from_slice(&self.bytes[self.position..self.position + size]);
        self.position += size;
        Poll::Ready(Ok(size))
    }
}

impl AsyncWrite for MemoryStream {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Decodes a request whose head has been checked.
pub(crate) fn decode_request(head: &[u8], body: RawBody) -> http_types::Result<Request> {
    let input = codec_input(head, &body);
    let (mut incoming, _) = block_on(async_h1::server::decode(MemoryStream::new(&input)))?
        .ok_or_else(|| http_types::format_err!("no request"))?;
    let body = decode_body(body, &mut incoming)?;
    let url = incoming.url();
    let path = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    Ok(Request {
        method: incoming.method().to_string(),
        path,
        headers: received_headers(incoming.iter(), head),
        body,
    })
}

/// Decodes a response whose head has been checked.
pub(crate) fn decode_reply(head: &[u8], body: RawBody) -> http_types::Result<Reply> {
    let input = codec_input(head, &body);
    let mut incoming = block_on(async_h1::client::decode(MemoryStream::new(&input)))?;
    let body = decode_body(body, &mut incoming)?;
    Ok(Reply {
        status: incoming.status() as u16,
        headers: received_headers(incoming.iter(), head),
        body,
    })
}

/// Encodes a request; `host` becomes its `Host` header.
pub(crate) fn encode_request(host: &str, request: &Request) -> http_types::Result<Vec<u8>> {
    let method = Method::from_str(&request.method)?;
    let url = Url::parse(&format!("http://{host}{}", request.path))?;
    let mut outgoing = http_types::Request::new(method, url);
    outgoing.set_body(request.body.as_slice());
    outgoing.remove_header("content-type");
    for (name, value) in without_framing(&request.headers) {
        let (name, value) = parse_header(name, value)?;
        outgoing.append_header(name, value);
    }
    let mut bytes = Vec::with_capacity(256 + request.body.len());
    let mut encoder = async_h1::client::Encoder::new(outgoing);
    block_on(encoder.read_to_end(&mut bytes))?;
    Ok(bytes)
}

/// Encodes the response to a request with `method`.
pub(crate) fn encode_reply(reply: &Reply, method: Method) -> http_types::Result<Vec<u8>> {
    let mut outgoing = Response::new(StatusCode::try_from(reply.status)?);
    let length = reply.header("content-length").and_then(|n| n.parse().ok());
    match length {
        // The response to HEAD states the length of the body that GET would return.
        Some(length) if method == Method::Head => {
            outgoing.set_body(Body::from_reader(futures_lite::io::empty(), Some(length)));
        }
        _ => outgoing.set_body(reply.body.as_slice()),
    }
    outgoing.remove_header("content-type");
    for (name, value) in without_framing(&reply.headers) {
        let (name, value) = parse_header(name, value)?;
        outgoing.append_header(name, value);
    }
    let mut bytes = Vec::with_capacity(256 + reply.body.len());
    let mut encoder = async_h1::server::Encoder::new(outgoing, method);
    block_on(encoder.read_to_end(&mut bytes))?;
    if reply.status == 204 || reply.status == 304 {
        remove_line(&mut bytes, b"content-length: 0\r\n");
    }
    Ok(bytes)
}

/// Removes the first occurrence of `line`. Responses with status 204 or 304 have no body,
/// but the codec adds a `Content-Length` of 0 to them.
fn remove_line(bytes: &mut Vec<u8>, line: &[u8]) {
    let start = bytes.windows(line.len()).position(|part| part == line);
    if let Some(start) = start {
        bytes.drain(start..start + line.len());
    }
}

/// Leaves out the headers that frame the body: the codec writes its own.
fn without_framing(headers: &[(String, String)]) -> impl Iterator<Item = &(String, String)> {
    headers
        .iter()
        .filter(|(name, _)| !matches!(name.as_str(), "content-length" | "transfer-encoding"))
}

fn parse_header(name: &str, value: &str) -> http_types::Result<(HeaderName, HeaderValue)> {
    if value.bytes().any(|b| b.is_ascii_control() && b != b'\t') {
        return Err(http_types::format_err!("control character in a header"));
    }
    Ok((HeaderName::from_str(name)?, HeaderValue::from_str(value)?))
}

/// Bytes to decode: the codec gets the body only if it is chunked.
fn codec_input(head: &[u8], body: &RawBody) -> Vec<u8> {
    match body {
        RawBody::Plain(_) => head.to_vec(),
        RawBody::Chunked(chunks) => [head, chunks].concat(),
    }
}

fn decode_body(
    body: RawBody,
    decoded: &mut (impl AsyncRead + Unpin),
) -> http_types::Result<Vec<u8>> {
    match body {
        RawBody::Plain(bytes) => Ok(bytes),
        RawBody::Chunked(_) => {
            let mut bytes = Vec::new();
            block_on(decoded.read_to_end(&mut bytes))?;
            Ok(bytes)
        }
    }
}

/// Headers that were received, without `Transfer-Encoding`. The codec adds a `Date` and a
/// `Content-Type` to a message without them; these are left out.
fn received_headers<'a>(
    all: impl Iterator<Item = (&'a HeaderName, &'a http_types::headers::HeaderValues)>,
    head: &[u8],
) -> Vec<(String, String)> {
    all.filter(|(name, _)| match name.as_str() {
        "transfer-encoding" => false,
        name @ ("date" | "content-type") => was_received(head, name),
        _ => true,
    })
    .flat_map(|(name, values)| values.iter().map(move |value| (name, value)))
    .map(|(name, value)| (name.as_str().to_owned(), value.as_str().to_owned()))
    .collect()
}

fn was_received(head: &[u8], name: &str) -> bool {
    head.split(|byte| *byte == b'\n').any(|line| {
        let (start, rest) = line.split_at(line.len().min(name.len()));
        start.eq_ignore_ascii_case(name.as_bytes()) && rest.starts_with(b":")
    })
}
