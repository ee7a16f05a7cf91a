//! Authenticates messages: HMAC-SHA-256 over direction, destination, time, nonce and body.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use indexmap::IndexSet;

use crate::http::Request;
use crate::secret::FleetSecret;

/// Difference of two processes' clocks, and time on the way, that is put up with.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 10_000;

const TIME_HEADER: &str = "x-peer-time";
const NONCE_HEADER: &str = "x-peer-nonce";
const MAC_HEADER: &str = "x-peer-mac";

/// Header of the answer with its own code.
pub(crate) const REPLY_MAC_HEADER: &str = MAC_HEADER;

/// Why a message is not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AuthError {
    /// A header is missing or can't be read.
    Malformed,
    /// The code does not fit: another secret, destination or body.
    Forged,
    /// The time is out of bounds.
    Late,
    /// The same message came before.
    Replayed,
}

/// What marks one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MessageAuth {
    /// Wall clock of the sender, in ms since 1970.
    pub(crate) time_ms: u64,
    /// Random; the answer is bound to it.
    pub(crate) nonce: u128,
}

impl MessageAuth {
    /// A new mark at the current time.
    pub(crate) fn new() -> Self {
        Self {
            time_ms: unix_ms(),
            nonce: fastrand::u128(..),
        }
    }

    /// Headers of a message to `destination`.
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

    /// Checks a message that came to `destination`, apart from its time.
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

    /// Code of the answer to this message.
    pub(crate) fn reply_mac(&self, secret: &FleetSecret, body: &[u8]) -> String {
        hex(&secret.mac(&[b"reply", &self.nonce.to_be_bytes(), body]))
    }

    /// Checks the code of the answer to this message.
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

/// Remembers messages for as long as their time is in bounds.
#[derive(Debug)]
pub(crate) struct ReplayFilter {
    /// Messages from before this process began may have been handled by its forerunner.
    started_ms: u64,
    seen: Mutex<SeenNonces>,
}

#[derive(Debug, Default)]
struct SeenNonces {
    since_ms: u64,
    current: IndexSet<u128>,
    previous: IndexSet<u128>,
}

impl ReplayFilter {
    /// Remembers nothing, and believes nothing older than `started_ms`.
    pub(crate) fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            seen: Mutex::default(),
        }
    }

    /// Checks time and repeat of a message that came at `now_ms`.
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
    /// A nonce stays for one to two spans, each as long as both sides of the bound.
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
