//! Names that must be unique in the whole document.

use indexmap::IndexMap;

use super::{Parts, TeamPart};
use crate::finding::Finding;

pub(super) fn check(parts: &Parts<'_>) -> Vec<Finding> {
    let mut pools = Uses::new("pool", "pools");
    let mut queues = Uses::new("queue", "queues");
    for part in &parts.teams {
        for id in part.team.pools.keys() {
            pools.add(part, id.as_str());
        }
        for id in part.team.queues.keys() {
            queues.add(part, id.as_str());
        }
    }
    let mut findings = pools.findings;
    findings.extend(queues.findings);
    findings.extend(spares(parts));
    findings
}

/// First use of each name of one kind.
struct Uses<'p, 't> {
    kind: &'static str,
    field: &'static str,
    first: IndexMap<&'p str, &'p TeamPart<'t>>,
    findings: Vec<Finding>,
}

impl<'p, 't> Uses<'p, 't> {
    fn new(kind: &'static str, field: &'static str) -> Self {
        Self {
            kind,
            field,
            first: IndexMap::new(),
            findings: Vec::new(),
        }
    }

    fn add(&mut self, part: &'p TeamPart<'t>, name: &'p str) {
        let Some(first) = self.first.get(name) else {
            self.first.insert(name, part);
            return;
        };
        let path = [self.field, name];
        let place = first.site.reference(&path);
        let (kind, team) = (self.kind, first.id);
        let message = format!("{kind} `{name}` is in section `{team}` too, at {place}");
        self.findings.push(part.site.finding(&path, message));
    }
}

/// A class has one spare pool, so that a replacement has one source.
fn spares(parts: &Parts<'_>) -> Vec<Finding> {
    let mut first = IndexMap::new();
    let mut findings = Vec::new();
    for pool in parts.pools().filter(|pool| pool.spec.spare) {
        let class = &pool.spec.class;
        if let Some(other) = first.insert(class, pool) {
            let place = other.reference();
            let message = format!("class `{class}` has another spare pool at {place}");
            findings.push(pool.finding("spare", message));
        }
    }
    findings
}
