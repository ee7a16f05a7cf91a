//! Finds the end of a chunked body (RFC 9112) while its bytes arrive.

use httparse::Status;

use super::head::MessageError;

/// Limit for the trailer section, and for the size line of one chunk, in bytes.
const MAX_LINE_BYTES: usize = 4 << 10;

/// Progress of a scan through a chunked body.
#[derive(Debug, Default)]
pub(crate) struct ChunkScanner {
    /// Start of the next chunk, or of the trailers after the last one, in bytes.
    offset: usize,
    /// Sum of the chunk sizes read so far, in bytes.
    content_size: usize,
    last_chunk_seen: bool,
}

/// Size of a complete chunked body, in bytes of its encoded form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ChunkedSize {
    /// Up to and including the size line of the last, empty chunk.
    pub(crate) without_trailers: usize,
    /// Including the trailers and the empty line that ends them.
    pub(crate) total: usize,
}

impl ChunkScanner {
    /// Continues the scan of `body`, which holds all bytes received so far. Returns `None`
    /// until the body is complete.
    pub(crate) fn advance(
        &mut self,
        body: &[u8],
        max_body: usize,
    ) -> Result<Option<ChunkedSize>, MessageError> {
        while !self.last_chunk_seen {
            let Some(rest) = body.get(self.offset..) else {
                return Ok(None);
            };
            let Some((line, size)) = parse_size_line(rest)? else {
                return Ok(None);
            };
            let size = usize::try_from(size).unwrap_or(usize::MAX);
            self.content_size = self.content_size.saturating_add(size);
            if self.content_size > max_body {
                return Err(MessageError::new(413, "body over the limit"));
            }
            if size == 0 {
                self.offset += line;
                self.last_chunk_seen = true;
                break;
            }
            let next = self.offset + line + size + 2;
            if body.len() < next {
                return Ok(None);
            }
            if &body[next - 2..next] != b"\r\n" {
                return Err(MessageError::new(400, "chunk longer than its size"));
            }
            self.offset = next;
        }
        self.scan_trailers(&body[self.offset..])
    }

    fn scan_trailers(&self, rest: &[u8]) -> Result<Option<ChunkedSize>, MessageError> {
        let end = if rest.starts_with(b"\r\n") {
            Some(2)
        } else {
            rest.windows(4)
                .position(|bytes| bytes == b"\r\n\r\n")
                .map(|i| i + 4)
        };
        match end {
            Some(end) => Ok(Some(ChunkedSize {
                without_trailers: self.offset,
                total: self.offset + end,
            })),
            None if rest.len() > MAX_LINE_BYTES => {
                Err(MessageError::new(431, "trailers over the limit"))
            }
            None => Ok(None),
        }
    }
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
