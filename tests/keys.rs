//! Tests of callers' and operators' keys, and of granting and withdrawing them in a file.

use std::fs;
use std::path::PathBuf;

use amaranthwick::config::KeyFile;
use amaranthwick::document::{
    self, KeyEditError, example, format_secret, grant_key, hashes_equal, key_hash, new_secret,
    parse_secret, replace_file, withdraw_key,
};
use amaranthwick::id::{KeyId, TeamId};
use rstest::rstest;

const SMALL: &str = include_str!("data/small.jsonc");
const NERETVA: &str = include_str!("../examples/neretva.jsonc");
const KON_JALAN: &str = include_str!("../examples/kon-jalan.jsonc");

/// Creates an empty directory for one test.
fn directory(name: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).expect("directory");
    directory
}

fn comments(text: &str) -> Vec<&str> {
    let lines = text.lines().map(str::trim);
    lines.filter(|line| line.starts_with("//")).collect()
}

#[test]
fn parse_secret_accepts_only_the_formatted_text() {
    let secret = new_secret().expect("secret");

    let text = format_secret(&secret);

    assert_eq!(parse_secret(&text), Some(secret));
    assert_eq!(parse_secret(&text.to_uppercase()), None);
    assert_eq!(parse_secret(&text[4..]), None);
    assert_eq!(parse_secret(&format!("{text}0")), None);
    assert_eq!(parse_secret("amw_ščščščščščščščščščščščščščščščšč"), None);
    assert_ne!(new_secret().expect("secret"), secret);
}

#[test]
fn hash_is_sha_256_of_the_bytes() {
    let hash = key_hash(&[0; 32]);

    let expected = "66687aadf862bd776c8fc18b8e9f8e20089714856ee233b3902a591d0d5f2925";
    assert_eq!(document::hex::encode(&hash), expected);
    assert!(hashes_equal(&hash, &hash));
    assert!(!hashes_equal(&hash, &[0; 32]));
}

#[rstest]
#[case::one_line(SMALL, "herds")]
#[case::neretva(NERETVA, "herds")]
#[case::kon_jalan(KON_JALAN, "admin")]
fn granting_a_key_changes_nothing_else(#[case] text: &str, #[case] team: &str) {
    let (team, key) = (TeamId::new(team), KeyId::new("phone"));
    let hash = key_hash(&example::caller_secret("phone"));

    let granted = grant_key("a", text, &team, &key, &hash).expect("granted");

    let mut expected = document::parse("a", text).expect("old");
    let section = expected.teams.get_mut(&team).expect("section");
    section
        .keys
        .insert(key.clone(), document::TeamKey { sha256: hash });
    assert_eq!(document::parse("a", &granted), Ok(expected));
    assert_eq!(comments(&granted), comments(text));
    let again = grant_key("a", &granted, &team, &key, &hash);
    assert_eq!(again, Err(KeyEditError::KeyExists(key.clone())));
    let withdrawn = withdraw_key("a", &granted, &team, &key).expect("withdrawn");
    assert_eq!(document::parse("a", &withdrawn), document::parse("a", text));
    assert_eq!(comments(&withdrawn), comments(text));
}

#[rstest]
#[case::own_line(
    "{\n  // Phones.\n  \"app\": {}, // until May\n  /* web */ \"web\": {}\n}",
    "{\n  // Phones.\n  // until May\n  /* web */ \"web\": {}\n}"
)]
#[case::no_comment("{\n  \"app\": {},\n  \"web\": {}\n}", "{\n  \"web\": {}\n}")]
#[case::only("{ \"app\": {} }", "{ }")]
#[case::last(
    "{ \"web\": {}, /* a */ \"app\": {} /* b */ }",
    "{ \"web\": {}, /* a */ /* b */ }"
)]
#[case::comment_before_comma("{ \"app\": {} /* a, */ , \"web\": {} }", "{ /* a, */ \"web\": {} }")]
fn withdrawing_a_key_keeps_comments_beside_it(#[case] keys: &str, #[case] expected: &str) {
    let text = |keys: &str| format!("{{ \"teams\": {{ \"herds\": {{ \"keys\": {keys} }} }} }}");
    let (team, key) = (TeamId::new("herds"), KeyId::new("app"));

    let withdrawn = withdraw_key("a", &text(keys), &team, &key).expect("withdrawn");

    assert_eq!(withdrawn, text(expected));
}

