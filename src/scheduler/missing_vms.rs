//! VMs that the list of VMs lacks.

use indexmap::{IndexMap, IndexSet};

use super::Vm;

/// VMs that are waited for and are not listed. A list comes in pages, which are no snapshot, so one may
/// lack a VM that has changed places meanwhile; a VM is missing once two lists in a row lack it.
#[derive(Debug, Default)]
pub(super) struct MissingVms {
    /// Those that the latest list lacks.
    absent: IndexSet<String>,
    /// Those that the latest two lists lack.
    missing: IndexSet<String>,
}

impl MissingVms {
    /// Takes in a list, for the VMs with these names.
    pub(super) fn update<'a>(
        &mut self,
        names: impl Iterator<Item = &'a String>,
        listed: &IndexMap<String, Vm>,
    ) {
        let absent = names.filter(|name| !listed.contains_key(*name)).cloned();
        let before = std::mem::replace(&mut self.absent, absent.collect());
        self.missing = self.absent.intersection(&before).cloned().collect();
    }

    /// Returns whether the VM with this name is missing.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.missing.contains(name)
    }
}
