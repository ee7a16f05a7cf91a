//! Problem details of RFC 9457, the body of every refusal.

use serde::Serialize;

use super::Reply;

/// What a caller may conclude from a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// Nothing has run the request and nothing will.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A refusal in the form of RFC 9457.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem<'a> {
    /// HTTP status.
    pub status: u16,
    /// Short name of the kind of problem, the same for every occurrence.
    pub title: &'a str,
    /// What happened this time.
    pub detail: &'a str,
    /// What the caller may conclude.
    pub outcome: Execution,
    /// Request id, when one was given out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<&'a str>,
}

impl Problem<'_> {
    /// The refusal as a whole answer.
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
