//! One connection of a server: reads, checks and answers requests in order.

use async_net::TcpStream;
use futures_lite::future;
use http_types::Method;

use super::codec;
use super::deadline::timeout;
use super::frame::{Fault, RequestHead, request_head};
use super::problem::{Execution, Problem};
use super::wire::{ReadError, Wire};
use super::{Reply, Request, ServerLimits};

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const FINISH_MS: u64 = 1_000;
const FINISH_BYTES: usize = 256 << 10;

/// Connections over the limit that still get a refusal share this bound on time.
const TURN_AWAY_MS: u64 = 200;

#[derive(Debug)]
pub(crate) struct Connection {
    wire: Wire,
    limits: ServerLimits,
    method: Method,
    close: bool,
}

impl Connection {
    pub(crate) const fn new(stream: TcpStream, limits: ServerLimits) -> Self {
        Self {
            wire: Wire::new(stream),
            limits,
            method: Method::Get,
            close: false,
        }
    }

    /// Method of the request that was read last.
    pub(crate) const fn method(&self) -> Method {
        self.method
    }

    /// Reads the next whole request; `None` when the connection is to end.
    pub(crate) async fn read(&mut self) -> Option<Request> {
        if self.close || !self.begun().await {
            return None;
        }
        match self.request().await {
            Ok(request) => Some(request),
            Err(ReadError::Cut) => None,
            Err(ReadError::Fault(fault)) => {
                self.refuse(fault).await;
                None
            }
        }
    }

    /// Waits for the answer of the handler; `None` when the caller has left.
    pub(crate) async fn answer(&mut self, work: impl Future<Output = Reply>) -> Option<Reply> {
        let limit = self.limits.max_head;
        let work = async { Some(work.await) };
        let left = async {
            self.wire.closed(limit).await;
            None
        };
        future::or(work, left).await
    }

    /// Writes an answer; false when the connection is to end.
    pub(crate) async fn write(&mut self, reply: &Reply, method: Method) -> bool {
        let closing = self.close || reply.header("connection") == Some("close");
        let Ok(mut bytes) = codec::encode_reply(reply, method) else {
            let fault = Fault::new(502, "answer can't be encoded");
            self.refuse_as(fault, Execution::Unknown).await;
            return false;
        };
        if self.close && reply.header("connection").is_none() {
            add_close(&mut bytes);
        }
        let mut written = 0;
        let sent = timeout(self.limits.write_ms, self.wire.write(&bytes, &mut written)).await;
        if !matches!(sent, Some(Ok(()))) {
            return false;
        }
        if closing {
            self.finish().await;
        }
        !closing
    }

    /// Refuses a connection over the limit.
    pub(crate) async fn turn_away(&mut self) {
        let fault = Fault::new(503, "too many connections");
        timeout(TURN_AWAY_MS, self.refuse(fault)).await;
    }

    async fn begun(&mut self) -> bool {
        if !self.wire.unread().is_empty() {
            return true;
        }
        let first = timeout(self.limits.idle_ms, self.wire.fill(0)).await;
        matches!(first, Some(Ok(true)))
    }

    async fn request(&mut self) -> Result<Request, ReadError> {
        let ServerLimits {
            max_head,
            max_body,
            head_ms,
            body_ms,
            ..
        } = self.limits;
        let head = timeout(head_ms, self.wire.head(max_head, request_head))
            .await
            .ok_or(Fault::new(408, "head not received in time"))??;
        self.method = head.method;
        self.close = head.close;
        let bytes = self.wire.take(head.size);
        if head.expects {
            self.proceed(&head).await?;
        }
        let body = timeout(body_ms, self.wire.body(head.framing, max_body))
            .await
            .ok_or(Fault::new(408, "body not received in time"))??;
        let bytes = if head.expects {
            without_expect(&bytes)
        } else {
            bytes
        };
        codec::decode_request(&bytes, body).map_err(|_| Fault::new(400, "malformed request").into())
    }

    /// Tells a waiting caller to send its body, unless it is too large anyway.
    async fn proceed(&mut self, head: &RequestHead) -> Result<(), ReadError> {
        let max_body = self.limits.max_body;
        if matches!(head.framing, super::frame::Framing::Fixed(size) if size > max_body) {
            return Err(Fault::new(413, "body over the limit").into());
        }
        let mut written = 0;
        timeout(
            self.limits.write_ms,
            self.wire.write(CONTINUE, &mut written),
        )
        .await
        .ok_or(ReadError::Cut)??;
        Ok(())
    }

    async fn refuse(&mut self, fault: Fault) {
        self.refuse_as(fault, Execution::NotRun).await;
    }

    async fn refuse_as(&mut self, fault: Fault, outcome: Execution) {
        let problem = Problem {
            status: fault.status,
            title: "request not accepted",
            detail: fault.detail,
            outcome,
            request: None,
        };
        let Ok(mut bytes) = codec::encode_reply(&problem.reply(), Method::Get) else {
            return;
        };
        add_close(&mut bytes);
        let mut written = 0;
        let sent = timeout(self.limits.write_ms, self.wire.write(&bytes, &mut written)).await;
        if matches!(sent, Some(Ok(()))) {
            self.finish().await;
        }
    }

    async fn finish(&mut self) {
        timeout(FINISH_MS, self.wire.finish(FINISH_BYTES)).await;
    }
}

/// Adds `Connection: close` after the status line of an encoded answer.
fn add_close(bytes: &mut Vec<u8>) {
    let line = bytes.windows(2).position(|pair| pair == b"\r\n");
    if let Some(end) = line {
        let at = end + 2;
        bytes.splice(at..at, *b"connection: close\r\n");
    }
}

/// The codec would start an executor of its own to answer `Expect`.
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
