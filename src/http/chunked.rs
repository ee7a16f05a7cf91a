//! Finds the chunks of a body (RFC 9112) and its end while its bytes arrive.

use std::ops::Range;

use httparse::Status;

use super::head::MessageError;

/// Limit for the trailer section, and for the size line of one chunk, in bytes.
const MAX_LINE_BYTES: usize = 4 << 10;

/// Limit for size lines, extensions and line ends of a body, as a multiple of the limit for its
/// content: chunks of one byte without extensions take five.
const MAX_FRAMING_FACTOR: usize = 8;

/// Progress of a scan through a chunked body.
#[derive(Debug)]
pub(crate) struct ChunkScanner {
    /// Limit for the content, in bytes.
    max_body: usize,
    /// Sum of the chunk sizes read so far, in bytes.
    content_size: usize,
    /// Bytes so far that are not content.
    framing_size: usize,
}

/// What the bytes after those that were scanned before begin with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Scanned {
    /// Less than a chunk.
    Partial,
    /// A chunk of `size` bytes with its framing, whose content is at `data`.
    Chunk { data: Range<usize>, size: usize },
    /// The end of the body: the last, empty chunk, the trailers and the empty line, `size` bytes in all.
    End { size: usize },
}

impl ChunkScanner {
    /// Starts a scan of a body with up to `max_body` bytes of content.
    pub(crate) const fn new(max_body: usize) -> Self {
        Self {
            max_body,
            content_size: 0,
            framing_size: 0,
        }
    }

    /// Scans `rest`, the bytes after the chunks that were found before.
    pub(crate) fn advance(&mut self, rest: &[u8]) -> Result<Scanned, MessageError> {
        let Some((line, size)) = parse_size_line(rest)? else {
            return Ok(Scanned::Partial);
        };
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if self.content_size.saturating_add(size) > self.max_body {
            return Err(MessageError::new(413, "body over the limit"));
        }
        if size == 0 {
            let trailers = scan_trailers(&rest[line..])?;
            return Ok(trailers.map_or(Scanned::Partial, |trailers| Scanned::End {
                size: line + trailers,
            }));
        }
        let total = line + size + 2;
        if rest.len() < total {
            return Ok(Scanned::Partial);
        }
        if &rest[total - 2..total] != b"\r\n" {
            return Err(MessageError::new(400, "chunk longer than its size"));
        }
        self.content_size += size;
        self.framing_size += total - size;
        if self.framing_size > MAX_FRAMING_FACTOR * self.max_body.max(MAX_LINE_BYTES) {
            return Err(MessageError::new(413, "chunk extensions over the limit"));
        }
        Ok(Scanned::Chunk {
            data: line..line + size,
            size: total,
        })
    }
}

/// Size of the trailer section that `rest` begins with, with the empty line; `None` until it is
/// complete.
fn scan_trailers(rest: &[u8]) -> Result<Option<usize>, MessageError> {
    let end = if rest.starts_with(b"\r\n") {
        Some(2)
    } else {
        rest.windows(4)
            .position(|bytes| bytes == b"\r\n\r\n")
            .map(|i| i + 4)
    };
    if end.is_none() && rest.len() > MAX_LINE_BYTES {
        return Err(MessageError::new(431, "trailers over the limit"));
    }
    Ok(end)
}

fn parse_size_line(rest: &[u8]) -> Result<Option<(usize, u64)>, MessageError> {
    match httparse::parse_chunk_size(rest) {
        Ok(Status::Complete(found)) => Ok(Some(found)),
        Ok(Status::Partial) if rest.len() > MAX_LINE_BYTES => {
            Err(MessageError::new(400, "chunk size line over the limit"))
        }
        Ok(Status::Partial) => Ok(None),
        Err(_) => Err(MessageError::new(400, "malformed chunk size")),
    }
}

/// Encodes the content of a chunked body as one chunk.
pub(crate) fn encode_one_chunk(content: &[u8]) -> Vec<u8> {
    let mut body = Vec::with_capacity(content.len() + 32);
    if !content.is_empty() {
        body.extend_from_slice(format!("{:x}\r\n", content.len()).as_bytes());
        body.extend_from_slice(content);
        body.extend_from_slice(b"\r\n");
    }
    body.extend_from_slice(b"0\r\n\r\n");
    body
}
