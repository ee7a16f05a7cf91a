//! Notes which jobs have begun.
//!
//! A start that is planned, sent or refused has not begun. Only its target can tell that it has: by
//! its answer to the start, or by a report that lists the run as running or ended. That is stored with
//! the state of the job and never taken back, whatever becomes of the run, so that all processes and
//! later leaders say the same. A start of which the answer is lost counts once a report lists its run;
//! if the target is lost before that, the job counts as queued until a task of it starts again.

use super::Leader;
use crate::scheduler::{JobState, JobTable, TargetId, TaskKey};

/// What shows that a task has begun on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Beginning {
    /// The target answered that it has carried out the start.
    Answered,
    /// It reports the run as running.
    Reported,
    /// It has listed the end of the run.
    Ended,
}

impl Beginning {
    /// Name in the log.
    const fn name(self) -> &'static str {
        match self {
            Self::Answered => "start answered",
            Self::Reported => "run reported",
            Self::Ended => "end listed",
        }
    }
}

impl Leader {
    /// Notes that a run of a task has begun, and with it the task's job.
    pub(super) fn note_begun(
        &mut self,
        table: &mut JobTable,
        task: TaskKey,
        run: u32,
        target: &TargetId,
        evidence: Beginning,
    ) {
        let key = task.step.job;
        let job = table.get_mut(key);
        let Some(job) = job.filter(|job| job.progress.state == JobState::Queued) else {
            return;
        };
        job.progress.state = JobState::Running;
        spdlog::info!("job_begun", kv: {
            job = key.to_string(), task = task.to_string(), run, target = target.0.as_ref(),
            evidence = evidence.name(), epoch = self.epoch(),
            accepted_ms = self.wall_ms.saturating_sub(job.spec.accepted_ms)
        });
        self.journal.note_job_begun(key);
    }
}
