//! Adds and removes callers' keys in the text of a document and keeps its comments.

use std::fmt;

use jsonc_parser::cst::{CstInputValue, CstObject, CstRootNode};

use super::hex;
use crate::finding::Findings;
use crate::id::{KeyId, TeamId};
use crate::jsonc::{self, Node};

/// Why a key could not be added or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyEditError {
    /// The text has faults on the path to the keys of the team.
    Invalid(Findings),
    /// The text has no section of this team.
    NoTeam(TeamId),
    /// The section already has a key with this name.
    KeyExists(KeyId),
    /// The section has no key with this name.
    NoKey(KeyId),
    /// The syntax tree of the text lacks the object to be changed.
    SyntaxTree,
}

impl fmt::Display for KeyEditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(findings) => findings.fmt(f),
            Self::NoTeam(team) => write!(f, "no section `{team}`"),
            Self::KeyExists(key) => write!(f, "key `{key}` exists already; withdraw it first"),
            Self::NoKey(key) => write!(f, "no key `{key}`"),
            Self::SyntaxTree => f.write_str("the text can't be changed in place"),
        }
    }
}

impl std::error::Error for KeyEditError {}

/// Adds a caller's key, given the hash of its secret, to the section of a team; returns the new
/// text. `file` names the text in findings.
///
/// # Errors
/// Fails when the section is missing or faulty, or already has a key with this name.
pub fn grant_key(
    file: &str,
    text: &str,
    team: &TeamId,
    key: &KeyId,
    hash: &[u8; 32],
) -> Result<String, KeyEditError> {
    let root = parse_tree(file, text, team)?;
    let section = team_object(&root, team)?;
    let keys = section
        .object_value_or_create("keys")
        .ok_or(KeyEditError::SyntaxTree)?;
    if keys.get(key.as_str()).is_some() {
        return Err(KeyEditError::KeyExists(key.clone()));
    }
    let hash = CstInputValue::String(hex::encode(hash));
    let value = CstInputValue::Object(vec![("sha256".to_owned(), hash)]);
    keys.append(key.as_str(), value);
    Ok(root.to_string())
}

/// Removes a caller's key from the section of a team; returns the new text. `file` names the text
/// in findings.
///
/// # Errors
/// Fails when the section is missing or faulty, or has no such key.
pub fn withdraw_key(
    file: &str,
    text: &str,
    team: &TeamId,
    key: &KeyId,
) -> Result<String, KeyEditError> {
    team_object(&parse_tree(file, text, team)?, team)?;
    let path = ["teams", team.as_str(), "keys", key.as_str()];
    jsonc::remove_property(text, &path).ok_or_else(|| KeyEditError::NoKey(key.clone()))
}

fn parse_tree(file: &str, text: &str, team: &TeamId) -> Result<CstRootNode, KeyEditError> {
    let path = ["teams", team.as_str(), "keys"];
    let findings =
        jsonc::decode_partial(file, text, |root| report_path_faults(root, &path)).findings;
    if !findings.is_empty() {
        return Err(KeyEditError::Invalid(Findings(findings)));
    }
    CstRootNode::parse(text, &jsonc::OPTIONS).map_err(|_| KeyEditError::SyntaxTree)
}

/// Reports duplicate field names and values that are not objects along `path`.
fn report_path_faults(node: Node<'_>, path: &[&str]) {
    let entries = node.entries().unwrap_or_default();
    let Some((key, rest)) = path.split_first() else {
        return;
    };
    if let Some(entry) = entries.iter().find(|entry| entry.key == *key) {
        report_path_faults(entry.node, rest);
    }
}

fn team_object(root: &CstRootNode, team: &TeamId) -> Result<CstObject, KeyEditError> {
    let teams = root
        .object_value()
        .and_then(|root| root.object_value("teams"));
    let section = teams.and_then(|teams| teams.object_value(team.as_str()));
    section.ok_or_else(|| KeyEditError::NoTeam(team.clone()))
}
