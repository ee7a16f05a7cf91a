//! Tests of the findings in a capacity document: message and place of each.

use amaranthwick::document::{self, example, format_secret};
use rstest::rstest;

const SMALL: &str = include_str!("data/small.jsonc");

/// The small document with `new` in place of `old`, which must occur once.
fn edited(old: &str, new: &str) -> String {
    assert_eq!(SMALL.matches(old).count(), 1, "{old}");
    SMALL.replace(old, new)
}

fn findings(text: &str) -> Vec<String> {
    match document::parse("a", text) {
        Ok(_) => Vec::new(),
        Err(findings) => findings.0.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn small_document_is_valid() {
    assert_eq!(findings(SMALL), [""; 0]);
}

#[rstest]
#[case::empty("", "a:1:1: expected an object, found nothing")]
#[case::not_closed("{", "a:1:1: unterminated object")]
#[case::stray_word("{ \"fleet\": yes }", "a:1:12: unexpected word")]
#[case::no_comma(
    "{ \"fleet\": 1 \"teams\": 2 }",
    "a:1:14: expected a comma before this"
)]
#[case::name_without_quotes("{ fleet: 1 }", "a:1:3: expected a field name in double quotes")]
#[case::string_not_closed("{\n  \"šćž\": \"a }", "a:2:10: string is not closed")]
#[case::two_values("{}\n{}", "a:2:1: text cannot contain more than one JSON value")]
#[case::array("[]", "a:1:1: the whole text must be an object, found an array")]
#[case::byte_order_mark("\u{feff}{}", "a:1:1: the file starts with a byte order mark")]
#[case::comment_not_closed("{ /* ", "a:1:3: unterminated comment block")]
fn syntax_errors_have_a_place(#[case] text: &str, #[case] expected: &str) {
    assert_eq!(findings(text), [expected]);
}

#[rstest]
#[case::unknown_field(
    "\"share\": 2",
    "\"shares\": 2",
    "a:23:14: missing field `share`\na:24:7: unknown field `shares` (did you mean `share`?)"
)]
#[case::wrong_unit_in_name(
    "\"wait_ms\": 500",
    "\"wait_s\": 5",
    "a:30:18: missing field `wait_ms`\na:30:93: unknown field `wait_s`, wrong unit: `wait_ms` holds a whole number of milliseconds"
)]
#[case::wrong_unit_in_value(
    "\"wait_ms\": 500",
    "\"wait_ms\": \"30s\"",
    "a:30:104: wrong unit: `wait_ms` holds a whole number of milliseconds, found \"30s\""
)]
#[case::fraction(
    "\"wait_ms\": 500",
    "\"wait_ms\": 0.5",
    "a:30:104: `wait_ms` must be a whole number of milliseconds, found 0.5"
)]
#[case::exponent(
    "\"wait_ms\": 500",
    "\"wait_ms\": 1e3",
    "a:30:104: `wait_ms` must be a whole number of milliseconds, found 1e3"
)]
#[case::negative(
    "\"wait_ms\": 500",
    "\"wait_ms\": -1",
    "a:30:104: `wait_ms` must be 1 to 86400000 milliseconds, found -1"
)]
#[case::too_large(
    "\"wait_ms\": 500",
    "\"wait_ms\": 99999999999999999999",
    "a:30:104: `wait_ms` must be 1 to 86400000 milliseconds, found 99999999999999999999"
)]
#[case::zero_share(
    "\"share\": 2",
    "\"share\": 0",
    "a:24:16: `share` must be 1 to 1000000, found 0"
)]
#[case::wrong_type(
    "\"ceiling\": 20",
    "\"ceiling\": [20]",
    "a:25:18: `ceiling` must be a whole number, found an array"
)]
#[case::not_an_object(
    "{ \"north\": 2, \"south\": 1 }",
    "3",
    "a:27:65: `vms` must be an object, found 3"
)]
#[case::bad_choice(
    "\"teams\", \"max",
    "\"all\", \"max",
    "a:30:47: `access` must be one of \"open\", \"teams\", \"own\", found \"all\""
)]
#[case::bad_name(
    "\"stock\"",
    "\"Stock_1\"",
    "a:39:9: bad name \"Stock_1\": 1 to 63 lower-case letters, digits and `-` are allowed"
)]
#[case::empty_name(
    "\"stock\"",
    "\"\"",
    "a:39:9: bad name \"\": 1 to 63 lower-case letters, digits and `-` are allowed"
)]
#[case::slots_of_a_worker(
    "\"memory_mb\": 32768",
    "\"memory_mb\": 32768, \"slots\": 8",
    "a:10:78: `slots` is for executors; a worker has none"
)]
#[case::no_slots("\"slots\": 8, ", "", "a:9:16: missing field `slots`")]
#[case::no_operators(
    "{ \"fleet-ops\": \"6dec782e9a4e45f505389496783a5cf345d3e9a6be3973817054565cf5af0f93\" }",
    "{}",
    "a:16:18: `operators` must not be empty"
)]
#[case::duplicate_key(
    "\"share\": 2,",
    "\"share\": 2, /* ž */ \"share\": 3,",
    "a:24:27: duplicate key `share`, first at 24:7"
)]
#[case::duplicate_team(
    "\"claims\": {",
    "\"herds\": {",
    "a:35:5: duplicate key `herds`, first at 23:5"
)]
#[case::short_hash(
    "5d4ec8c6d2788e963b2c916b074f3b4ba2a9d487558b08ba93960e1a96323188",
    "5d4e",
    "a:41:36: `sha256` must have 64 hexadecimal digits, found 4"
)]
#[case::bad_digit(
    "\"5d4ec8c6",
    "\"5D4ec8c6",
    "a:41:36: `sha256` must have 64 lower-case hexadecimal digits, found 'D'"
)]
#[case::not_a_key(
    "6dec782e9a4e45f505389496783a5cf345d3e9a6be3973817054565cf5af0f93",
    "0000000000000000000000000000000000000000000000000000000000000000",
    "a:16:33: not an Ed25519 public key"
)]
#[case::team_named_fleet(
    "\"claims\": {",
    "\"fleet\": {",
    "a:35:5: `fleet` can't be the name of a team\na:35:5: team `fleet` has no owner at a:17:5"
)]
fn faults_of_a_section_have_a_place(#[case] old: &str, #[case] new: &str, #[case] expected: &str) {
    let findings = findings(&edited(old, new));

    assert_eq!(findings.join("\n"), expected);
}

