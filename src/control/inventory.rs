//! The known VM list, without I/O; the caller passes in the time.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::id::VmId;
use crate::services::{ListVersion, Listing, Vm, VmPhase};

/// Share of the known live VMs that one answer may lack, in percent.
const MAX_LOST_PERCENT: usize = 10;

/// Known live VMs that one answer may always lack, so that small lists can change.
const MAX_LOST_VMS: usize = 4;

/// Time for which answers must lack more live VMs than that before they are accepted, in
/// ms.
///
/// VMs that fail or are replaced are listed as down or leaving first, so a sudden loss of
/// many live VMs is more likely a fault of the list.
const CONFIRM_LOSS_MS: u64 = 60_000;

/// Why an answer of the VM list was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListFault {
    /// The answer has an older version than the known list.
    #[error("version {0:?} is older than the known one")]
    Outdated(ListVersion),
    /// The answer has the known version but other VMs.
    #[error("version {0:?} was another list before")]
    Differs(ListVersion),
    /// The answer holds changes since a version other than the known one.
    #[error("changes since {0:?} were not asked for")]
    UnexpectedBase(ListVersion),
    /// The known list with the changes does not have the stated number of VMs.
    #[error("{found} VMs instead of {stated}")]
    Count {
        /// Number of VMs with the changes applied.
        found: usize,
        /// Number of VMs that the answer states.
        stated: usize,
    },
    /// The answer lacks this many known live VMs, more than one answer may lack, or no VMs
    /// at all.
    #[error("{0} live VMs are missing at once")]
    TooManyMissing(usize),
}

/// The VM list as of the last accepted answer.
#[derive(Debug, Default)]
pub struct Inventory {
    version: Option<ListVersion>,
    vms: IndexMap<VmId, Vm>,
    /// True when the next poll must ask for the whole list, because the last answer was
    /// rejected.
    refetch: bool,
    /// Since when answers have lacked too many live VMs.
    losses_since: Option<Instant>,
}

impl Inventory {
    /// Version to poll for changes since; `None` to poll for the whole list.
    #[must_use]
    pub fn poll_since(&self) -> Option<ListVersion> {
        self.version.filter(|_| !self.refetch)
    }

    /// Version of the known list; `None` before the first accepted answer.
    #[must_use]
    pub const fn version(&self) -> Option<ListVersion> {
        self.version
    }

    /// All known VMs, in the order of the list; VMs added by changes come last.
    #[must_use]
    pub fn vms(&self) -> impl ExactSizeIterator<Item = &Vm> {
        self.vms.values()
    }

    /// Applies an answer; the known version never falls.
    ///
    /// # Errors
    /// Rejects an answer that can't be a later state of the list; the known list is unchanged.
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

    /// Rejects a list that lacks too many known live VMs, until the loss has lasted for
    /// [`CONFIRM_LOSS_MS`]. An empty list is never accepted once VMs are known.
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
