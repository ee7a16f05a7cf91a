//! Parses the settings of `amaranthwick-planner`.

use std::ops::RangeInclusive;
use std::path::Path;

use anyhow::Result;

use super::common::{COMMON_FIELDS, parse_common};
use super::model::PlannerConfig;
use crate::finding::Findings;
use crate::jsonc::{self, Node};

const LEASE_MS: RangeInclusive<u64> = 100..=600_000;
const SNAPSHOT_EVERY: RangeInclusive<u64> = 1..=1_000_000;

impl PlannerConfig {
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
        jsonc::read(file, text, |node| parse_planner(file, node))
    }
}

fn parse_planner(file: &str, node: Node<'_>) -> Option<PlannerConfig> {
    let own_fields = ["lease_ms", "snapshot_every"];
    let known: Vec<&str> = COMMON_FIELDS.into_iter().chain(own_fields).collect();
    let fields = node.fields(&known)?;
    let common = parse_common(file, &fields);
    let lease_ms = fields
        .required("lease_ms")
        .and_then(|n| n.number(&LEASE_MS));
    let snapshot_every = fields
        .required("snapshot_every")
        .and_then(|n| n.number(&SNAPSHOT_EVERY));
    Some(PlannerConfig {
        common: common?,
        lease_ms: lease_ms?,
        snapshot_every: snapshot_every?,
    })
}
