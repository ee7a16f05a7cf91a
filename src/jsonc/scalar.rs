//! Decodes strings, numbers and booleans. Each decoder reports a fault and returns `None` if the
//! value does not fit.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use jsonc_parser::ast::Value;

use super::node::{Node, check_name};
use super::quote::quote;
use super::unit;
use crate::document::hex;

/// Longest number that messages show, in characters.
const MAX_DIGITS: usize = 24;

impl<'a> Node<'a> {
    /// A string.
    pub(crate) fn text(self) -> Option<&'a str> {
        match self.value {
            Value::StringLit(literal) => Some(literal.value.as_ref()),
            _ => self.report_mismatch("a string"),
        }
    }

    /// `true` or `false`.
    pub(crate) fn boolean(self) -> Option<bool> {
        match self.value {
            Value::BooleanLit(literal) => Some(literal.value),
            _ => self.report_mismatch("true or false"),
        }
    }

    /// A whole number within `range`.
    pub(crate) fn number<T: TryFrom<u64>>(self, range: &RangeInclusive<u64>) -> Option<T> {
        let Value::NumberLit(literal) = self.value else {
            return self.report_not_a_number();
        };
        let digits = literal.value.strip_prefix('-').unwrap_or(literal.value);
        if !digits.bytes().all(|b| b.is_ascii_digit()) {
            return self.report_mismatch(&unit::describe_expected(self.key()));
        }
        let number = literal.value.parse().ok().filter(|n| range.contains(n));
        let converted = number.and_then(|n| T::try_from(n).ok());
        if converted.is_none() {
            let (low, high) = (range.start(), range.end());
            let (name, found) = (self.quoted_name(), describe(self.value));
            let unit =
                unit::unit_of(self.key()).map_or_else(String::new, |unit| format!(" {unit}"));
            self.report(format!(
                "{name} must be {low} to {high}{unit}, found {found}"
            ));
        }
        converted
    }

    /// A string that is one of the words in `choices`; returns the value of that word.
    pub(crate) fn choice<T: Copy>(self, choices: &[(&str, T)]) -> Option<T> {
        let text = self.text()?;
        let found = choices.iter().find(|(word, _)| *word == text);
        if found.is_none() {
            let words: Vec<String> = choices.iter().map(|(w, _)| format!("\"{w}\"")).collect();
            let (name, words, found) = (self.quoted_name(), words.join(", "), quote(text));
            self.report(format!("{name} must be one of {words}, found {found}"));
        }
        found.map(|(_, value)| *value)
    }

    /// A string that is a valid name.
    pub(crate) fn name(self) -> Option<&'a str> {
        let text = self.text()?;
        check_name(text, self.offset(), self.faults)
    }

    /// 32 bytes, written as a string of 64 lower-case hexadecimal digits.
    pub(crate) fn bytes(self) -> Option<[u8; 32]> {
        let text = self.text()?;
        let decoded = hex::decode(text);
        if let Err(e) = &decoded {
            self.report(format!("{} {e}", self.quoted_name()));
        }
        decoded.ok()
    }

    /// 32 secret bytes, written as 64 lower-case hexadecimal digits; a finding never shows them.
    pub(crate) fn secret(self) -> Option<[u8; 32]> {
        let decoded = match self.value {
            Value::StringLit(literal) => hex::decode(literal.value.as_ref()).ok(),
            _ => None,
        };
        if decoded.is_none() {
            let name = self.quoted_name();
            self.report(format!(
                "{name} must be a string of 64 lower-case hexadecimal digits"
            ));
        }
        decoded
    }

    /// A string with an IP address and port.
    pub(crate) fn address(self) -> Option<SocketAddr> {
        let text = self.text()?;
        let address = text.parse().ok();
        if address.is_none() {
            let (name, found) = (self.quoted_name(), quote(text));
            self.report(format!(
                "{name} must be an IP address and port such as 127.0.0.1:7100, found {found}"
            ));
        }
        address
    }

    /// Reports that a value is not a number; a string in a field with a unit is reported as a wrong
    /// unit.
    fn report_not_a_number<T>(self) -> Option<T> {
        let expected = unit::describe_expected(self.key());
        let (Value::StringLit(literal), Some(_)) = (self.value, unit::unit_of(self.key())) else {
            return self.report_mismatch(&expected);
        };
        let (name, found) = (self.quoted_name(), quote(&literal.value));
        self.report(format!(
            "wrong unit: {name} holds {expected}, found {found}"
        ));
        None
    }
}

/// Describes a value in messages: its text if it is short, or its type.
pub(super) fn describe(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(literal) => quote(&literal.value),
        Value::NumberLit(literal) => describe_number(literal.value),
        Value::BooleanLit(literal) => literal.value.to_string(),
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "an array".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    }
}

fn describe_number(literal: &str) -> String {
    if literal.len() > MAX_DIGITS {
        return format!("a number of {} characters", literal.len());
    }
    literal.to_owned()
}
