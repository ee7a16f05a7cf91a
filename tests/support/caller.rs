//! Callers of the entry and readers of admin addresses.

use std::net::SocketAddr;

use amaranthwick::document::{example, format_secret};
use amaranthwick::http::{ClientLimits, Reply, Request, send};
use futures_lite::future::block_on;
use serde_json::Value;

/// A request with the example key of `team`.
pub fn keyed(method: &str, path: &str, team: &str, body: &str) -> Request {
    with_secret(method, path, &example::caller_secret(team), body)
}

/// A request with any secret.
pub fn with_secret(method: &str, path: &str, secret: &[u8; 32], body: &str) -> Request {
    let mut request = open(method, path, body);
    let bearer = format!("Bearer {}", format_secret(secret));
    request.headers.push(("authorization".to_owned(), bearer));
    request
}

/// A request without a key.
pub fn open(method: &str, path: &str, body: &str) -> Request {
    Request::new(method, path, body.as_bytes().to_vec())
}

/// The same request with one more header.
pub fn with(mut request: Request, name: &str, value: &str) -> Request {
    request.headers.push((name.to_owned(), value.to_owned()));
    request
}

/// Sends a request and expects a whole answer, whatever its status.
pub fn ask(address: SocketAddr, request: &Request) -> Reply {
    block_on(send(address, request, &ClientLimits::default()))
        .unwrap_or_else(|e| panic!("{} {}: {e}", request.method, request.path))
}

/// State dump of a process.
pub fn state(admin: SocketAddr) -> Value {
    json(&ask(admin, &open("GET", "/state", "")))
}

/// Body of an answer as JSON.
pub fn json(reply: &Reply) -> Value {
    serde_json::from_slice(&reply.body).unwrap_or(Value::Null)
}

/// Body of an answer as text.
pub fn text(reply: &Reply) -> String {
    String::from_utf8_lossy(&reply.body).into_owned()
}
