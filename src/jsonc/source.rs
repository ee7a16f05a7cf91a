//! Places of values that have been decoded before.

use std::cell::OnceCell;

use jsonc_parser::ast::{ObjectProp, Value};
use jsonc_parser::common::Ranged;

use super::line_index::LineIndex;
use crate::finding::{Finding, Place};

/// Text that holds a section, and the keys that lead to the section.
#[derive(Clone, Debug)]
pub(crate) struct SectionSource<'a> {
    /// Name for findings.
    file: &'a str,
    /// The whole text.
    text: &'a str,
    /// Keys from the root of the text to the section.
    prefix: Vec<&'a str>,
    // Only a faulty document needs places; it is read again for the first one.
    parsed: OnceCell<ParsedText<'a>>,
}

#[derive(Clone, Debug)]
struct ParsedText<'a> {
    root: Option<Value<'a>>,
    lines: LineIndex<'a>,
}

impl<'a> SectionSource<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str, prefix: &[&'a str]) -> Self {
        Self {
            file,
            text,
            prefix: prefix.to_vec(),
            parsed: OnceCell::new(),
        }
    }

    /// Place of the value at `path` below the section, or of its key if it is an object.
    pub(crate) fn place(&self, path: &[&str]) -> Place {
        let parsed = self.parsed.get_or_init(|| ParsedText::new(self.text));
        let keys = self.prefix.iter().chain(path).copied();
        parsed.lines.place(parsed.offset(keys))
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

impl<'a> ParsedText<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            root: super::parse(text).ok(),
            lines: LineIndex::new(text),
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
