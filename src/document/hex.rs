//! Conversion of 32 bytes to and from 64 lower-case hexadecimal digits.

use std::fmt;

const DIGITS: usize = 64;

/// Why a text is not 64 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HexError {
    /// The text has this number of characters instead of 64.
    Length(usize),
    /// The text has this character, which is not a lower-case hexadecimal digit.
    Digit(char),
}

impl fmt::Display for HexError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Length(n) => write!(f, "must have {DIGITS} hexadecimal digits, found {n}"),
            Self::Digit(c) => write!(
                f,
                "must have {DIGITS} lower-case hexadecimal digits, found {c:?}"
            ),
        }
    }
}

impl std::error::Error for HexError {}

/// Formats 32 bytes as 64 digits.
#[must_use]
pub fn encode(bytes: &[u8; 32]) -> String {
    bytes
        .iter()
        .flat_map(|byte| [byte >> 4, byte & 15])
        .filter_map(|digit| char::from_digit(u32::from(digit), 16))
        .collect()
}

/// Parses 64 digits into 32 bytes.
///
/// # Errors
/// Fails on a wrong length, or else on the first character that is not a digit.
pub fn decode(text: &str) -> Result<[u8; 32], HexError> {
    let count = text.chars().count();
    if count != DIGITS {
        return Err(HexError::Length(count));
    }
    let digits: Vec<u8> = text.chars().map(digit).collect::<Result<_, _>>()?;
    let mut bytes = [0; 32];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = pair[0] << 4 | pair[1];
    }
    Ok(bytes)
}

fn digit(c: char) -> Result<u8, HexError> {
    match c {
        '0'..='9' => Ok(c as u8 - b'0'),
        'a'..='f' => Ok(c as u8 - b'a' + 10),
        _ => Err(HexError::Digit(c)),
    }
}
