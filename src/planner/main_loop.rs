//! Starts the planner, and runs the loop that holds the planner role, adjusts the jobs'
//! parts of ceilings, places jobs and calls workers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::Task;
use async_io::Timer;
use async_lock::Mutex;

use super::claimant::Claimant;
use super::proposer::Proposer;
use super::task_runner::{TASK_LEASE_MS, TaskRunner, WorkerCall};
use super::timeout::with_timeout;
use super::vm_loop::VmLoop;
use super::{ceiling, job_placement};
use crate::config::PlannerConfig;
use crate::control::{Control, FleetState, JobState};
use crate::id::Epoch;
use crate::ledger::{JobPhase, JobUpdate, Proposal, Verdict};
use crate::runtime::Runtime;
use crate::services::{Pools, Workers};

/// Pause between two rounds of the loop, in ms.
const ROUND_MS: u64 = 200;

/// Shortest time between two rounds that propose transfers even from empty reserves, in ms.
const UNMET_DEMAND_INTERVAL_MS: u64 = 2_000;

/// Most jobs placed in one round; the rest follows in the next.
const MAX_PROPOSALS: usize = 256;

/// Clients of the platform's services that the planner calls.
#[derive(Debug)]
pub struct PlatformClients<W, P> {
    /// Starts, renews and stops tasks on workers, and lists the workers.
    pub workers: W,
    /// Inspects, drains, restores and reboots VMs.
    pub pools: P,
}

/// Whether this process holds the planner role, and so what it may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RoleState {
    /// The role is free or another process holds it: nothing may be done.
    NotHeld,
    /// The lease of this process's claim has lapsed, and no other claim is known: only stops
    /// already under way may be finished.
    Lapsed(Epoch),
    /// This process holds the role: everything may be done.
    Held(Epoch),
}

/// A running planner; dropping it ends its loops.
#[derive(Debug)]
pub struct Planner {
    _tasks: [Task<()>; 2],
}

/// Starts the planner on `runtime`; it acts only while it holds the planner role.
#[must_use]
pub fn spawn<W: Workers, P: Pools>(
    config: &PlannerConfig,
    control: Control,
    clients: PlatformClients<W, P>,
    runtime: &Runtime,
) -> Planner {
    let lease = Duration::from_millis(config.lease_ms);
    let claimant = Claimant::new(config.common.id.clone(), lease);
    let proposer = Proposer {
        control,
        runtime: runtime.clone(),
    };
    let clients = Arc::new(clients);
    let shared_role = Arc::new(Mutex::new(RoleState::NotHeld));
    let vm_loop = VmLoop::new(proposer.clone(), Arc::clone(&clients));
    let main_loop = Arc::new(MainLoop {
        proposer,
        clients,
        task_runner: Mutex::new(TaskRunner::default()),
        last_unmet_demand: Mutex::new(None),
    });
    Planner {
        _tasks: [
            runtime.spawn(run(main_loop, claimant, Arc::clone(&shared_role))),
            runtime.spawn(vm_loop.run(shared_role)),
        ],
    }
}

/// The loop's clients and what it remembers between rounds.
struct MainLoop<W, P> {
    proposer: Proposer,
    clients: Arc<PlatformClients<W, P>>,
    task_runner: Mutex<TaskRunner>,
    /// When transfers were last proposed even from empty reserves; `None` before the first time.
    last_unmet_demand: Mutex<Option<Instant>>,
}

/// Runs rounds for as long as the control thread does; before the log's head has been
/// read, nothing is claimed.
async fn run<W: Workers, P: Pools>(
    main_loop: Arc<MainLoop<W, P>>,
    mut claimant: Claimant,
    shared_role: Arc<Mutex<RoleState>>,
) {
    while let Some(fleet) = main_loop.proposer.control.fleet().await {
        let now = Instant::now();
        if fleet.verified.is_none() {
            Timer::after(Duration::from_millis(ROUND_MS)).await;
            continue;
        }
        let claim = claimant.next_claim(fleet.planner.as_ref(), now);
        let role = role_state(&claimant, &fleet, now);
        *shared_role.lock().await = role;
        if let Some(claim) = claim {
            let claim = vec![Proposal::Claim(claim)];
            main_loop.proposer.propose_all(claim).await;
        }
        match role {
            RoleState::Held(epoch) => main_loop.run_round(&fleet, epoch).await,
            _ => *main_loop.task_runner.lock().await = TaskRunner::default(),
        }
        Timer::after(Duration::from_millis(ROUND_MS)).await;
    }
}

