//! Keys that must tell one holder from another.

use indexmap::IndexMap;

use super::{Parts, TeamPart};
use crate::document::PublicKey;
use crate::finding::Finding;
use crate::id::{KeyId, OperatorId};
use crate::jsonc::SectionSource;

pub(super) fn check(parts: &Parts<'_>) -> Vec<Finding> {
    let mut findings = callers(parts);
    findings.extend(operators(parts));
    findings
}

struct Entry<'p, 't> {
    part: &'p TeamPart<'t>,
    id: &'p KeyId,
}

/// A caller's key stands for one entry alone, or withdrawing it would leave it working.
fn callers(parts: &Parts<'_>) -> Vec<Finding> {
    let mut first: IndexMap<&[u8; 32], Entry<'_, '_>> = IndexMap::new();
    let mut findings = Vec::new();
    for part in &parts.teams {
        for (id, key) in &part.team.keys {
            let Some(other) = first.get(&key.sha256) else {
                first.insert(&key.sha256, Entry { part, id });
                continue;
            };
            let path = ["keys", other.id.as_str()];
            let place = other.part.site.reference(&path);
            let (team, same) = (other.part.id, other.id);
            let message = format!("key `{id}` is the same as `{same}` of `{team}` at {place}");
            let path = ["keys", id.as_str(), "sha256"];
            findings.push(part.site.finding(&path, message));
        }
    }
    findings
}

struct Holder<'p, 't> {
    site: &'p SectionSource<'t>,
    id: &'p OperatorId,
}

/// An operator may edit several sections, but under one name, or edits could not be attributed.
fn operators(parts: &Parts<'_>) -> Vec<Finding> {
    let mut first: IndexMap<&PublicKey, Holder<'_, '_>> = IndexMap::new();
    let mut findings = Vec::new();
    let fleet = (&parts.fleet, &parts.fleet_value.operators);
    let teams = parts.teams.iter();
    let teams = teams.map(|part| (&part.site, &part.team.operators));
    for (site, operators) in std::iter::once(fleet).chain(teams) {
        for (id, key) in operators {
            let Some(other) = first.get(key) else {
                first.insert(key, Holder { site, id });
                continue;
            };
            if other.id == id {
                continue;
            }
            let place = other.site.reference(&["operators", other.id.as_str()]);
            let message = format!("operator `{id}` has the key of `{}` at {place}", other.id);
            let path = ["operators", id.as_str()];
            findings.push(site.finding(&path, message));
        }
    }
    findings
}
