//! Tests of `amaranthwick dev` and its smoke test.

mod support;

use rstest::rstest;
use support::operator::run_command;

const CHECKS: [&str; 13] = [
    "open_queue",
    "keyed_queue",
    "every_entry",
    "urgent",
    "deadline",
    "late_deadline",
    "job_submit",
    "job_get",
    "job_delete",
    "refused_key",
    "unknown_queue",
    "bad_document",
    "edited_document",
];

#[rstest]
#[case::neretva("neretva")]
#[case::kon_jalan("kon-jalan")]
fn the_smoke_test_passes_on_each_example(#[case] example: &str) {
    let ended = run_command(&["dev", "--smoke", "--example", example]);

    let lines: Vec<_> = ended.stdout.lines().collect();
    let expected = CHECKS.map(|check| format!("check={check} result=ok"));
    assert_eq!(lines, expected, "{}", ended.stderr);
    assert_eq!(ended.exit_code, Some(0));
}

#[test]
fn an_unknown_example_is_a_usage_error() {
    let ended = run_command(&["dev", "--example", "nowhere"]);

    assert_eq!(ended.exit_code, Some(2));
    assert!(
        ended.stderr.contains("neretva, kon-jalan"),
        "{}",
        ended.stderr
    );
}
