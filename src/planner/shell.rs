//! Runs the planner: reads the fleet, decides, proposes and calls workers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::Task;
use async_io::Timer;
use async_lock::Mutex;
use futures_lite::future;

use super::claimant::Claimant;
use super::placement::{self, Step};
use super::runner::{Call, Runner, TASK_LEASE_MS};
use super::{jobs, share};
use crate::config::PlannerConfig;
use crate::control::{Control, FleetState, JobState};
use crate::id::{Epoch, Offset, PoolId};
use crate::ledger::{JobPhase, JobUpdate, Proposal, Verdict};
use crate::platform::{PlatformError, Workers};
use crate::runtime::Runtime;

/// Time between two looks at the fleet, in ms.
const TICK_MS: u64 = 200;

/// Time between two rounds of asking for more than a reserve has, in ms.
const INSIST_MS: u64 = 2_000;

/// Longest call to a worker, in ms; shorter than the time between two renewals.
const CALL_MS: u64 = 800;

/// Proposals of one look; the rest follows with the next.
const MAX_STEPS: usize = 256;

/// A running planner; it ends when dropped.
#[derive(Debug)]
pub struct Planner {
    _task: Task<()>,
}

/// Starts the planner on `runtime`; it is active while its claim is accepted.
#[must_use]
pub fn spawn<W: Workers>(
    config: &PlannerConfig,
    control: Control,
    workers: W,
    runtime: &Runtime,
) -> Planner {
    let lease = Duration::from_millis(config.lease_ms);
    let claimant = Claimant::new(config.common.id.clone(), lease);
    let acting = Arc::new(Acting {
        control,
        workers,
        runner: Mutex::new(Runner::default()),
        insisted: Mutex::new(None),
        runtime: runtime.clone(),
    });
    let task = runtime.spawn(run(acting, claimant));
    Planner { _task: task }
}

struct Acting<W> {
    control: Control,
    workers: W,
    runner: Mutex<Runner>,
    /// When it last asked for more than a reserve had.
    insisted: Mutex<Option<Instant>>,
    runtime: Runtime,
}

async fn run<W: Workers>(acting: Arc<Acting<W>>, mut claimant: Claimant) {
    while let Some(fleet) = acting.control.fleet().await {
        let now = Instant::now();
        let held = fleet.planner.as_ref();
        if fleet.verified.is_none() {
            Timer::after(Duration::from_millis(TICK_MS)).await;
            continue;
        }
        if let Some(claim) = claimant.step(held, now) {
            acting.propose_all(vec![Proposal::Claim(claim)]).await;
        }
        if let Some(held) = held.filter(|held| claimant.holds(Some(held), now)) {
            acting.act(&fleet, held.epoch).await;
        } else {
            *acting.runner.lock().await = Runner::default();
        }
        Timer::after(Duration::from_millis(TICK_MS)).await;
    }
}

impl<W: Workers> Acting<W> {
    async fn act(self: &Arc<Self>, fleet: &FleetState, epoch: Epoch) {
        self.place_vms(fleet, epoch).await;
        self.share_ceilings(fleet, epoch).await;
        self.place_jobs(fleet, epoch).await;
        self.run_jobs(epoch).await;
    }

    async fn place_vms(self: &Arc<Self>, fleet: &FleetState, epoch: Epoch) {
        let Some(document) = fleet.document.as_deref() else {
            return;
        };
        let steps = placement::steps(document, &fleet.vms, &fleet.assignment);
        let steps: Vec<Step> = steps.into_iter().take(MAX_STEPS).collect();
        let proposals = steps.iter().map(|step| Proposal::Assign {
            vm: step.vm.clone(),
            from: step.from.clone(),
            to: step.to.clone(),
            epoch,
        });
        let verdicts = self.propose_all(proposals.collect()).await;
        for (step, verdict) in steps.iter().zip(verdicts) {
            if let Some(Verdict::Accepted(offset)) = verdict {
                log_move(step, offset);
            }
        }
    }

