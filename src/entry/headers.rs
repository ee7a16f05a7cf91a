//! What callers' headers say, and which headers go on to a target.

use crate::document::parse_secret;
use crate::http::Request;

/// Urgency of a request that states none, RFC 9218.
const DEFAULT_URGENCY: u8 = 3;

/// Longest wait that a caller may ask for, in seconds.
const MAX_WAIT_S: u64 = 3_600;

/// Longest `Idempotency-Key`, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Headers of one connection, RFC 9110 section 7.6.1, and those that the system sets.
const NOT_FORWARDED: [&str; 18] = [
    "authorization",
    "busy",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "proxy-status",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-peer-mac",
    "x-request-id",
    "x-team",
];

/// What came as `Authorization`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Credential {
    /// No such header.
    None,
    /// Something that can't be a key.
    Malformed,
    /// The secret of a key.
    Secret([u8; 32]),
}

/// The key that came with a request.
pub(crate) fn credential(request: &Request) -> Credential {
    let Some(value) = request.header("authorization") else {
        return Credential::None;
    };
    let token = value
        .split_once(' ')
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, token)| token.trim());
    token
        .and_then(parse_secret)
        .map_or(Credential::Malformed, Credential::Secret)
}

/// Urgency from `Priority: u=N`; what can't be read is as if absent, RFC 9218.
pub(crate) fn urgency(request: &Request) -> u8 {
    let value = request.header("priority").unwrap_or_default();
    let stated = value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("u="))
        .next_back()
        .and_then(|digits| digits.parse().ok())
        .filter(|urgency| *urgency <= 7);
    stated.unwrap_or(DEFAULT_URGENCY)
}

/// Wait in ms from `Prefer: wait=SECONDS`; what can't be read is as if absent, RFC 7240.
pub(crate) fn wait_ms(request: &Request) -> Option<u64> {
    let value = request.header("prefer")?;
    let seconds: u64 = value
        .split([',', ';'])
        .find_map(|part| part.trim().strip_prefix("wait="))?
        .parse()
        .ok()?;
    Some(seconds.min(MAX_WAIT_S) * 1_000)
}

/// The idempotency key; an error when it can't serve as one.
pub(crate) fn idempotency_key(request: &Request) -> Result<Option<String>, &'static str> {
    let Some(value) = request.header("idempotency-key") else {
        return Ok(None);
    };
    let key = value.trim().trim_matches('"');
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err("Idempotency-Key must have 1 to 255 characters");
    }
    Ok(Some(key.to_owned()))
}

/// Headers that go on to the next one on the way.
pub(crate) fn end_to_end_headers(headers: Vec<(String, String)>) -> Vec<(String, String)> {
    let connection_options: Vec<String> = headers
        .iter()
        .filter(|(name, _)| name == "connection")
        .flat_map(|(_, value)| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .into_iter()
        .filter(|(name, _)| !NOT_FORWARDED.contains(&name.as_str()))
        .filter(|(name, _)| !connection_options.contains(name))
        .collect()
}
