//! Any text is either read or refused with places; nothing panics.

use amaranthwick::config::EntryConfig;
use amaranthwick::document;
use amaranthwick::finding::Findings;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config, RngSeed};

const NERETVA: &str = include_str!("../examples/neretva.jsonc");
const SMALL: &str = include_str!("data/small.jsonc");
const ENTRY: &str = include_str!("../examples/entry.jsonc");

const SCRAPS: [&str; 24] = [
    "{",
    "}",
    "[",
    "]",
    ",",
    ":",
    "\"",
    "'",
    "\\",
    "\\u12",
    "/",
    "/*",
    "//",
    "-",
    "0",
    "1e9",
    "null",
    "true",
    "\"share\": 1,",
    "šć",
    "\u{feff}",
    "\r\n",
    "\0",
    "[[[[[[[[[[[[[[[[[[[[",
];

const WORDS: [&str; 12] = [
    "0",
    "-1",
    "1.5",
    "99999999999999999999",
    "null",
    "true",
    "[]",
    "{}",
    "\"\"",
    "\"30s\"",
    "\"count\"",
    "\"north\"",
];

/// One change of a text.
#[derive(Clone, Debug)]
enum Change {
    Insert(usize, &'static str),
    Delete(usize, usize),
    Copy(usize, usize, usize),
    Word(usize, &'static str),
}

fn change() -> impl Strategy<Value = Change> {
    let at = 0..20_000_usize;
    prop_oneof![
        1 => (at.clone(), select(&SCRAPS[..])).prop_map(|(at, scrap)| Change::Insert(at, scrap)),
        1 => (at.clone(), 1..40_usize).prop_map(|(at, len)| Change::Delete(at, len)),
        4 => (at.clone(), select(&WORDS[..])).prop_map(|(at, word)| Change::Word(at, word)),
        1 => (at.clone(), 1..400_usize, at).prop_map(|(from, len, to)| Change::Copy(from, len, to)),
    ]
}

fn apply(text: &str, changes: &[Change]) -> String {
    let mut chars: Vec<char> = text.chars().collect();
    for change in changes {
        let place = |at: &usize| at % chars.len().max(1);
        let end = |from: usize, count: &usize| (from + count).min(chars.len());
        match change {
            Change::Insert(at, scrap) => {
                let at = place(at);
                chars.splice(at..at, scrap.chars());
            }
            Change::Delete(at, count) => {
                let (at, end) = (place(at), end(place(at), count));
                chars.drain(at..end);
            }
            Change::Copy(from, count, to) => {
                let copied = chars[place(from)..end(place(from), count)].to_vec();
                let to = place(to);
                chars.splice(to..to, copied);
            }
            Change::Word(at, word) => {
                let (start, end) = word_at(&chars, place(at));
                chars.splice(start..end, word.chars());
            }
        }
    }
    chars.into_iter().collect()
}

/// Span of the first string or number from `at` on.
fn word_at(chars: &[char], at: usize) -> (usize, usize) {
    let part = |c: &char| c.is_alphanumeric() || "\"-_".contains(*c);
    let before = chars[..at].iter().rev().take_while(|c| part(c)).count();
    let rest = &chars[at - before..];
    let skipped = rest.iter().take_while(|c| !part(c)).count();
    let length = rest[skipped..].iter().take_while(|c| part(c)).count();
    let start = at - before + skipped;
    (start, start + length)
}

/// A refusal has findings, in the order of the text and inside it.
fn check(text: &str, read: impl Fn(&str) -> Result<(), Findings>) {
    let first = read(text);
    assert_eq!(first, read(text));
    let Err(Findings(findings)) = first else {
        return;
    };
    assert!(!findings.is_empty());
    let mut last = None;
    for finding in findings {
        let place = finding.place;
        let line = text.split('\n').nth(place.line as usize - 1);
        let columns = line.map(|line| line.chars().count() + 1);
        assert!(Some(place.column as usize) <= columns, "{finding}");
        assert!(last <= Some(place), "{finding}");
        last = Some(place);
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(20_261),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn changed_documents_are_read_or_refused(
        text in select(vec![NERETVA, SMALL]),
        changes in prop::collection::vec(change(), 1..6),
    ) {
        let text = apply(text, &changes);

        check(&text, |text| document::parse("a", text).map(drop));
    }

    #[test]
    fn changed_settings_are_read_or_refused(changes in prop::collection::vec(change(), 1..6)) {
        let text = apply(ENTRY, &changes);

        check(&text, |text| EntryConfig::parse("a", text).map(drop));
    }

    #[test]
    fn any_text_is_read_or_refused(scraps in prop::collection::vec(select(&SCRAPS[..]), 0..40)) {
        let text = scraps.concat();

        check(&text, |text| document::parse("a", text).map(drop));
    }
}

#[test]
fn deep_nesting_is_refused() {
    let text = "{\"fleet\":".repeat(200_000);

    check(&text, |text| document::parse("a", text).map(drop));
}
