//! The operators, who have data centres evacuated, and the check that nothing is started there.

use std::sync::Arc;

use amaranthwick::scheduler::{
    Capacity, EvacuationChange, Evacuations, Event, Millis, TargetEntry, TaskKey, Vm, VmState,
};

use super::{Action, World};

/// Time until the processes have read a change of the operators, in ms.
const READ_LAG_MS: Millis = 600;
/// Time until a failed read is repeated, in ms.
const RETRY_MS: Millis = 100;

/// What the operators have requested, and what the processes have read of it.
pub(crate) struct Operators {
    /// The evacuations in the store.
    stored: Evacuations,
    /// The evacuations that all processes know.
    known: Evacuations,
    /// When `known` last changed.
    known_at: Millis,
    /// VMs of the standby pool.
    pub(crate) standby_vms: Vec<Vm>,
    /// Whether the list of VMs tells their data centres.
    pub(crate) vms_tell_data_centres: bool,
}

impl Default for Operators {
    fn default() -> Self {
        Self {
            stored: Evacuations::default(),
            known: Evacuations::default(),
            known_at: 0,
            standby_vms: Vec::new(),
            vms_tell_data_centres: true,
        }
    }
}

impl Operators {
    /// The event that passes the known evacuations to a leader.
    pub(super) fn event(&self) -> Event {
        Event::EvacuationsChanged {
            evacuations: self.known.clone(),
            age_ms: READ_LAG_MS,
        }
    }
}

impl World {
    /// The operators have a data centre evacuated, or withdraw that. The processes read of it a
    /// little later, or once the store is back.
    pub(crate) fn set_evacuated(&mut self, data_centre: &str, evacuated: bool) {
        let change = EvacuationChange {
            data_centre: Arc::from(data_centre),
            evacuated,
        };
        self.operators.stored.apply(&[change], false);
        self.schedule(READ_LAG_MS, Action::ReadEvacuations);
    }

    pub(super) fn read_evacuations(&mut self) {
        if !self.store_up {
            self.schedule(RETRY_MS, Action::ReadEvacuations);
            return;
        }
        self.operators.known = self.operators.stored.clone();
        self.operators.known_at = self.now;
        let event = self.operators.event();
        self.notify_leaders(&event);
    }

    /// Checks a start that was sent at `sent_at`: none is sent to an evacuated data centre once the
    /// processes know of it.
    pub(super) fn check_evacuations(&mut self, task: TaskKey, on: &TargetEntry, sent_at: Millis) {
        let operators = &self.operators;
        if operators.known.contains(&on.data_centre) && sent_at > operators.known_at {
            self.violations.push(format!(
                "{}: {task} starts in the evacuated {}",
                self.now, on.data_centre
            ));
        }
    }

    /// Data centre of a target's VM in the list of VMs. The targets of a world are in turns in three
    /// data centres, whatever their entries tell.
    pub(super) fn listed_data_centre(&self, index: usize, entry: &TargetEntry) -> Arc<str> {
        if !self.operators.vms_tell_data_centres {
            Arc::from("")
        } else if entry.data_centre.is_empty() {
            Arc::from(format!("z{}", index % 3))
        } else {
            Arc::clone(&entry.data_centre)
        }
    }

    /// Adds a VM of 16 cores to the standby pool.
    pub(crate) fn add_standby_vm(&mut self, name: &str, data_centre: &str) {
        self.operators.standby_vms.push(Vm {
            name: name.to_owned(),
            pool: Arc::from("spare"),
            data_centre: Arc::from(data_centre),
            state: VmState::Up,
            labels: Vec::new(),
            capacity: Capacity {
                cpu: 16_000,
                mem_mb: 32_768,
                gpu: 0,
            },
            target: None,
        });
    }

    /// Data centres of the targets on which tasks are running, each once for each task.
    pub(crate) fn busy_data_centres(&self) -> Vec<String> {
        let targets = self.targets.values().filter(|target| target.is_up());
        targets
            .flat_map(|target| {
                let data_centre = target.entry.data_centre.to_string();
                target.running().map(move |_| data_centre.clone())
            })
            .collect()
    }
}
