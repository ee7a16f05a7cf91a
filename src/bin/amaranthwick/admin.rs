//! Client for the admin addresses of the fleet's processes.

use std::fmt;
use std::net::SocketAddr;

use amaranthwick::http::{ClientLimits, Request, SendError, send};
use serde::de::DeserializeOwned;

const LIMITS: ClientLimits = ClientLimits {
    connect_ms: 1_000,
    response_ms: 5_000,
    body_ms: 0,
    max_body: 16 << 20,
};

/// Why a resource could not be read.
#[derive(Debug)]
pub(crate) enum AdminError {
    /// A process answered that it has no such resource.
    NotFound,
    /// The process could not be reached or sent an unexpected response.
    Failed(String),
}

impl fmt::Display for AdminError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound => f.write_str("not found"),
            Self::Failed(cause) => f.write_str(cause),
        }
    }
}

impl std::error::Error for AdminError {}

/// Reads a resource from one process and returns the body.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Result<Vec<u8>, AdminError> {
    let request = Request::new("GET", path, Vec::new());
    let reply = send(address, &request, &LIMITS)
        .await
        .map_err(|e| failed(address, &e))?;
    match reply.status {
        200 => Ok(reply.body),
        404 => Err(AdminError::NotFound),
        status => Err(AdminError::Failed(format!("{address}: status {status}"))),
    }
}

/// Reads a JSON resource from the first process that has it.
pub(crate) async fn get_any<T: DeserializeOwned>(
    addresses: &[SocketAddr],
    path: &str,
) -> Result<T, AdminError> {
    let mut last = AdminError::Failed("no admin address is configured".to_owned());
    for &address in addresses {
        match get(address, path).await {
            Ok(body) => return parse(address, &body),
            Err(AdminError::NotFound) => last = AdminError::NotFound,
            Err(error) if !matches!(last, AdminError::NotFound) => last = error,
            Err(_) => {}
        }
    }
    Err(last)
}

fn parse<T: DeserializeOwned>(address: SocketAddr, body: &[u8]) -> Result<T, AdminError> {
    serde_json::from_slice(body).map_err(|e| AdminError::Failed(format!("{address}: {e}")))
}

fn failed(address: SocketAddr, error: &SendError) -> AdminError {
    AdminError::Failed(format!("{address}: {error}"))
}
