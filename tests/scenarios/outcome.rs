//! Describes results of requests and commands in text that is the same in every run.

use amaranthwick::http::{Reply, SendError};

use crate::support::caller::{body_json, body_text};
use crate::support::operator::CommandOutput;

/// Describes a reply by its status and outcome, or its body if it has no outcome, and a failed
/// request by whether any of it was sent.
pub fn describe_response(result: &Result<Reply, SendError>) -> String {
    match result {
        Ok(reply) => match body_json(reply)["outcome"].as_str() {
            Some(outcome) => format!("{} {outcome}", reply.status),
            None => format!("{} answered {:?}", reply.status, body_text(reply)),
        },
        Err(SendError::NotSent(_)) => "not sent".to_owned(),
        Err(SendError::MaybeReceived(_)) => "cut".to_owned(),
    }
}

/// Returns what a command printed, without offsets and record ids, and its exit code.
///
/// What it wrote to stderr goes to the log of the test: scripts don't show it, as it has addresses.
pub fn describe_command(output: &CommandOutput) -> String {
    eprint!("{}", output.stderr);
    let lines = output.stdout.lines().map(without_offset);
    let mut words: Vec<String> = lines.collect();
    if words.is_empty() {
        words.push("no verdict".to_owned());
    }
    words.push(format!("exit={}", output.exit_code.unwrap_or(-1)));
    words.join("\n")
}

/// Removes `offset=` fields, and all text before a finding's place in the document.
fn without_offset(line: &str) -> String {
    let words = line.split(' ').filter(|word| !word.starts_with("offset="));
    let line: Vec<_> = words.collect();
    let line = line.join(" ");
    match line.find("document.jsonc:") {
        Some(start) => line[start..].to_owned(),
        None => line,
    }
}
