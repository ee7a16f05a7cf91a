//! Places jobs on workers: urgent jobs first, then the others, fairly between teams.
//!
//! Fairness is weighted dominant-resource fairness: the next job is one of the team whose
//! dominant share (its largest fraction of any resource), divided by the team's share in the
//! document, is the smallest.

use indexmap::{IndexMap, IndexSet};

use crate::control::{FleetState, JobState};
use crate::document::{Class, Document, TargetKind};
use crate::id::{JobId, PoolId, TeamId, VmId};
use crate::ledger::{AllotmentHolder, Job, JobPhase};
use crate::services::{Size, Vm, VmPhase};

/// Urgency up to which a job goes ahead of the ordinary jobs of all teams; 0 is the most
/// urgent.
const MAX_URGENT_LEVEL: u8 = 1;

/// Scale of fractions of a resource, which are integers: all of it is this value.
const SHARE_SCALE: u64 = 1 << 32;

/// A waiting job and the worker that it is to run on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobPlacement {
    /// Job to place.
    pub job: JobId,
    /// The job's step before the placement.
    pub step: u32,
    /// Worker to run it on.
    pub vm: VmId,
}

/// Placements of waiting jobs on workers with enough free resources.
#[must_use]
pub fn place_jobs(fleet: &FleetState) -> Vec<JobPlacement> {
    let Some(document) = fleet.document.as_deref() else {
        return Vec::new();
    };
    let mut placer = JobPlacer::new(fleet, document);
    let mut placements = Vec::new();
    for urgent in [true, false] {
        let mut queues = waiting_by_team(fleet, urgent);
        while let Some(state) = placer.next_job(&mut queues) {
            placements.extend(placer.place(state));
        }
    }
    placements
}

/// The first job, in the order of submission, that is placed on a VM.
#[must_use]
pub(super) fn job_placed_on<'a>(fleet: &'a FleetState, vm: &VmId) -> Option<&'a JobId> {
    let mut jobs = fleet.jobs.iter();
    let on = |state: &&JobState| matches!(&state.phase, JobPhase::Placed(on) if on == vm);
    jobs.find(on).map(|state| &state.job.id)
}

/// Waiting jobs of each team, the one to place next at the end.
type TeamQueues<'a> = IndexMap<&'a TeamId, Vec<&'a JobState>>;

/// Waiting jobs, urgent or ordinary ones, the most urgent and then the oldest to go first.
fn waiting_by_team(fleet: &FleetState, urgent: bool) -> TeamQueues<'_> {
    let mut queues = TeamQueues::new();
    let waiting = fleet.jobs.iter().filter(|state| {
        state.phase == JobPhase::Waiting && (state.job.urgency <= MAX_URGENT_LEVEL) == urgent
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

/// A worker that takes jobs, and the resources that its placed jobs leave free.
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

    const fn reserve(&mut self, job: &Job) {
        self.free.cores = self.free.cores.saturating_sub(job.cores);
        self.free.memory_mb = self.free.memory_mb.saturating_sub(job.memory_mb);
        self.free.accelerators = self.free.accelerators.saturating_sub(job.accelerators);
    }
}

/// Resources and number of a team's placed jobs, or resources of all workers.
#[derive(Clone, Copy, Default)]
struct Usage {
    cores: u64,
    memory_mb: u64,
    accelerators: u64,
    jobs: u32,
}

impl Usage {
    fn add(&mut self, job: &Job) {
        self.cores += u64::from(job.cores);
        self.memory_mb += u64::from(job.memory_mb);
        self.accelerators += u64::from(job.accelerators);
        self.jobs += 1;
    }

    /// The largest fraction of any resource of `capacity`, in units of 1 / [`SHARE_SCALE`].
    fn dominant_share(&self, capacity: &Usage) -> u64 {
        let fraction = |amount: u64, total: u64| amount.saturating_mul(SHARE_SCALE) / total.max(1);
        let cores = fraction(self.cores, capacity.cores);
        let memory = fraction(self.memory_mb, capacity.memory_mb);
        cores
            .max(memory)
            .max(fraction(self.accelerators, capacity.accelerators))
    }
}

/// State of one round of placement.
struct JobPlacer<'a> {
    fleet: &'a FleetState,
    document: &'a Document,
    workers: IndexMap<&'a VmId, Worker<'a>>,
    /// Resources of all workers, free or not.
    capacity: Usage,
    usage: IndexMap<&'a TeamId, Usage>,
    /// Workers that the jobs of each team with waiting jobs may run on.
    usable_workers: IndexMap<&'a TeamId, Vec<&'a VmId>>,
}

