//! A value of the text and its decoding into plain types.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use indexmap::IndexMap;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use super::fault::Faults;
use super::field::Fields;
use super::hint::nearest;
use super::quote::{label, quote};
use super::unit;
use crate::document::{self, hex};

/// Name of the outermost value in messages.
const ROOT: &str = "the whole text";

const MAX_DIGITS: usize = 24;

/// A value with the name of its field.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Node<'a> {
    value: &'a Value<'a>,
    /// Absent for the outermost value.
    name: Option<&'a str>,
    faults: &'a Faults<'a>,
}

/// A field of an object.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry<'a> {
    /// Its name.
    pub(crate) key: &'a str,
    /// Byte offset of the name.
    pub(crate) offset: usize,
    /// Its value.
    pub(crate) node: Node<'a>,
}

impl<'a> Node<'a> {
    /// The outermost value of a text.
    pub(super) const fn root(value: &'a Value<'a>, faults: &'a Faults<'a>) -> Self {
        Self {
            value,
            name: None,
            faults,
        }
    }

    const fn child(self, value: &'a Value<'a>, name: &'a str) -> Self {
        Self {
            value,
            name: Some(name),
            faults: self.faults,
        }
    }

    /// Reports a fault of this value.
    pub(crate) fn fault(self, message: impl Into<String>) {
        self.faults.add(self.value.start(), message);
    }

    /// Byte offset of the value.
    pub(crate) fn offset(self) -> usize {
        self.value.start()
    }

    /// Length of the value's text in bytes.
    pub(crate) fn width(self) -> usize {
        self.value.width()
    }

