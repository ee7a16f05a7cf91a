//! Client of the smoke test.

use std::net::SocketAddr;

use amaranthwick::document::format_secret;
use amaranthwick::http::{ClientLimits, Reply, Request, send};
use anyhow::{Result, bail};
use serde_json::Value;

/// Sends requests to one entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct Caller {
    entry: SocketAddr,
    secret: Option<[u8; 32]>,
}

impl Caller {
    /// Makes a caller that sends no key.
    pub(super) const fn without_key(entry: SocketAddr) -> Self {
        Self {
            entry,
            secret: None,
        }
    }

    /// Makes a caller that sends this secret.
    pub(super) const fn with_key(entry: SocketAddr, secret: [u8; 32]) -> Self {
        Self {
            entry,
            secret: Some(secret),
        }
    }

    /// Sends a request and reads the complete response, whatever its status.
    pub(super) async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Reply> {
        let mut request = Request::new(method, path, body.as_bytes().to_vec());
        if let Some(secret) = &self.secret {
            let bearer = format!("Bearer {}", format_secret(secret));
            request.headers.push(("authorization".to_owned(), bearer));
        }
        for (name, value) in headers {
            request
                .headers
                .push(((*name).to_owned(), (*value).to_owned()));
        }
        Ok(send(self.entry, &request, &ClientLimits::default()).await?)
    }
}

/// Fails unless the response has this status.
pub(super) fn expect_status(reply: &Reply, wanted: u16) -> Result<()> {
    if reply.status != wanted {
        let body = String::from_utf8_lossy(&reply.body);
        bail!("status {} instead of {wanted}: {body}", reply.status);
    }
    Ok(())
}

/// Fails unless the response has exactly this body.
pub(super) fn expect_body(reply: &Reply, wanted: &str) -> Result<()> {
    if reply.body != wanted.as_bytes() {
        let body = String::from_utf8_lossy(&reply.body);
        bail!("body {body:?} instead of {wanted:?}");
    }
    Ok(())
}

/// Fails unless the JSON body has the string `wanted` in `field`.
pub(super) fn expect_field(reply: &Reply, field: &str, wanted: &str) -> Result<()> {
    let body: Value = serde_json::from_slice(&reply.body)?;
    if body[field] != wanted {
        bail!("{field} is {} instead of {wanted:?}", body[field]);
    }
    Ok(())
}
