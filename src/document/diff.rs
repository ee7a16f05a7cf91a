//! Three-way comparison of texts by lines, for an edit that came second.

use std::fmt;
use std::ops::Range;

// The table of common lines takes 4 bytes a cell.
const MAX_CELLS: usize = 4_000_000;

/// Part of the base text that was changed on one side or on both.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hunk {
    /// Lines of the base text, counted from 0.
    pub base: Range<usize>,
    /// What my text has there, unless it left the lines alone.
    pub mine: Option<Vec<String>>,
    /// What the current text has there, unless it left the lines alone.
    pub current: Option<Vec<String>>,
}

impl Hunk {
    /// True when both sides changed the lines, each in its own way.
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

/// Compares my text and the current text with the base that both came from.
#[must_use]
pub fn three_way_diff(base: &str, mine: &str, current: &str) -> Vec<Hunk> {
    let base: Vec<&str> = base.lines().collect();
    let mine = Side::new(&base, mine);
    let current = Side::new(&base, current);
    let mut ranges: Vec<Range<usize>> = mine.changed().chain(current.changed()).collect();
    ranges.sort_by_key(|range| (range.start, range.end));
    let joined = join(ranges);
    let hunks = joined.into_iter().map(|base| Hunk {
        mine: mine.replacement(&base),
        current: current.replacement(&base),
        base,
    });
    hunks.collect()
}

/// Joins ranges that overlap or touch.
fn join(ranges: Vec<Range<usize>>) -> Vec<Range<usize>> {
    let mut joined: Vec<Range<usize>> = Vec::new();
    for range in ranges {
        match joined.last_mut() {
            Some(last) if range.start <= last.end => last.end = last.end.max(range.end),
            _ => joined.push(range),
        }
    }
    joined
}

/// One text against the base.
struct Side<'a> {
    lines: Vec<&'a str>,
    changes: Vec<Change>,
}

/// Lines of the base and the lines that stand in their place.
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

    /// Lines in place of a range of the base that cuts no change; `None` when all are equal.
    fn replacement(&self, base: &Range<usize>) -> Option<Vec<String>> {
        let inside =
            |change: &&Change| change.base.start >= base.start && change.base.end <= base.end;
        let changes: Vec<&Change> = self.changes.iter().filter(inside).collect();
        let (first, last) = (changes.first()?, changes.last()?);
        let start = first.lines.start - (first.base.start - base.start);
        let end = last.lines.end + (base.end - last.base.end);
        let lines = self.lines[start..end].iter();
        Some(lines.map(|line| (*line).to_owned()).collect())
    }
}

/// Changes from `base` to `other`, in order.
fn changes(base: &[&str], other: &[&str]) -> Vec<Change> {
    let head = common(base.iter(), other.iter());
    let (base_rest, other_rest) = (&base[head..], &other[head..]);
    let tail = common(base_rest.iter().rev(), other_rest.iter().rev());
    let base_rest = &base_rest[..base_rest.len() - tail];
    let other_rest = &other_rest[..other_rest.len() - tail];
    let mut pairs = common_lines(base_rest, other_rest);
    pairs.push(Pair {
        base: base_rest.len(),
        other: other_rest.len(),
    });
    let (mut i, mut j) = (0, 0);
    let mut found = Vec::new();
    for pair in pairs {
        if i < pair.base || j < pair.other {
            found.push(Change {
                base: head + i..head + pair.base,
                lines: head + j..head + pair.other,
            });
        }
        (i, j) = (pair.base + 1, pair.other + 1);
    }
    found
}

fn common<'a>(a: impl Iterator<Item = &'a &'a str>, b: impl Iterator<Item = &'a &'a str>) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}

/// Line numbers of a line that both texts have.
struct Pair {
    base: usize,
    other: usize,
}

/// Longest common subsequence; empty when the table would be too large.
fn common_lines(a: &[&str], b: &[&str]) -> Vec<Pair> {
    let mut pairs = Vec::new();
    let Some(table) = Table::new(a, b) else {
        return pairs;
    };
    let (mut i, mut j) = (0, 0);
    while i < a.len() && j < b.len() {
        if a[i] == b[j] {
            pairs.push(Pair { base: i, other: j });
            (i, j) = (i + 1, j + 1);
        } else if table.get(i + 1, j) >= table.get(i, j + 1) {
            i += 1;
        } else {
            j += 1;
        }
    }
    pairs
}

/// Length of the longest common subsequence of each pair of tails.
struct Table {
    lengths: Vec<u32>,
    width: usize,
}

impl Table {
    fn new(a: &[&str], b: &[&str]) -> Option<Self> {
        let width = b.len() + 1;
        let cells = (a.len() + 1).saturating_mul(width);
        if cells > MAX_CELLS {
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
