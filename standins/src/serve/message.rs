//! HTTP requests and responses.

use std::str::FromStr;

use async_h1::server::Encoder;
use futures_lite::AsyncReadExt;
use http_types::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

/// A complete request.
#[derive(Debug)]
pub(crate) struct Call {
    head: Request,
    body: Vec<u8>,
}

impl Call {
    /// Creates a request from its head and its body.
    pub(crate) const fn new(head: Request, body: Vec<u8>) -> Self {
        Self { head, body }
    }

    /// Method of the request.
    pub(crate) fn method(&self) -> Method {
        self.head.method()
    }

    /// Segments of the path; empty ones are left out.
    pub(crate) fn path_segments(&self) -> Vec<&str> {
        let path = self.head.url().path();
        path.split('/')
            .filter(|segment| !segment.is_empty())
            .collect()
    }

    /// First value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values[0].as_str())
    }

    /// First value of a header as a number; `None` if it is absent or not a number.
    pub(crate) fn header_number<T: FromStr>(&self, name: &str) -> Option<T> {
        self.header(name)?.trim().parse().ok()
    }

    /// First value of a query parameter.
    pub(crate) fn query(&self, name: &str) -> Option<String> {
        let mut pairs = self.head.url().query_pairs();
        let (_, value) = pairs.find(|(key, _)| key == name)?;
        Some(value.into_owned())
    }

    /// Query parameter as a number, or `default` if it is absent; a 400 response if it is not a
    /// number.
    pub(crate) fn query_number(&self, name: &str, default: u64) -> Result<u64, Reply> {
        match self.query(name) {
            None => Ok(default),
            Some(text) => text
                .parse()
                .map_err(|_| Reply::error(400, &format!("query {name} is not a number"))),
        }
    }

    /// Decodes the body as JSON; a 400 response if that fails.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|e| Reply::error(400, &e.to_string()))
    }

    /// True if the client asks to close the connection after the response.
    pub(crate) fn closes_after(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// The request body.
    pub(crate) fn body(&self) -> &[u8] {
        &self.body
    }
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct Reply {
    response: Box<Response>,
}

impl Reply {
    /// Creates a response without a body; an unknown `status` becomes 500.
    pub(crate) fn empty(status: u16) -> Self {
        let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
        Self {
            response: Box::new(Response::new(status)),
        }
    }

    /// Creates a response with `body`.
    pub(crate) fn bytes(status: u16, body: Vec<u8>) -> Self {
        let mut reply = Self::empty(status);
        reply.response.set_body(body);
        reply
    }

    /// Creates a response with a JSON body.
    pub(crate) fn json(status: u16, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Self::bytes(status, body).with_header("Content-Type", "application/json")
    }

    /// Creates an error response with `message` in a JSON body.
    pub(crate) fn error(status: u16, message: &str) -> Self {
        Self::json(status, &json!({ "error": message }))
    }

    /// Creates the 503 response of a service that is unavailable.
    pub(crate) fn unavailable() -> Self {
        Self::error(503, "unavailable").with_header("Retry-After", "1")
    }

    /// Sets a header, replacing any previous value.
    pub(crate) fn with_header(mut self, name: &str, value: &str) -> Self {
        self.response.insert_header(name, value);
        self
    }

    /// Encodes the response to a request with `method`.
    pub(crate) async fn encode(self, method: Method) -> std::io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        let mut encoder = Encoder::new(*self.response, method);
        encoder.read_to_end(&mut bytes).await?;
        Ok(bytes)
    }
}
