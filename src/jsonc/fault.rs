//! Collects the faults of a text and converts them to findings.

use std::cell::RefCell;

use super::line_index::LineIndex;
use crate::finding::{Finding, Place};

/// Faults found so far in one text. Shared by all its nodes, hence the `RefCell`.
#[derive(Debug)]
pub(crate) struct Faults<'a> {
    file: &'a str,
    lines: LineIndex<'a>,
    found: RefCell<Vec<Fault>>,
}

/// A fault at a byte offset of the text.
#[derive(Debug)]
pub(super) struct Fault {
    pub(super) offset: usize,
    pub(super) message: String,
}

impl<'a> Faults<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            lines: LineIndex::new(text),
            found: RefCell::new(Vec::new()),
        }
    }

    /// Adds a fault at a byte offset of the text.
    pub(crate) fn add(&self, offset: usize, message: impl Into<String>) {
        let message = message.into();
        self.push(Fault { offset, message });
    }

    pub(super) fn push(&self, fault: Fault) {
        self.found.borrow_mut().push(fault);
    }

    /// Line and column of a byte offset.
    pub(crate) fn place(&self, offset: usize) -> Place {
        self.lines.place(offset)
    }

    /// All faults as findings, in the order of the text.
    pub(crate) fn into_findings(self) -> Vec<Finding> {
        let mut found = self.found.into_inner();
        found.sort_by_key(|fault| fault.offset);
        let findings = found.into_iter().map(|fault| Finding {
            file: self.file.to_owned(),
            place: self.lines.place(fault.offset),
            message: fault.message,
        });
        findings.collect()
    }
}
