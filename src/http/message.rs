//! Complete HTTP requests and responses.

/// A complete HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method in upper case.
    pub method: String,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Headers as name and value, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Decoded body; empty if there is none.
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

    /// First value of the header `name`, which must be in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A complete HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Headers as name and value, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Decoded body; empty if there is none.
    pub body: Vec<u8>,
}

impl Reply {
    /// First value of the header `name`, which must be in lower case.
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