#[rstest]
#[case::no_team("goats", "app", KeyEditError::NoTeam(TeamId::new("goats")))]
#[case::no_key("herds", "phone", KeyEditError::NoKey(KeyId::new("phone")))]
fn withdrawing_a_missing_key_fails(
    #[case] team: &str,
    #[case] key: &str,
    #[case] expected: KeyEditError,
) {
    let result = withdraw_key("a", SMALL, &TeamId::new(team), &KeyId::new(key));

    assert_eq!(result, Err(expected));
}

#[rstest]
#[case::keys_twice(
    "\"share\": 2",
    "\"keys\": {}, \"share\": 2",
    "a:32:7: duplicate key `keys`, first at 24:7"
)]
#[case::team_twice(
    "\"teams\": {",
    "\"teams\": { \"herds\": {},",
    "a:23:5: duplicate key `herds`, first at 22:14"
)]
#[case::key_twice(
    "\"app\": {",
    "\"app\": {}, \"app\": {",
    "a:32:28: duplicate key `app`, first at 32:17"
)]
#[case::not_an_object(
    "\"keys\": { \"app\": { \"sha256\": \"ddab1d12ea07b32593aa4ce09b6744c167db0e4feb8522930a97eb174a9a0b98\" } }",
    "\"keys\": [1]",
    "a:32:15: `keys` must be an object, found an array"
)]
fn keys_in_a_faulty_text_are_not_edited(
    #[case] old: &str,
    #[case] new: &str,
    #[case] expected: &str,
) {
    let text = SMALL.replacen(old, new, 1);
    let (team, key) = (TeamId::new("herds"), KeyId::new("app"));

    let granted = grant_key("a", &text, &team, &key, &[0; 32]);
    let withdrawn = withdraw_key("a", &text, &team, &key);

    assert_eq!(granted.map_err(|e| e.to_string()), Err(expected.to_owned()));
    assert_eq!(
        withdrawn.map_err(|e| e.to_string()),
        Err(expected.to_owned())
    );
}

#[test]
fn file_is_replaced_only_if_it_is_still_the_same() {
    let directory = directory("replace");
    let path = directory.join("fleet.jsonc");
    fs::write(&path, "old").expect("write");

    let stale = replace_file(&path, "older", "new");
    let kept = fs::read_to_string(&path).expect("read");
    let fresh = replace_file(&path, "old", "new");

    assert!(stale.is_err());
    assert_eq!(kept, "old");
    assert!(fresh.is_ok());
    assert_eq!(fs::read_to_string(&path).expect("read"), "new");
    let left = fs::read_dir(&directory).expect("list").count();
    assert_eq!(left, 1);
}

#[test]
fn key_file_is_private_and_never_overwritten() {
    use std::os::unix::fs::PermissionsExt;

    let path = directory("key").join("ana.key.jsonc");

    let key = KeyFile::create(&path).expect("created");
    let second = KeyFile::create(&path);

    assert!(second.is_err());
    let read = KeyFile::read(&path).expect("read");
    assert_eq!(read.public(), key.public());
    let mode = fs::metadata(&path).expect("metadata").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
}

#[rstest]
#[case::short("{ \"seed\": \"abcd\" }")]
#[case::bad_digit(
    "{ \"seed\": \"zzzz000000000000000000000000000000000000000000000000000000000000\" }"
)]
#[case::number("{ \"seed\": 31337 }")]
fn findings_of_a_key_file_hide_the_seed(#[case] text: &str) {
    let findings = KeyFile::parse("a", text).expect_err("faulty").to_string();

    let expected = "a:1:11: `seed` must be a string of 64 lower-case hexadecimal digits";
    assert_eq!(findings, expected);
}
