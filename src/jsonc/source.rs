//! Finds the places of values in a text that has already been decoded.

use std::cell::OnceCell;

use jsonc_parser::ast::{ObjectProp, Value};
use jsonc_parser::common::Ranged;

use super::line_index::LineIndex;
use crate::finding::{Finding, Place};

/// Text that contains a section, and the path of the section in it. Used to report findings about
/// values that have already been decoded.
#[derive(Clone, Debug)]
pub(crate) struct SectionSource<'a> {
    /// Name of the text in findings, such as its file name.
    file: &'a str,
    /// The whole text.
    text: &'a str,
    /// Keys from the root of the text to the section.
    prefix: Vec<&'a str>,
    /// Filled by the first call of `place`: only documents with findings need places, so the text
    /// is not parsed again before.
    parsed: OnceCell<ParsedText<'a>>,
}

/// A parsed text with its line index.
#[derive(Clone, Debug)]
struct ParsedText<'a> {
    /// `None` if the text has a syntax error.
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

    /// Place of the value at `path` in the section, or of its key if it is an object. If there is
    /// no such value, the place of the deepest value on the path.
    pub(crate) fn place(&self, path: &[&str]) -> Place {
        let parsed = self.parsed.get_or_init(|| ParsedText::new(self.text));
        let keys = self.prefix.iter().chain(path).copied();
        parsed.lines.place(parsed.offset(keys))
    }

    /// A finding at the place of `path` in the section.
    pub(crate) fn finding(&self, path: &[&str], message: impl Into<String>) -> Finding {
        Finding {
            file: self.file.to_owned(),
            place: self.place(path),
            message: message.into(),
        }
    }

    /// Place of `path` in the section as `file:line:column`.
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

    /// Byte offset of the deepest existing value on `path`, or of its key if it is an object; 0
    /// if the text has a syntax error.
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

/// Finds a property by its name; `None` if `value` is not an object or has no such property.
pub(super) fn property<'v, 'a>(value: &'v Value<'a>, key: &str) -> Option<&'v ObjectProp<'a>> {
    let Value::Object(object) = value else {
        return None;
    };
    object.properties.iter().find(|p| p.name.as_str() == key)
}
