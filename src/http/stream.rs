//! A TCP stream with a buffer for bytes that were read ahead.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use async_io::Async;
use async_net::TcpStream;
use futures_lite::future;
use futures_lite::{AsyncRead, AsyncWriteExt};

use super::chunked::{ChunkScanner, Scanned, encode_one_chunk};
use super::connection_table::{Hold, Phase, Place};
use super::head::{Framing, MessageError};

/// Size of a small read, in bytes.
const READ_BYTES: usize = 4 << 10;
/// Largest size of one read, in bytes.
const MAX_READ_BYTES: usize = 256 << 10;

/// Why a complete message could not be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The stream was closed or failed.
    Closed,
    /// The message violates the protocol or exceeds a limit.
    Invalid(MessageError),
    /// The server needs the place or the memory of the connection for others.
    Revoked,
}

impl From<MessageError> for ReadError {
    fn from(error: MessageError) -> Self {
        Self::Invalid(error)
    }
}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::OutOfMemory => Self::Revoked,
            _ => Self::Closed,
        }
    }
}

/// The body of a message as received.
#[derive(Debug)]
pub(crate) enum RawBody {
    /// The content, not chunked.
    Plain(Vec<u8>),
    /// The content as one chunk and the last, empty one, without extensions and trailers.
    Chunked(Vec<u8>),
}

/// A TCP stream with the bytes that were read ahead.
#[derive(Debug)]
pub(crate) struct BufferedStream {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Its place among the connections of a server; `None` for a client.
    place: Option<Place>,
    /// Content so far of the chunked body that is being read, in bytes.
    decoded: usize,
    /// Head and body of the request in hand, which were taken from the buffer, in bytes.
    taken: usize,
}

