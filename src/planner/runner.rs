//! Runs placed jobs: starts their tasks, renews the leases and reads their ends.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::jobs::Placement;

use crate::control::JobState;
use crate::id::{Epoch, JobId, VmId};
use crate::ledger::{JobPhase, JobUpdate};
use crate::services::{PlatformError, TaskSpec, TaskState, TaskStatus};

/// Time after which a worker stops a task whose lease was not renewed, in ms.
pub const TASK_LEASE_MS: u64 = 10_000;

/// Time between two renewals, in ms; two may be lost within a lease.
const RENEW_MS: u64 = 1_000;

/// Silence after which a task has ended by its own lease, with as much again for a
/// worker's slower clock.
const LOST_AFTER: Duration = Duration::from_millis(2 * TASK_LEASE_MS);

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Starts the task; it does nothing if the worker knows the task.
    Start(VmId, TaskSpec),
    /// Extends the lease and reads the state.
    Renew(VmId, String),
    /// Stops a task whose job has ended otherwise.
    Stop(VmId, String),
}

/// A call and the job that it is made for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobCall {
    /// The job.
    pub job: JobId,
    /// What to call.
    pub call: Call,
}

/// What this process knows of the tasks of placed jobs.
#[derive(Debug, Default)]
pub struct Runner {
    tasks: IndexMap<JobId, Task>,
}

#[derive(Debug)]
struct Task {
    vm: VmId,
    id: String,
    /// True once the worker may have the task.
    started: bool,
    /// When the worker was last reached, or may have been.
    reached: Instant,
    /// When the next call is due.
    due: Instant,
}

impl Runner {
    /// Notes that this process has placed the job, so that nobody else has started it.
    pub fn place(&mut self, placement: &Placement, now: Instant) {
        let task = Task {
            vm: placement.vm.clone(),
            id: task_id(&placement.job, placement.step + 1),
            started: false,
            reached: now,
            due: now,
        };
        self.tasks.insert(placement.job.clone(), task);
    }

    /// The calls that are due, given the jobs that have not ended.
    pub fn calls(&mut self, jobs: &[JobState], now: Instant) -> Vec<JobCall> {
        let mut calls = self.stops(jobs);
        for state in jobs {
            if let JobPhase::Placed(vm) = &state.phase {
                calls.extend(self.call(state, vm, now));
            }
        }
        calls
    }

    /// A task that an earlier holder of the role placed may be running already.
    fn call(&mut self, state: &JobState, vm: &VmId, now: Instant) -> Option<JobCall> {
        let job = &state.job.id;
        let id = task_id(job, state.step);
        let task = self.tasks.entry(job.clone()).or_insert_with(|| Task {
            vm: vm.clone(),
            id: id.clone(),
            started: true,
            reached: now,
            due: now,
        });
        if now < task.due {
            return None;
        }
        task.due = now + Duration::from_millis(RENEW_MS);
        let call = if task.started {
            Call::Renew(vm.clone(), id)
        } else {
            Call::Start(vm.clone(), spec(state, id))
        };
        let job = job.clone();
        Some(JobCall { job, call })
    }

    /// Tasks whose job is no longer placed are stopped.
    fn stops(&mut self, jobs: &[JobState]) -> Vec<JobCall> {
        let placed: IndexSet<&JobId> = jobs
            .iter()
            .filter(|state| matches!(state.phase, JobPhase::Placed(_)))
            .map(|state| &state.job.id)
            .collect();
        let gone = self.tasks.extract_if(.., |job, _| !placed.contains(job));
        gone.map(|(job, task)| JobCall {
            job,
            call: Call::Stop(task.vm, task.id),
        })
        .collect()
    }

    /// The update that a worker's answer to a start calls for.
    pub fn started(
        &mut self,
        state: &JobState,
        epoch: Epoch,
        result: &Result<(), PlatformError>,
    ) -> Option<JobUpdate> {
        let task = self.tasks.get_mut(&state.job.id)?;
        match result {
            Err(PlatformError::NotSent(_)) => None,
            Ok(()) | Err(PlatformError::Unknown(_)) => {
                task.started = true;
                None
            }
            Err(_) => Some(update(state, epoch, JobPhase::Waiting)),
        }
    }

    /// The update that a worker's answer to a renewal calls for.
    pub fn renewed(
        &mut self,
        state: &JobState,
        epoch: Epoch,
        result: &Result<TaskStatus, PlatformError>,
        now: Instant,
    ) -> Option<JobUpdate> {
        let task = self.tasks.get_mut(&state.job.id)?;
        let lapsed = now.saturating_duration_since(task.reached) > LOST_AFTER;
        let phase = match result {
            Ok(status) => {
                task.reached = now;
                ended(state, status)?
            }
            Err(PlatformError::Missing) => rerun(state, "lost by its worker; it may have run"),
            Err(PlatformError::NotSent(_)) if lapsed => {
                rerun(state, "worker not reached; it may have run")
            }
            Err(PlatformError::NotSent(_)) => return None,
            Err(_) => {
                task.reached = now;
                return None;
            }
        };
        Some(update(state, epoch, phase))
    }
}

fn update(state: &JobState, epoch: Epoch, phase: JobPhase) -> JobUpdate {
    JobUpdate {
        id: state.job.id.clone(),
        expected_step: state.step,
        phase,
        epoch: Some(epoch),
    }
}

fn ended(state: &JobState, status: &TaskStatus) -> Option<JobPhase> {
    let output = status.output.clone();
    match status.state {
        TaskState::Running => None,
        TaskState::Done => Some(JobPhase::Done(output)),
        TaskState::Failed => Some(JobPhase::Failed(output)),
        TaskState::Stopped | TaskState::Lapsed => Some(rerun(state, "stopped by its worker")),
    }
}

/// A job that may run twice waits again, another has failed.
fn rerun(state: &JobState, cause: &str) -> JobPhase {
    if state.job.idempotent {
        return JobPhase::Waiting;
    }
    JobPhase::Failed(cause.to_owned())
}

/// Differs for each placement of a job, so that a late start can't join two of them.
fn task_id(job: &JobId, step: u32) -> String {
    format!("{job}.{step}")
}

fn spec(state: &JobState, id: String) -> TaskSpec {
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
