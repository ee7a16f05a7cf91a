//! Placement of jobs on workers: urgent ones first, then fairly between teams.
//!
//! Fairness is weighted dominant-resource fairness: the next job is of the team whose
//! largest part of any resource, divided by its share, is the smallest.

use indexmap::{IndexMap, IndexSet};

use crate::control::{FleetState, JobState};
use crate::document::{Class, Document, Kind};
use crate::id::{JobId, PoolId, TeamId, VmId};
use crate::ledger::{AllotmentHolder, Job, JobPhase};
use crate::services::{Size, Vm, VmPhase};

/// Least urgent job that goes ahead of every team's ordinary work.
const URGENT: u8 = 1;

/// Parts in which a team's use of a resource is counted.
const PARTS: u64 = 1 << 32;

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
    let mut room = Room::open(fleet, document);
    let mut placements = Vec::new();
    for urgent in [true, false] {
        let mut queues = queues(fleet, urgent);
        while let Some(state) = room.next(&mut queues) {
            placements.extend(room.put(state));
        }
    }
    placements
}

/// A job that is placed on a VM.
#[must_use]
pub(super) fn placed_on<'a>(fleet: &'a FleetState, vm: &VmId) -> Option<&'a JobId> {
    let mut jobs = fleet.jobs.iter();
    let on = |state: &&JobState| matches!(&state.phase, JobPhase::Placed(on) if on == vm);
    jobs.find(on).map(|state| &state.job.id)
}

/// Waiting jobs of each team, the next one last.
type Queues<'a> = IndexMap<&'a TeamId, Vec<&'a JobState>>;

fn queues(fleet: &FleetState, urgent: bool) -> Queues<'_> {
    let mut queues = Queues::new();
    let waiting = fleet.jobs.iter().filter(|state| {
        state.phase == JobPhase::Waiting && (state.job.urgency <= URGENT) == urgent
    });
    for state in waiting {
        queues.entry(&state.job.team).or_default().push(state);
    }
    for queue in queues.values_mut() {
        queue.reverse();
        queue.sort_by_key(|state| std::cmp::Reverse(state.job.urgency));
    }
    queues
}

struct Worker<'a> {
    vm: &'a VmId,
    pool: &'a PoolId,
    free: Size,
}

impl Worker<'_> {
    const fn fits(&self, job: &Job) -> bool {
        self.free.cores >= job.cores
            && self.free.memory_mb >= job.memory_mb
            && self.free.accelerators >= job.accelerators
    }

    const fn take(&mut self, job: &Job) {
        self.free.cores = self.free.cores.saturating_sub(job.cores);
        self.free.memory_mb = self.free.memory_mb.saturating_sub(job.memory_mb);
        self.free.accelerators = self.free.accelerators.saturating_sub(job.accelerators);
    }
}

/// What a team uses of all workers.
#[derive(Clone, Copy, Default)]
struct Use {
    cores: u64,
    memory_mb: u64,
    accelerators: u64,
    jobs: u32,
}

impl Use {
    fn add(&mut self, job: &Job) {
        self.cores += u64::from(job.cores);
        self.memory_mb += u64::from(job.memory_mb);
        self.accelerators += u64::from(job.accelerators);
        self.jobs += 1;
    }

    /// The largest part of any resource, in [`PARTS`].
    fn dominant(&self, whole: &Use) -> u64 {
        let part = |used: u64, all: u64| used.saturating_mul(PARTS) / all.max(1);
        let cores = part(self.cores, whole.cores);
        let memory = part(self.memory_mb, whole.memory_mb);
        cores
            .max(memory)
            .max(part(self.accelerators, whole.accelerators))
    }
}

struct Room<'a> {
    fleet: &'a FleetState,
    document: &'a Document,
    workers: IndexMap<&'a VmId, Worker<'a>>,
    whole: Use,
    used: IndexMap<&'a TeamId, Use>,
    /// Workers that each team's jobs may run on.
    usable: IndexMap<&'a TeamId, Vec<&'a VmId>>,
}