impl BufferedStream {
    pub(crate) const fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            place: None,
            decoded: 0,
            taken: 0,
        }
    }

    /// Gives the connection a place among those of its server.
    pub(crate) fn occupy(&mut self, place: Place) {
        self.place = Some(place);
    }

    /// Notes what the connection does from now on. Returns false if its server needs the place or the
    /// memory for others.
    pub(crate) fn enter(&mut self, phase: Phase) -> bool {
        if phase == Phase::Idle {
            self.decoded = 0;
            self.taken = 0;
            self.buffer.shrink_to(READ_BYTES);
        }
        let Some(place) = &self.place else {
            return true;
        };
        if phase == Phase::Idle {
            place.hold(self.buffer.capacity());
        }
        place.enter(phase)
    }

    /// The stream without its buffer.
    pub(crate) const fn tcp(&self) -> &TcpStream {
        &self.stream
    }

    /// Bytes that were read from the stream and not yet taken.
    pub(crate) fn unread(&self) -> &[u8] {
        &self.buffer
    }

    /// True if the buffer is empty and the stream has nothing to read: no bytes, end or error.
    pub(crate) fn is_quiet(&self) -> bool {
        let stream: Arc<Async<std::net::TcpStream>> = self.stream.clone().into();
        let peeked = stream.get_ref().peek(&mut [0]);
        let nothing = peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        nothing && self.buffer.is_empty()
    }

    /// Reads once into the buffer: up to 4 KiB or, if `wanted` is more, up to `wanted` bytes,
    /// at most 256 KiB and as much as the buffer holds already: a client has to send what it wants
    /// memory for. Returns false at the end of the stream. Fails with [`io::ErrorKind::OutOfMemory`]
    /// if the server needs the memory or the place for others. Cancel safe: dropping the
    /// future before it completes loses no bytes.
    pub(crate) async fn fill(&mut self, wanted: usize) -> io::Result<bool> {
        let Self {
            stream,
            buffer,
            place,
            decoded,
            taken,
        } = self;
        let wanted = wanted.min(MAX_READ_BYTES).min(buffer.len());
        let read = future::poll_fn(|cx| {
            let stream = Pin::new(&mut *stream);
            if wanted > READ_BYTES {
                poll_large(stream, cx, buffer, wanted)
            } else {
                poll_small(stream, cx, buffer)
            }
        });
        let Some(known) = place else {
            return Ok(read.await? > 0);
        };
        let revoked = async {
            known.revoked().await;
            Err(io::ErrorKind::OutOfMemory.into())
        };
        let read = future::or(read, revoked).await;
        loop {
            match known.hold(buffer.capacity() + *decoded + *taken) {
                Hold::Granted => return Ok(read? > 0),
                Hold::Waiting => future::yield_now().await,
                Hold::Revoked => {
                    // Without a place, what the client still sends can be read and discarded.
                    *buffer = Vec::new();
                    *place = None;
                    return Err(io::ErrorKind::OutOfMemory.into());
                }
            }
        }
    }

    /// Waits until the other end closes the stream or reading fails. Bytes that arrive meanwhile
    /// are buffered for the next request. Once `limit` bytes are buffered, reads no more, so that
    /// the buffer stays bounded, and never returns, because it would not notice a close any more.
    pub(crate) async fn wait_closed(&mut self, limit: usize) {
        while self.buffer.len() < limit {
            if !self.fill(0).await.unwrap_or(false) {
                return;
            }
        }
        future::pending::<()>().await;
    }

    /// Reads until `parse` finds a complete head in the first `limit` bytes; leaves it in the
    /// buffer.
    pub(crate) async fn read_head<T>(
        &mut self,
        limit: usize,
        parse: impl Fn(&[u8]) -> Result<Option<T>, MessageError>,
    ) -> Result<T, ReadError> {
        loop {
            if !self.buffer.is_empty() {
                let seen = self.buffer.len().min(limit);
                if let Some(head) = parse(&self.buffer[..seen])? {
                    return Ok(head);
                }
                if self.buffer.len() >= limit {
                    return Err(MessageError::new(431, "head over the limit").into());
                }
            }
            if !self.fill(0).await? {
                return Err(ReadError::Closed);
            }
        }
    }

    /// Removes the first `size` bytes from the buffer. Panics if it holds fewer.
    pub(crate) fn take(&mut self, size: usize) -> Vec<u8> {
        let rest = self.buffer.split_off(size);
        let taken = std::mem::replace(&mut self.buffer, rest);
        self.taken += taken.capacity();
        taken
    }

    /// Reads the complete body that follows a head.
    pub(crate) async fn read_body(
        &mut self,
        framing: Framing,
        max_body: usize,
    ) -> Result<RawBody, ReadError> {
        match framing {
            Framing::Empty => Ok(RawBody::Plain(Vec::new())),
            Framing::Fixed(size) if size > max_body => {
                Err(MessageError::new(413, "body over the limit").into())
            }
            Framing::Fixed(size) => self.read_fixed(size).await,
            Framing::Chunked => self.read_chunked(max_body).await,
        }
    }

    async fn read_fixed(&mut self, size: usize) -> Result<RawBody, ReadError> {
        while self.buffer.len() < size {
            let missing = size - self.buffer.len();
            if !self.fill(missing).await? {
                return Err(ReadError::Closed);
            }
        }
        Ok(RawBody::Plain(self.take(size)))
    }

    /// Reads a chunked body. Keeps only its content, so that size lines and extensions take no memory.
    async fn read_chunked(&mut self, max_body: usize) -> Result<RawBody, ReadError> {
        let mut scanner = ChunkScanner::new(max_body);
        let mut content = Vec::new();
        loop {
            let mut offset = 0;
            let complete = loop {
                let rest = &self.buffer[offset..];
                match scanner.advance(rest)? {
                    Scanned::Partial => break false,
                    Scanned::Chunk { data, size } => {
                        content.extend_from_slice(&rest[data]);
                        offset += size;
                    }
                    Scanned::End { size } => {
                        offset += size;
                        break true;
                    }
                }
            };
            self.buffer.drain(..offset);
            self.decoded = content.capacity();
            if complete {
                let body = encode_one_chunk(&content);
                self.decoded = 0;
                self.taken += body.capacity();
                return Ok(RawBody::Chunked(body));
            }
            if !self.fill(READ_BYTES).await? {
                return Err(ReadError::Closed);
            }
        }
    }

    /// Writes all bytes and adds the number that the kernel accepted to `written`, also on
    /// errors.
    pub(crate) async fn write_all(&mut self, bytes: &[u8], written: &mut usize) -> io::Result<()> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let n = self.stream.write(rest).await?;
            if n == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            *written += n;
            rest = &rest[n..];
        }
        Ok(())
    }

    /// As [`Self::write_all`], but fails if the server needs the place for others.
    pub(crate) async fn write_response(&mut self, bytes: &[u8]) -> io::Result<()> {
        let place = self.place.take();
        let mut written = 0;
        let write = self.write_all(bytes, &mut written);
        let result = match &place {
            Some(place) => {
                let revoked = async {
                    place.revoked().await;
                    Err(io::ErrorKind::OutOfMemory.into())
                };
                future::or(write, revoked).await
            }
            None => write.await,
        };
        self.place = place;
        result
    }

    /// Shuts down the write side, then reads and discards what the other end still sends, up to
    /// about `limit` bytes: closing a socket with unread bytes resets the connection, and the
    /// client could lose the response.
    pub(crate) async fn shut_down(&mut self, limit: usize) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
        let mut seen = 0;
        while seen < limit {
            self.buffer.clear();
            if !self.fill(READ_BYTES).await.unwrap_or(false) {
                return;
            }
            seen += self.buffer.len();
        }
    }
}

/// Reads through a buffer on the stack, so that a waiting connection reserves no memory for
/// bytes to come.
fn poll_small(
    stream: Pin<&mut TcpStream>,
    cx: &mut Context<'_>,
    buffer: &mut Vec<u8>,
) -> Poll<io::Result<usize>> {
    let mut bytes = [0; READ_BYTES];
    let read = stream.poll_read(cx, &mut bytes);
    if let Poll::Ready(Ok(size)) = &read {
        buffer.extend_from_slice(&bytes[..*size]);
    }
    read
}

/// Reads up to `size` bytes directly into `buffer`.
fn poll_large(
    stream: Pin<&mut TcpStream>,
    cx: &mut Context<'_>,
    buffer: &mut Vec<u8>,
    size: usize,
) -> Poll<io::Result<usize>> {
    let start = buffer.len();
    buffer.resize(start + size, 0);
    let read = stream.poll_read(cx, &mut buffer[start..]);
    let received = match &read {
        Poll::Ready(Ok(received)) => *received,
        Poll::Ready(Err(_)) | Poll::Pending => 0,
    };
    buffer.truncate(start + received);
    read
}
