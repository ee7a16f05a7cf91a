//! 32 bytes as lower-case hexadecimal digits.

use std::fmt;

const DIGITS: usize = 64;

/// Why a text is not 32 bytes in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HexError {
    /// Number of characters found instead of 64.
    Length(usize),
    /// A character that is not a lower-case hexadecimal digit.
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

/// Writes 32 bytes as 64 digits.
#[must_use]
pub fn encode(bytes: &[u8; 32]) -> String {
    bytes
        .iter()
        .flat_map(|byte| [byte >> 4, byte & 15])
        .filter_map(|digit| char::from_digit(u32::from(digit), 16))
        .collect()
}

/// Reads 32 bytes from 64 digits.
///
/// # Errors
/// Names the first thing that is wrong.
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
