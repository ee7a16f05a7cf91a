//! Limits how many lost VMs are replaced: few at a time, and none in a data centre that has
//! lost too many.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::buffer;
use crate::control::FleetState;
use crate::id::{DataCentre, VmId};

/// Time for which a VM must be down before it is replaced; a reboot by the platform takes
/// less.
const MIN_DOWN: Duration = Duration::from_mins(1);

/// Within this time, at most as many VMs of a data centre are replaced as its buffer is
/// sized for.
const REPLACEMENT_WINDOW: Duration = Duration::from_mins(10);

/// A data centre with at least one in this many of its VMs down is taken to be cut off; no
/// VM of it is replaced then.
const CUT_OFF_DIVISOR: usize = 2;

/// Fewest VMs down in a data centre that is taken to be cut off; in a small data centre
/// their proportion says little.
const MIN_CUT_OFF_DOWN: usize = 3;

/// Limits the rate of replacements, counting those that this process has admitted.
#[derive(Debug, Default)]
pub struct ReplacementLimiter {
    /// When this process first saw each VM as down.
    down_since: IndexMap<VmId, Instant>,
    /// VMs that may be replaced; each stays until it is no longer down.
    admitted: IndexSet<VmId>,
    /// When replacements were admitted in each data centre within [`REPLACEMENT_WINDOW`].
    recent_admissions: IndexMap<DataCentre, VecDeque<Instant>>,
}

impl ReplacementLimiter {
    /// VMs that are down and that another VM may replace now.
    pub fn admit(&mut self, fleet: &FleetState, now: Instant) -> &IndexSet<VmId> {
        self.down_since.retain(|vm, _| fleet.down.contains(vm));
        self.admitted.retain(|vm| fleet.down.contains(vm));
        for times in self.recent_admissions.values_mut() {
            times.retain(|at| now.saturating_duration_since(*at) < REPLACEMENT_WINDOW);
        }
        for vm in &fleet.down {
            let since = *self.down_since.entry(vm.clone()).or_insert(now);
            let early = now.saturating_duration_since(since) < MIN_DOWN;
            if !early && fleet.assignment.contains_key(vm) {
                self.admit_one(fleet, vm, now);
            }
        }
        &self.admitted
    }

    fn admit_one(&mut self, fleet: &FleetState, vm: &VmId, now: Instant) {
        let Some(location) = fleet.locations.get(vm) else {
            return;
        };
        let data_centre = &location.data_centre;
        if self.admitted.contains(vm) || is_cut_off(fleet, data_centre) {
            return;
        }
        let recent = self
            .recent_admissions
            .entry(data_centre.clone())
            .or_default();
        if recent.len() < buffer::needed_in(fleet, data_centre) {
            recent.push_back(now);
            self.admitted.insert(vm.clone());
        }
    }
}

/// True if so many VMs of a data centre are down that it is more likely that the data centre
/// is cut off than that they are lost.
#[must_use]
pub fn is_cut_off(fleet: &FleetState, data_centre: &DataCentre) -> bool {
    let local = |vm: &&VmId| {
        let location = fleet.locations.get(*vm);
        location.is_some_and(|location| location.data_centre == *data_centre)
    };
    let down = fleet.down.iter().filter(local).count();
    let all = fleet.locations.keys().filter(local).count();
    down >= MIN_CUT_OFF_DOWN && down * CUT_OFF_DIVISOR >= all
}
