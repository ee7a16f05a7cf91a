//! Values of a parsed text, and the entries of objects.

use indexmap::IndexMap;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use super::fault::Faults;
use super::field::Fields;
use super::quote::quote_name;
use super::scalar::describe;
use crate::document;

/// Name of the root value in messages.
const ROOT: &str = "the whole text";

/// A parsed value with the name of its field; faults in it are reported to `faults`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Node<'a> {
    pub(super) value: &'a Value<'a>,
    /// `None` for the root value.
    field_name: Option<&'a str>,
    pub(super) faults: &'a Faults<'a>,
}

/// A key of an object and its value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry<'a> {
    /// The key as in the text, not checked as a name.
    pub(crate) key: &'a str,
    /// Byte offset of the key in the text.
    pub(crate) offset: usize,
    /// The value of the key.
    pub(crate) node: Node<'a>,
}

impl<'a> Node<'a> {
    /// The root value of a text.
    pub(super) const fn root(value: &'a Value<'a>, faults: &'a Faults<'a>) -> Self {
        Self {
            value,
            field_name: None,
            faults,
        }
    }

    const fn child(self, value: &'a Value<'a>, name: &'a str) -> Self {
        Self {
            value,
            field_name: Some(name),
            faults: self.faults,
        }
    }

    /// Reports a fault at this value.
    pub(crate) fn report(self, message: impl Into<String>) {
        self.faults.add(self.value.start(), message);
    }

    /// Byte offset of the value in the text.
    pub(crate) fn offset(self) -> usize {
        self.value.start()
    }

    /// Length of the value in the text, in bytes.
    pub(crate) fn byte_len(self) -> usize {
        self.value.width()
    }

    /// Entries of an object in the order of the text; `None` if the value is not an object, which
    /// is reported. A repeated key is reported and left out.
    pub(crate) fn entries(self) -> Option<Vec<Entry<'a>>> {
        let Value::Object(object) = self.value else {
            return self.report_mismatch("an object");
        };
        let mut entries: IndexMap<&str, Entry<'a>> = IndexMap::new();
        for property in &object.properties {
            let key = property.name.as_str();
            let offset = property.start();
            let node = self.child(&property.value, key);
            if let Some(first) = entries.get(key) {
                let place = self.faults.place(first.offset);
                let message = format!("duplicate key {}, first at {place}", quote_name(key));
                self.faults.add(offset, message);
                continue;
            }
            entries.insert(key, Entry { key, offset, node });
        }
        Some(entries.into_values().collect())
    }

    /// Returns the object itself if it has entries; otherwise reports a fault.
    pub(crate) fn non_empty(self) -> Option<Self> {
        let empty = self.entries()?.is_empty();
        if empty {
            self.report(format!("{} must not be empty", self.quoted_name()));
        }
        (!empty).then_some(self)
    }

    /// Fields of an object that allows only the field names in `known`; others are reported.
    pub(crate) fn fields(self, known: &[&str]) -> Option<Fields<'a>> {
        Some(Fields::new(self, self.entries()?, known))
    }

    /// Decodes an object whose keys are names; `None` if a key is not a valid name or a value can't
    /// be decoded.
    pub(crate) fn map<K, V>(self, decode: impl Fn(Node<'a>) -> Option<V>) -> Option<IndexMap<K, V>>
    where
        K: From<&'a str> + std::hash::Hash + Eq,
    {
        let entries = self.entries()?;
        let entry_count = entries.len();
        let mut map = IndexMap::with_capacity(entry_count);
        for entry in entries {
            let key = entry.name();
            let value = decode(entry.node);
            if let (Some(key), Some(value)) = (key, value) {
                map.insert(K::from(key), value);
            }
        }
        (map.len() == entry_count).then_some(map)
    }

    /// Name of the field; empty for the root value.
    pub(super) fn key(self) -> &'a str {
        self.field_name.unwrap_or_default()
    }

    /// Name of the field as messages show it.
    pub(super) fn quoted_name(self) -> String {
        self.field_name.map_or_else(|| ROOT.to_owned(), quote_name)
    }

    /// Reports that the value is not `expected`; always returns `None`.
    pub(super) fn report_mismatch<T>(self, expected: &str) -> Option<T> {
        let (name, found) = (self.quoted_name(), describe(self.value));
        self.report(format!("{name} must be {expected}, found {found}"));
        None
    }
}

impl<'a> Entry<'a> {
    /// The key if it is a valid name; otherwise reports a fault.
    pub(crate) fn name(&self) -> Option<&'a str> {
        check_name(self.key, self.offset, self.node.faults)
    }

    /// Reports a fault at the key.
    pub(crate) fn report(&self, message: impl Into<String>) {
        self.node.faults.add(self.offset, message);
    }
}

/// Returns `text` if it is a valid name; otherwise reports a fault at `offset`.
pub(super) fn check_name<'a>(text: &'a str, offset: usize, faults: &Faults<'_>) -> Option<&'a str> {
    let checked = document::check_name(text);
    if let Err(e) = &checked {
        faults.add(offset, e.to_string());
    }
    checked.ok()
}
