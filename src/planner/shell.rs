//! Runs the planner: holds the role, places jobs and calls workers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::Task;
use async_io::Timer;
use async_lock::Mutex;

use super::call::within;
use super::claimant::Claimant;
use super::proposer::Proposer;
use super::runner::{Call, Runner, TASK_LEASE_MS};
use super::upkeep::Upkeep;
use super::{jobs, share};
use crate::config::PlannerConfig;
use crate::control::{Control, FleetState, JobState};
use crate::id::Epoch;
use crate::ledger::{JobPhase, JobUpdate, Proposal, Verdict};
use crate::runtime::Runtime;
use crate::services::{Pools, Workers};

/// Time between two looks at the fleet, in ms.
const TICK_MS: u64 = 200;

/// Time between two rounds of asking for more than a reserve has, in ms.
const INSIST_MS: u64 = 2_000;

/// Proposals of one look; the rest follows with the next.
const MAX_STEPS: usize = 256;

/// Services of the platform that the planner calls.
#[derive(Debug)]
pub struct Platform<W, P> {
    /// Tasks on workers.
    pub workers: W,
    /// Drains and reboots.
    pub pools: P,
}

/// What the planner may do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Duty {
    /// Nothing: another process holds the role.
    None,
    /// Only finish what was begun: the claim has lapsed here, and nobody is known to have
    /// taken the role over.
    Finish(Epoch),
    /// Everything.
    Full(Epoch),
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
    platform: Platform<W, P>,
    runtime: &Runtime,
) -> Planner {
    let lease = Duration::from_millis(config.lease_ms);
    let claimant = Claimant::new(config.common.id.clone(), lease);
    let proposer = Proposer {
        control,
        runtime: runtime.clone(),
    };
    let platform = Arc::new(platform);
    let duty = Arc::new(Mutex::new(Duty::None));
    let upkeep = Upkeep::new(proposer.clone(), Arc::clone(&platform));
    let acting = Arc::new(Acting {
        proposer,
        platform,
        runner: Mutex::new(Runner::default()),
        insisted: Mutex::new(None),
    });
    Planner {
        _tasks: [
            runtime.spawn(run(acting, claimant, Arc::clone(&duty))),
            runtime.spawn(upkeep.run(duty)),
        ],
    }
}

struct Acting<W, P> {
    proposer: Proposer,
    platform: Arc<Platform<W, P>>,
    runner: Mutex<Runner>,
    /// When it last asked for more than a reserve had.
    insisted: Mutex<Option<Instant>>,
}

async fn run<W: Workers, P: Pools>(
    acting: Arc<Acting<W, P>>,
    mut claimant: Claimant,
    duty: Arc<Mutex<Duty>>,
) {
    while let Some(fleet) = acting.proposer.control.fleet().await {
        let now = Instant::now();
        if fleet.verified.is_none() {
            Timer::after(Duration::from_millis(TICK_MS)).await;
            continue;
        }
        let claim = claimant.step(fleet.planner.as_ref(), now);
        let held = decide(&claimant, &fleet, now);
        *duty.lock().await = held;
        if let Some(claim) = claim {
            let claim = vec![Proposal::Claim(claim)];
            acting.proposer.propose_all(claim).await;
        }
        match held {
            Duty::Full(epoch) => acting.act(&fleet, epoch).await,
            _ => *acting.runner.lock().await = Runner::default(),
        }
        Timer::after(Duration::from_millis(TICK_MS)).await;
    }
}

fn decide(claimant: &Claimant, fleet: &FleetState, now: Instant) -> Duty {
    match fleet.planner.as_ref() {
        Some(held) if claimant.holds(Some(held), now) => Duty::Full(held.epoch),
        Some(held) if claimant.is_own(held) => Duty::Finish(held.epoch),
        _ => Duty::None,
    }
}

impl<W: Workers, P: Pools> Acting<W, P> {
    async fn act(self: &Arc<Self>, fleet: &FleetState, epoch: Epoch) {
        self.share_ceilings(fleet, epoch).await;
        self.place_jobs(fleet, epoch).await;
        self.run_jobs(epoch).await;
    }

    async fn share_ceilings(&self, fleet: &FleetState, epoch: Epoch) {
        let now = Instant::now();
        let mut insisted = self.insisted.lock().await;
        let gap = Duration::from_millis(INSIST_MS);
        let insist = insisted.is_none_or(|at| now.saturating_duration_since(at) >= gap);
        if insist {
            *insisted = Some(now);
        }
        drop(insisted);
        let transfers = share::transfers(fleet, epoch, insist);
        self.proposer.propose_all(transfers).await;
    }

    async fn place_jobs(&self, fleet: &FleetState, epoch: Epoch) {
        let mut placements = jobs::place(fleet);
        placements.truncate(MAX_STEPS);
        let proposals = placements.iter().map(|placement| {
            Proposal::Update(JobUpdate {
                id: placement.job.clone(),
                expected_step: placement.step,
                phase: JobPhase::Placed(placement.vm.clone()),
                epoch: Some(epoch),
            })
        });
        let verdicts = self.proposer.propose_all(proposals.collect()).await;
        let mut runner = self.runner.lock().await;
        for (placement, verdict) in placements.iter().zip(verdicts) {
            if matches!(verdict, Some(Verdict::Accepted(_))) {
                runner.place(placement, Instant::now());
            }
        }
    }

    /// Calls are made only if the role is still held in the newest fold.
    async fn run_jobs(self: &Arc<Self>, epoch: Epoch) {
        let Some(fleet) = self.proposer.control.fleet().await else {
            return;
        };
        if fleet.planner.as_ref().map(|held| held.epoch) != Some(epoch) {
            return;
        }
        let calls = self.runner.lock().await.calls(&fleet.jobs, Instant::now());
        for call in calls {
            let state = fleet.jobs.iter().find(|state| state.job.id == call.job);
            let acting = Arc::clone(self);
            let work = acting.call(call.call, state.cloned(), epoch);
            self.proposer.runtime.spawn(work).detach();
        }
    }

    async fn call(self: Arc<Self>, call: Call, state: Option<JobState>, epoch: Epoch) {
        let workers = &self.platform.workers;
        let update = match (call, state) {
            (Call::Start(vm, task), Some(state)) => {
                let result = within(workers.start(&vm, &task)).await;
                self.runner.lock().await.started(&state, epoch, &result)
            }
            (Call::Renew(vm, task), Some(state)) => {
                let result = within(workers.renew(&vm, &task, TASK_LEASE_MS)).await;
                let mut runner = self.runner.lock().await;
                runner.renewed(&state, epoch, &result, Instant::now())
            }
            (Call::Stop(vm, task), _) => {
                let _ = within(workers.stop(&vm, &task)).await;
                None
            }
            (_, None) => None,
        };
        if let Some(update) = update {
            self.proposer.propose(Proposal::Update(update)).await;
        }
    }
}
