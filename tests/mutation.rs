//! Property tests: any text is either read or refused with findings inside it, without a panic.

use amaranthwick::config::EntryConfig;
use amaranthwick::document::{self, TeamKey, grant_key, withdraw_key};
use amaranthwick::finding::Findings;
use amaranthwick::id::{KeyId, TeamId};
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config, RngSeed};

const NERETVA: &str = include_str!("../examples/neretva.jsonc");
const SMALL: &str = include_str!("data/small.jsonc");
const ENTRY: &str = include_str!("../examples/entry.jsonc");

const FRAGMENTS: [&str; 24] = [
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

const VALUES: [&str; 12] = [
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

/// A random change of a text; positions are taken modulo its length, in characters.
#[derive(Clone, Debug)]
enum Change {
    Insert(usize, &'static str),
    Delete(usize, usize),
    Copy(usize, usize, usize),
    Replace(usize, &'static str),
}

fn change() -> impl Strategy<Value = Change> {
    let at = 0..20_000_usize;
    prop_oneof![
        1 => (at.clone(), select(&FRAGMENTS[..]))
            .prop_map(|(at, fragment)| Change::Insert(at, fragment)),
        1 => (at.clone(), 1..40_usize).prop_map(|(at, len)| Change::Delete(at, len)),
        4 => (at.clone(), select(&VALUES[..])).prop_map(|(at, value)| Change::Replace(at, value)),
        1 => (at.clone(), 1..400_usize, at).prop_map(|(from, len, to)| Change::Copy(from, len, to)),
    ]
}

fn apply(text: &str, changes: &[Change]) -> String {
    let mut chars: Vec<char> = text.chars().collect();
    for change in changes {
        let place = |at: &usize| at % chars.len().max(1);
        let end = |from: usize, count: &usize| (from + count).min(chars.len());
        match change {
            Change::Insert(at, fragment) => {
                let at = place(at);
                chars.splice(at..at, fragment.chars());
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
            Change::Replace(at, value) => {
                let (start, end) = value_at(&chars, place(at));
                chars.splice(start..end, value.chars());
            }
        }
    }
    chars.into_iter().collect()
}

/// Range of the string, number or word at `at`, or of the next one after it.
fn value_at(chars: &[char], at: usize) -> (usize, usize) {
    let part = |c: &char| c.is_alphanumeric() || "\"-_".contains(*c);
    let before = chars[..at].iter().rev().take_while(|c| part(c)).count();
    let rest = &chars[at - before..];
    let skipped = rest.iter().take_while(|c| !part(c)).count();
    let length = rest[skipped..].iter().take_while(|c| part(c)).count();
    let start = at - before + skipped;
    (start, start + length)
}

/// Whitespace and comments that may stand between any two tokens.
const GAPS: [&str; 8] = [
    "",
    " ",
    "\n",
    "\r\n  ",
    "\t",
    "/* 1, */",
    " // 2 \"}\n",
    "/* 3 // */\n",
];

/// Text of a `keys` object with a gap before each key, each comma and the closing brace.
fn keys_text(names: &[&str], gaps: &[&str], last_comma: bool) -> String {
    let mut gaps = gaps.iter();
    let mut text = String::from("{");
    for (i, name) in names.iter().enumerate() {
        let hash = format!("{i}").repeat(64);
        let comma = if i + 1 < names.len() || last_comma {
            ","
        } else {
            ""
        };
        let property = format!("\"{name}\": {{ \"sha256\": \"{hash}\" }}");
        for token in [property.as_str(), comma] {
            text.push_str(gaps.next().unwrap_or(&""));
            text.push_str(token);
        }
    }
    for gap in gaps {
        text.push_str(gap);
    }
    text + "}"
}

/// The small document with `keys` as the keys of the team `herds`.
fn with_keys(keys: &str) -> String {
    let (before, rest) = SMALL.split_once("\"keys\": ").expect("keys");
    let (_, after) = rest.split_once(" } }").expect("end of the keys");
    format!("{before}\"keys\": {keys}{after}")
}

/// The comments from [`GAPS`] in the text, in order.
fn comments(text: &str) -> Vec<&str> {
    let marks = ["/* 1, */", "// 2 \"}", "/* 3 // */"];
    let mut found: Vec<(usize, &str)> = Vec::new();
    for mark in marks {
        found.extend(text.match_indices(mark));
    }
    found.sort_unstable();
    found.into_iter().map(|(_, mark)| mark).collect()
}

/// Checks that reading is deterministic, and that the findings of a refused text are inside it and
/// in its order.
fn check_findings(text: &str, read: impl Fn(&str) -> Result<(), Findings>) {
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

        check_findings(&text, |text| document::parse("a", text).map(drop));
    }

    #[test]
    fn edited_keys_leave_the_rest_alone(
        names in Just(vec!["app", "web", "till"]).prop_shuffle(),
        gaps in prop::collection::vec(select(&GAPS[..]), 7),
        last_comma in any::<bool>(),
    ) {
        let text = with_keys(&keys_text(&names, &gaps, last_comma));
        let (team, app, phone) = (TeamId::new("herds"), KeyId::new("app"), KeyId::new("phone"));
        let old = document::parse("a", &text).expect("valid");

        let granted = grant_key("a", &text, &team, &phone, &[9; 32]).expect("granted");
        let withdrawn = withdraw_key("a", &text, &team, &app).expect("withdrawn");

        let mut more = old.clone();
        more.teams[&team].keys.insert(phone, TeamKey { sha256: [9; 32] });
        prop_assert_eq!(document::parse("a", &granted), Ok(more));
        let mut fewer = old;
        fewer.teams[&team].keys.shift_remove(&app);
        prop_assert_eq!(document::parse("a", &withdrawn), Ok(fewer));
        prop_assert_eq!(comments(&granted), comments(&text));
        prop_assert_eq!(comments(&withdrawn), comments(&text));
    }

    #[test]
    fn changed_settings_are_read_or_refused(changes in prop::collection::vec(change(), 1..6)) {
        let text = apply(ENTRY, &changes);

        check_findings(&text, |text| EntryConfig::parse("a", text).map(drop));
    }

    #[test]
    fn any_text_is_read_or_refused(
        fragments in prop::collection::vec(select(&FRAGMENTS[..]), 0..40),
    ) {
        let text = fragments.concat();

        check_findings(&text, |text| document::parse("a", text).map(drop));
    }
}

#[test]
fn deep_nesting_is_refused() {
    let text = "{\"fleet\":".repeat(200_000);

    check_findings(&text, |text| document::parse("a", text).map(drop));
}
