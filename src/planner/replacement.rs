//! Which lost VMs are replaced now: few at a time, and none while too many are lost.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::buffer;
use crate::control::FleetState;
use crate::id::{DataCentre, VmId};

/// Time for which a VM must be down; a reboot by the platform takes less.
const MIN_DOWN: Duration = Duration::from_mins(1);

/// Time in which each data centre may replace as many VMs as its buffer is sized for.
const REPLACEMENT_WINDOW: Duration = Duration::from_mins(10);

/// From one lost VM in so many on, a data centre is taken to be cut off and nothing moves.
const CUT_OFF_DIVISOR: usize = 2;

/// VMs lost in a data centre so small that parts say nothing.
const MIN_CUT_OFF_DOWN: usize = 3;

/// Rate of replacements, as this process has made them.
#[derive(Debug, Default)]
pub struct ReplacementLimiter {
    /// Since when each VM is down.
    down_since: IndexMap<VmId, Instant>,
    /// VMs whose replacement was admitted, until they are back.
    admitted: IndexSet<VmId>,
    recent_admissions: IndexMap<DataCentre, VecDeque<Instant>>,
}

impl ReplacementLimiter {
    /// VMs whose place another one may take now.
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
        let Some(site) = fleet.sites.get(vm) else {
            return;
        };
        let data_centre = &site.data_centre;
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

/// True if so many VMs of a data centre are down that it is more likely cut off.
#[must_use]
pub fn is_cut_off(fleet: &FleetState, data_centre: &DataCentre) -> bool {
    let local = |vm: &&VmId| {
        let site = fleet.sites.get(*vm);
        site.is_some_and(|site| site.data_centre == *data_centre)
    };
    let down = fleet.down.iter().filter(local).count();
    let all = fleet.sites.keys().filter(local).count();
    down >= MIN_CUT_OFF_DOWN && down * CUT_OFF_DIVISOR >= all
}
