//! The runs on a target, and the capacity that they reserve.

use indexmap::IndexMap;

use super::lease::Responder;
use super::run::{Run, StrayRun};
use super::target::Target;
use super::{Capacity, Millis, StepKey, TaskKey};

impl Target {
    /// Adds a run and reserves its capacity.
    pub(super) fn add_run(&mut self, task: TaskKey, run: Run) {
        self.used.add(&run.reserved);
        self.suspect_runs += usize::from(run.suspect);
        self.stopping_runs += usize::from(run.stopping());
        self.runs.insert(task, run);
    }

    /// Removes the run of a task and frees its capacity; `None` without one.
    pub(super) fn remove_run(&mut self, task: TaskKey, now: Millis) -> Option<Run> {
        let run = self.runs.swap_remove(&task)?;
        self.used.subtract(&run.reserved);
        self.suspect_runs -= usize::from(run.suspect);
        self.stopping_runs -= usize::from(run.stopping());
        if self.runs.is_empty() {
            self.idle_since = now;
        }
        Some(run)
    }

    /// Adds a stray run and reserves its capacity.
    pub(super) fn add_stray(&mut self, task: TaskKey, number: u32, stray: StrayRun) {
        self.used.add(&stray.reserved);
        self.strays.insert((task, number), stray);
    }

    /// Removes a stray run and frees its capacity; returns whether there was one.
    pub(super) fn remove_stray(&mut self, task: TaskKey, number: u32) -> bool {
        let stray = self.strays.swap_remove(&(task, number));
        if let Some(stray) = &stray {
            self.used.subtract(&stray.reserved);
        }
        stray.is_some()
    }

    /// Sum of what its stray runs reserve.
    pub(super) fn stray_used(&self) -> Capacity {
        let mut used = Capacity::default();
        for stray in self.strays.values() {
            used.add(&stray.reserved);
        }
        used
    }

    /// Returns whether it has no run, stray ones included.
    pub(super) fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.strays.is_empty()
    }

    /// Marks the run of a task as no longer suspect.
    pub(super) fn clear_suspect(&mut self, task: TaskKey) {
        if let Some(run) = self.runs.get_mut(&task) {
            self.suspect_runs -= usize::from(std::mem::take(&mut run.suspect));
        }
    }

    /// Removes all stray runs and frees their capacity.
    pub(super) fn clear_strays(&mut self) {
        let strays = self.stray_used();
        self.used.subtract(&strays);
        self.strays.clear();
    }

    /// Returns whether it has runs that are certainly of this incarnation, and so end with its lease.
    pub(super) fn has_known_runs(&self) -> bool {
        !self.strays.is_empty() || self.runs.values().any(|run| !run.may_be_on_later())
    }

    /// Removes and returns the runs that a later incarnation has accepted.
    pub(super) fn take_runs_that_began_later(&mut self, now: Millis) -> IndexMap<TaskKey, Run> {
        let later = self.runs.iter();
        let later = later.filter(|(_, run)| run.accepted_by == Responder::Later);
        let later: Vec<TaskKey> = later.map(|(task, _)| *task).collect();
        let taken = later.into_iter();
        taken
            .filter_map(|task| Some((task, self.remove_run(task, now)?)))
            .collect()
    }

    /// Number of its runs of tasks of `step`, stray ones included.
    pub(super) fn runs_of_step(&self, step: StepKey) -> usize {
        let strays = self.strays.keys().map(|(task, _)| task);
        let tasks = self.runs.keys().chain(strays);
        tasks.filter(|task| task.step == step).count()
    }

    /// Number of its runs of long-running tasks.
    pub(super) fn long_running_runs(&self) -> usize {
        self.runs.values().filter(|run| run.long_running).count()
    }

    /// Sum of what its runs of long-running tasks reserve.
    pub(super) fn long_running_used(&self) -> Capacity {
        let mut used = Capacity::default();
        for run in self.runs.values().filter(|run| run.long_running) {
            used.add(&run.reserved);
        }
        used
    }
}
