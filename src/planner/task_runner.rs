//! Runs placed jobs: starts their tasks on workers, renews the tasks' leases and reads how
//! they end.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::job_placement::JobPlacement;

use crate::control::JobState;
use crate::id::{Epoch, JobId, VmId};
use crate::ledger::{JobPhase, JobUpdate};
use crate::services::{PlatformError, TaskSpec, TaskState, TaskStatus};

/// Time after which a worker stops a task whose lease was not renewed, in ms.
pub const TASK_LEASE_MS: u64 = 10_000;

/// Time between two renewals of a task's lease, in ms; two and more in a row may be lost
/// within a lease.
const RENEWAL_INTERVAL_MS: u64 = 1_000;

/// Time between two attempts to stop a task, in ms; longer than the timeout of a call.
const STOP_INTERVAL_MS: u64 = 1_000;

/// Time without contact to a worker after which its task has ended by its own lease: one
/// lease, and as much again in case the worker's clock is slower.
const TASK_LOST_AFTER: Duration = Duration::from_millis(2 * TASK_LEASE_MS);

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCall {
    /// Start the task; this has no effect if the worker already knows the task.
    Start(VmId, TaskSpec),
    /// Extend the lease of the task with this id and read its state.
    Renew(VmId, String),
    /// Stop the task with this id, whose placement no longer stands.
    Stop(VmId, String),
}

/// A call and the job that it is made for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobCall {
    /// Job that the call is made for.
    pub job: JobId,
    /// Call to make.
    pub call: WorkerCall,
}

/// Keeps track of the tasks of placed jobs, as this process knows them.
#[derive(Debug, Default)]
pub struct TaskRunner {
    /// By their ids.
    tasks: IndexMap<String, TrackedTask>,
}

/// The task of one placement of a job.
#[derive(Debug)]
struct TrackedTask {
    job: JobId,
    vm: VmId,
    contact: Contact,
    /// When a call about the task last reached the worker, or may have.
    last_reached: Instant,
    /// When the next call is due.
    next_call_at: Instant,
    /// When the task has ended by its own lease at the latest; `None` while its placement
    /// stands.
    ends_by: Option<Instant>,
}

/// What is known of a task's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Contact {
    /// No start has had an effect.
    None,
    /// A call to start the task is under way.
    Starting,
    /// The worker may have the task; then it is renewed and not started again.
    Unclear,
    /// The worker has answered that it has the task.
    Confirmed,
}

impl TaskRunner {
    /// Records that this process has placed the job, so that no other has started its task.
    pub fn record_placement(&mut self, placement: &JobPlacement, now: Instant) {
        let task = TrackedTask {
            job: placement.job.clone(),
            vm: placement.vm.clone(),
            contact: Contact::None,
            last_reached: now,
            next_call_at: now,
            ends_by: None,
        };
        let id = task_id(&placement.job, placement.step + 1);
        self.tasks.insert(id, task);
    }

    /// The calls that are due; `jobs` are all that have not ended.
    pub fn due_calls(&mut self, jobs: &[JobState], now: Instant) -> Vec<JobCall> {
        let mut calls = self.stop_calls(jobs, now);
        for state in jobs {
            if let JobPhase::Placed(vm) = &state.phase {
                calls.extend(self.due_call(state, vm, now));
            }
        }
        calls
    }

    /// The call that is due for a placed job. If an earlier holder of the planner role placed
    /// it, the task may already run, so it is renewed and not started.
    fn due_call(&mut self, state: &JobState, vm: &VmId, now: Instant) -> Option<JobCall> {
        let job = &state.job.id;
        let id = task_id(job, state.step);
        let task = self.tasks.entry(id.clone()).or_insert_with(|| TrackedTask {
            job: job.clone(),
            vm: vm.clone(),
            contact: Contact::Unclear,
            last_reached: now,
            next_call_at: now,
            ends_by: None,
        });
        if now < task.next_call_at {
            return None;
        }
        task.next_call_at = now + Duration::from_millis(RENEWAL_INTERVAL_MS);
        let call = match task.contact {
            Contact::None | Contact::Starting => {
                task.contact = Contact::Starting;
                WorkerCall::Start(vm.clone(), task_spec(state, id))
            }
            Contact::Unclear | Contact::Confirmed => WorkerCall::Renew(vm.clone(), id),
        };
        let job = job.clone();
        Some(JobCall { job, call })
    }

    /// The due calls to stop tasks of placements that no longer stand. Forgets those that never
    /// started, or have ended by their own lease.
    fn stop_calls(&mut self, jobs: &[JobState], now: Instant) -> Vec<JobCall> {
        let placed: IndexSet<String> = jobs
            .iter()
            .filter(|state| matches!(state.phase, JobPhase::Placed(_)))
            .map(|state| task_id(&state.job.id, state.step))
            .collect();
        let mut calls = Vec::new();
        self.tasks.retain(|id, task| {
            if placed.contains(id) {
                return true;
            }
            let may_run = task.contact != Contact::None && task.may_run_at(now);
            if may_run {
                calls.extend(task.due_stop(id, now));
            }
            may_run
        });
        calls
    }

