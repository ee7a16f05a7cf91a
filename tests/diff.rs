//! Tests of the three-way diff of texts.

use amaranthwick::document::{Hunk, three_way_diff};
use rstest::rstest;

const BASE: &str = "a\nb\nc\nd\ne\n";

fn format_hunks(mine: &str, current: &str) -> String {
    let hunks: Vec<String> = three_way_diff(BASE, mine, current)
        .iter()
        .map(Hunk::to_string)
        .collect();
    hunks.join("\n")
}

#[rstest]
#[case::equal(BASE, BASE, "")]
#[case::apart(
    "a\nB\nc\nd\ne\n",
    "a\nb\nc\nd\nE\n",
    "lines 2 to 2: changed by me\n  mine: B\nlines 5 to 5: changed since\n  current: E"
)]
#[case::conflict(
    "a\nb\nX\nd\ne\n",
    "a\nb\nY\nd\ne\n",
    "lines 3 to 3: changed by both\n  mine: X\n  current: Y"
)]
#[case::same(
    "a\nb\nX\nd\ne\n",
    "a\nb\nX\nd\ne\n",
    "lines 3 to 3: changed by both in the same way\n  mine: X\n  current: X"
)]
#[case::added(
    "a\nb\nnew\nc\nd\ne\n",
    BASE,
    "before line 3: changed by me\n  mine: new"
)]
#[case::removed(BASE, "a\nb\ne\n", "lines 3 to 4: changed since\n  current: (removed)")]
#[case::overlap(
    "a\nX\nY\nd\ne\n",
    "a\nb\nZ\nW\ne\n",
    "lines 2 to 4: changed by both\n  mine: X\n  mine: Y\n  mine: d\n  current: b\n  current: Z\n  current: W"
)]
#[case::emptied("", BASE, "lines 1 to 5: changed by me\n  mine: (removed)")]
fn hunks_name_the_side_that_changed(
    #[case] mine: &str,
    #[case] current: &str,
    #[case] expected: &str,
) {
    assert_eq!(format_hunks(mine, current), expected);
}

#[test]
fn only_different_changes_of_the_same_lines_conflict() {
    let apart = three_way_diff(BASE, "A\nb\nc\nd\ne\n", "a\nb\nc\nd\nE\n");
    let both = three_way_diff(BASE, "A\nb\nc\nd\ne\n", "AA\nb\nc\nd\ne\n");

    assert!(!apart.iter().any(Hunk::is_conflict));
    assert!(both.iter().all(Hunk::is_conflict));
}

#[test]
fn very_long_texts_are_one_change() {
    let lines: Vec<String> = (0..3_000).map(|i| i.to_string()).collect();
    let base = lines.join("\n");
    let mine: Vec<String> = lines.into_iter().rev().collect();
    let mine = mine.join("\n");

    let hunks = three_way_diff(&base, &mine, &base);

    assert_eq!(hunks.len(), 1);
    assert_eq!(hunks[0].base, 0..3_000);
}