#[rstest]
#[case::pool_twice(
    "\"stock\":",
    "\"count\":",
    "a:39:9: pool `count` is in section `herds` too, at a:27:9"
)]
#[case::queue_twice(
    "\"share\": 1,",
    "\"share\": 1, \"queues\": { \"count\": { \"pool\": \"stock\", \"access\": \"open\", \"max_queued\": 10, \"max_bytes\": 4096, \"wait_ms\": 500 } },",
    "a:36:31: queue `count` is in section `herds` too, at a:30:9\na:36:50: queue `count` needs a pool that runs a service, see `stock` at a:39:9"
)]
#[case::unknown_class(
    "\"class\": \"large\"",
    "\"class\": \"larg\"",
    "a:39:29: unknown class `larg` (did you mean `large`?); see `classes` at a:8:5"
)]
#[case::unknown_class_of_service(
    "\"class\": \"small\", \"run",
    "\"class\": \"tiny\", \"run",
    "a:13:27: unknown class `tiny`\na:27:49: service `count` runs on class `tiny` at a:13:27, not on `small`"
)]
#[case::service_on_workers(
    "\"class\": \"small\", \"run",
    "\"class\": \"large\", \"run",
    "a:13:27: service `count` needs executors, class `large` is for workers at a:10:26\na:27:49: service `count` runs on class `large` at a:13:27, not on `small`"
)]
#[case::unknown_service(
    "\"service\": \"count\"",
    "\"service\": \"counts\"",
    "a:27:31: unknown service `counts` (did you mean `count`?); see `services` at a:12:5"
)]
#[case::unknown_data_centre(
    "\"vms\": { \"north\": 1,",
    "\"vms\": { \"nort\": 1,",
    "a:39:55: unknown data centre `nort` (did you mean `north`?); see `data_centres` at a:4:5"
)]
#[case::unknown_pool(
    "\"pool\": \"count\"",
    "\"pool\": \"stock\"",
    "a:30:28: unknown pool `stock`; a queue is served by a pool of its own section"
)]
#[case::executors_without_service(
    "\"service\": \"count\", ",
    "",
    "a:27:29: pool `count` of executors needs a `service`\na:30:28: queue `count` needs a pool that runs a service, see `count` at a:27:9"
)]
#[case::ceiling(
    "\"ceiling\": 10",
    "\"ceiling\": 57",
    "a:37:18: ceiling 57 is beyond the fleet: its pools run 56 at a time (24 slots of executors, 32 cores of workers); `stock` runs 32, at a:39:9; `count` runs 24, at a:27:9"
)]
#[case::single_vm(
    "\"vms\": { \"north\": 1, \"south\": 1 }",
    "\"vms\": { \"north\": 1 }",
    "a:39:38: budget nobody can meet: the one VM of pool `stock` can't be stopped, there is no spare of class `large`, and `cycle_days` at a:15:74 asks for it"
)]
#[case::two_spares(
    "\"stock\": {",
    "\"one\": { \"class\": \"large\", \"vms\": {}, \"spare\": true }, \"two\": { \"class\": \"large\", \"vms\": {}, \"spare\": true }, \"stock\": {",
    "a:39:111: class `large` has another spare pool at a:39:9"
)]
#[case::spare_with_service(
    "\"south\": 1 } }\n      },\n      \"queues\"",
    "\"south\": 1 }, \"spare\": true }\n      },\n      \"queues\"",
    "a:27:31: spare pool `count` can't run a service\na:30:28: queue `count` needs a pool that runs a service, see `count` at a:27:9"
)]
#[case::same_caller_key(
    "5d4ec8c6d2788e963b2c916b074f3b4ba2a9d487558b08ba93960e1a96323188",
    "ddab1d12ea07b32593aa4ce09b6744c167db0e4feb8522930a97eb174a9a0b98",
    "a:41:36: key `app` is the same as `app` of `herds` at a:32:17"
)]
#[case::same_operator_key(
    "df441dcf179ddd104c94e534f5e9ff3e63f227b3451e75c78976cddd4573fe84",
    "a9761f3a8e590269f3cfeb735eeaeb2def0180c682f81febec783f5ce5a3d3cb",
    "a:42:36: operator `claims-ops` has the key of `herds-ops` at a:33:35"
)]
#[case::no_owner(
    "      \"herds\": \"943340bb2ac98b7577e14dd6dcedb3599ea5b34ce8ba089e3cd564e2e096816e\",\n",
    "",
    "a:22:5: team `herds` has no owner at a:17:5"
)]
fn faults_between_sections_name_both_places(
    #[case] old: &str,
    #[case] new: &str,
    #[case] expected: &str,
) {
    let findings = findings(&edited(old, new));

    assert_eq!(findings.join("\n"), expected);
}

