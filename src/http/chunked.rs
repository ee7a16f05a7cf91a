//! Finds the end of a chunked body as its bytes arrive.

use httparse::Status;

use super::frame::Fault;

/// Bytes allowed for trailers and for the size line of one chunk.
const MAX_LINES: usize = 4 << 10;

/// Position in a chunked body, counted from its first byte.
#[derive(Debug, Default)]
pub(crate) struct ChunkWalk {
    at: usize,
    data: usize,
    last: bool,
}

/// Where a whole chunked body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ChunkEnd {
    /// Bytes up to and with the size line of the empty chunk.
    pub(crate) chunks: usize,
    /// All bytes, with trailers and the empty line.
    pub(crate) whole: usize,
}

impl ChunkWalk {
    /// Walks on through `body`, which holds all bytes received so far; `None` while
    /// the end is not among them.
    pub(crate) fn advance(
        &mut self,
        body: &[u8],
        max_body: usize,
    ) -> Result<Option<ChunkEnd>, Fault> {
        while !self.last {
            let Some(rest) = body.get(self.at..) else {
                return Ok(None);
            };
            let Some((line, size)) = size_line(rest)? else {
                return Ok(None);
            };
            let size = usize::try_from(size).unwrap_or(usize::MAX);
            self.data = self.data.saturating_add(size);
            if self.data > max_body {
                return Err(Fault::new(413, "body over the limit"));
            }
            if size == 0 {
                self.at += line;
                self.last = true;
                break;
            }
            let next = self.at + line + size + 2;
            if body.len() < next {
                return Ok(None);
            }
            if &body[next - 2..next] != b"\r\n" {
                return Err(Fault::new(400, "chunk longer than its size"));
            }
            self.at = next;
        }
        self.trailers(&body[self.at..])
    }

    fn trailers(&self, rest: &[u8]) -> Result<Option<ChunkEnd>, Fault> {
        let end = if rest.starts_with(b"\r\n") {
            Some(2)
        } else {
            rest.windows(4)
                .position(|bytes| bytes == b"\r\n\r\n")
                .map(|i| i + 4)
        };
        match end {
            Some(end) => Ok(Some(ChunkEnd {
                chunks: self.at,
                whole: self.at + end,
            })),
            None if rest.len() > MAX_LINES => Err(Fault::new(431, "trailers over the limit")),
            None => Ok(None),
        }
    }
}

fn size_line(rest: &[u8]) -> Result<Option<(usize, u64)>, Fault> {
    match httparse::parse_chunk_size(rest) {
        Ok(Status::Complete(found)) => Ok(Some(found)),
        Ok(Status::Partial) if rest.len() > MAX_LINES => {
            Err(Fault::new(400, "chunk size line over the limit"))
        }
        Ok(Status::Partial) => Ok(None),
        Err(_) => Err(Fault::new(400, "malformed chunk size")),
    }
}