impl<'a> Room<'a> {
    fn open(fleet: &'a FleetState, document: &'a Document) -> Self {
        let live = fleet.vms.iter().filter(|vm| vm.phase == VmPhase::Live);
        let usable =
            live.filter(|vm| !fleet.stops.contains_key(&vm.id) && !fleet.down.contains(&vm.id));
        let workers: IndexMap<&VmId, Worker<'_>> = usable
            .filter_map(|vm| worker(fleet, document, vm))
            .map(|worker| (worker.vm, worker))
            .collect();
        let mut whole = Use::default();
        for worker in workers.values() {
            whole.cores += u64::from(worker.free.cores);
            whole.memory_mb += u64::from(worker.free.memory_mb);
            whole.accelerators += u64::from(worker.free.accelerators);
        }
        let mut room = Self {
            fleet,
            document,
            workers,
            whole,
            used: IndexMap::new(),
            usable: IndexMap::new(),
        };
        room.list_usable();
        for state in &fleet.jobs {
            if let JobPhase::Placed(vm) = &state.phase {
                room.occupy(&state.job, vm);
            }
        }
        room
    }

    fn list_usable(&mut self) {
        let waiting = self.fleet.jobs.iter();
        let teams = waiting.filter(|state| state.phase == JobPhase::Waiting);
        let teams: IndexSet<&TeamId> = teams.map(|state| &state.job.team).collect();
        for team in teams {
            let pools: IndexSet<&PoolId> = self.workers.values().map(|w| w.pool).collect();
            let pools: IndexSet<&PoolId> = pools
                .into_iter()
                .filter(|pool| may_use(self.document, team, pool))
                .collect();
            let workers = self.workers.values();
            let usable = workers.filter(|worker| pools.contains(worker.pool));
            self.usable.insert(team, usable.map(|w| w.vm).collect());
        }
    }

    fn occupy(&mut self, job: &'a Job, vm: &VmId) {
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.take(job);
        }
        self.used.entry(&job.team).or_default().add(job);
    }

    /// The next job of the team that has the least for its share.
    fn next(&self, queues: &mut Queues<'a>) -> Option<&'a JobState> {
        let waiting = queues
            .iter()
            .filter(|(team, queue)| !queue.is_empty() && self.used(team).jobs < self.ceiling(team));
        let (team, _) = waiting.min_by_key(|(team, _)| self.level(team))?;
        let team = *team;
        queues.get_mut(team)?.pop()
    }

    fn used(&self, team: &TeamId) -> Use {
        self.used.get(team).copied().unwrap_or_default()
    }

    fn level(&self, team: &TeamId) -> u64 {
        let share = self.document.teams.get(team).map_or(1, |team| team.share);
        self.used(team).dominant(&self.whole) / u64::from(share.max(1))
    }

    /// Jobs that the team may have placed; the fold refuses more.
    fn ceiling(&self, team: &TeamId) -> u32 {
        let allotment = self.fleet.allotments.get(team);
        allotment.map_or(u32::MAX, |allotment| {
            allotment.share(&AllotmentHolder::Jobs)
        })
    }

    fn put(&mut self, state: &'a JobState) -> Option<Placement> {
        let job = &state.job;
        let vms = self.usable.get(&job.team)?;
        let mut workers = vms.iter().filter_map(|vm| self.workers.get(*vm));
        let worker = workers.find(|worker| worker.fits(job))?;
        let vm = worker.vm;
        self.occupy(job, vm);
        Some(Placement {
            job: job.id.clone(),
            step: state.step,
            vm: vm.clone(),
        })
    }
}

fn worker<'a>(fleet: &'a FleetState, document: &'a Document, vm: &'a Vm) -> Option<Worker<'a>> {
    let class: &Class = document.fleet.classes.get(&vm.class)?;
    let pool = fleet.assignment.get(&vm.id)?;
    let free = Size {
        cores: class.cores,
        memory_mb: class.memory_mb,
        accelerators: class.accelerators,
    };
    (class.kind == Kind::Worker).then_some(Worker {
        vm: &vm.id,
        pool,
        free,
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
    let spec = document.pool(pool);
    let in_service = spec.is_some_and(|spec| !spec.spare);
    in_service && (!has_workers || own.pools.contains_key(pool))
}
