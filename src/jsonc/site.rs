//! Places of values that have been decoded before.

use std::cell::OnceCell;

use jsonc_parser::ast::{ObjectProp, Value};
use jsonc_parser::common::Ranged;

use super::line::Lines;
use crate::finding::{Finding, Place};

/// Text that holds a section, and the keys that lead to the section.
#[derive(Clone, Debug)]
pub(crate) struct Site<'a> {
    /// Name for findings.
    file: &'a str,
    /// The whole text.
    text: &'a str,
    /// Keys from the root of the text to the section.
    prefix: Vec<&'a str>,
    // Only a faulty document needs places; it is read again for the first one.
    index: OnceCell<Index<'a>>,
}

#[derive(Clone, Debug)]
struct Index<'a> {
    root: Option<Value<'a>>,
    lines: Lines<'a>,
}

impl<'a> Site<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str, prefix: &[&'a str]) -> Self {
        Self {
            file,
            text,
            prefix: prefix.to_vec(),
            index: OnceCell::new(),
        }
    }

    /// Place of the value at `path` below the section, or of its key if it is an object.
    pub(crate) fn place(&self, path: &[&str]) -> Place {
        let index = self.index.get_or_init(|| Index::new(self.text));
        let keys = self.prefix.iter().chain(path).copied();
        index.lines.place(index.offset(keys))
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
}

impl<'a> Index<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            root: super::parse(text).ok(),
            lines: Lines::new(text),
        }
    }

    /// Offset of the deepest value on the path that is there.
    fn offset<'k>(&self, path: impl Iterator<Item = &'k str>) -> usize {
        let Some(mut value) = self.root.as_ref() else {
            return 0;
        };
        let mut offset = value.start();
        for key in path {
            let Some(property) = property(value, key) else {
                break;
            };
            value = &property.value;
            offset = match value {
                Value::Object(_) => property.start(),
                _ => value.start(),
            };
        }
        offset
    }
}

/// A property of an object by its name.
pub(super) fn property<'v, 'a>(value: &'v Value<'a>, key: &str) -> Option<&'v ObjectProp<'a>> {
    let Value::Object(object) = value else {
        return None;
    };
    object.properties.iter().find(|p| p.name.as_str() == key)
}
