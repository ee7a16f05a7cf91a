//! One call to a service of the platform.

use std::net::SocketAddr;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::{ClientLimits, Reply, Request, SendError, send};
use crate::id::DataCentre;

const DATA_CENTRE_HEADER: &str = "data-centre";

/// Where a service answers, and from where it is called.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    address: SocketAddr,
    data_centre: DataCentre,
    limits: ClientLimits,
}

impl Caller {
    /// A caller in `data_centre` of the service at `address`.
    pub(crate) fn new(address: SocketAddr, data_centre: &DataCentre) -> Self {
        Self {
            address,
            data_centre: data_centre.clone(),
            limits: ClientLimits::default(),
        }
    }

    /// The same caller with other bounds on each exchange.
    pub(crate) const fn with_limits(mut self, limits: ClientLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Sends a request and reads the whole answer.
    pub(crate) async fn send(&self, request: Request) -> Result<Reply, SendError> {
        self.send_within(request, self.limits.response_ms).await
    }

    /// Sends a request whose answer may be held back for `hold_ms`.
    pub(crate) async fn send_held(
        &self,
        request: Request,
        hold_ms: u64,
    ) -> Result<Reply, SendError> {
        let answer_ms = self.limits.response_ms.saturating_add(hold_ms);
        self.send_within(request, answer_ms).await
    }

    async fn send_within(&self, mut request: Request, answer_ms: u64) -> Result<Reply, SendError> {
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

/// Encodes the body of a request.
pub(crate) fn encode(body: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(body).unwrap_or_default()
}

/// Reads the body of an answer; the error names the call and the place.
pub(crate) fn decode<T: DeserializeOwned>(call: &str, reply: &Reply) -> Result<T, String> {
    serde_json::from_slice(&reply.body)
        .map_err(|e| format!("{call}: status {}, unreadable answer: {e}", reply.status))
}

/// What the service said about a refusal, shortened.
pub(crate) fn words(call: &str, reply: &Reply) -> String {
    const MAX_CHARS: usize = 200;
    let body = String::from_utf8_lossy(&reply.body);
    let body: String = body.trim().chars().take(MAX_CHARS).collect();
    format!("{call}: status {}: {body}", reply.status)
}

/// True when a name can stand in a path as it is.
pub(crate) fn is_plain(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '@' | ':');
    !name.is_empty() && name.chars().all(plain) && name != "." && name != ".."
}