    /// Forgets a task once a call to stop it shows that it doesn't run and won't.
    pub fn on_stop(&mut self, id: &str, result: &Result<TaskStatus, PlatformError>) {
        let Some(task) = self.tasks.get(id) else {
            return;
        };
        // A worker that doesn't know the task may get its start later.
        let has_ended = match result {
            Ok(status) => status.state != TaskState::Running,
            Err(PlatformError::Missing) => task.contact == Contact::Confirmed,
            Err(_) => false,
        };
        if has_ended {
            self.tasks.swap_remove(id);
        }
    }

    /// The job's update after a call to start its task; `None` if nothing changes.
    pub fn on_start(
        &mut self,
        state: &JobState,
        epoch: Epoch,
        result: &Result<(), PlatformError>,
    ) -> Option<JobUpdate> {
        let task = self.tasks.get_mut(&task_id(&state.job.id, state.step))?;
        match result {
            Err(PlatformError::NotSent(_)) => {
                task.contact = Contact::None;
                None
            }
            Ok(()) => {
                task.contact = Contact::Confirmed;
                None
            }
            Err(PlatformError::Unknown(_)) => {
                task.contact = Contact::Unclear;
                None
            }
            Err(_) => {
                task.contact = Contact::None;
                Some(job_update(state, epoch, JobPhase::Waiting))
            }
        }
    }

    /// The job's update after a call to renew its task's lease; `None` if nothing changes.
    pub fn on_renewal(
        &mut self,
        state: &JobState,
        epoch: Epoch,
        result: &Result<TaskStatus, PlatformError>,
        now: Instant,
    ) -> Option<JobUpdate> {
        let task = self.tasks.get_mut(&task_id(&state.job.id, state.step))?;
        let lapsed = now.saturating_duration_since(task.last_reached) > TASK_LOST_AFTER;
        let phase = match result {
            Ok(status) => {
                task.contact = Contact::Confirmed;
                task.last_reached = now;
                phase_after(state, status)?
            }
            Err(PlatformError::Missing) => {
                retry_or_fail(state, "lost by its worker; it may have run")
            }
            Err(PlatformError::NotSent(_)) if lapsed => {
                retry_or_fail(state, "worker not reached; it may have run")
            }
            Err(PlatformError::NotSent(_)) => return None,
            Err(_) => {
                task.last_reached = now;
                return None;
            }
        };
        Some(job_update(state, epoch, phase))
    }
}

impl TrackedTask {
    /// False once the task has ended by its own lease. The time until then begins with the
    /// first call in which its placement is seen to be gone.
    fn may_run_at(&mut self, now: Instant) -> bool {
        if self.ends_by.is_none() {
            self.next_call_at = now;
        }
        now <= *self.ends_by.get_or_insert(now + TASK_LOST_AFTER)
    }

    fn due_stop(&mut self, id: &str, now: Instant) -> Option<JobCall> {
        if now < self.next_call_at {
            return None;
        }
        self.next_call_at = now + Duration::from_millis(STOP_INTERVAL_MS);
        Some(JobCall {
            job: self.job.clone(),
            call: WorkerCall::Stop(self.vm.clone(), id.to_owned()),
        })
    }
}

fn job_update(state: &JobState, epoch: Epoch, phase: JobPhase) -> JobUpdate {
    JobUpdate {
        id: state.job.id.clone(),
        expected_step: state.step,
        phase,
        epoch: Some(epoch),
    }
}

/// The job's phase once its task has ended; `None` while it runs.
fn phase_after(state: &JobState, status: &TaskStatus) -> Option<JobPhase> {
    let output = status.output.clone();
    match status.state {
        TaskState::Running => None,
        TaskState::Done => Some(JobPhase::Done(output)),
        TaskState::Failed => Some(JobPhase::Failed(output)),
        TaskState::Stopped | TaskState::Lapsed => {
            Some(retry_or_fail(state, "stopped by its worker"))
        }
    }
}

/// The phase of a job whose task was lost or stopped: an idempotent job waits to run again,
/// any other has failed.
fn retry_or_fail(state: &JobState, cause: &str) -> JobPhase {
    if state.job.idempotent {
        return JobPhase::Waiting;
    }
    JobPhase::Failed(cause.to_owned())
}

/// Id of a job's task; it differs for each placement, so that a start that arrives late can't
/// be taken for that of a newer placement.
fn task_id(job: &JobId, step: u32) -> String {
    format!("{job}.{step}")
}

fn task_spec(state: &JobState, id: String) -> TaskSpec {
    let job = &state.job;
    TaskSpec {
        id,
        task: job.task.clone(),
        input: job.input.clone(),
        cores: job.cores,
        memory_mb: job.memory_mb,
        accelerators: job.accelerators,
        lease_ms: TASK_LEASE_MS,
    }
}