    /// Fields in the order of the text; a repeated name is a fault.
    pub(crate) fn entries(self) -> Option<Vec<Entry<'a>>> {
        let Value::Object(object) = self.value else {
            return self.wrong("an object");
        };
        let mut entries: IndexMap<&str, Entry<'a>> = IndexMap::new();
        for property in &object.properties {
            let key = property.name.as_str();
            let offset = property.start();
            let node = self.child(&property.value, key);
            if let Some(first) = entries.get(key) {
                let place = self.faults.place(first.offset);
                let message = format!("duplicate key {}, first at {place}", label(key));
                self.faults.add(offset, message);
                continue;
            }
            entries.insert(key, Entry { key, offset, node });
        }
        Some(entries.into_values().collect())
    }

    /// The same object, if it has a field.
    pub(crate) fn not_empty(self) -> Option<Self> {
        let empty = self.entries()?.is_empty();
        if empty {
            self.fault(format!("{} must not be empty", self.label()));
        }
        (!empty).then_some(self)
    }

    /// An object with fixed fields; others are faults.
    pub(crate) fn fields(self, known: &[&str]) -> Option<Fields<'a>> {
        Some(Fields::new(self, self.entries()?, known))
    }

    /// An object whose keys are names; `None` when one entry can't be decoded.
    pub(crate) fn map<K, V>(self, decode: impl Fn(Node<'a>) -> Option<V>) -> Option<IndexMap<K, V>>
    where
        K: From<&'a str> + std::hash::Hash + Eq,
    {
        let entries = self.entries()?;
        let wanted = entries.len();
        let mut map = IndexMap::with_capacity(wanted);
        for entry in entries {
            let key = entry.name();
            let value = decode(entry.node);
            if let (Some(key), Some(value)) = (key, value) {
                map.insert(K::from(key), value);
            }
        }
        (map.len() == wanted).then_some(map)
    }

    /// A string.
    pub(crate) fn text(self) -> Option<&'a str> {
        match self.value {
            Value::StringLit(literal) => Some(literal.value.as_ref()),
            _ => self.wrong("a string"),
        }
    }

    /// `true` or `false`.
    pub(crate) fn flag(self) -> Option<bool> {
        match self.value {
            Value::BooleanLit(literal) => Some(literal.value),
            _ => self.wrong("true or false"),
        }
    }

    /// A whole number within bounds.
    pub(crate) fn number<T: TryFrom<u64>>(self, range: &RangeInclusive<u64>) -> Option<T> {
        let Value::NumberLit(literal) = self.value else {
            return self.not_a_number();
        };
        let digits = literal.value.strip_prefix('-').unwrap_or(literal.value);
        if !digits.bytes().all(|b| b.is_ascii_digit()) {
            return self.wrong(&unit::expected(self.key()));
        }
        let number = literal.value.parse().ok().filter(|n| range.contains(n));
        let converted = number.and_then(|n| T::try_from(n).ok());
        if converted.is_none() {
            let (low, high) = (range.start(), range.end());
            let (name, found) = (self.label(), found(self.value));
            let unit = unit::unit(self.key()).map_or_else(String::new, |unit| format!(" {unit}"));
            self.fault(format!(
                "{name} must be {low} to {high}{unit}, found {found}"
            ));
        }
        converted
    }

    /// One of several words.
    pub(crate) fn choice<T: Copy>(self, choices: &[(&str, T)]) -> Option<T> {
        let text = self.text()?;
        let found = choices.iter().find(|(word, _)| *word == text);
        if found.is_none() {
            let words: Vec<String> = choices.iter().map(|(w, _)| format!("\"{w}\"")).collect();
            let (name, words, found) = (self.label(), words.join(", "), quote(text));
            self.fault(format!("{name} must be one of {words}, found {found}"));
        }
        found.map(|(_, value)| *value)
    }

    /// The name of something.
    pub(crate) fn name(self) -> Option<&'a str> {
        let text = self.text()?;
        check_name(text, self.offset(), self.faults)
    }

    /// 32 bytes as 64 hexadecimal digits.
    pub(crate) fn bytes(self) -> Option<[u8; 32]> {
        let text = self.text()?;
        let decoded = hex::decode(text);
        if let Err(e) = &decoded {
            self.fault(format!("{} {e}", self.label()));
        }
        decoded.ok()
    }

    /// 32 secret bytes; a finding never shows them.
    pub(crate) fn secret(self) -> Option<[u8; 32]> {
        let decoded = match self.value {
            Value::StringLit(literal) => hex::decode(literal.value.as_ref()).ok(),
            _ => None,
        };
        if decoded.is_none() {
            let name = self.label();
            self.fault(format!(
                "{name} must be a string of 64 lower-case hexadecimal digits"
            ));
        }
        decoded
    }

    /// An IP address with a port.
    pub(crate) fn address(self) -> Option<SocketAddr> {
        let text = self.text()?;
        let address = text.parse().ok();
        if address.is_none() {
            let (name, found) = (self.label(), quote(text));
            self.fault(format!(
                "{name} must be an IP address and port such as 127.0.0.1:7100, found {found}"
            ));
        }
        address
    }

    fn not_a_number<T>(self) -> Option<T> {
        let expected = unit::expected(self.key());
        let (Value::StringLit(literal), Some(_)) = (self.value, unit::unit(self.key())) else {
            return self.wrong(&expected);
        };
        let (name, found) = (self.label(), quote(&literal.value));
        self.fault(format!(
            "wrong unit: {name} holds {expected}, found {found}"
        ));
        None
    }

    fn key(self) -> &'a str {
        self.name.unwrap_or_default()
    }

    fn label(self) -> String {
        self.name.map_or_else(|| ROOT.to_owned(), label)
    }

    fn wrong<T>(self, expected: &str) -> Option<T> {
        let (name, found) = (self.label(), found(self.value));
        self.fault(format!("{name} must be {expected}, found {found}"));
        None
    }
}

impl<'a> Entry<'a> {
    /// The key, if it is a good name.
    pub(crate) fn name(&self) -> Option<&'a str> {
        check_name(self.key, self.offset, self.node.faults)
    }

    /// Reports a fault of the key.
    pub(crate) fn fault(&self, message: impl Into<String>) {
        self.node.faults.add(self.offset, message);
    }
}

/// Reports an unknown word together with the nearest known one.
pub(super) fn with_hint<'k>(
    message: String,
    word: &str,
    known: impl IntoIterator<Item = &'k str>,
) -> String {
    match nearest(word, known) {
        Some(near) => format!("{message}; did you mean `{near}`?"),
        None => message,
    }
}

fn check_name<'a>(text: &'a str, offset: usize, faults: &Faults<'_>) -> Option<&'a str> {
    let checked = document::check_name(text);
    if let Err(e) = &checked {
        faults.add(offset, e.to_string());
    }
    checked.ok()
}

fn found(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(literal) => quote(&literal.value),
        Value::NumberLit(literal) => number(literal.value),
        Value::BooleanLit(literal) => literal.value.to_string(),
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "an array".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    }
}

fn number(digits: &str) -> String {
    if digits.len() > MAX_DIGITS {
        return format!("a number of {} characters", digits.len());
    }
    digits.to_owned()
}
