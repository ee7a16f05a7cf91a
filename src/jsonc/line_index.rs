//! Converts byte offsets to lines and columns.

use std::iter::once;

use crate::finding::Place;

/// A text and the byte offsets at which its lines start.
#[derive(Clone, Debug)]
pub(super) struct LineIndex<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        let after_newlines = text.match_indices('\n').map(|(offset, _)| offset + 1);
        let starts = once(0).chain(after_newlines).collect();
        Self { text, starts }
    }

    /// Line and column of a byte offset, both counted from 1; columns in characters.
    pub(super) fn place(&self, offset: usize) -> Place {
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        let before = self.text.get(start..offset).unwrap_or_default();
        let column = before.chars().count() + 1;
        Place {
            line: saturating_u32(line),
            column: saturating_u32(column),
        }
    }
}

fn saturating_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
