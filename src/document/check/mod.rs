//! Checks between sections; a finding about two places names both.

mod budget;
mod capacity;
mod key;
mod name;
mod reference;

use super::{Class, FleetSection, PoolSpec, TeamSection};
use crate::finding::Finding;
use crate::id::{PoolId, TeamId};
use crate::jsonc::SectionSource;

/// Decoded sections, each with its place in the text it was read from.
pub(super) struct LocatedSections<'a> {
    /// Place of the fleet section in its text.
    pub(super) fleet_site: SectionSource<'a>,
    /// Decoded fleet section.
    pub(super) fleet: &'a FleetSection,
    /// Sections of teams, without those that failed to decode.
    pub(super) teams: Vec<LocatedTeam<'a>>,
    /// True when no section failed to decode.
    pub(super) all_decoded: bool,
}

/// Decoded section of a team and its place in the text.
pub(super) struct LocatedTeam<'a> {
    /// Name of the team.
    pub(super) id: &'a TeamId,
    /// Place of the section in its text.
    pub(super) site: SectionSource<'a>,
    /// Decoded section.
    pub(super) section: &'a TeamSection,
}

/// A pool and the team that owns it.
#[derive(Clone, Copy)]
struct OwnedPool<'p, 't> {
    team: &'p LocatedTeam<'t>,
    id: &'p PoolId,
    spec: &'p PoolSpec,
}

/// Returns all faults between sections.
pub(super) fn check(sections: &LocatedSections<'_>) -> Vec<Finding> {
    let mut findings = Vec::new();
    findings.extend(reference::check(sections));
    findings.extend(name::check(sections));
    findings.extend(key::check(sections));
    // Totals over all sections are wrong while a section is missing or faulty.
    if sections.is_complete() && findings.is_empty() {
        findings.extend(capacity::check(sections));
        findings.extend(budget::check(sections));
    }
    findings
}

impl<'t> LocatedSections<'t> {
    /// True when every team that the fleet section names has a section and all could be decoded.
    fn is_complete(&self) -> bool {
        let owners = &self.fleet.owners;
        self.all_decoded && owners.len() == self.teams.len()
    }

    fn class(&self, pool: &OwnedPool<'_, '_>) -> Option<&Class> {
        self.fleet.classes.get(&pool.spec.class)
    }

    fn pools(&self) -> impl Iterator<Item = OwnedPool<'_, 't>> {
        self.teams.iter().flat_map(|team| {
            let pools = team.section.pools.iter();
            pools.map(move |(id, spec)| OwnedPool { team, id, spec })
        })
    }
}

impl OwnedPool<'_, '_> {
    fn vms(&self) -> u64 {
        self.spec.vms.values().copied().map(u64::from).sum()
    }

    fn finding(&self, field: &str, message: String) -> Finding {
        let path = ["pools", self.id.as_str(), field];
        self.team.site.finding(&path, message)
    }

    fn reference(&self) -> String {
        self.team.site.reference(&["pools", self.id.as_str()])
    }
}
