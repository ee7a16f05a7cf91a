//! Check of names; one rule holds for sections, pools, queues, keys and everything else.

use std::fmt;

use crate::jsonc::quote;

const MAX_NAME: usize = 63;

/// A text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidName(String);

impl fmt::Display for InvalidName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = quote(&self.0);
        write!(
            f,
            "bad name {name}: 1 to {MAX_NAME} lower-case letters, digits and `-` are allowed"
        )
    }
}

impl std::error::Error for InvalidName {}

/// Returns `text` if it is a valid name: 1 to 63 lower-case ASCII letters, digits and `-`.
///
/// # Errors
/// Fails when it is not.
pub fn check_name(text: &str) -> Result<&str, InvalidName> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let good = (1..=MAX_NAME).contains(&text.len()) && text.bytes().all(allowed);
    good.then_some(text)
        .ok_or_else(|| InvalidName(text.to_owned()))
}
