use rstest::rstest;

use super::metrics::{MEMBERS_ALIVE, Metrics, REQUEST_US, REQUESTS};
use super::pair::write_pair;

fn pair(key: &str, value: &str) -> String {
    let mut line = String::new();
    write_pair(&mut line, key, value).unwrap();
    line
}

#[rstest]
#[case("127.0.0.1:4000", "k=127.0.0.1:4000")]
#[case("", "k=\"\"")]
#[case("two words", "k=\"two words\"")]
#[case("a\nlevel=error event=forged", "k=\"a\\nlevel=error event=forged\"")]
#[case("say \"no\"", "k=\"say \\\"no\\\"\"")]
#[case("C:\\dir", "k=\"C:\\\\dir\"")]
#[case("a=b", "k=\"a=b\"")]
#[case("Boškarin", "k=Boškarin")]
#[case("\u{1b}[31m", "k=\"\\u{1b}[31m\"")]
#[case("a\u{2028}b", "k=\"a\\u{2028}b\"")]
fn ambiguous_value_is_quoted_and_escaped(#[case] value: &str, #[case] expected: &str) {
    assert_eq!(pair("k", value), expected);
}

#[test]
fn key_cannot_start_another_pair() {
    assert_eq!(pair("a b=c", "v"), "a_b_c=v");
}

#[test]
fn series_are_aggregated_by_name_and_tags() {
    let metrics = Metrics::new();
    metrics.count(REQUESTS, 2, &[("queue", "herd"), ("outcome", "answered")]);
    metrics.count(REQUESTS, 3, &[("queue", "herd"), ("outcome", "answered")]);
    metrics.count(REQUESTS, 1, &[("queue", "herd"), ("outcome", "not_run")]);
    metrics.gauge(MEMBERS_ALIVE, 9, &[]);
    metrics.gauge(MEMBERS_ALIVE, 4, &[]);
    for value in 1..=100 {
        metrics.record(REQUEST_US, value, &[]);
    }

    let snapshot = metrics.snapshot();

    assert_eq!(
        snapshot,
        "metric=members_alive value=4\n\
         metric=request_us count=100 min=1 p50=50 p90=90 p99=99 max=100\n\
         metric=requests_total queue=herd outcome=answered value=5\n\
         metric=requests_total queue=herd outcome=not_run value=1\n\
         metric=series_dropped value=0\n"
    );
}

#[test]
fn tag_value_cannot_start_another_line() {
    let metrics = Metrics::new();

    metrics.count(REQUESTS, 1, &[("queue", "a,b:c|g\nmetric=forged")]);

    let snapshot = metrics.snapshot();
    assert_eq!(
        snapshot,
        "metric=requests_total queue=\"a_b_c_g_metric=forged\" value=1\n\
         metric=series_dropped value=0\n"
    );
}

#[test]
fn samples_beyond_the_series_limit_are_dropped_and_counted() {
    let metrics = Metrics::new();

    for i in 0..4_100 {
        metrics.count(REQUESTS, 1, &[("queue", &i.to_string())]);
    }

    let snapshot = metrics.snapshot();
    assert_eq!(snapshot.lines().count(), 4_097);
    assert!(snapshot.ends_with("metric=series_dropped value=4\n"));
}
