//! Parses the settings of `amaranthwick-entry`.

use std::ops::RangeInclusive;
use std::path::Path;

use anyhow::Result;

use super::common::{COMMON_FIELDS, parse_common};
use super::model::EntryConfig;
use crate::finding::Findings;
use crate::jsonc::{self, Node};

const THREADS: RangeInclusive<u64> = 1..=64;
const MAX_CALLERS: RangeInclusive<u64> = 1..=1_000_000;
const MAX_BODY_BYTES: RangeInclusive<u64> = 1_024..=1_073_741_824;
const STALE_MS: RangeInclusive<u64> = 100..=600_000;
const DRAIN_MS: RangeInclusive<u64> = 0..=600_000;

const ENTRY_FIELDS: [&str; 6] = [
    "callers",
    "threads",
    "max_callers",
    "max_body_bytes",
    "stale_ms",
    "drain_ms",
];

impl EntryConfig {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Fails when the file can't be read, or with all findings in it.
    pub fn read(path: &Path) -> Result<Self> {
        super::read(path, Self::parse)
    }

    /// Parses and checks `text`; a relative `secret_file` is resolved against the directory of
    /// `file`.
    ///
    /// # Errors
    /// Returns all findings.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        jsonc::read(file, text, |node| parse_entry(file, node))
    }
}

fn parse_entry(file: &str, node: Node<'_>) -> Option<EntryConfig> {
    let known: Vec<&str> = COMMON_FIELDS.into_iter().chain(ENTRY_FIELDS).collect();
    let fields = node.fields(&known)?;
    let common = parse_common(file, &fields);
    let callers = fields.required("callers").and_then(Node::address);
    let threads = fields.required("threads").and_then(|n| n.number(&THREADS));
    let max_callers = fields
        .required("max_callers")
        .and_then(|n| n.number(&MAX_CALLERS));
    let max_body_bytes = fields
        .required("max_body_bytes")
        .and_then(|n| n.number(&MAX_BODY_BYTES));
    let stale_ms = fields
        .required("stale_ms")
        .and_then(|n| n.number(&STALE_MS));
    let drain_ms = fields
        .required("drain_ms")
        .and_then(|n| n.number(&DRAIN_MS));
    Some(EntryConfig {
        common: common?,
        callers: callers?,
        threads: threads?,
        max_callers: max_callers?,
        max_body_bytes: max_body_bytes?,
        stale_ms: stale_ms?,
        drain_ms: drain_ms?,
    })
}
