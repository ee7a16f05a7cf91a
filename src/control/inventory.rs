//! The VM list as far as it is known; no I/O, `now` is handed in.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::id::VmId;
use crate::services::{ListVersion, Listing, Vm, VmPhase};

/// Part of the live VMs that one change may take out of the list, in percent.
const MAX_LOST_PERCENT: usize = 10;

/// Live VMs that one change may take out of a small list.
const MAX_LOST_VMS: usize = 4;

/// Time for which a list must lack more live VMs than that before it is believed, in ms.
///
/// VMs that fail or are replaced are listed as down or leaving first.
const CONFIRM_LOSS_MS: u64 = 60_000;

/// Why an answer was not taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListFault {
    /// The answer is older than what is known.
    #[error("version {0:?} is older than the known one")]
    Outdated(ListVersion),
    /// The answer differs from what is known under the same version.
    #[error("version {0:?} was another list before")]
    Differs(ListVersion),
    /// The answer is relative to a version that was not asked about.
    #[error("changes since {0:?} were not asked for")]
    UnexpectedBase(ListVersion),
    /// The changes do not lead to the stated number of VMs.
    #[error("{found} VMs instead of {stated}")]
    Count {
        /// VMs with the changes.
        found: usize,
        /// VMs that the list says it has.
        stated: usize,
    },
    /// The list has lost more live VMs than a change may take out.
    #[error("{0} live VMs are missing at once")]
    TooManyMissing(usize),
}

/// The VM list as last taken over.
#[derive(Debug, Default)]
pub struct Inventory {
    version: Option<ListVersion>,
    vms: IndexMap<VmId, Vm>,
    /// True when the next read must be of the whole list.
    refetch: bool,
    /// Since when answers have lacked too many VMs.
    losses_since: Option<Instant>,
}

impl Inventory {
    /// Version to ask for changes since; `None` asks for the whole list.
    #[must_use]
    pub fn poll_since(&self) -> Option<ListVersion> {
        self.version.filter(|_| !self.refetch)
    }

    /// Version of the list that is known.
    #[must_use]
    pub const fn version(&self) -> Option<ListVersion> {
        self.version
    }

    /// All VMs, in the order of the platform.
    #[must_use]
    pub fn vms(&self) -> impl ExactSizeIterator<Item = &Vm> {
        self.vms.values()
    }

    /// Takes an answer over; the version only ever rises.
    ///
    /// # Errors
    /// Keeps what is known when the answer can't be a later state of the list.
    pub fn apply(&mut self, listing: Listing, now: Instant) -> Result<(), ListFault> {
        let result = match listing {
            Listing::Unchanged => Ok(()),
            Listing::Whole { version, vms } => self.replace(version, vms, now),
            Listing::Changes {
                since,
                version,
                count,
                vms,
                removed,
            } => self.merge(since, version, count, vms, &removed, now),
        };
        self.refetch = result.is_err();
        result
    }

    fn replace(
        &mut self,
        version: ListVersion,
        vms: Vec<Vm>,
        now: Instant,
    ) -> Result<(), ListFault> {
        if self.version.is_some_and(|known| known > version) {
            return Err(ListFault::Outdated(version));
        }
        let vms: IndexMap<VmId, Vm> = vms.into_iter().map(|vm| (vm.id.clone(), vm)).collect();
        if self.version == Some(version) {
            let same = self.vms == vms;
            return same.then_some(()).ok_or(ListFault::Differs(version));
        }
        self.check_losses(&vms, now)?;
        self.version = Some(version);
        self.vms = vms;
        Ok(())
    }

    fn merge(
        &mut self,
        since: ListVersion,
        version: ListVersion,
        count: usize,
        vms: Vec<Vm>,
        removed: &[VmId],
        now: Instant,
    ) -> Result<(), ListFault> {
        if self.version != Some(since) {
            return Err(ListFault::UnexpectedBase(since));
        }
        if version < since {
            return Err(ListFault::Outdated(version));
        }
        let mut merged = self.vms.clone();
        merged.retain(|id, _| !removed.contains(id));
        merged.extend(vms.into_iter().map(|vm| (vm.id.clone(), vm)));
        if merged.len() != count {
            let found = merged.len();
            let stated = count;
            return Err(ListFault::Count { found, stated });
        }
        let merged = merged.into_values().collect();
        self.replace(version, merged, now)
    }

    /// An empty list is never believed once VMs are known.
    fn check_losses(&mut self, vms: &IndexMap<VmId, Vm>, now: Instant) -> Result<(), ListFault> {
        let live = self.vms.values().filter(|vm| vm.phase == VmPhase::Live);
        let lost = live.clone().filter(|vm| !vms.contains_key(&vm.id)).count();
        let bound = MAX_LOST_VMS.max(live.count() * MAX_LOST_PERCENT / 100);
        let empty = vms.is_empty() && !self.vms.is_empty();
        if lost <= bound && !empty {
            self.losses_since = None;
            return Ok(());
        }
        let first = *self.losses_since.get_or_insert(now);
        let age = now.saturating_duration_since(first);
        if empty || age < Duration::from_millis(CONFIRM_LOSS_MS) {
            return Err(ListFault::TooManyMissing(lost));
        }
        self.losses_since = None;
        Ok(())
    }
}
