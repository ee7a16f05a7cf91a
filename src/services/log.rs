//! HTTP client of the log service.

use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use super::call::{ServiceClient, decode, describe_failure, encode, is_path_safe};
use super::{Batch, Log, LogError};
use crate::http::{ClientLimits, Reply, Request, SendError};
use crate::id::{DataCentre, Offset};

/// HTTP client of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    client: ServiceClient,
}

#[derive(Serialize)]
struct AppendBody {
    records: Vec<String>,
}

#[derive(Deserialize)]
struct AppendReply {
    first: Offset,
}

#[derive(Deserialize)]
struct ReadReply {
    oldest: Offset,
    head: Offset,
    first: Offset,
    records: Vec<String>,
}

#[derive(Deserialize)]
struct ExpiredReply {
    oldest: Offset,
}

impl LogClient {
    /// Creates a client, in `data_centre`, of the log at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, data_centre: &DataCentre) -> Self {
        Self {
            client: ServiceClient::new(address, data_centre),
        }
    }

    /// Replaces the limits on each exchange.
    #[must_use]
    pub fn with_limits(self, limits: ClientLimits) -> Self {
        Self {
            client: self.client.with_limits(limits),
        }
    }
}

impl Log for LogClient {
    async fn append(&self, stream: &str, records: &[Vec<u8>]) -> Result<Offset, LogError> {
        const CALL: &str = "append";
        check_name(CALL, stream)?;
        let body = AppendBody {
            records: records.iter().map(|r| STANDARD.encode(r)).collect(),
        };
        let path = format!("/streams/{stream}/records");
        let request = Request::new("POST", &path, encode(&body));
        let reply = self.client.send(request).await.map_err(from_send_error)?;
        check_status(CALL, &reply)?;
        let reply: AppendReply = decode(CALL, &reply).map_err(LogError::Unknown)?;
        Ok(reply.first)
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait_ms: u64,
    ) -> Result<Batch, LogError> {
        const CALL: &str = "read";
        check_name(CALL, stream)?;
        let path = format!("/streams/{stream}/records?from={from}&limit={limit}&wait_ms={wait_ms}");
        let request = Request::new("GET", &path, Vec::new());
        let reply = self.client.send_long_poll(request, wait_ms).await;
        let reply = reply.map_err(from_send_error)?;
        check_status(CALL, &reply)?;
        let reply: ReadReply = decode(CALL, &reply).map_err(LogError::Unknown)?;
        decode_batch(from, &reply).map_err(|e| LogError::Unknown(format!("{CALL}: {e}")))
    }
}

fn check_name(call: &str, stream: &str) -> Result<(), LogError> {
    if is_path_safe(stream) {
        return Ok(());
    }
    Err(LogError::NotSent(format!("{call}: bad stream {stream:?}")))
}

fn from_send_error(error: SendError) -> LogError {
    match error {
        SendError::NotSent(cause) => LogError::NotSent(cause),
        SendError::MaybeReceived(cause) => LogError::Unknown(cause),
    }
}

/// Maps a status to an error. A call refused with 4xx has had no effect, as if it had not
/// been sent.
fn check_status(call: &str, reply: &Reply) -> Result<(), LogError> {
    match reply.status {
        200..=299 => Ok(()),
        410 => {
            let expired: ExpiredReply = decode(call, reply).map_err(LogError::Unknown)?;
            Err(LogError::Expired(expired.oldest))
        }
        503 => Err(LogError::Unavailable),
        400..=499 => Err(LogError::NotSent(describe_failure(call, reply))),
        _ => Err(LogError::Unknown(describe_failure(call, reply))),
    }
}

/// Checks that the records start at `from` and end at or before the head, and decodes them.
fn decode_batch(from: Offset, reply: &ReadReply) -> Result<Batch, String> {
    if reply.first != from {
        return Err(format!(
            "records start at {} instead of {from}",
            reply.first
        ));
    }
    let decoded: Result<Vec<_>, _> = reply.records.iter().map(|r| STANDARD.decode(r)).collect();
    let records = decoded.map_err(|e| format!("a record is not base64: {e}"))?;
    let end = from.0.saturating_add(records.len() as u64);
    if !records.is_empty() && end > reply.head.0 {
        return Err(format!("records reach {end}, past the head {}", reply.head));
    }
    Ok(Batch {
        oldest: reply.oldest,
        head: reply.head,
        first: reply.first,
        records,
    })
}
