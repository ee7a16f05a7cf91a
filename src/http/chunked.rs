//! Finds the end of a chunked body as its bytes arrive.

use httparse::Status;

use super::head::MessageError;

/// Bytes allowed for trailers and for the size line of one chunk.
const MAX_LINE_BYTES: usize = 4 << 10;

/// Position in a chunked body, counted from its first byte.
#[derive(Debug, Default)]
pub(crate) struct ChunkScanner {
    offset: usize,
    content_size: usize,
    last_chunk_seen: bool,
}

/// Where a whole chunked body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ChunkedSize {
    /// Bytes up to and with the size line of the empty chunk.
    pub(crate) without_trailers: usize,
    /// All bytes, with trailers and the empty line.
    pub(crate) total: usize,
}

impl ChunkScanner {
    /// Walks on through `body`, which holds all bytes received so far; `None` while
    /// the end is not among them.
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
