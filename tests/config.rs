//! Tests of settings files and the findings in them.

use std::fs;
use std::path::PathBuf;

use amaranthwick::config::{EntryConfig, OperatorConfig, PlannerConfig};
use amaranthwick::document::{example, hex};
use rstest::rstest;

const ENTRY: &str = include_str!("../examples/entry.jsonc");
const PLANNER: &str = include_str!("../examples/planner.jsonc");
const OPERATOR: &str = include_str!("../examples/operator.jsonc");

#[test]
fn example_settings_are_valid() {
    let entry = EntryConfig::parse("entry.jsonc", ENTRY).expect("entry");
    let planner = PlannerConfig::parse("planner.jsonc", PLANNER).expect("planner");
    let operator = OperatorConfig::parse("examples/operator.jsonc", OPERATOR).expect("operator");

    assert_eq!(entry.stale_ms, 10_000);
    assert_eq!(
        entry.common.root_key,
        example::operator_key("root").public()
    );
    assert_eq!(planner.common.id.as_str(), "planner-1");
    assert_eq!(planner.common.peers.len(), 2);
    assert_eq!(
        operator.key_file.to_str(),
        Some("examples/herds-ops.key.jsonc")
    );
}

fn findings(text: &str) -> String {
    match EntryConfig::parse("a", text) {
        Ok(_) => String::new(),
        Err(findings) => findings.to_string(),
    }
}

/// Writes settings whose secret is in a file beside them; returns the path of the settings.
fn write_settings_with_secret_file(name: &str, secret: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&directory).expect("directory");
    let inline = hex::encode(&example::fleet_secret());
    let text = ENTRY.replace(
        &format!("\"secret\": \"{inline}\""),
        "\"secret_file\": \"fleet.secret\"",
    );
    fs::write(directory.join("fleet.secret"), secret).expect("secret");
    fs::write(directory.join("entry.jsonc"), text).expect("settings");
    directory.join("entry.jsonc")
}

#[rstest]
#[case::unit_in_value(
    "\"stale_ms\": 10000",
    "\"stale_ms\": \"2s\"",
    "a:32:15: wrong unit: `stale_ms` holds a whole number of milliseconds, found \"2s\""
)]
#[case::unit_in_name(
    "\"max_body_bytes\": 1048576",
    "\"max_body_mb\": 1",
    "a:2:1: missing field `max_body_bytes`\na:30:3: unknown field `max_body_mb`, wrong unit: `max_body_bytes` holds a whole number of bytes"
)]
#[case::out_of_range(
    "\"threads\": 2",
    "\"threads\": 0",
    "a:26:14: `threads` must be 1 to 64, found 0"
)]
#[case::host_name(
    "127.0.0.1:8080",
    "localhost:8080",
    "a:24:14: `callers` must be an IP address and port such as 127.0.0.1:7100, found \"localhost:8080\""
)]
#[case::bad_id(
    "\"entry-1\"",
    "\"Entry 1\"",
    "a:4:9: bad name \"Entry 1\": 1 to 63 lower-case letters, digits and `-` are allowed"
)]
#[case::no_service(
    "    \"vms\": \"127.0.0.1:7001\",\n",
    "",
    "a:12:15: missing field `vms`"
)]
#[case::planner_field(
    "\"threads\": 2",
    "\"threads\": 2, \"lease_ms\": 5000",
    "a:26:17: unknown field `lease_ms`"
)]
#[case::both_secrets(
    "\"threads\": 2",
    "\"threads\": 2, \"secret_file\": \"x\"",
    "a:26:32: give either `secret` or `secret_file`, not both"
)]
#[case::two_faults(
    "\"drain_ms\": 5000",
    "\"drain_ms\": 5000.5, \"drain_ms\": 1",
    "a:34:15: `drain_ms` must be a whole number of milliseconds, found 5000.5\na:34:23: duplicate key `drain_ms`, first at 34:3"
)]
fn faults_of_settings_have_a_place(#[case] old: &str, #[case] new: &str, #[case] expected: &str) {
    assert_eq!(ENTRY.matches(old).count(), 1, "{old}");

    let findings = findings(&ENTRY.replace(old, new));

    assert_eq!(findings, expected);
}

#[test]
fn findings_hide_the_secret() {
    let secret = hex::encode(&example::fleet_secret());
    let text = ENTRY.replace(&secret, &secret[..60]);

    let findings = findings(&text);

    assert!(!findings.contains(&secret[..8]), "{findings}");
    assert!(
        findings.contains("`secret` must be a string of 64"),
        "{findings}"
    );
}

#[test]
fn secret_is_read_from_a_file_beside_the_settings() {
    let secret = hex::encode(&example::fleet_secret());
    let path = write_settings_with_secret_file("secret-file", &format!("{secret}\n"));

    let config = EntryConfig::read(&path).expect("settings");

    let inline = EntryConfig::parse("a", ENTRY).expect("settings");
    let mac = inline.common.secret.mac(&[b"x"]);
    assert!(config.common.secret.verify(&[b"x"], &mac));
}

#[rstest]
#[case::short("12ab", "must hold 64 lower-case hexadecimal digits")]
#[case::empty("", "must hold 64 lower-case hexadecimal digits")]
fn bad_secret_file_is_named(#[case] secret: &str, #[case] expected: &str) {
    let path = write_settings_with_secret_file(&format!("bad-secret-{}", secret.len()), secret);

    let error = EntryConfig::read(&path).expect_err("refused").to_string();

    assert!(error.contains(":20:18: `secret_file` "), "{error}");
    assert!(error.contains(expected), "{error}");
    assert!(secret.is_empty() || !error.contains(secret), "{error}");
}

#[test]
fn missing_files_are_named() {
    let inline = hex::encode(&example::fleet_secret());
    let text = ENTRY.replace(
        &format!("\"secret\": \"{inline}\""),
        "\"secret_file\": \"no-such-file\"",
    );

    let settings = EntryConfig::read(&PathBuf::from("no-such-settings.jsonc"));

    assert!(findings(&text).contains("`secret_file` no-such-file can't be read"));
    let error = settings.expect_err("refused").to_string();
    assert_eq!(error, "read no-such-settings.jsonc");
}
