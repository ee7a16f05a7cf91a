//! Work of jobs: amounts of resources times the estimated run times for which they are needed.

use serde::{Deserialize, Serialize};

use super::{Capacity, JobSpec, Millis, QueueTerms};

/// Amounts of resources times the run times for which they are needed, in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 3]", into = "[u64; 3]")]
pub(super) struct Work(Capacity);

impl From<[u64; 3]> for Work {
    fn from([cpu, mem_mb, gpu]: [u64; 3]) -> Self {
        Self(Capacity { cpu, mem_mb, gpu })
    }
}

impl From<Work> for [u64; 3] {
    fn from(Work(sum): Work) -> Self {
        amounts(sum)
    }
}

impl Work {
    /// Work of `count` tasks that reserve `amount` for `run_ms` each.
    pub(super) const fn of(amount: &Capacity, count: u64, run_ms: Millis) -> Self {
        Self(multiply(amount, count.saturating_mul(run_ms)))
    }

    pub(super) const fn add(&mut self, more: &Self) {
        self.0.add(&more.0);
    }

    /// The part of the work for resources of which `needs` has some.
    pub(super) fn of_resources(&self, needs: &Capacity) -> Self {
        let [cpu, mem_mb, gpu] = amounts(*needs).map(|need| need > 0);
        let part = |needed, amount| if needed { amount } else { 0 };
        Self(Capacity {
            cpu: part(cpu, self.0.cpu),
            mem_mb: part(mem_mb, self.0.mem_mb),
            gpu: part(gpu, self.0.gpu),
        })
    }

    pub(super) const fn subtract(&mut self, less: &Self) {
        self.0.subtract(&less.0);
    }
}

/// What a job asks for, by its specification and its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct JobClaim {
    pub(super) priority: u32,
    /// Latency objective in ms; 0 for none.
    pub(super) objective_ms: Millis,
    /// Longest chain of estimated run times, in ms.
    pub(super) chain_ms: Millis,
    /// Work of all its tasks.
    pub(super) work: Work,
    /// The most that one of its tasks reserves, of each resource.
    pub(super) needs: Capacity,
    /// What the tasks reserve that can start at once.
    pub(super) ready: Capacity,
    pub(super) long_running: bool,
    /// Whether it runs once, as soon as possible.
    pub(super) runs_at_once: bool,
    /// Whether no known VM could hold one of its tasks, so that it occupies nothing.
    pub(super) unplaceable: bool,
}

impl JobClaim {
    pub(super) fn of(spec: &JobSpec, terms: QueueTerms) -> Self {
        let chain_ms = spec.critical_path_ms();
        let (mut work, mut ready) = (Work::default(), Capacity::default());
        let mut needs = Capacity::default();
        for step in &spec.steps {
            let (amount, count) = (step.reservation(), u64::from(step.count));
            needs = needs.max_each(&amount);
            work.add(&Work::of(&amount, count, step.estimate_ms));
            if step.depends_on.is_empty() {
                ready.add(&multiply(&amount, count));
            }
        }
        Self {
            priority: terms.priority,
            objective_ms: terms.objective_ms,
            chain_ms,
            work,
            needs,
            ready,
            long_running: spec.is_long_running(),
            runs_at_once: spec.occurrence_count == 0,
            unplaceable: false,
        }
    }
}

pub(super) const fn amounts(capacity: Capacity) -> [u64; 3] {
    [capacity.cpu, capacity.mem_mb, capacity.gpu]
}

/// `amount` for each of `count` tasks.
pub(super) const fn multiply(amount: &Capacity, count: u64) -> Capacity {
    Capacity {
        cpu: amount.cpu.saturating_mul(count),
        mem_mb: amount.mem_mb.saturating_mul(count),
        gpu: amount.gpu.saturating_mul(count),
    }
}

/// Amounts and times are far below 2^52, or so large that a rounding does not matter.
#[allow(clippy::cast_precision_loss)]
pub(super) const fn to_float(amount: u64) -> f64 {
    amount as f64
}

/// Rounds to whole ms; a negative time becomes 0.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) const fn to_millis(span: f64) -> Millis {
    span as u64
}
