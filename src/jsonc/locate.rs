//! Places of values that have been decoded before.

use jsonc_parser::ast::{ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};

use super::fault::Faults;
use crate::finding::{Finding, Place};

/// Text that holds a section, and the keys that lead to the section.
#[derive(Clone, Debug)]
pub(crate) struct Site<'a> {
    /// Name for findings.
    pub(crate) file: &'a str,
    /// The whole text.
    pub(crate) text: &'a str,
    /// Keys from the root of the text to the section.
    pub(crate) prefix: Vec<&'a str>,
}

impl<'a> Site<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str, prefix: &[&'a str]) -> Self {
        Self {
            file,
            text,
            prefix: prefix.to_vec(),
        }
    }

    /// Place of the value at `path` below the section, or of its key if it is an object.
    pub(crate) fn place(&self, path: &[&str]) -> Place {
        let offset = self.offset(path).unwrap_or(0);
        Faults::new(self.file, self.text).place(offset)
    }

    /// A finding at the value at `path` below the section.
    pub(crate) fn finding(&self, path: &[&str], message: impl Into<String>) -> Finding {
        Finding {
            file: self.file.to_owned(),
            place: self.place(path),
            message: message.into(),
        }
    }

    /// `file:line:column` of the value at `path`.
    pub(crate) fn reference(&self, path: &[&str]) -> String {
        format!("{}:{}", self.file, self.place(path))
    }

    fn offset(&self, path: &[&str]) -> Option<usize> {
        let root = super::parse(self.text).ok()?;
        let mut value = &root;
        let mut offset = root.start();
        for key in self.prefix.iter().chain(path) {
            let Some(property) = property(value, key) else {
                break;
            };
            value = &property.value;
            offset = match value {
                Value::Object(_) => property.start(),
                _ => value.start(),
            };
        }
        Some(offset)
    }
}

/// Span in bytes of the value at `path`.
pub(crate) fn span(text: &str, path: &[&str]) -> Option<Range> {
    let root = super::parse(text).ok()?;
    let mut value = &root;
    for key in path {
        value = &property(value, key)?.value;
    }
    Some(value.range())
}

fn property<'a>(value: &'a Value<'a>, key: &str) -> Option<&'a ObjectProp<'a>> {
    let Value::Object(object) = value else {
        return None;
    };
    object.properties.iter().find(|p| p.name.as_str() == key)
}
