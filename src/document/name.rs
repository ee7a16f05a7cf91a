//! Rule for the names of sections, pools, queues, keys and all else.

use std::fmt;

use crate::jsonc::quote;

const MAX_NAME: usize = 63;

/// A text that can't be a name.
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

/// Gives the text back if it can be a name.
///
/// # Errors
/// Names are 1 to 63 lower-case letters, digits and `-`.
pub fn check_name(text: &str) -> Result<&str, InvalidName> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let good = (1..=MAX_NAME).contains(&text.len()) && text.bytes().all(allowed);
    good.then_some(text)
        .ok_or_else(|| InvalidName(text.to_owned()))
}
