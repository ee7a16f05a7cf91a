//! First-fit placement of jobs on workers, the most urgent first.

use indexmap::IndexMap;

use crate::control::{FleetState, JobState};
use crate::document::{Class, Document, Kind};
use crate::id::{JobId, PoolId, TeamId, VmId};
use crate::ledger::{Job, JobPhase};
use crate::platform::{Vm, VmPhase};

/// A job and the worker that it is put on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The job.
    pub job: JobId,
    /// Steps that it has taken so far.
    pub step: u32,
    /// The worker.
    pub vm: VmId,
}

/// Places waiting jobs into the room that placed ones leave.
#[must_use]
pub fn place(fleet: &FleetState) -> Vec<Placement> {
    let Some(document) = fleet.document.as_deref() else {
        return Vec::new();
    };
    let mut workers = workers(fleet, document);
    for state in &fleet.jobs {
        occupy(&mut workers, state);
    }
    let mut waiting: Vec<&JobState> = fleet
        .jobs
        .iter()
        .filter(|state| state.phase == JobPhase::Waiting)
        .collect();
    waiting.sort_by_key(|state| state.job.urgency);
    waiting
        .into_iter()
        .filter_map(|state| put(&mut workers, document, state))
        .collect()
}

/// A job that is placed on a VM.
#[must_use]
pub(super) fn placed_on<'a>(fleet: &'a FleetState, vm: &VmId) -> Option<&'a JobId> {
    let mut jobs = fleet.jobs.iter();
    let on = |state: &&JobState| matches!(&state.phase, JobPhase::Placed(on) if on == vm);
    jobs.find(on).map(|state| &state.job.id)
}

struct Worker<'a> {
    vm: &'a VmId,
    pool: &'a PoolId,
    cores: u32,
    memory_mb: u32,
    accelerators: u32,
}

impl Worker<'_> {
    const fn fits(&self, job: &Job) -> bool {
        self.cores >= job.cores
            && self.memory_mb >= job.memory_mb
            && self.accelerators >= job.accelerators
    }

    const fn take(&mut self, job: &Job) {
        self.cores = self.cores.saturating_sub(job.cores);
        self.memory_mb = self.memory_mb.saturating_sub(job.memory_mb);
        self.accelerators = self.accelerators.saturating_sub(job.accelerators);
    }
}

type Workers<'a> = IndexMap<&'a VmId, Worker<'a>>;

fn workers<'a>(fleet: &'a FleetState, document: &'a Document) -> Workers<'a> {
    let live = fleet.vms.iter().filter(|vm| vm.phase == VmPhase::Live);
    live.filter(|vm| !fleet.stops.contains_key(&vm.id) && !fleet.down.contains(&vm.id))
        .filter_map(|vm| worker(fleet, document, vm))
        .map(|worker| (worker.vm, worker))
        .collect()
}

fn worker<'a>(fleet: &'a FleetState, document: &'a Document, vm: &'a Vm) -> Option<Worker<'a>> {
    let class: &Class = document.fleet.classes.get(&vm.class)?;
    let pool = fleet.assignment.get(&vm.id)?;
    (class.kind == Kind::Worker).then_some(Worker {
        vm: &vm.id,
        pool,
        cores: class.cores,
        memory_mb: class.memory_mb,
        accelerators: class.accelerators,
    })
}

fn occupy(workers: &mut Workers<'_>, state: &JobState) {
    if let JobPhase::Placed(vm) = &state.phase
        && let Some(worker) = workers.get_mut(vm)
    {
        worker.take(&state.job);
    }
}

fn put(workers: &mut Workers<'_>, document: &Document, state: &JobState) -> Option<Placement> {
    let job = &state.job;
    let worker = workers
        .values_mut()
        .find(|worker| may_use(document, &job.team, worker.pool) && worker.fits(job))?;
    worker.take(job);
    Some(Placement {
        job: job.id.clone(),
        step: state.step,
        vm: worker.vm.clone(),
    })
}

/// A team's jobs run in its own pools of workers; a team without any uses those of all.
fn may_use(document: &Document, team: &TeamId, pool: &PoolId) -> bool {
    let Some(own) = document.teams.get(team) else {
        return false;
    };
    let is_worker = |class| {
        document
            .fleet
            .classes
            .get(class)
            .is_some_and(|c| c.kind == Kind::Worker)
    };
    let has_workers = own
        .pools
        .values()
        .any(|spec| !spec.spare && is_worker(&spec.class));
    let spec = document.teams.values().find_map(|t| t.pools.get(pool));
    let in_service = spec.is_some_and(|spec| !spec.spare);
    in_service && (!has_workers || own.pools.contains_key(pool))
}
