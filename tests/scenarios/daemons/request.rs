//! Builds and sends callers' requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use amaranthwick::http::{ClientLimits, Reply, Request, SendError, send};
use futures_lite::future::block_on;

use super::background::Work;
use super::deployment::Deployment;
use crate::args::{Args, ScriptError};
use crate::outcome;
use crate::support::caller::{request_with_secret, request_without_key, team_request, with_header};
use crate::support::wait::wait_until;

impl Deployment {
    /// Parses a request to an entry; the returned task sends it `times` times, first until a reply
    /// has the status `until`, if given.
    pub fn prepare_request(&self, args: &mut Args) -> Result<Work, ScriptError> {
        let entry = self.daemon(args.positional("entry")?)?;
        let address = entry.caller_address.ok_or("a planner has no callers")?;
        let until = args.number("until")?;
        let times = args.number("times")?.unwrap_or(1);
        let request = parse_request(args)?;
        Ok(Box::new(move || {
            if let Some(status) = until {
                repeat_until_status(address, &request, status);
            }
            count_outcomes(
                (0..times).map(|_| outcome::describe_response(&send_blocking(address, &request))),
            )
        }))
    }
}

fn send_blocking(address: SocketAddr, request: &Request) -> Result<Reply, SendError> {
    block_on(send(address, request, &ClientLimits::default()))
}

fn repeat_until_status(address: SocketAddr, request: &Request, status: u16) {
    wait_until(&format!("status {status}"), || {
        send_blocking(address, request).is_ok_and(|reply| reply.status == status)
    });
}

/// Lists each outcome once, with the number of times that it occurred if more than 1.
fn count_outcomes(outcomes: impl Iterator<Item = String>) -> String {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for outcome in outcomes {
        *counts.entry(outcome).or_default() += 1;
    }
    let lines = counts.iter().map(|(outcome, &times)| match times {
        1 => outcome.clone(),
        _ => format!("{outcome} times={times}"),
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn parse_request(args: &mut Args) -> Result<Request, ScriptError> {
    let path = format!("/q/{}/scenario", args.positional("queue")?);
    let body = args.option("body").unwrap_or_default();
    let method = args.option("method").unwrap_or("POST");
    let mut request = match args.option("team") {
        None => request_without_key(method, &path, body),
        Some("nobody") => request_with_secret(method, &path, &[0xee; 32], body),
        Some(team) => team_request(method, &path, team, body),
    };
    if let Some(ms) = args.option("run") {
        request = with_header(request, "x-run-ms", ms);
    }
    if let Some(urgency) = args.option("urgency") {
        request = with_header(request, "priority", &format!("u={urgency}"));
    }
    if let Some(seconds) = args.option("wait") {
        request = with_header(request, "prefer", &format!("wait={seconds}"));
    }
    if let Some(key) = args.option("once") {
        request = with_header(request, "idempotency-key", key);
    }
    Ok(request)
}
