//! Callers' secrets; the document holds only their hashes.

use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::hex;

const PREFIX: &str = "amw_";

/// The operating system gave no randomness.
#[derive(Clone, Copy, Debug)]
pub struct RandomError(getrandom::Error);

impl fmt::Display for RandomError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no randomness: {}", self.0)
    }
}

impl std::error::Error for RandomError {}

/// Draws a new secret of 256 bits from the operating system.
///
/// # Errors
/// Fails when the operating system has no randomness to give.
pub fn new_secret() -> Result<[u8; 32], RandomError> {
    let mut secret = [0; 32];
    getrandom::fill(&mut secret).map_err(RandomError)?;
    Ok(secret)
}

/// Text form that a caller sends: `amw_` and 64 hexadecimal digits.
#[must_use]
pub fn format_secret(secret: &[u8; 32]) -> String {
    format!("{PREFIX}{}", hex::encode(secret))
}

/// Reads the text form of a secret; `None` when it is malformed.
#[must_use]
pub fn parse_secret(text: &str) -> Option<[u8; 32]> {
    hex::decode(text.strip_prefix(PREFIX)?).ok()
}

/// SHA-256 of a secret, as the document holds it.
#[must_use]
pub fn key_hash(secret: &[u8; 32]) -> [u8; 32] {
    Sha256::digest(secret).into()
}

/// Compares two hashes in constant time.
#[must_use]
pub fn hashes_equal(a: &[u8; 32], b: &[u8; 32]) -> bool {
    a.ct_eq(b).into()
}
