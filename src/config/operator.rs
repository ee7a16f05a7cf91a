//! Parses the settings of the `amaranthwick` command.

use std::path::Path;

use anyhow::Result;

use super::model::OperatorConfig;
use super::resolve_path;
use crate::finding::Findings;
use crate::id::OperatorId;
use crate::jsonc::{self, Node};

impl OperatorConfig {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Fails when the file can't be read, or with all findings in it.
    pub fn read(path: &Path) -> Result<Self> {
        super::read(path, Self::parse)
    }

    /// Parses and checks `text`; the key file is not opened.
    ///
    /// # Errors
    /// Returns all findings.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        jsonc::read(file, text, |node| parse_operator(file, node))
    }
}

fn parse_operator(file: &str, node: Node<'_>) -> Option<OperatorConfig> {
    let fields = node.fields(&["log", "admins", "operator", "key_file"])?;
    let log = fields.required("log").and_then(Node::address);
    let admins = fields.required("admins").and_then(|n| n.map(Node::address));
    let operator = fields.required("operator").and_then(Node::name);
    let key_file = fields.required("key_file").and_then(Node::text);
    Some(OperatorConfig {
        log: log?,
        admins: admins?,
        operator: OperatorId::from(operator?),
        key_file: resolve_path(file, key_file?),
    })
}
