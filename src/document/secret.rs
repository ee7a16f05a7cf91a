//! Callers' secrets; the document holds only their hashes.

use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::hex;

const PREFIX: &str = "amw_";

/// The operating system's random number generator failed.
#[derive(Clone, Copy, Debug)]
pub struct RandomError(getrandom::Error);

impl fmt::Display for RandomError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "random number generator failed: {}", self.0)
    }
}

impl std::error::Error for RandomError {}

/// Generates a secret of 256 random bits.
///
/// # Errors
/// Fails when the operating system's random number generator does.
pub fn new_secret() -> Result<[u8; 32], RandomError> {
    let mut secret = [0; 32];
    getrandom::fill(&mut secret).map_err(RandomError)?;
    Ok(secret)
}

/// Formats a secret as callers send it: `amw_` and 64 lower-case hexadecimal digits.
#[must_use]
pub fn format_secret(secret: &[u8; 32]) -> String {
    format!("{PREFIX}{}", hex::encode(secret))
}

/// Parses a secret in the form of [`format_secret`]; `None` when it is malformed.
#[must_use]
pub fn parse_secret(text: &str) -> Option<[u8; 32]> {
    hex::decode(text.strip_prefix(PREFIX)?).ok()
}

/// Computes the SHA-256 hash of a secret, which the document has in its place.
#[must_use]
pub fn key_hash(secret: &[u8; 32]) -> [u8; 32] {
    Sha256::digest(secret).into()
}

/// Compares two hashes in constant time, so that the time tells nothing about them.
#[must_use]
pub fn hashes_equal(a: &[u8; 32], b: &[u8; 32]) -> bool {
    a.ct_eq(b).into()
}
