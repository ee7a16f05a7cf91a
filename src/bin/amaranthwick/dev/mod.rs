//! `amaranthwick dev`: runs a small fleet with stand-ins for the platform.

mod caller;
mod checks;
mod smoke;

use amaranthwick::dev::DevFleet;
use amaranthwick::document::{Access, Document, example, format_secret};
use amaranthwick::id::{QueueId, TeamId};
use amaranthwick::telemetry::log::{self, Stream};
use anyhow::{Context, Result};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::block_on;
use spdlog::Level;

use crate::args;
use crate::exit::Exit;

const DEFAULT_EXAMPLE: &str = "neretva";

/// Names and texts of the example documents, compiled in so that the command needs no files.
const EXAMPLES: [(&str, &str); 2] = [
    (
        "neretva",
        include_str!("../../../../examples/neretva.jsonc"),
    ),
    (
        "kon-jalan",
        include_str!("../../../../examples/kon-jalan.jsonc"),
    ),
];

/// Runs the fleet until SIGTERM or SIGINT, or until the smoke test ends.
pub(crate) fn run(args: &args::Dev) -> Result<Exit> {
    log::init_with_default(Stream::Stderr, Level::Error)?;
    let name = args.example.as_deref().unwrap_or(DEFAULT_EXAMPLE);
    let text = find_example(name)?;
    block_on(async {
        let mut signals = Signals::new([Signal::Term, Signal::Int])?;
        let fleet = DevFleet::open(&format!("{name}.jsonc"), text).await?;
        if args.smoke {
            return smoke::run(&fleet, text).await;
        }
        print_fleet(&fleet);
        signals.next().await;
        Ok(Exit::Done)
    })
}

fn find_example(name: &str) -> Result<&'static str> {
    let found = EXAMPLES.iter().find(|(known, _)| *known == name);
    let names = EXAMPLES.map(|(known, _)| known).join(", ");
    let (_, text) =
        found.with_context(|| format!("unknown example {name:?}; known examples: {names}"))?;
    Ok(text)
}

fn print_fleet(fleet: &DevFleet) {
    for entry in fleet.entries() {
        let (callers, admin) = (entry.caller_address(), entry.admin_address());
        println!("entry={} callers={callers} admin={admin}", entry.id());
    }
    println!(
        "planner=planner-1 admin={}",
        fleet.planner().admin_address()
    );
    println!("log={}", fleet.standins().log_address());
    println!("standins_control={}", fleet.standins().control_address());
    if let Some(line) = curl_line(fleet) {
        println!("\n{line}\n");
    }
    println!("Ctrl-C ends the fleet.");
}

/// Formats a `curl` command that sends a request with a key from the document.
fn curl_line(fleet: &DevFleet) -> Option<String> {
    let entry = fleet.entries().first()?;
    let (team, queue) = find_queue(fleet.document(), Access::Own)?;
    let secret = format_secret(&example::caller_secret(team.as_str()));
    let url = format!("http://{}/q/{queue}/hello", entry.caller_address());
    Some(format!(
        "curl -H 'Authorization: Bearer {secret}' --data 'first request' {url}"
    ))
}

/// Finds the first queue with this kind of access and the team that offers it.
fn find_queue(document: &Document, access: Access) -> Option<(TeamId, QueueId)> {
    document.teams.iter().find_map(|(team, section)| {
        let mut queues = section.queues.iter();
        let (queue, _) = queues.find(|(_, spec)| spec.access == access)?;
        Some((team.clone(), queue.clone()))
    })
}
