//! Authenticates messages with HMAC-SHA-256 over direction, destination, time, nonce and body.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use indexmap::IndexSet;

use crate::http::Request;
use crate::secret::FleetSecret;

/// Largest accepted difference, in ms, between the time in a message and the receiver's
/// clock; covers the difference of the clocks and the time in transit.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 10_000;

const TIME_HEADER: &str = "x-peer-time";
const NONCE_HEADER: &str = "x-peer-nonce";
const MAC_HEADER: &str = "x-peer-mac";

/// Header of a reply that holds the reply's own MAC.
pub(crate) const REPLY_MAC_HEADER: &str = MAC_HEADER;

/// Why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AuthError {
    /// A header is missing or malformed, or the body is no message.
    Malformed,
    /// The MAC does not match: another secret, destination, time, nonce or body.
    Forged,
    /// The time differs too much from the receiver's clock, or is before its start.
    Late,
    /// A message with the same nonce was received before.
    Replayed,
}

/// Time and nonce that identify one message; part of what its MAC covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MessageAuth {
    /// Wall clock of the sender, in ms since 1970.
    pub(crate) time_ms: u64,
    /// Random number; the MAC of the reply covers it too.
    pub(crate) nonce: u128,
}

impl MessageAuth {
    /// Creates one with the current time and a random nonce.
    pub(crate) fn new() -> Self {
        Self {
            time_ms: unix_ms(),
            nonce: fastrand::u128(..),
        }
    }

    /// Returns the headers that authenticate a message to `destination`.
    pub(crate) fn headers(
        &self,
        secret: &FleetSecret,
        destination: SocketAddr,
        body: &[u8],
    ) -> Vec<(String, String)> {
        let mac = secret.mac(&self.mac_input(&destination.to_string(), body).as_slices());
        vec![
            (TIME_HEADER.to_owned(), self.time_ms.to_string()),
            (NONCE_HEADER.to_owned(), format!("{:032x}", self.nonce)),
            (MAC_HEADER.to_owned(), hex(&mac)),
        ]
    }

    /// Verifies the MAC of a message received at `destination`; [`ReplayFilter`] checks its
    /// time.
    pub(crate) fn verify(
        secret: &FleetSecret,
        destination: SocketAddr,
        request: &Request,
    ) -> Result<Self, AuthError> {
        let field = |name| request.header(name).ok_or(AuthError::Malformed);
        let time_ms = field(TIME_HEADER)?
            .parse()
            .map_err(|_| AuthError::Malformed)?;
        let nonce =
            u128::from_str_radix(field(NONCE_HEADER)?, 16).map_err(|_| AuthError::Malformed)?;
        let mac = unhex(field(MAC_HEADER)?).ok_or(AuthError::Malformed)?;
        let auth = Self { time_ms, nonce };
        let destination = destination.to_string();
        let input = auth.mac_input(&destination, &request.body);
        if secret.verify(&input.as_slices(), &mac) {
            Ok(auth)
        } else {
            Err(AuthError::Forged)
        }
    }

    /// Computes the MAC of the reply to this message, in hex.
    pub(crate) fn reply_mac(&self, secret: &FleetSecret, body: &[u8]) -> String {
        hex(&secret.mac(&[b"reply", &self.nonce.to_be_bytes(), body]))
    }

    /// Verifies the MAC of the reply to this message.
    pub(crate) fn check_reply(&self, secret: &FleetSecret, body: &[u8], mac: &str) -> bool {
        unhex(mac)
            .is_some_and(|mac| secret.verify(&[b"reply", &self.nonce.to_be_bytes(), body], &mac))
    }

    fn mac_input<'a>(&self, destination: &'a str, body: &'a [u8]) -> MacInput<'a> {
        MacInput {
            destination,
            time: self.time_ms.to_be_bytes(),
            nonce: self.nonce.to_be_bytes(),
            body,
        }
    }
}

/// What the MAC of a message covers.
struct MacInput<'a> {
    destination: &'a str,
    time: [u8; 8],
    nonce: [u8; 16],
    body: &'a [u8],
}

impl MacInput<'_> {
    fn as_slices(&self) -> [&[u8]; 6] {
        [
            b"request",
            self.destination.as_bytes(),
            b"\0",
            &self.time,
            &self.nonce,
            self.body,
        ]
    }
}

/// Rejects repeated messages; remembers each nonce for as long as its message's time would
/// be accepted.
#[derive(Debug)]
pub(crate) struct ReplayFilter {
    /// Start of this process; earlier messages may have been handled by its previous run.
    started_ms: u64,
    seen: Mutex<SeenNonces>,
}

#[derive(Debug, Default)]
struct SeenNonces {
    /// Start of the current span, in ms since 1970.
    since_ms: u64,
    /// Nonces of the current span.
    current: IndexSet<u128>,
    /// Nonces of the span before.
    previous: IndexSet<u128>,
}

impl ReplayFilter {
    /// Creates an empty filter that rejects messages from before `started_ms`.
    pub(crate) fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            seen: Mutex::default(),
        }
    }

    /// Checks the time of a message received at `now_ms`, and that it is no repeat.
    pub(crate) fn check(&self, auth: MessageAuth, now_ms: u64) -> Result<(), AuthError> {
        let late = now_ms.abs_diff(auth.time_ms) > MAX_CLOCK_DIFFERENCE_MS;
        if late || auth.time_ms < self.started_ms {
            return Err(AuthError::Late);
        }
        let mut seen = self
            .seen
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        seen.rotate(now_ms);
        if seen.previous.contains(&auth.nonce) || !seen.current.insert(auth.nonce) {
            return Err(AuthError::Replayed);
        }
        Ok(())
    }
}

impl SeenNonces {
    /// Starts a new span when the current one is over. A nonce is kept for one to two spans,
    /// each as long as the whole range of accepted times.
    fn rotate(&mut self, now_ms: u64) {
        if now_ms.abs_diff(self.since_ms) > 2 * MAX_CLOCK_DIFFERENCE_MS {
            self.previous = std::mem::take(&mut self.current);
            self.since_ms = now_ms;
        }
    }
}

/// Wall clock in ms since 1970.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| {
            u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
        })
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok())
        .collect()
}
