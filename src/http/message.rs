//! Whole requests and answers.

/// A whole HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method in capitals.
    pub method: String,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Header names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Request {
    /// A request without headers.
    #[must_use]
    pub fn new(method: &str, path: &str, body: Vec<u8>) -> Self {
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            headers: Vec::new(),
            body,
        }
    }

    /// First value of a header; `name` in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A whole HTTP answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Header names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Reply {
    /// First value of a header; `name` in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.as_str())
}