/// What this process may do, given the accepted claim.
fn role_state(claimant: &Claimant, fleet: &FleetState, now: Instant) -> RoleState {
    match fleet.planner.as_ref() {
        Some(holding) if claimant.holds_role(Some(holding), now) => RoleState::Held(holding.epoch),
        Some(holding) if claimant.is_holder(holding) => RoleState::Lapsed(holding.epoch),
        _ => RoleState::NotHeld,
    }
}

impl<W: Workers, P: Pools> MainLoop<W, P> {
    async fn run_round(self: &Arc<Self>, fleet: &FleetState, epoch: Epoch) {
        self.adjust_ceilings(fleet, epoch).await;
        self.place_jobs(fleet, epoch).await;
        self.call_workers(epoch).await;
    }

    /// Proposes transfers between the reserves of the teams' ceilings and their jobs.
    async fn adjust_ceilings(&self, fleet: &FleetState, epoch: Epoch) {
        let now = Instant::now();
        let mut last_unmet_demand = self.last_unmet_demand.lock().await;
        let interval = Duration::from_millis(UNMET_DEMAND_INTERVAL_MS);
        let report_unmet_demand =
            last_unmet_demand.is_none_or(|at| now.saturating_duration_since(at) >= interval);
        if report_unmet_demand {
            *last_unmet_demand = Some(now);
        }
        drop(last_unmet_demand);
        let transfers = ceiling::ceiling_transfers(fleet, epoch, report_unmet_demand);
        self.proposer.propose_all(transfers).await;
    }

    /// Proposes placements of waiting jobs, and tells the task runner of the accepted ones.
    async fn place_jobs(&self, fleet: &FleetState, epoch: Epoch) {
        let mut placements = job_placement::place_jobs(fleet);
        placements.truncate(MAX_PROPOSALS);
        let proposals = placements.iter().map(|placement| {
            Proposal::Update(JobUpdate {
                id: placement.job.clone(),
                expected_step: placement.step,
                phase: JobPhase::Placed(placement.vm.clone()),
                epoch: Some(epoch),
            })
        });
        let verdicts = self.proposer.propose_all(proposals.collect()).await;
        let mut task_runner = self.task_runner.lock().await;
        for (placement, verdict) in placements.iter().zip(verdicts) {
            if matches!(verdict, Some(Verdict::Accepted(_))) {
                task_runner.record_placement(placement, Instant::now());
            }
        }
    }

    /// Makes the calls that are due, if the role is still held with `epoch` in the newest
    /// state folded from the log.
    async fn call_workers(self: &Arc<Self>, epoch: Epoch) {
        let Some(fleet) = self.proposer.control.fleet().await else {
            return;
        };
        if fleet.planner.as_ref().map(|holding| holding.epoch) != Some(epoch) {
            return;
        }
        let calls = self
            .task_runner
            .lock()
            .await
            .due_calls(&fleet.jobs, Instant::now());
        for call in calls {
            let state = fleet.jobs.iter().find(|state| state.job.id == call.job);
            let main_loop = Arc::clone(self);
            let task = main_loop.call_worker(call.call, state.cloned(), epoch);
            self.proposer.runtime.spawn(task).detach();
        }
    }

    /// Makes one call, and proposes the update of the job that follows from its result.
    async fn call_worker(self: Arc<Self>, call: WorkerCall, state: Option<JobState>, epoch: Epoch) {
        let workers = &self.clients.workers;
        let update = match (call, state) {
            (WorkerCall::Start(vm, task), Some(state)) => {
                let result = with_timeout(workers.start(&vm, &task)).await;
                self.task_runner
                    .lock()
                    .await
                    .on_start(&state, epoch, &result)
            }
            (WorkerCall::Renew(vm, task), Some(state)) => {
                let result = with_timeout(workers.renew(&vm, &task, TASK_LEASE_MS)).await;
                let mut task_runner = self.task_runner.lock().await;
                task_runner.on_renewal(&state, epoch, &result, Instant::now())
            }
            (WorkerCall::Stop(vm, task), _) => {
                let result = with_timeout(workers.stop(&vm, &task)).await;
                self.task_runner.lock().await.on_stop(&task, &result);
                None
            }
            (_, None) => None,
        };
        if let Some(update) = update {
            self.proposer.propose(Proposal::Update(update)).await;
        }
    }
}
