//! Server side of one connection: reads and checks requests and writes the responses in
//! order.

use std::sync::Arc;

use async_net::TcpStream;
use futures_lite::future;
use http_types::Method;

use super::codec;
use super::connection_table::{ConnectionTable, Phase, Place};
use super::deadline::timeout;
use super::head::{MessageError, RequestHead, parse_request_head};
use super::problem::{Execution, Problem};
use super::stream::{BufferedStream, ReadError};
use super::{Reply, Request, ServerLimits};

const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Time limit for reading what the client still sends before the connection is closed, in ms.
const DRAIN_MS: u64 = 1_000;
/// Limit for the bytes that are read and discarded before the connection is closed.
const DRAIN_BYTES: usize = 256 << 10;

/// Time limit for refusing a connection over the connection limit, in ms.
const OVER_LIMIT_REFUSAL_MS: u64 = 200;

#[derive(Debug)]
pub(crate) struct Connection {
    stream: BufferedStream,
    limits: ServerLimits,
    method: Method,
    close: bool,
    table: Arc<ConnectionTable>,
}

impl Connection {
    pub(crate) fn new(
        stream: TcpStream,
        limits: ServerLimits,
        table: &Arc<ConnectionTable>,
    ) -> Self {
        Self {
            stream: BufferedStream::new(stream),
            limits,
            method: Method::Get,
            close: false,
            table: Arc::clone(table),
        }
    }

    /// A connection that has a place among those of its server.
    pub(crate) fn with_place(
        stream: TcpStream,
        limits: ServerLimits,
        table: &Arc<ConnectionTable>,
        place: Place,
    ) -> Self {
        let mut connection = Self::new(stream, limits, table);
        connection.stream.occupy(place);
        connection
    }

    /// Notes what the connection does from now on. Returns false if its server needs the place or the
    /// memory for others.
    pub(crate) fn enter(&mut self, phase: Phase) -> bool {
        self.stream.enter(phase)
    }

    /// Method of the last request read; GET before the first.
    pub(crate) const fn method(&self) -> Method {
        self.method
    }

    /// Reads the next complete request, or refuses it. Returns `None` when the connection has to
    /// be closed.
    pub(crate) async fn next_request(&mut self) -> Option<Request> {
        if self.close || !self.wait_for_request().await {
            return None;
        }
        match self.read_request().await {
            Ok(request) => Some(request),
            Err(ReadError::Closed) => None,
            Err(ReadError::Invalid(error)) => {
                self.refuse(error).await;
                None
            }
            Err(ReadError::Revoked) => {
                self.refuse_over_limit().await;
                None
            }
        }
    }

    /// Waits for the response of the handler; `None` if the client closes the connection first.
    pub(crate) async fn run_handler(&mut self, work: impl Future<Output = Reply>) -> Option<Reply> {
        let limit = self.limits.max_head;
        let work = async { Some(work.await) };
        let disconnected = async {
            self.stream.wait_closed(limit).await;
            None
        };
        future::or(work, disconnected).await
    }

    /// Writes the response to a request with `method`. Returns false when the connection has to
    /// be closed.
    pub(crate) async fn write_reply(&mut self, reply: &Reply, method: Method) -> bool {
        let closing = self.close || reply.header("connection") == Some("close");
        let Ok(mut bytes) = codec::encode_reply(reply, method) else {
            let error = MessageError::new(502, "answer can't be encoded");
            self.refuse_with(error, Execution::Unknown).await;
            return false;
        };
        if self.close && reply.header("connection").is_none() {
            add_connection_close(&mut bytes);
        }
        let sent = timeout(self.limits.write_ms, self.stream.write_response(&bytes)).await;
        if !matches!(sent, Some(Ok(()))) {
            return false;
        }
        if closing {
            self.shut_down().await;
        }
        !closing
    }

