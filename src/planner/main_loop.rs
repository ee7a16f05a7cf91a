//! Runs the planner: holds the role, places jobs and calls workers.

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

/// Time between two looks at the fleet, in ms.
const ROUND_MS: u64 = 200;

/// Time between two rounds of asking for more than a reserve has, in ms.
const WANT_INTERVAL_MS: u64 = 2_000;

/// Proposals of one look; the rest follows with the next.
const MAX_PROPOSALS: usize = 256;

/// Services of the platform that the planner calls.
#[derive(Debug)]
pub struct PlatformClients<W, P> {
    /// Tasks on workers.
    pub workers: W,
    /// Drains and reboots.
    pub pools: P,
}

/// What the planner may do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RoleState {
    /// Nothing: another process holds the role.
    NotHeld,
    /// Only finish what was begun: the claim has lapsed here, and nobody is known to have
    /// taken the role over.
    Lapsed(Epoch),
    /// Everything.
    Held(Epoch),
}

/// A running planner; it ends when dropped.
#[derive(Debug)]
pub struct Planner {
    _tasks: [Task<()>; 2],
}

/// Starts the planner on `runtime`; it is active while its claim is accepted.
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
        last_want: Mutex::new(None),
    });
    Planner {
        _tasks: [
            runtime.spawn(run(main_loop, claimant, Arc::clone(&shared_role))),
            runtime.spawn(vm_loop.run(shared_role)),
        ],
    }
}

struct MainLoop<W, P> {
    proposer: Proposer,
    clients: Arc<PlatformClients<W, P>>,
    task_runner: Mutex<TaskRunner>,
    /// When it last asked for more than a reserve had.
    last_want: Mutex<Option<Instant>>,
}

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

    async fn adjust_ceilings(&self, fleet: &FleetState, epoch: Epoch) {
        let now = Instant::now();
        let mut last_want = self.last_want.lock().await;
        let interval = Duration::from_millis(WANT_INTERVAL_MS);
        let signal_want = last_want.is_none_or(|at| now.saturating_duration_since(at) >= interval);
        if signal_want {
            *last_want = Some(now);
        }
        drop(last_want);
        let transfers = ceiling::ceiling_transfers(fleet, epoch, signal_want);
        self.proposer.propose_all(transfers).await;
    }

    async fn place_jobs(&self, fleet: &FleetState, epoch: Epoch) {
        let mut placements = job_placement::place_jobs(fleet);
        placements.truncate(MAX_PROPOSALS);
        let proposals = placements.iter().map(|placement| {
            Proposal::Update(JobUpdate {
                id: placement.job.clone(),
                step: placement.step,
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

    /// Calls are made only if the role is still held in the newest fold.
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
                let _ = with_timeout(workers.stop(&vm, &task)).await;
                None
            }
            (_, None) => None,
        };
        if let Some(update) = update {
            self.proposer.propose(Proposal::Update(update)).await;
        }
    }
}
