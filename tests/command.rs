//! Tests of the commands `amaranthwick check`, `key` and `diff`.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use amaranthwick::config::KeyFile;
use amaranthwick::document::{self, hex, key_hash, parse_secret};
use amaranthwick::id::{KeyId, TeamId};

const SMALL: &str = include_str!("data/small.jsonc");

/// Creates a directory for one test with `text` in `fleet.jsonc`.
fn directory(name: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).expect("directory");
    fs::write(directory.join("fleet.jsonc"), text).expect("document");
    directory
}

fn run(directory: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_amaranthwick"))
        .current_dir(directory)
        .args(args)
        .output()
        .expect("command")
}

fn stdout(output: &Output) -> &str {
    str::from_utf8(&output.stdout).expect("text")
}

/// The text after a label at the start of a line, up to the end of that line.
fn text_after<'a>(text: &'a str, label: &str) -> &'a str {
    let line = text.lines().find_map(|line| line.strip_prefix(label));
    line.unwrap_or_else(|| panic!("{label} not in {text}"))
}

#[test]
fn check_of_a_valid_document_is_silent() {
    let directory = directory("check-valid", SMALL);

    let output = run(&directory, &["check", "fleet.jsonc"]);

    assert_eq!(output.status.code(), Some(0));
    assert_eq!(stdout(&output), "");
}

#[test]
fn check_prints_every_finding_with_its_place() {
    let text = SMALL
        .replace("\"share\": 2", "\"share\": 0")
        .replace("\"racks\": 1", "\"racks\": \"one\"");
    let directory = directory("check-faulty", &text);

    let output = run(&directory, &["check", "fleet.jsonc"]);

    assert_eq!(output.status.code(), Some(1));
    let expected = "fleet.jsonc:15:47: `racks` must be a whole number, found \"one\"\n\
                    fleet.jsonc:24:16: `share` must be 1 to 1000000, found 0\n";
    assert_eq!(stdout(&output), expected);
}

#[test]
fn check_names_the_place_of_a_byte_that_is_no_text() {
    let directory = directory("check-bytes", SMALL);
    fs::write(directory.join("fleet.jsonc"), b"{\n  // \xc5\xa1\xff\n}").expect("bytes");

    let output = run(&directory, &["check", "fleet.jsonc"]);

    assert_eq!(output.status.code(), Some(1));
    assert_eq!(stdout(&output), "fleet.jsonc:2:7: not UTF-8\n");
}

#[test]
fn check_of_a_missing_file_is_no_finding() {
    let directory = directory("check-missing", SMALL);

    let output = run(&directory, &["check", "none.jsonc"]);

    assert_eq!(output.status.code(), Some(2));
    assert_eq!(stdout(&output), "");
}

#[test]
fn new_key_prints_its_secret_and_its_line() {
    let directory = directory("key-new", SMALL);

    let output = run(&directory, &["key", "new", "phone"]);

    let text = stdout(&output);
    let secret = parse_secret(text_after(text, "secret, shown only now: ")).expect("secret");
    let hash = hex::encode(&key_hash(&secret));
    let line = text_after(text, "line for `keys`: ");
    assert_eq!(line, format!("\"phone\": {{ \"sha256\": \"{hash}\" }}"));
}

#[test]
fn key_is_granted_and_withdrawn_in_the_file() {
    let directory = directory("key-grant", SMALL);
    let file = directory.join("fleet.jsonc");
    let edit = |verb| {
        let args = ["key", verb, "herds", "phone", "fleet.jsonc"];
        run(&directory, &args)
    };
    let keys = || {
        let text = fs::read_to_string(&file).expect("document");
        let mut document = document::parse("a", &text).expect("valid");
        document
            .teams
            .swap_remove(&TeamId::new("herds"))
            .expect("team")
            .keys
    };

    let granted = edit("grant");
    let with_key = keys();
    let again = edit("grant");
    let withdrawn = edit("withdraw");

    let secret = text_after(stdout(&granted), "secret, shown only now: ");
    let hash = key_hash(&parse_secret(secret).expect("secret"));
    assert_eq!(with_key[&KeyId::new("phone")].sha256, hash);
    assert_eq!(again.status.code(), Some(2));
    assert_eq!(withdrawn.status.code(), Some(0));
    assert!(!keys().contains_key(&KeyId::new("phone")));
}

#[test]
fn operator_key_is_written_once() {
    let directory = directory("key-operator", SMALL);
    let args = ["key", "operator", "ana", "ana.key.jsonc"];

    let first = run(&directory, &args);
    let second = run(&directory, &args);

    let key = KeyFile::read(&directory.join("ana.key.jsonc")).expect("key");
    let public = hex::encode(&key.public());
    let line = text_after(stdout(&first), "line for `operators`: ");
    assert_eq!(line, format!("\"ana\": \"{public}\""));
    assert_eq!(second.status.code(), Some(2));
}

#[test]
fn diff_tells_a_conflict_by_its_exit_code() {
    let directory = directory("diff", "a\nb\nc\n");
    fs::write(directory.join("mine"), "a\nB\nc\n").expect("mine");
    fs::write(directory.join("theirs"), "a\nX\nc\n").expect("theirs");

    let apart = run(&directory, &["diff", "fleet.jsonc", "mine", "fleet.jsonc"]);
    let both = run(&directory, &["diff", "fleet.jsonc", "mine", "theirs"]);

    assert_eq!(apart.status.code(), Some(0));
    assert_eq!(stdout(&apart), "lines 2 to 2: changed by me\n  mine: B\n");
    assert_eq!(both.status.code(), Some(1));
    let expected = "lines 2 to 2: changed by both\n  mine: B\n  current: X\n";
    assert_eq!(stdout(&both), expected);
}