    /// Refuses a connection with status 503 for which the server has no place or memory.
    pub(crate) async fn refuse_over_limit(&mut self) {
        let error = MessageError::new(503, "too many connections, or too much memory held by them");
        timeout(OVER_LIMIT_REFUSAL_MS, self.refuse(error)).await;
    }

    async fn wait_for_request(&mut self) -> bool {
        if !self.stream.unread().is_empty() {
            return true;
        }
        let first = timeout(self.limits.idle_ms, self.stream.fill(0)).await;
        matches!(first, Some(Ok(true)))
    }

    async fn read_request(&mut self) -> Result<Request, ReadError> {
        let ServerLimits {
            max_head,
            max_body,
            head_ms,
            body_ms,
            ..
        } = self.limits;
        if !self.enter(Phase::Reading) {
            return Err(ReadError::Revoked);
        }
        let head = timeout(head_ms, self.stream.read_head(max_head, parse_request_head))
            .await
            .ok_or(MessageError::new(408, "head not received in time"))??;
        self.method = head.method;
        self.close = head.close;
        let bytes = self.stream.take(head.size);
        if head.expects_continue {
            self.send_continue(&head).await?;
        }
        let body = timeout(body_ms, self.stream.read_body(head.framing, max_body))
            .await
            .ok_or(MessageError::new(408, "body not received in time"))??;
        let bytes = if head.expects_continue {
            without_expect(&bytes)
        } else {
            bytes
        };
        codec::decode_request(&bytes, body)
            .map_err(|_| MessageError::new(400, "malformed request").into())
    }

    /// Sends `100 Continue` to a client that waits for it, unless the stated body is too large.
    async fn send_continue(&mut self, head: &RequestHead) -> Result<(), ReadError> {
        let max_body = self.limits.max_body;
        if matches!(head.framing, super::head::Framing::Fixed(size) if size > max_body) {
            return Err(MessageError::new(413, "body over the limit").into());
        }
        let mut written = 0;
        timeout(
            self.limits.write_ms,
            self.stream.write_all(CONTINUE_RESPONSE, &mut written),
        )
        .await
        .ok_or(ReadError::Closed)??;
        Ok(())
    }

    async fn refuse(&mut self, error: MessageError) {
        self.refuse_with(error, Execution::NotRun).await;
    }

    async fn refuse_with(&mut self, error: MessageError, outcome: Execution) {
        self.table.note_refusal(error.status, error.detail);
        let problem = Problem {
            status: error.status,
            title: "request not accepted",
            detail: error.detail,
            outcome,
            request: None,
        };
        let Ok(mut bytes) = codec::encode_reply(&problem.reply(), Method::Get) else {
            return;
        };
        add_connection_close(&mut bytes);
        let mut written = 0;
        let sent = timeout(
            self.limits.write_ms,
            self.stream.write_all(&bytes, &mut written),
        )
        .await;
        if matches!(sent, Some(Ok(()))) {
            self.shut_down().await;
        }
    }

    async fn shut_down(&mut self) {
        timeout(DRAIN_MS, self.stream.shut_down(DRAIN_BYTES)).await;
    }
}

/// Inserts `Connection: close` after the status line of an encoded response.
fn add_connection_close(bytes: &mut Vec<u8>) {
    let line = bytes.windows(2).position(|pair| pair == b"\r\n");
    if let Some(end) = line {
        let at = end + 2;
        bytes.splice(at..at, *b"connection: close\r\n");
    }
}

/// Removes the `Expect` header from a head: the codec would start an executor of its own to
/// answer it.
fn without_expect(head: &[u8]) -> Vec<u8> {
    head.split_inclusive(|byte| *byte == b'\n')
        .filter(|line| !starts_with_name(line, b"expect:"))
        .flatten()
        .copied()
        .collect()
}

fn starts_with_name(line: &[u8], name: &[u8]) -> bool {
    line.get(..name.len())
        .is_some_and(|start| start.eq_ignore_ascii_case(name))
}
