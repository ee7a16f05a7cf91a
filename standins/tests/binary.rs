//! The `amaranthwick-standins` binary: its options, output and error messages.

mod common;

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use common::request;

const BINARY: &str = env!("CARGO_BIN_EXE_amaranthwick-standins");

/// A child process that is killed when dropped.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn spec_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

fn spawn(spec: &PathBuf) -> ChildGuard {
    let child = Command::new(BINARY)
        .arg("--spec")
        .arg(spec)
        .stdout(Stdio::piped())
        .spawn();
    ChildGuard(child.unwrap())
}

fn lines_until_ready(child: &mut ChildGuard) -> Vec<String> {
    let out = BufReader::new(child.0.stdout.take().unwrap());
    let lines = out.lines().map(Result::unwrap);
    lines.take_while(|line| line != "event=ready").collect()
}

fn address(lines: &[String], site: &str) -> SocketAddr {
    let prefix = format!("site={site} ");
    let line = lines.iter().find(|line| line.starts_with(&prefix)).unwrap();
    line.rsplit_once("address=").unwrap().1.parse().unwrap()
}

#[test]
fn prints_an_address_for_each_site_and_serves_there() {
    let spec = spec_file(
        "fleet.json",
        r#"{"classes": {"small": {"kind": "executor"}},
            "data_centres": {"split": {"vms": {"small": 1}}}}"#,
    );
    let mut child = spawn(&spec);

    let lines = lines_until_ready(&mut child);
    let vms = request(address(&lines, "vms"), "GET /vms", &[], "").json();
    let executor = address(&lines, "executor:split-small-0");
    let echoed = request(executor, "POST /", &[], "sheep");
    let faults = request(address(&lines, "control"), "GET /faults", &[], "");

    assert_eq!(lines.len(), 6);
    assert_eq!(vms["vms"][0]["address"], executor.to_string());
    assert_eq!((echoed.text().as_str(), faults.status), ("sheep", 200));
}

#[test]
fn reports_the_position_of_an_error_in_the_spec() {
    let spec = spec_file("odd.json", "{\n  \"racks\": 3\n}");

    let output = Command::new(BINARY)
        .arg("--spec")
        .arg(&spec)
        .output()
        .unwrap();

    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert!(
        stderr.contains("odd.json") && stderr.contains("line 2"),
        "{stderr}"
    );
    assert!(stderr.contains("unknown field `racks`"), "{stderr}");
}

#[test]
fn reports_all_errors_in_the_spec_together() {
    let spec = spec_file(
        "faults.json",
        r#"{"classes": {"a": {"slots": 0}, "b": {}, "x-b": {}},
            "data_centres": {
                "split": {"vms": {"none": 1}, "per_rack": 0},
                "one": {"vms": {"x-b": 1}},
                "one-x": {"vms": {"b": 1}}}}"#,
    );

    let output = Command::new(BINARY)
        .arg("--spec")
        .arg(&spec)
        .output()
        .unwrap();

    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    for message in [
        "class a: slots and connections must be above 0",
        "data centre split: per_rack must be above 0",
        "data centre split: unknown class none",
        "two VMs have the name one-x-b-0",
    ] {
        assert!(stderr.contains(message), "{message} is not in {stderr}");
    }
}
