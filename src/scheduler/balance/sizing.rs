//! Sizes the demand of a pool by the work of its jobs and the times by which it is due, so that a
//! pool asks for no more capacity than its jobs need to end within their objectives.

use crate::scheduler::{Capacity, Step};

/// Factor on estimates of run times, in percent: tasks take 20 to 50 percent longer than estimated
/// often enough to make jobs late otherwise.
const ESTIMATE_PERCENT: u64 = 125;

/// Shortest time that a task is taken to run, in ms; start and report of its end take this long.
const MIN_RUN_MS: u64 = 50;

/// Equal tasks of one step that have not started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingTasks {
    pub(crate) count: u64,
    pub(crate) reservation: Capacity,
    pub(crate) estimate_ms: u64,
    /// Time until the last of them must end, in ms, so that the job's later steps can end in time.
    pub(crate) left_ms: u64,
    /// Whether they make progress only together.
    pub(crate) gang: bool,
}

/// A run on a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningTask {
    pub(crate) reserved: Capacity,
    /// Time that it should go on, in ms.
    pub(crate) remaining_ms: u64,
}

/// Jobs of a pool, by what is left to do of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolWork {
    pub(crate) waiting: Vec<WaitingTasks>,
    pub(crate) running: Vec<RunningTask>,
    /// The most that a waiting step of a job past its use needs to make progress.
    pub(crate) least: Capacity,
    /// Capacity that the runs of jobs that are of use reserve.
    pub(crate) used: Capacity,
    /// Highest priority of the jobs that are of use and run to an end; `None` without one.
    pub(crate) priority: Option<u32>,
}

impl WaitingTasks {
    const fn run_ms(&self) -> u64 {
        let run_ms = self.estimate_ms.saturating_mul(ESTIMATE_PERCENT) / 100;
        if run_ms < MIN_RUN_MS {
            MIN_RUN_MS
        } else {
            run_ms
        }
    }

    /// Time over which its tasks may be spread, in ms: as many whole run times as are left, since
    /// a task can't be split, and at least one.
    const fn span_ms(&self) -> u64 {
        let rounds = self.left_ms / self.run_ms();
        if rounds < 1 || self.gang {
            self.run_ms()
        } else {
            rounds * self.run_ms()
        }
    }

    /// What the step needs to make any progress.
    pub(crate) const fn least(&self) -> Capacity {
        multiply(&self.reservation, if self.gang { self.count } else { 1 })
    }
}

impl PoolWork {
    /// Capacity that the pool needs: for each due time the work due by then over the time left,
    /// the largest of these; at least what runs, and what its widest waiting step needs to make
    /// progress. Runs that go on until a due time take part of the work that can be done by then.
    pub(crate) fn needed(mut self) -> Capacity {
        let mut needed = self.used.max_each(&self.least);
        self.waiting.sort_unstable_by_key(WaitingTasks::span_ms);
        self.running.sort_unstable_by_key(|run| run.remaining_ms);
        let mut going_on = Capacity::default();
        for run in &self.running {
            going_on.add(&run.reserved);
        }
        let mut runs = self.running.iter().peekable();
        let mut work = Capacity::default();
        for step in &self.waiting {
            let span_ms = step.span_ms();
            while let Some(run) = runs.next_if(|run| run.remaining_ms <= span_ms) {
                going_on.subtract(&run.reserved);
                work.add(&multiply(&run.reserved, run.remaining_ms));
            }
            let tasks_ms = step.count.saturating_mul(step.run_ms());
            work.add(&multiply(&step.reservation, tasks_ms));
            let mut rate = divide(&work, span_ms);
            rate.add(&going_on);
            needed = needed.max_each(&rate).max_each(&step.least());
        }
        needed
    }
}

/// Work of a job in capacity times ms, if its tasks take as long as estimated.
pub(crate) fn work_of(steps: &[Step]) -> Capacity {
    let mut work = Capacity::default();
    for step in steps.iter().filter(|step| !step.long_running) {
        let tasks_ms = u64::from(step.count).saturating_mul(step.estimate_ms);
        work.add(&multiply(&step.reservation(), tasks_ms));
    }
    work
}

const fn multiply(amount: &Capacity, count: u64) -> Capacity {
    Capacity {
        cpu: amount.cpu.saturating_mul(count),
        mem_mb: amount.mem_mb.saturating_mul(count),
        gpu: amount.gpu.saturating_mul(count),
    }
}

/// Capacity that does this much work in `span_ms`, which is not 0.
const fn divide(work: &Capacity, span_ms: u64) -> Capacity {
    Capacity {
        cpu: work.cpu.div_ceil(span_ms),
        mem_mb: work.mem_mb.div_ceil(span_ms),
        gpu: work.gpu.div_ceil(span_ms),
    }
}