    async fn share_ceilings(self: &Arc<Self>, fleet: &FleetState, epoch: Epoch) {
        let now = Instant::now();
        let mut insisted = self.insisted.lock().await;
        let gap = Duration::from_millis(INSIST_MS);
        let insist = insisted.is_none_or(|at| now.saturating_duration_since(at) >= gap);
        if insist {
            *insisted = Some(now);
        }
        drop(insisted);
        self.propose_all(share::transfers(fleet, epoch, insist))
            .await;
    }

    async fn place_jobs(self: &Arc<Self>, fleet: &FleetState, epoch: Epoch) {
        let mut placements = jobs::place(fleet);
        placements.truncate(MAX_STEPS);
        let proposals = placements.iter().map(|placement| {
            Proposal::Update(JobUpdate {
                id: placement.job.clone(),
                step: placement.step,
                phase: JobPhase::Placed(placement.vm.clone()),
                epoch: Some(epoch),
            })
        });
        let verdicts = self.propose_all(proposals.collect()).await;
        let mut runner = self.runner.lock().await;
        for (placement, verdict) in placements.iter().zip(verdicts) {
            if matches!(verdict, Some(Verdict::Accepted(_))) {
                runner.place(placement, Instant::now());
            }
        }
    }

    /// Calls are made only if the role is still held in the newest fold.
    async fn run_jobs(self: &Arc<Self>, epoch: Epoch) {
        let Some(fleet) = self.control.fleet().await else {
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
            self.runtime.spawn(work).detach();
        }
    }

    async fn call(self: Arc<Self>, call: Call, state: Option<JobState>, epoch: Epoch) {
        let update = match (call, state) {
            (Call::Start(vm, task), Some(state)) => {
                let result = within(self.workers.start(&vm, &task)).await;
                self.runner.lock().await.started(&state, epoch, &result)
            }
            (Call::Renew(vm, task), Some(state)) => {
                let result = within(self.workers.renew(&vm, &task, TASK_LEASE_MS)).await;
                let mut runner = self.runner.lock().await;
                runner.renewed(&state, epoch, &result, Instant::now())
            }
            (Call::Stop(vm, task), _) => {
                let _ = within(self.workers.stop(&vm, &task)).await;
                None
            }
            (_, None) => None,
        };
        if let Some(update) = update {
            self.propose(Proposal::Update(update)).await;
        }
    }

    async fn propose_all(self: &Arc<Self>, proposals: Vec<Proposal>) -> Vec<Option<Verdict>> {
        let tasks: Vec<_> = proposals
            .into_iter()
            .map(|proposal| {
                let acting = Arc::clone(self);
                self.runtime
                    .spawn(async move { acting.propose(proposal).await })
            })
            .collect();
        let mut verdicts = Vec::with_capacity(tasks.len());
        for task in tasks {
            verdicts.push(task.await);
        }
        verdicts
    }

    async fn propose(&self, proposal: Proposal) -> Option<Verdict> {
        match self.control.propose(proposal).await {
            Ok(verdict) => {
                if let Verdict::Refused(offset, refusal) = &verdict {
                    let refusal = format!("{refusal:?}");
                    spdlog::info!("proposal_refused", kv: { offset = offset.0, refusal });
                }
                Some(verdict)
            }
            Err(error) => {
                spdlog::warn!("proposal_failed", kv: { error = error.to_string() });
                None
            }
        }
    }
}

fn log_move(step: &Step, offset: Offset) {
    let name = |pool: &Option<PoolId>| pool.as_ref().map_or("", PoolId::as_str).to_owned();
    let (vm, from, to) = (step.vm.as_str(), name(&step.from), name(&step.to));
    spdlog::info!("vm_moved", kv: { vm, from, to, offset = offset.0 });
}

/// A call without an answer in time may have taken effect.
async fn within<T>(
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let timeout = async {
        Timer::after(Duration::from_millis(CALL_MS)).await;
        Err(PlatformError::Unknown(format!(
            "timeout after {CALL_MS} ms"
        )))
    };
    future::or(call, timeout).await
}
