//! Where the steps of a job stand, for whoever sums up or orders its tasks.

use super::{Job, JobKey, Step, StepKey, TaskPhase, TaskProgress};

/// Where a step of one occurrence stands, or of several that wait alike.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepStatus<'a> {
    pub(super) key: StepKey,
    pub(super) spec: &'a Step,
    /// Number of its tasks that are neither placed nor done.
    pub(super) pending: u64,
    pub(super) placed: u64,
    /// Whether the steps that it depends on are done.
    pub(super) unblocked: bool,
    /// Whether a pending task of it may have crashed targets.
    pub(super) suspect: bool,
    /// Number of occurrences that it stands for; more than 1 for those that are due and not open.
    pub(super) times: u64,
}

impl StepStatus<'_> {
    /// Returns whether it has tasks that may be placed now.
    pub(super) const fn ready(&self) -> bool {
        self.pending > 0 && self.unblocked
    }

    /// Returns whether all its tasks are done.
    pub(super) const fn done(&self) -> bool {
        self.pending == 0 && self.placed == 0
    }

    /// Number of its pending tasks in all occurrences that it stands for.
    pub(super) const fn pending_in_all(&self) -> u64 {
        self.pending.saturating_mul(self.times)
    }
}

/// The steps of the open occurrences of a job, in order, and then those of its next occurrence, which
/// stands for all `waiting` ones: those that are due and not open.
pub(super) fn step_statuses(
    key: JobKey,
    job: &Job,
    waiting: u32,
) -> impl Iterator<Item = StepStatus<'_>> {
    let open = job.progress.occurrences.iter();
    let open = open.flat_map(move |occurrence| {
        let steps = (0..).zip(job.spec.steps.iter().zip(&occurrence.steps));
        steps.map(move |(step, (spec, tasks))| {
            let key = StepKey {
                job: key,
                occurrence: occurrence.number,
                step,
            };
            let mut needed = spec.depends_on.iter();
            let unblocked = needed.all(|needed| occurrence.step_done(*needed));
            open_step(key, spec, tasks, unblocked)
        })
    });
    let next = (waiting > 0).then(|| waiting_steps(key, job, waiting));
    open.chain(next.into_iter().flatten())
}

fn open_step<'a>(
    key: StepKey,
    spec: &'a Step,
    tasks: &[TaskProgress],
    unblocked: bool,
) -> StepStatus<'a> {
    let (mut pending, mut placed, mut suspect) = (0, 0, false);
    for task in tasks {
        match task.phase {
            TaskPhase::Pending => {
                pending += 1;
                suspect |= task.crashes.is_suspect();
            }
            TaskPhase::Placed { .. } => placed += 1,
            TaskPhase::Done => {}
        }
    }
    StepStatus {
        key,
        spec,
        pending,
        placed,
        unblocked,
        suspect,
        times: 1,
    }
}

fn waiting_steps(key: JobKey, job: &Job, waiting: u32) -> impl Iterator<Item = StepStatus<'_>> {
    let occurrence = job.progress.opened;
    (0..)
        .zip(&job.spec.steps)
        .map(move |(step, spec)| StepStatus {
            key: StepKey {
                job: key,
                occurrence,
                step,
            },
            spec,
            pending: spec.count.into(),
            placed: 0,
            unblocked: spec.depends_on.is_empty(),
            suspect: false,
            times: waiting.into(),
        })
}
