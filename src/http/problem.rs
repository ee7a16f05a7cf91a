//! Problem details (RFC 9457), the body of every refusal.

use serde::Serialize;

use super::Reply;

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// The request has not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A refusal as a problem details object (RFC 9457).
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem<'a> {
    /// HTTP status.
    pub status: u16,
    /// Short summary of the problem type, the same for every occurrence.
    pub title: &'a str,
    /// Explanation of this occurrence.
    pub detail: &'a str,
    /// Whether the request may have run.
    pub outcome: Execution,
    /// Request id; `None` if none has been assigned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<&'a str>,
}

impl Problem<'_> {
    /// Encodes the refusal as a complete response.
    #[must_use]
    pub fn reply(&self) -> Reply {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut headers = vec![header("content-type", "application/problem+json")];
        if let Some(id) = self.request {
            headers.push(header("x-request-id", id));
        }
        Reply {
            status: self.status,
            headers,
            body,
        }
    }
}

fn header(name: &str, value: &str) -> (String, String) {
    (name.to_owned(), value.to_owned())
}
