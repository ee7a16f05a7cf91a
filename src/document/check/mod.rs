//! Checks between sections; each finding names both places.

mod budget;
mod capacity;
mod key;
mod name;
mod reference;

use super::{Class, FleetSection, PoolSpec, TeamSection};
use crate::finding::Finding;
use crate::id::{PoolId, TeamId};
use crate::jsonc::Site;

/// All sections with the texts that they came from.
pub(super) struct Parts<'a> {
    /// Where the fleet section is.
    pub(super) fleet: Site<'a>,
    /// The fleet section.
    pub(super) fleet_value: &'a FleetSection,
    /// Sections of teams that could be decoded.
    pub(super) teams: Vec<TeamPart<'a>>,
    /// True when no section failed to decode.
    pub(super) whole: bool,
}

/// Section of a team.
pub(super) struct TeamPart<'a> {
    /// The team.
    pub(super) id: &'a TeamId,
    /// Where the section is.
    pub(super) site: Site<'a>,
    /// The section.
    pub(super) team: &'a TeamSection,
}

/// A pool and the section that owns it.
#[derive(Clone, Copy)]
struct OwnedPool<'p, 't> {
    part: &'p TeamPart<'t>,
    id: &'p PoolId,
    spec: &'p PoolSpec,
}

/// Finds every fault between sections.
pub(super) fn check(parts: &Parts<'_>) -> Vec<Finding> {
    let mut findings = Vec::new();
    findings.extend(reference::check(parts));
    findings.extend(name::check(parts));
    findings.extend(key::check(parts));
    // Sums over sections mean nothing while a section is missing.
    if parts.is_complete() && findings.is_empty() {
        findings.extend(capacity::check(parts));
        findings.extend(budget::check(parts));
    }
    findings
}

impl<'t> Parts<'t> {
    /// True when every team that the fleet section names has published its section.
    fn is_complete(&self) -> bool {
        let owners = &self.fleet_value.owners;
        self.whole && owners.len() == self.teams.len()
    }

    fn class(&self, pool: &OwnedPool<'_, '_>) -> Option<&Class> {
        self.fleet_value.classes.get(&pool.spec.class)
    }

    fn pools(&self) -> impl Iterator<Item = OwnedPool<'_, 't>> {
        self.teams.iter().flat_map(|part| {
            let pools = part.team.pools.iter();
            pools.map(move |(id, spec)| OwnedPool { part, id, spec })
        })
    }
}

impl OwnedPool<'_, '_> {
    fn vms(&self) -> u64 {
        self.spec.vms.values().copied().map(u64::from).sum()
    }

    fn finding(&self, field: &str, message: String) -> Finding {
        let path = ["pools", self.id.as_str(), field];
        self.part.site.finding(&path, message)
    }

    fn reference(&self) -> String {
        self.part.site.reference(&["pools", self.id.as_str()])
    }
}
