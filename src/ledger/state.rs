//! What the fold knows after a prefix of the log.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::chain::{ChainDigest, HashChain};
use super::dedup_window::DedupWindow;
use super::fold::{Allotment, AllotmentHolder};
use super::{PlannedStop, Registration, Verdict, VmLocation};
use crate::control::{JobState, SectionState};
use crate::document::{Document, PublicKey, SectionCache};
use crate::id::{Epoch, JobId, MemberId, Offset, PoolId, RecordId, SectionId, TeamId, VmId};
use crate::secret::FleetSecret;

/// What the fold trusts from the start; taken from the settings, never from the log.
#[derive(Clone, Debug)]
pub struct TrustedKeys {
    /// Seals the records of the system's processes.
    pub secret: FleetSecret,
    /// Operator key that may create the fleet section.
    pub root: PublicKey,
}

/// Holder of a role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleHolder {
    /// Who holds it.
    #[serde(rename = "holder")]
    pub member: MemberId,
    /// Number of times that it has changed hands.
    pub epoch: Epoch,
    /// Offset of the last accepted claim.
    #[serde(rename = "renewed")]
    pub renewed_at: Offset,
}

/// A registered process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredMember {
    /// As registered.
    pub registration: Registration,
    /// Offset of its last accepted registration.
    #[serde(rename = "renewed")]
    pub renewed_at: Offset,
}

/// What a prefix of the log amounts to; the whole of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facts {
    /// Next offset to be folded.
    pub offset: Offset,
    /// Version of the rules in force.
    pub rules_version: u16,
    /// Rules that this build does not know; nothing more is folded.
    pub unknown_rules: Option<u16>,
    /// Records without effect: forged, unreadable or repeated.
    pub skipped: u64,
    /// Chain over all decisions.
    pub chain: HashChain,
    /// Verdicts of recent records.
    pub dedup_window: DedupWindow,
    /// Newest announced snapshot.
    pub latest_snapshot: Option<Offset>,
    /// Accepted texts.
    pub sections: IndexMap<SectionId, SectionState>,
    /// Pool of each VM that is in one.
    pub assignment: IndexMap<VmId, PoolId>,
    /// Planned stops that are not resolved.
    pub stops: IndexMap<VmId, PlannedStop>,
    /// Where each VM is.
    pub locations: IndexMap<VmId, VmLocation>,
    /// Start of each VM's maintenance cycle, in s since 1970.
    pub cycle_starts_s: IndexMap<VmId, u64>,
    /// VMs that are down without a plan, or after one.
    pub down: IndexSet<VmId>,
    /// VMs that did not come back healthy from their last stop.
    pub failed_stops: IndexSet<VmId>,
    /// Parts of each team's ceiling.
    pub allotments: IndexMap<TeamId, Allotment>,
    /// Holder of the planner role.
    pub planner: Option<RoleHolder>,
    /// Processes that have registered.
    pub members: IndexMap<MemberId, RegisteredMember>,
    /// Long work.
    pub jobs: IndexMap<JobId, JobState>,
    /// Placed jobs of each team.
    pub placed_jobs: IndexMap<TeamId, u32>,
    /// Ended jobs, oldest first.
    pub ended_jobs: VecDeque<JobId>,
}

impl Facts {
    fn empty() -> Self {
        Self {
            offset: Offset(0),
            rules_version: 1,
            unknown_rules: None,
            skipped: 0,
            chain: HashChain::default(),
            dedup_window: DedupWindow::default(),
            latest_snapshot: None,
            sections: IndexMap::new(),
            assignment: IndexMap::new(),
            stops: IndexMap::new(),
            locations: IndexMap::new(),
            cycle_starts_s: IndexMap::new(),
            down: IndexSet::new(),
            failed_stops: IndexSet::new(),
            allotments: IndexMap::new(),
            planner: None,
            members: IndexMap::new(),
            jobs: IndexMap::new(),
            placed_jobs: IndexMap::new(),
            ended_jobs: VecDeque::new(),
        }
    }
}

/// The fold and all that it has accepted.
#[derive(Clone, Debug)]
pub struct State {
    pub(super) trust: TrustedKeys,
    pub(super) document: Option<Arc<Document>>,
    pub(super) facts: Facts,
    pub(super) cache: SectionCache,
}

impl State {
    /// The state before the first record.
    #[must_use]
    pub fn empty(trust: TrustedKeys) -> Self {
        Self {
            trust,
            document: None,
            facts: Facts::empty(),
            cache: SectionCache::default(),
        }
    }

    /// What the fold trusts.
    #[must_use]
    pub const fn trust(&self) -> &TrustedKeys {
        &self.trust
    }

    /// Next offset to be folded.
    #[must_use]
    pub const fn offset(&self) -> Offset {
        self.facts.offset
    }

    /// Everything that has been accepted.
    #[must_use]
    pub const fn facts(&self) -> &Facts {
        &self.facts
    }

    /// The accepted document.
    #[must_use]
    pub const fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Verdict on a recent record.
    #[must_use]
    pub fn verdict(&self, id: RecordId) -> Option<&Verdict> {
        self.facts.dedup_window.get(id)
    }

    /// Digest of the chain of decisions so far.
    #[must_use]
    pub const fn digest(&self) -> &ChainDigest {
        self.facts.chain.head()
    }

    /// Part of a team's ceiling that a holder may use.
    #[must_use]
    pub fn share(&self, team: &TeamId, holder: &AllotmentHolder) -> u32 {
        let allotment = self.facts.allotments.get(team);
        allotment.map_or(0, |allotment| allotment.share(holder))
    }

    /// Accepted texts by section.
    pub(super) fn section_texts(&self) -> IndexMap<SectionId, Arc<str>> {
        self.facts
            .sections
            .iter()
            .map(|(id, section)| (id.clone(), Arc::clone(&section.text)))
            .collect()
    }
}
