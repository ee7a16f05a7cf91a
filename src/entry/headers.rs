//! Reads callers' request headers and selects the headers that are forwarded.

use crate::document::parse_secret;
use crate::http::Request;

/// Urgency of a request without a valid `Priority` header, RFC 9218.
const DEFAULT_URGENCY: u8 = 3;

/// Longest wait that a caller may ask for, in seconds; longer ones are cut to it.
const MAX_WAIT_S: u64 = 3_600;

/// Longest `Idempotency-Key`, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Headers that are not forwarded: those of one connection, RFC 9110 section 7.6.1, those
/// for proxies, and those that the system itself reads or sets.
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

/// Content of the `Authorization` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Credential {
    /// The header is absent.
    None,
    /// Another scheme than `Bearer`, or a token that is no well-formed secret.
    Malformed,
    /// A well-formed secret of a key, not yet checked.
    Secret([u8; 32]),
}

/// Reads the key from `Authorization: Bearer SECRET`.
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

/// Urgency from `Priority: u=N`, 0 (most urgent) to 7. As RFC 9218 asks, a malformed value
/// counts as absent.
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

/// Longest wait for a target in ms, from `Prefer: wait=SECONDS`. As RFC 7240 asks, a
/// malformed value counts as absent.
pub(crate) fn wait_ms(request: &Request) -> Option<u64> {
    let value = request.header("prefer")?;
    let seconds: u64 = value
        .split([',', ';'])
        .find_map(|part| part.trim().strip_prefix("wait="))?
        .parse()
        .ok()?;
    Some(seconds.min(MAX_WAIT_S) * 1_000)
}

/// The idempotency key, without quotes; `None` if the header is absent.
///
/// # Errors
/// Says why the key is invalid, in a text for the caller.
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

/// Removes hop-by-hop headers, those that `Connection` names and those that the system
/// sets.
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
