//! Reads from the admin addresses of the fleet's processes.

use std::fmt;
use std::net::SocketAddr;

use amaranthwick::http::{Limits, Request, SendError, send};

const LIMITS: Limits = Limits {
    connect_ms: 1_000,
    answer_ms: 5_000,
    max_body: 16 << 20,
};

/// Why no admin address gave a usable answer.
#[derive(Debug)]
pub(crate) enum AdminError {
    /// There is no such resource.
    Missing,
    /// The process was not reached or its answer was not understood.
    Failed(String),
}

impl fmt::Display for AdminError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing => f.write_str("not found"),
            Self::Failed(cause) => f.write_str(cause),
        }
    }
}

impl std::error::Error for AdminError {}

/// Reads a resource from one process.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Result<Vec<u8>, AdminError> {
    let request = Request::new("GET", path, Vec::new());
    let reply = send(address, &request, &LIMITS)
        .await
        .map_err(|e| failed(address, &e))?;
    match reply.status {
        200 => Ok(reply.body),
        404 => Err(AdminError::Missing),
        status => Err(AdminError::Failed(format!("{address}: status {status}"))),
    }
}

fn failed(address: SocketAddr, error: &SendError) -> AdminError {
    AdminError::Failed(format!("{address}: {error}"))
}
