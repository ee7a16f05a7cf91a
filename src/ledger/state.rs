//! State after a prefix of the log.

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

/// Keys that records are checked against; they come from the settings, never from the log.
#[derive(Clone, Debug)]
pub struct TrustedKeys {
    /// Shared secret that authenticates records and snapshots of the fleet's processes.
    pub secret: FleetSecret,
    /// Public key of the operator who may create the fleet section.
    pub root: PublicKey,
}

/// Current holder of a role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleHolder {
    /// The process that holds the role.
    #[serde(rename = "holder")]
    pub member: MemberId,
    /// Fencing number: 1 for the first holder, raised by each takeover.
    pub epoch: Epoch,
    /// Offset of the last accepted claim, by which the role was taken or renewed.
    #[serde(rename = "renewed")]
    pub renewed_at: Offset,
}

/// A process that has registered and was not retired since.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredMember {
    /// Its last accepted registration.
    pub registration: Registration,
    /// Offset of that registration.
    #[serde(rename = "renewed")]
    pub renewed_at: Offset,
}

/// All that follows from a prefix of the log; a snapshot holds exactly this.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facts {
    /// Offset of the next record to apply.
    pub offset: Offset,
    /// Version of the rules by which records are accepted or refused.
    pub rules_version: u16,
    /// Version of the rules that the log demands and this build does not know. While it is
    /// set, no further record is applied.
    pub unknown_rules: Option<u16>,
    /// Number of records without a verdict: forged, unreadable or repeated.
    pub skipped: u64,
    /// Hash chain over all records and verdicts.
    pub chain: HashChain,
    /// Verdicts on recent records, by which repeats are recognized.
    pub dedup_window: DedupWindow,
    /// Highest offset of an accepted snapshot announcement; `None` before the first.
    pub latest_snapshot: Option<Offset>,
    /// Accepted text and revision of each section.
    pub sections: IndexMap<SectionId, SectionState>,
    /// Pool of each VM; a VM outside every pool is left out.
    pub assignment: IndexMap<VmId, PoolId>,
    /// Planned stops that have started and not ended.
    pub stops: IndexMap<VmId, PlannedStop>,
    /// Data centre, rack and class of each known VM.
    pub locations: IndexMap<VmId, VmLocation>,
    /// Start of each VM's maintenance cycle, in s since 1970.
    pub cycle_starts_s: IndexMap<VmId, u64>,
    /// VMs that were lost without a planned stop, or did not come back healthy from one.
    pub down: IndexSet<VmId>,
    /// VMs that did not come back healthy from their last planned stop.
    pub failed_stops: IndexSet<VmId>,
    /// How each team's ceiling is divided among those who use it.
    pub allotments: IndexMap<TeamId, Allotment>,
    /// Holder of the planner role; `None` before the first claim.
    pub planner: Option<RoleHolder>,
    /// Registered processes.
    pub members: IndexMap<MemberId, RegisteredMember>,
    /// Submitted jobs, and ended ones that are still kept.
    pub jobs: IndexMap<JobId, JobState>,
    /// Number of jobs of each team that are placed on a worker.
    pub placed_jobs: IndexMap<TeamId, u32>,
    /// Ended jobs that are still kept, in the order in which they ended.
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

/// The replicated state machine: the state after a prefix of the log.
#[derive(Clone, Debug)]
pub struct State {
    pub(super) trust: TrustedKeys,
    pub(super) document: Option<Arc<Document>>,
    pub(super) facts: Facts,
    pub(super) cache: SectionCache,
}

impl State {
    /// State before the first record.
    #[must_use]
    pub fn empty(trust: TrustedKeys) -> Self {
        Self {
            trust,
            document: None,
            facts: Facts::empty(),
            cache: SectionCache::default(),
        }
    }

    /// Keys that records are checked against.
    #[must_use]
    pub const fn trust(&self) -> &TrustedKeys {
        &self.trust
    }

    /// Offset of the next record to apply.
    #[must_use]
    pub const fn offset(&self) -> Offset {
        self.facts.offset
    }

    /// All that follows from the records applied so far.
    #[must_use]
    pub const fn facts(&self) -> &Facts {
        &self.facts
    }

    /// Document assembled from the accepted sections; `None` before the first edit.
    #[must_use]
    pub const fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Verdict on a recent record; `None` if it was not applied or is no longer remembered.
    #[must_use]
    pub fn verdict(&self, id: RecordId) -> Option<&Verdict> {
        self.facts.dedup_window.get(id)
    }

    /// Head of the hash chain over all records and verdicts.
    #[must_use]
    pub const fn digest(&self) -> &ChainDigest {
        self.facts.chain.head()
    }

    /// Part of a team's ceiling that a holder may use; 0 if it holds none.
    #[must_use]
    pub fn share(&self, team: &TeamId, holder: &AllotmentHolder) -> u32 {
        let allotment = self.facts.allotments.get(team);
        allotment.map_or(0, |allotment| allotment.share(holder))
    }

    /// Accepted text of each section.
    pub(super) fn section_texts(&self) -> IndexMap<SectionId, Arc<str>> {
        self.facts
            .sections
            .iter()
            .map(|(id, section)| (id.clone(), Arc::clone(&section.text)))
            .collect()
    }
}
