//! HTTP requests of a test to an entry's caller address or a process's admin address.

use std::net::SocketAddr;

use amaranthwick::document::{example, format_secret};
use amaranthwick::http::{ClientLimits, Reply, Request, send};
use futures_lite::future::block_on;
use serde_json::Value;

/// Builds a request with the example document's key of `team`.
pub fn team_request(method: &str, path: &str, team: &str, body: &str) -> Request {
    request_with_secret(method, path, &example::caller_secret(team), body)
}

/// Builds a request with `secret` as its bearer key.
pub fn request_with_secret(method: &str, path: &str, secret: &[u8; 32], body: &str) -> Request {
    let mut request = request_without_key(method, path, body);
    let bearer = format!("Bearer {}", format_secret(secret));
    request.headers.push(("authorization".to_owned(), bearer));
    request
}

/// Builds a request without a key.
pub fn request_without_key(method: &str, path: &str, body: &str) -> Request {
    Request::new(method, path, body.as_bytes().to_vec())
}

/// Adds a header to `request`.
pub fn with_header(mut request: Request, name: &str, value: &str) -> Request {
    request.headers.push((name.to_owned(), value.to_owned()));
    request
}

/// Sends `request` and returns the reply, whatever its status; panics if no complete reply arrives.
pub fn send_request(address: SocketAddr, request: &Request) -> Reply {
    block_on(send(address, request, &ClientLimits::default()))
        .unwrap_or_else(|e| panic!("{} {}: {e}", request.method, request.path))
}

/// Fetches `/state` from a process's admin address.
pub fn fetch_state(admin: SocketAddr) -> Value {
    body_json(&send_request(
        admin,
        &request_without_key("GET", "/state", ""),
    ))
}

/// Parses the body of a reply as JSON; null if it is not JSON.
pub fn body_json(reply: &Reply) -> Value {
    serde_json::from_slice(&reply.body).unwrap_or(Value::Null)
}

/// Returns the body of a reply as text, with invalid UTF-8 replaced.
pub fn body_text(reply: &Reply) -> String {
    String::from_utf8_lossy(&reply.body).into_owned()
}
