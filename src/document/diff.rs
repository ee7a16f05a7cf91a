//! Three-way diff of texts by lines, for an edit refused because another was accepted first.

use std::fmt;
use std::ops::Range;

// A cell takes 4 bytes, so a table takes at most 16 MB.
const MAX_TABLE_CELLS: usize = 4_000_000;

/// Range of lines of the base text that my text, the current text or both have changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hunk {
    /// Lines of the base text, counted from 0; empty for an insertion before that line.
    pub base: Range<usize>,
    /// Lines of my text in their place; `None` if they are unchanged there.
    pub mine: Option<Vec<String>>,
    /// Lines of the current text in their place; `None` if they are unchanged there.
    pub current: Option<Vec<String>>,
}

impl Hunk {
    /// True when both texts changed the lines in different ways.
    #[must_use]
    pub fn is_conflict(&self) -> bool {
        self.mine.is_some() && self.current.is_some() && self.mine != self.current
    }
}

impl fmt::Display for Hunk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (first, last) = (self.base.start + 1, self.base.end);
        let what = match (&self.mine, &self.current) {
            _ if self.is_conflict() => "changed by both",
            (Some(_), Some(_)) => "changed by both in the same way",
            (Some(_), None) => "changed by me",
            _ => "changed since",
        };
        if self.base.is_empty() {
            write!(f, "before line {first}: {what}")?;
        } else {
            write!(f, "lines {first} to {last}: {what}")?;
        }
        for (side, lines) in [("mine", &self.mine), ("current", &self.current)] {
            for line in lines.iter().flatten() {
                write!(f, "\n  {side}: {line}")?;
            }
            if lines.as_ref().is_some_and(Vec::is_empty) {
                write!(f, "\n  {side}: (removed)")?;
            }
        }
        Ok(())
    }
}

/// Compares my text and the current text with their common base; hunks are in the order of the
/// base.
#[must_use]
pub fn three_way_diff(base: &str, mine: &str, current: &str) -> Vec<Hunk> {
    let base: Vec<&str> = base.lines().collect();
    let mine = Side::new(&base, mine);
    let current = Side::new(&base, current);
    let mut ranges: Vec<Range<usize>> = mine.changed().chain(current.changed()).collect();
    ranges.sort_by_key(|range| (range.start, range.end));
    let merged = merge_ranges(ranges);
    let hunks = merged.into_iter().map(|base| Hunk {
        mine: mine.replacement(&base),
        current: current.replacement(&base),
        base,
    });
    hunks.collect()
}

/// Merges ranges that overlap or touch; `ranges` must be sorted by their start.
fn merge_ranges(ranges: Vec<Range<usize>>) -> Vec<Range<usize>> {
    let mut merged: Vec<Range<usize>> = Vec::new();
    for range in ranges {
        match merged.last_mut() {
            Some(last) if range.start <= last.end => last.end = last.end.max(range.end),
            _ => merged.push(range),
        }
    }
    merged
}

/// One of the two texts and its changes against the base.
struct Side<'a> {
    lines: Vec<&'a str>,
    changes: Vec<Change>,
}

/// Range of lines of the base and the range of lines of the text that replaces it.
#[derive(Clone, Debug)]
struct Change {
    base: Range<usize>,
    lines: Range<usize>,
}

impl<'a> Side<'a> {
    fn new(base: &[&str], text: &'a str) -> Self {
        let lines: Vec<&str> = text.lines().collect();
        let changes = changes(base, &lines);
        Self { lines, changes }
    }

    fn changed(&self) -> impl Iterator<Item = Range<usize>> {
        self.changes.iter().map(|change| change.base.clone())
    }

    /// Lines of this text in place of a range of the base; `None` when it has no change there.
    ///
    /// Every change must lie either inside or outside the range.
    fn replacement(&self, base: &Range<usize>) -> Option<Vec<String>> {
        let contained =
            |change: &&Change| change.base.start >= base.start && change.base.end <= base.end;
        let changes: Vec<&Change> = self.changes.iter().filter(contained).collect();
        let (first, last) = (changes.first()?, changes.last()?);
        let start = first.lines.start - (first.base.start - base.start);
        let end = last.lines.end + (base.end - last.base.end);
        let lines = self.lines[start..end].iter();
        Some(lines.map(|line| (*line).to_owned()).collect())
    }
}

/// Computes the changes from `base` to `other`, in order.
fn changes(base: &[&str], other: &[&str]) -> Vec<Change> {
    let prefix = common_prefix_len(base.iter(), other.iter());
    let (base_rest, other_rest) = (&base[prefix..], &other[prefix..]);
    let suffix = common_prefix_len(base_rest.iter().rev(), other_rest.iter().rev());
    let base_rest = &base_rest[..base_rest.len() - suffix];
    let other_rest = &other_rest[..other_rest.len() - suffix];
    let mut common = longest_common_subsequence(base_rest, other_rest);
    common.push(CommonLine {
        base: base_rest.len(),
        other: other_rest.len(),
    });
    let (mut i, mut j) = (0, 0);
    let mut found = Vec::new();
    for line in common {
        if i < line.base || j < line.other {
            found.push(Change {
                base: prefix + i..prefix + line.base,
                lines: prefix + j..prefix + line.other,
            });
        }
        (i, j) = (line.base + 1, line.other + 1);
    }
    found
}

fn common_prefix_len<'a>(
    a: impl Iterator<Item = &'a &'a str>,
    b: impl Iterator<Item = &'a &'a str>,
) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}

/// Indices of a line that both texts have.
struct CommonLine {
    base: usize,
    other: usize,
}

/// Finds the longest common subsequence; empty when the table would be too large, so that the
/// texts count as one change.
fn longest_common_subsequence(a: &[&str], b: &[&str]) -> Vec<CommonLine> {
    let mut common = Vec::new();
    let Some(table) = LcsTable::new(a, b) else {
        return common;
    };
    let (mut i, mut j) = (0, 0);
    while i < a.len() && j < b.len() {
        if a[i] == b[j] {
            common.push(CommonLine { base: i, other: j });
            (i, j) = (i + 1, j + 1);
        } else if table.get(i + 1, j) >= table.get(i, j + 1) {
            i += 1;
        } else {
            j += 1;
        }
    }
    common
}

/// Length of the longest common subsequence of each pair of suffixes of two texts.
struct LcsTable {
    lengths: Vec<u32>,
    width: usize,
}

impl LcsTable {
    fn new(a: &[&str], b: &[&str]) -> Option<Self> {
        let width = b.len() + 1;
        let cells = (a.len() + 1).saturating_mul(width);
        if cells > MAX_TABLE_CELLS {
            return None;
        }
        let lengths = vec![0; cells];
        let mut table = Self { lengths, width };
        for i in (0..a.len()).rev() {
            for j in (0..b.len()).rev() {
                table.lengths[i * width + j] = if a[i] == b[j] {
                    table.get(i + 1, j + 1) + 1
                } else {
                    table.get(i + 1, j).max(table.get(i, j + 1))
                };
            }
        }
        Some(table)
    }

    fn get(&self, i: usize, j: usize) -> u32 {
        self.lengths[i * self.width + j]
    }
}
