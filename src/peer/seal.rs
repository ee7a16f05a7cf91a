//! Authenticates messages: HMAC-SHA-256 over direction, destination, time, nonce and body.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use indexmap::IndexSet;

use crate::http::Request;
use crate::secret::FleetSecret;

/// Difference of two processes' clocks, and time on the way, that is put up with.
const TIME_BOUND_MS: u64 = 10_000;

const TIME: &str = "x-peer-time";
const NONCE: &str = "x-peer-nonce";
const MAC: &str = "x-peer-mac";

/// Header of the answer with its own code.
pub(crate) const REPLY_MAC: &str = MAC;

/// Why a message is not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SealError {
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
pub(crate) struct Seal {
    /// Wall clock of the sender, in ms since 1970.
    pub(crate) time_ms: u64,
    /// Random; the answer is bound to it.
    pub(crate) nonce: u128,
}

impl Seal {
    /// A new mark at the current time.
    pub(crate) fn now() -> Self {
        Self {
            time_ms: wall_ms(),
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
        let mac = secret.mac(&self.parts(&destination.to_string(), body).as_slices());
        vec![
            (TIME.to_owned(), self.time_ms.to_string()),
            (NONCE.to_owned(), format!("{:032x}", self.nonce)),
            (MAC.to_owned(), hex(&mac)),
        ]
    }

    /// Checks a message that came to `destination`, apart from its time.
    pub(crate) fn open(
        secret: &FleetSecret,
        destination: SocketAddr,
        request: &Request,
    ) -> Result<Self, SealError> {
        let field = |name| request.header(name).ok_or(SealError::Malformed);
        let time_ms = field(TIME)?.parse().map_err(|_| SealError::Malformed)?;
        let nonce = u128::from_str_radix(field(NONCE)?, 16).map_err(|_| SealError::Malformed)?;
        let mac = unhex(field(MAC)?).ok_or(SealError::Malformed)?;
        let seal = Self { time_ms, nonce };
        let destination = destination.to_string();
        let parts = seal.parts(&destination, &request.body);
        if secret.verify(&parts.as_slices(), &mac) {
            Ok(seal)
        } else {
            Err(SealError::Forged)
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

    fn parts<'a>(&self, destination: &'a str, body: &'a [u8]) -> Parts<'a> {
        Parts {
            destination,
            time: self.time_ms.to_be_bytes(),
            nonce: self.nonce.to_be_bytes(),
            body,
        }
    }
}

struct Parts<'a> {
    destination: &'a str,
    time: [u8; 8],
    nonce: [u8; 16],
    body: &'a [u8],
}

impl Parts<'_> {
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
pub(crate) struct Replays {
    /// Messages from before this process began may have been handled by its forerunner.
    began_ms: u64,
    seen: Mutex<Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    since_ms: u64,
    now: IndexSet<u128>,
    before: IndexSet<u128>,
}

impl Replays {
    /// Remembers nothing, and believes nothing older than `began_ms`.
    pub(crate) fn new(began_ms: u64) -> Self {
        Self {
            began_ms,
            seen: Mutex::default(),
        }
    }

    /// Checks time and repeat of a message that came at `now_ms`.
    pub(crate) fn admit(&self, seal: Seal, now_ms: u64) -> Result<(), SealError> {
        let late = now_ms.abs_diff(seal.time_ms) > TIME_BOUND_MS;
        if late || seal.time_ms < self.began_ms {
            return Err(SealError::Late);
        }
        let mut seen = self
            .seen
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        seen.rotate(now_ms);
        if seen.before.contains(&seal.nonce) || !seen.now.insert(seal.nonce) {
            return Err(SealError::Replayed);
        }
        Ok(())
    }
}

impl Seen {
    /// A nonce stays for one to two spans, each as long as both sides of the bound.
    fn rotate(&mut self, now_ms: u64) {
        if now_ms.abs_diff(self.since_ms) > 2 * TIME_BOUND_MS {
            self.before = std::mem::take(&mut self.now);
            self.since_ms = now_ms;
        }
    }
}

/// Wall clock in ms since 1970.
pub(crate) fn wall_ms() -> u64 {
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