impl<'a> JobPlacer<'a> {
    fn new(fleet: &'a FleetState, document: &'a Document) -> Self {
        let live = fleet.vms.iter().filter(|vm| vm.phase == VmPhase::Live);
        let usable =
            live.filter(|vm| !fleet.stops.contains_key(&vm.id) && !fleet.down.contains(&vm.id));
        let workers: IndexMap<&VmId, Worker<'_>> = usable
            .filter_map(|vm| worker_of(fleet, document, vm))
            .map(|worker| (worker.vm, worker))
            .collect();
        let mut capacity = Usage::default();
        for worker in workers.values() {
            capacity.cores += u64::from(worker.free.cores);
            capacity.memory_mb += u64::from(worker.free.memory_mb);
            capacity.accelerators += u64::from(worker.free.accelerators);
        }
        let mut placer = Self {
            fleet,
            document,
            workers,
            capacity,
            usage: IndexMap::new(),
            usable_workers: IndexMap::new(),
        };
        placer.index_usable_workers();
        for state in &fleet.jobs {
            if let JobPhase::Placed(vm) = &state.phase {
                placer.reserve(&state.job, vm);
            }
        }
        placer
    }

    /// Fills `usable_workers`.
    fn index_usable_workers(&mut self) {
        let jobs = self.fleet.jobs.iter();
        let teams = jobs.filter(|state| state.phase == JobPhase::Waiting);
        let teams: IndexSet<&TeamId> = teams.map(|state| &state.job.team).collect();
        for team in teams {
            let pools: IndexSet<&PoolId> = self.workers.values().map(|w| w.pool).collect();
            let pools: IndexSet<&PoolId> = pools
                .into_iter()
                .filter(|pool| may_run_in(self.document, team, pool))
                .collect();
            let workers = self.workers.values();
            let usable = workers.filter(|worker| pools.contains(worker.pool));
            self.usable_workers
                .insert(team, usable.map(|w| w.vm).collect());
        }
    }

    fn reserve(&mut self, job: &'a Job, vm: &VmId) {
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.reserve(job);
        }
        self.usage.entry(&job.team).or_default().add(job);
    }

    /// Takes the next job off the queue of the team with the smallest weighted share, among
    /// the teams that may have more jobs placed.
    fn next_job(&self, queues: &mut TeamQueues<'a>) -> Option<&'a JobState> {
        let waiting = queues.iter().filter(|(team, queue)| {
            !queue.is_empty() && self.usage(team).jobs < self.job_limit(team)
        });
        let (team, _) = waiting.min_by_key(|(team, _)| self.weighted_share(team))?;
        let team = *team;
        queues.get_mut(team)?.pop()
    }

    fn usage(&self, team: &TeamId) -> Usage {
        self.usage.get(team).copied().unwrap_or_default()
    }

    /// The team's dominant share divided by its share in the document.
    fn weighted_share(&self, team: &TeamId) -> u64 {
        let share = self.document.teams.get(team).map_or(1, |team| team.share);
        self.usage(team).dominant_share(&self.capacity) / u64::from(share.max(1))
    }

    /// Number of jobs that the team may have placed; the fold refuses more.
    fn job_limit(&self, team: &TeamId) -> u32 {
        let allotment = self.fleet.allotments.get(team);
        allotment.map_or(u32::MAX, |allotment| {
            allotment.share(&AllotmentHolder::Jobs)
        })
    }

    /// Places a job on the first usable worker that it fits on, if there is one.
    fn place(&mut self, state: &'a JobState) -> Option<JobPlacement> {
        let job = &state.job;
        let vms = self.usable_workers.get(&job.team)?;
        let mut workers = vms.iter().filter_map(|vm| self.workers.get(*vm));
        let worker = workers.find(|worker| worker.fits(job))?;
        let vm = worker.vm;
        self.reserve(job, vm);
        Some(JobPlacement {
            job: job.id.clone(),
            step: state.step,
            vm: vm.clone(),
        })
    }
}

/// The VM as a worker without jobs; `None` if it is of another kind or an unknown class, or
/// in no pool.
fn worker_of<'a>(fleet: &'a FleetState, document: &'a Document, vm: &'a Vm) -> Option<Worker<'a>> {
    let class: &Class = document.fleet.classes.get(&vm.class)?;
    let pool = fleet.assignment.get(&vm.id)?;
    let free = Size {
        cores: class.cores,
        memory_mb: class.memory_mb,
        accelerators: class.accelerators,
    };
    (class.kind == TargetKind::Worker).then_some(Worker {
        vm: &vm.id,
        pool,
        free,
    })
}

/// True if jobs of `team` may run in `pool`: in the team's own pools of workers or, if it has
/// none, in those of every team. Spare pools run no jobs.
fn may_run_in(document: &Document, team: &TeamId, pool: &PoolId) -> bool {
    let Some(team) = document.teams.get(team) else {
        return false;
    };
    let is_worker = |class| {
        document
            .fleet
            .classes
            .get(class)
            .is_some_and(|c| c.kind == TargetKind::Worker)
    };
    let has_worker_pools = team
        .pools
        .values()
        .any(|spec| !spec.spare && is_worker(&spec.class));
    let spec = document.pool(pool);
    let in_service = spec.is_some_and(|spec| !spec.spare);
    in_service && (!has_worker_pools || team.pools.contains_key(pool))
}
