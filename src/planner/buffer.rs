//! Size of the spare that all teams share: enough to replace the largest rack of each class
//! in a data centre, and ordinary failures besides.

use indexmap::IndexMap;

use crate::control::FleetState;
use crate::document::{Document, PoolSpec};
use crate::id::{ClassId, DataCentre, PoolId, Rack};

/// One VM in this many is expected to be down in ordinary times.
const ORDINARY_FAILURE_DIVISOR: usize = 100;

/// Spare VMs of one class that a data centre needs, and those that it has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BufferNeed {
    /// Data centre of the VMs.
    pub data_centre: DataCentre,
    /// Class of the VMs.
    pub class: ClassId,
    /// VMs of the class in service in the rack that has the most of them.
    pub worst_rack: usize,
    /// VMs to replace ordinary failures.
    pub ordinary_failures: usize,
    /// VMs of the class in spare pools that are not down.
    pub spare: usize,
}

impl BufferNeed {
    /// Number of VMs that the spare should have.
    #[must_use]
    pub const fn needed(&self) -> usize {
        self.worst_rack + self.ordinary_failures
    }

    /// Number of VMs that the spare lacks.
    #[must_use]
    pub const fn missing(&self) -> usize {
        self.needed().saturating_sub(self.spare)
    }
}

/// VMs of one class in one data centre, in service and spare.
#[derive(Default)]
struct ClassCount<'a> {
    in_service_by_rack: IndexMap<&'a Rack, usize>,
    spare: usize,
}

type ClassCounts<'a> = IndexMap<(&'a DataCentre, &'a ClassId), ClassCount<'a>>;

/// The need of each data centre for each class that is in service there.
#[must_use]
pub fn buffer_needs(fleet: &FleetState) -> Vec<BufferNeed> {
    let counts = count_vms(fleet);
    let in_service = counts
        .into_iter()
        .filter(|(_, c)| !c.in_service_by_rack.is_empty());
    in_service
        .map(|((data_centre, class), count)| {
            let all: usize = count.in_service_by_rack.values().sum();
            BufferNeed {
                data_centre: data_centre.clone(),
                class: class.clone(),
                worst_rack: count
                    .in_service_by_rack
                    .values()
                    .copied()
                    .max()
                    .unwrap_or(0),
                ordinary_failures: all.div_ceil(ORDINARY_FAILURE_DIVISOR),
                spare: count.spare,
            }
        })
        .collect()
}

/// Number of VMs, over all classes, that the buffer of a data centre is sized to replace.
#[must_use]
pub(super) fn needed_in(fleet: &FleetState, data_centre: &DataCentre) -> usize {
    let needs = buffer_needs(fleet);
    let local = needs.iter().filter(|need| need.data_centre == *data_centre);
    local.map(BufferNeed::needed).sum()
}

fn count_vms(fleet: &FleetState) -> ClassCounts<'_> {
    let mut counts = ClassCounts::new();
    let Some(document) = fleet.document.as_deref() else {
        return counts;
    };
    let pools = pools_by_id(document);
    for (vm, pool) in &fleet.assignment {
        let (Some(location), Some(spec)) = (fleet.locations.get(vm), pools.get(pool)) else {
            continue;
        };
        let key = (&location.data_centre, &location.class);
        let count = counts.entry(key).or_default();
        if !spec.spare {
            *count.in_service_by_rack.entry(&location.rack).or_default() += 1;
        } else if !fleet.down.contains(vm) {
            count.spare += 1;
        }
    }
    counts
}

fn pools_by_id(document: &Document) -> IndexMap<&PoolId, &PoolSpec> {
    let teams = document.teams.values();
    teams.flat_map(|team| &team.pools).collect()
}
