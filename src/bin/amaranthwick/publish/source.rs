//! Text of the section to be published and its position in the operator's file.

use amaranthwick::finding::{Finding, Place};

/// Text of a section, taken from the text of a whole document.
#[derive(Debug)]
pub(crate) struct SectionSource {
    file: String,
    start: Place,
    pub(super) text: String,
}

impl SectionSource {
    /// Makes the source of a section with the text `text`, which is part of `document`, the text
    /// of `file`.
    pub(super) fn new(file: &str, document: &str, text: String) -> Self {
        let before = &document[..document.find(&text).unwrap_or_default()];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|&c| c != '\n').count() + 1;
        Self {
            file: file.to_owned(),
            start: Place {
                line: u32::try_from(line).unwrap_or(u32::MAX),
                column: u32::try_from(column).unwrap_or(u32::MAX),
            },
            text,
        }
    }

    /// Translates the place of a finding from the section to the file.
    pub(super) fn finding_in_file(&self, finding: &Finding) -> Finding {
        let Place { line, column } = finding.place;
        let column_offset = if line == 1 { self.start.column - 1 } else { 0 };
        Finding {
            file: self.file.clone(),
            place: Place {
                line: self.start.line.saturating_add(line).saturating_sub(1),
                column: column.saturating_add(column_offset),
            },
            message: finding.message.clone(),
        }
    }
}
