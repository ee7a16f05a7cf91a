//! Checks that names of pools and queues are unique in the document, and that a class has at most
//! one spare pool.

use indexmap::IndexMap;

use super::{LocatedSections, LocatedTeam};
use crate::finding::Finding;

pub(super) fn check(sections: &LocatedSections<'_>) -> Vec<Finding> {
    let mut pools = UniqueNames::new("pool", "pools");
    let mut queues = UniqueNames::new("queue", "queues");
    for team in &sections.teams {
        for id in team.section.pools.keys() {
            pools.add(team, id.as_str());
        }
        for id in team.section.queues.keys() {
            queues.add(team, id.as_str());
        }
    }
    let mut findings = pools.findings;
    findings.extend(queues.findings);
    findings.extend(duplicate_spares(sections));
    findings
}

/// Names of pools or of queues seen so far, and findings about those seen twice.
struct UniqueNames<'p, 't> {
    kind: &'static str,
    field: &'static str,
    first: IndexMap<&'p str, &'p LocatedTeam<'t>>,
    findings: Vec<Finding>,
}

impl<'p, 't> UniqueNames<'p, 't> {
    fn new(kind: &'static str, field: &'static str) -> Self {
        Self {
            kind,
            field,
            first: IndexMap::new(),
            findings: Vec::new(),
        }
    }

    fn add(&mut self, team: &'p LocatedTeam<'t>, name: &'p str) {
        let Some(first) = self.first.get(name) else {
            self.first.insert(name, team);
            return;
        };
        let path = [self.field, name];
        let place = first.site.reference(&path);
        let (kind, other_team) = (self.kind, first.id);
        let message = format!("{kind} `{name}` is in section `{other_team}` too, at {place}");
        self.findings.push(team.site.finding(&path, message));
    }
}

/// Finds classes with several spare pools; with one at most, replacement VMs have a single source.
fn duplicate_spares(sections: &LocatedSections<'_>) -> Vec<Finding> {
    let mut first = IndexMap::new();
    let mut findings = Vec::new();
    for pool in sections.pools().filter(|pool| pool.spec.spare) {
        let class = &pool.spec.class;
        if let Some(other) = first.insert(class, pool) {
            let place = other.reference();
            let message = format!("class `{class}` has another spare pool at {place}");
            findings.push(pool.finding("spare", message));
        }
    }
    findings
}
