//! Access to the fields of an object that allows only known field names.

use super::hint::with_hint;
use super::node::{Entry, Node};
use super::quote::quote_name;
use super::unit;

/// Fields of one object with known field names.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    owner: Node<'a>,
    entries: Vec<Entry<'a>>,
}

impl<'a> Fields<'a> {
    /// Takes the entries of `owner` and reports those whose names are not in `known`.
    pub(super) fn new(owner: Node<'a>, entries: Vec<Entry<'a>>, known: &[&str]) -> Self {
        for entry in &entries {
            if !known.contains(&entry.key) {
                entry.report(unknown_field(entry.key, known));
            }
        }
        Self { owner, entries }
    }

    /// Value of an optional field; `None` if it is missing.
    pub(crate) fn optional(&self, name: &str) -> Option<Node<'a>> {
        let found = self.entries.iter().find(|entry| entry.key == name);
        found.map(|entry| entry.node)
    }

    /// Value of a required field; if it is missing, reports a fault and returns `None`.
    pub(crate) fn required(&self, name: &str) -> Option<Node<'a>> {
        let found = self.optional(name);
        if found.is_none() {
            self.owner.report(format!("missing field `{name}`"));
        }
        found
    }

    /// Decodes an optional field, or returns `default` if it is missing; `None` only if `decode`
    /// fails.
    pub(crate) fn optional_or<T>(
        &self,
        name: &str,
        default: T,
        decode: impl FnOnce(Node<'a>) -> Option<T>,
    ) -> Option<T> {
        self.optional(name).map_or(Some(default), decode)
    }
}

fn unknown_field(key: &str, known: &[&str]) -> String {
    if let Some(field) = unit::same_stem_other_unit(key, known) {
        let expected = unit::describe_expected(field);
        let name = quote_name(key);
        return format!("unknown field {name}, wrong unit: `{field}` holds {expected}");
    }
    let message = format!("unknown field {}", quote_name(key));
    with_hint(&message, key, known.iter().copied())
}
