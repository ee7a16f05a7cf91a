//! Collection of faults and their places.

use std::cell::RefCell;

use crate::finding::{Finding, Place};

/// Faults found so far in one text.
#[derive(Debug)]
pub(crate) struct Faults<'a> {
    file: &'a str,
    text: &'a str,
    found: RefCell<Vec<Fault>>,
}

#[derive(Debug)]
struct Fault {
    offset: usize,
    message: String,
}

impl<'a> Faults<'a> {
    pub(crate) const fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            found: RefCell::new(Vec::new()),
        }
    }

    /// Adds a fault at a byte offset of the text.
    pub(crate) fn add(&self, offset: usize, message: impl Into<String>) {
        let message = message.into();
        self.found.borrow_mut().push(Fault { offset, message });
    }

    /// Place of a byte offset.
    pub(crate) fn place(&self, offset: usize) -> Place {
        Cursor::new(self.text).place(offset)
    }

    /// All faults in the order of the text.
    pub(crate) fn into_findings(self) -> Vec<Finding> {
        let mut found = self.found.into_inner();
        found.sort_by_key(|fault| fault.offset);
        let mut cursor = Cursor::new(self.text);
        let findings = found.into_iter().map(|fault| Finding {
            file: self.file.to_owned(),
            place: cursor.place(fault.offset),
            message: fault.message,
        });
        findings.collect()
    }
}

/// Turns rising byte offsets into places in one pass over the text.
struct Cursor<'a> {
    rest: &'a str,
    offset: usize,
    place: Place,
}

impl<'a> Cursor<'a> {
    const fn new(text: &'a str) -> Self {
        Self {
            rest: text,
            offset: 0,
            place: Place { line: 1, column: 1 },
        }
    }

    fn place(&mut self, offset: usize) -> Place {
        while self.offset < offset {
            let Some(c) = self.rest.chars().next() else {
                break;
            };
            self.step(c);
        }
        self.place
    }

    fn step(&mut self, c: char) {
        self.offset += c.len_utf8();
        self.rest = &self.rest[c.len_utf8()..];
        if c == '\n' {
            self.place.line += 1;
            self.place.column = 1;
        } else {
            self.place.column += 1;
        }
    }
}