#[test]
fn a_cycle_too_short_for_all_stops_is_refused() {
    let text = edited("\"cycle_days\": 42", "\"cycle_days\": 1").replace(
        "{ \"north\": 1, \"south\": 1 }",
        "{ \"north\": 283, \"south\": 1 }",
    );

    let findings = findings(&text);

    assert_eq!(
        findings.join("\n"),
        "a:15:74: budget nobody can meet: 285 VMs in `north`, 2 at a time for 605000 ms each, take longer than 1 days; the largest pool there is `stock` at a:39:9"
    );
}

#[rstest]
#[case::secret_as_key(
    "{ \"app\": { \"sha256\": \"5d4ec8c6d2788e963b2c916b074f3b4ba2a9d487558b08ba93960e1a96323188\" } }"
)]
#[case::secret_as_hash("\"5d4ec8c6d2788e963b2c916b074f3b4ba2a9d487558b08ba93960e1a96323188\"")]
fn findings_hide_secrets_in_the_wrong_place(#[case] old: &str) {
    let secret = format_secret(&example::caller_secret("claims"));

    for wrong in [
        format!("\"{secret}\""),
        format!("{{ \"{secret}\": 1 }}"),
        format!("{{ \"app\": \"{secret}\" }}"),
        format!("{{ \"app\": {{ \"{secret}\": 1 }} }}"),
    ] {
        let findings = findings(&edited(old, &wrong)).join("\n");

        assert_ne!(findings, "");
        assert!(!findings.contains("amw_"), "{findings}");
        assert!(!findings.contains(&secret[4..12]), "{findings}");
    }
}

#[test]
fn a_finding_is_one_line() {
    let text = edited(
        "\"share\": 2",
        "\"sha\\nre\": 2, \"on_stale\": \"a\\nb\", \"\\n\": \"c\"",
    );

    let findings = findings(&text);

    let expected = [
        "a:23:14: missing field `share`",
        "a:24:7: unknown field `sha\\nre` (did you mean `share`?)",
        "a:24:33: `on_stale` must be one of \"refuse\", \"serve\", found \"a\\nb\"",
        "a:24:41: unknown field `\\n`",
    ];
    assert_eq!(findings, expected);
}

#[test]
fn all_faults_are_reported_together() {
    let text = edited("\"share\": 2", "\"share\": 0")
        .replace("\"ceiling\": 10", "\"ceiling\": \"ten\"")
        .replace("\"racks\": 1", "\"racks\": 0");

    let findings = findings(&text);

    assert_eq!(
        findings.join("\n"),
        "a:15:47: `racks` must be 1 to 1000, found 0\na:24:16: `share` must be 1 to 1000000, found 0\na:37:18: `ceiling` must be a whole number, found \"ten\""
    );
}
