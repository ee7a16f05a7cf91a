//! Checks that no key has two holders.

use indexmap::IndexMap;

use super::{LocatedSections, LocatedTeam};
use crate::document::PublicKey;
use crate::finding::Finding;
use crate::id::{KeyId, OperatorId};
use crate::jsonc::SectionSource;

pub(super) fn check(sections: &LocatedSections<'_>) -> Vec<Finding> {
    let mut findings = duplicate_caller_keys(sections);
    findings.extend(duplicate_operator_keys(sections));
    findings
}

struct CallerKey<'p, 't> {
    team: &'p LocatedTeam<'t>,
    id: &'p KeyId,
}

/// Finds caller keys listed twice: a withdrawn key would still work through its other listing.
fn duplicate_caller_keys(sections: &LocatedSections<'_>) -> Vec<Finding> {
    let mut first: IndexMap<&[u8; 32], CallerKey<'_, '_>> = IndexMap::new();
    let mut findings = Vec::new();
    for team in &sections.teams {
        for (id, key) in &team.section.keys {
            let Some(other) = first.get(&key.sha256) else {
                first.insert(&key.sha256, CallerKey { team, id });
                continue;
            };
            let path = ["keys", other.id.as_str()];
            let place = other.team.site.reference(&path);
            let (other_team, other_id) = (other.team.id, other.id);
            let message =
                format!("key `{id}` is the same as `{other_id}` of `{other_team}` at {place}");
            let path = ["keys", id.as_str(), "sha256"];
            findings.push(team.site.finding(&path, message));
        }
    }
    findings
}

struct OperatorKeyHolder<'p, 't> {
    site: &'p SectionSource<'t>,
    id: &'p OperatorId,
}

/// Finds operator keys with two names: an edit signed by such a key can't be attributed. An
/// operator may edit several sections under one name.
fn duplicate_operator_keys(sections: &LocatedSections<'_>) -> Vec<Finding> {
    let mut first: IndexMap<&PublicKey, OperatorKeyHolder<'_, '_>> = IndexMap::new();
    let mut findings = Vec::new();
    let fleet = (&sections.fleet_site, &sections.fleet.operators);
    let teams = sections.teams.iter();
    let teams = teams.map(|team| (&team.site, &team.section.operators));
    for (site, operators) in std::iter::once(fleet).chain(teams) {
        for (id, key) in operators {
            let Some(other) = first.get(key) else {
                first.insert(key, OperatorKeyHolder { site, id });
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
