//! HTTP calls to the services of the platform.

use std::net::SocketAddr;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::{ClientLimits, Reply, Request, SendError, send};
use crate::id::DataCentre;

const DATA_CENTRE_HEADER: &str = "data-centre";

/// HTTP client of one platform service; names the data centre of the calling process in
/// each request.
#[derive(Clone, Debug)]
pub(crate) struct ServiceClient {
    address: SocketAddr,
    data_centre: DataCentre,
    limits: ClientLimits,
}

impl ServiceClient {
    /// Creates a client, in `data_centre`, of the service at `address`.
    pub(crate) fn new(address: SocketAddr, data_centre: &DataCentre) -> Self {
        Self {
            address,
            data_centre: data_centre.clone(),
            limits: ClientLimits::default(),
        }
    }

    /// Replaces the limits on each exchange.
    pub(crate) const fn with_limits(mut self, limits: ClientLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Sends a request and reads the whole reply.
    pub(crate) async fn send(&self, request: Request) -> Result<Reply, SendError> {
        self.send_with_timeout(request, self.limits.response_ms)
            .await
    }

    /// Sends a long poll, whose reply the service may hold back for `wait_ms`.
    pub(crate) async fn send_long_poll(
        &self,
        request: Request,
        wait_ms: u64,
    ) -> Result<Reply, SendError> {
        let answer_ms = self.limits.response_ms.saturating_add(wait_ms);
        self.send_with_timeout(request, answer_ms).await
    }

    async fn send_with_timeout(
        &self,
        mut request: Request,
        answer_ms: u64,
    ) -> Result<Reply, SendError> {
        let header = (
            DATA_CENTRE_HEADER.to_owned(),
            self.data_centre.as_str().to_owned(),
        );
        request.headers.push(header);
        let limits = ClientLimits {
            response_ms: answer_ms,
            body_ms: 0,
            ..self.limits
        };
        send(self.address, &request, &limits).await
    }
}

/// Encodes the body of a request as JSON.
pub(crate) fn encode(body: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(body).unwrap_or_default()
}

/// Decodes the JSON body of a reply; the error names the call, the status and the position
/// in the body.
pub(crate) fn decode<T: DeserializeOwned>(call: &str, reply: &Reply) -> Result<T, String> {
    serde_json::from_slice(&reply.body)
        .map_err(|e| format!("{call}: status {}, unreadable answer: {e}", reply.status))
}

/// Error text for a failed call: its status and the start of the reply's body, at most 200
/// characters.
pub(crate) fn describe_failure(call: &str, reply: &Reply) -> String {
    const MAX_CHARS: usize = 200;
    let body = String::from_utf8_lossy(&reply.body);
    let body: String = body.trim().chars().take(MAX_CHARS).collect();
    format!("{call}: status {}: {body}", reply.status)
}

/// True if a name needs no escaping as a segment of a URL path.
pub(crate) fn is_path_safe(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '@' | ':');
    !name.is_empty() && name.chars().all(plain) && name != "." && name != ".."
}
