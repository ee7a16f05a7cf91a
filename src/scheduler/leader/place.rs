//! Places the tasks of a step on targets.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use indexmap::IndexMap;

use super::Leader;
use super::isolation::Isolation;
use super::journal::PlannedRun;
use super::schedule::{SchedulingPass, pending_tasks};
use crate::scheduler::lease::Responder;
use crate::scheduler::order::ReadyStep;
use crate::scheduler::placement::{self, PlacementRequest, RackRuns};
use crate::scheduler::run::{ReportedProgress, Run, RunPhase};
use crate::scheduler::{Capacity, JobTable, Millis, Step, StepKey, TargetId, TaskKey, TaskPhase};

impl Leader {
    /// Places pending tasks of a step, until one finds no target, may still be running on an
    /// unlisted target, or would exceed the team's limit. A gang is placed as a whole or not at
    /// all. Returns whether any task was placed.
    pub(super) fn start_step(
        &mut self,
        table: &mut JobTable,
        ready: &ReadyStep,
        pool: usize,
        pass: &mut SchedulingPass,
    ) -> bool {
        let (key, now) = (ready.key, pass.now);
        let Some(job) = table.get(key.job) else {
            return false;
        };
        let spec = Arc::clone(&job.spec);
        let Some(step) = spec.steps.get(key.step as usize) else {
            return false;
        };
        let crashes = |index: u32| {
            let stored = job.progress.task(key.task(index));
            stored.map_or(0, |task| task.crashes.count)
        };
        let mut pending = pending_tasks(job, key);
        if ready.special {
            // Suspect tasks can go to fewer targets.
            pending.sort_by_cached_key(|index| Reverse(crashes(*index)));
        }
        if pending.is_empty() || (step.gang && pending.len() < step.count as usize) {
            return false;
        }
        if step.gang && Self::step_has_strays(&pass.strays, key) {
            return false;
        }
        let Some(pool_name) = self.facts.pools().get_index(pool).cloned() else {
            return false;
        };
        let mut placed = Vec::new();
        for index in pending {
            let task = key.task(index);
            if pass.strays.contains(&task) {
                continue;
            }
            let mut request = PlacementRequest {
                pool: &pool_name,
                key,
                step,
                suspect: false,
            };
            if self.orphans.contains_key(&task)
                || !self.within_team_limit(spec.team.as_ref(), step, &pass.used_by_team)
            {
                break;
            }
            let target = match self.isolate(&request, crashes(index), &mut pass.isolation, now) {
                Isolation::On(id) => {
                    request.suspect = true;
                    Some(id)
                }
                Isolation::Wait => continue,
                Isolation::None => self.target_with_room(&request, pool, pass),
            };
            let Some(id) = target else {
                // What a gang has been given so far is taken from it again.
                if !step.gang || placed.is_empty() {
                    self.note_no_room(&request, pool, pass);
                }
                break;
            };
            self.add_planned_run(&id, task, &request, spec.team.as_ref());
            add_used(&mut pass.used_by_team, spec.team.as_ref(), step);
            placed.push((task, id));
        }
        if step.gang && placed.len() < step.count as usize {
            let used = &mut pass.used_by_team;
            self.remove_planned_runs(&placed, used, spec.team.as_ref(), step, now);
            return false;
        }
        self.record_planned_runs(table, key, &placed);
        !placed.is_empty()
    }

    /// Chooses a target for a task, unless it is known that none has room.
    fn target_with_room(
        &self,
        request: &PlacementRequest<'_>,
        pool: usize,
        pass: &SchedulingPass,
    ) -> Option<TargetId> {
        let room = &pass.rooms[pool];
        if !request.step.long_running && room.lacks(&request.step.reservation()) {
            return None;
        }
        let targets = room.targets.iter();
        let targets = targets.filter_map(|index| self.targets.get_index(*index));
        let runs = RackRuns::new(&self.targets, request);
        placement::choose_target(targets, &runs, request, &pass.reserved_targets, pass.now)
    }

    /// Notes that no target has room for a task. For a long-running one the target that is likely
    /// to have room first is reserved.
    fn note_no_room(&self, request: &PlacementRequest<'_>, pool: usize, pass: &mut SchedulingPass) {
        let step = request.step;
        if step.required_label.is_empty() && step.max_per_target == 0 {
            pass.rooms[pool].note_failed(step.reservation());
        }
        if step.long_running {
            let reserved = &pass.reserved_targets;
            let target = placement::target_to_reserve(&self.targets, request, reserved, pass.now);
            pass.isolation.exclude(target.as_ref());
            pass.reserved_targets.extend(target);
        }
    }

    /// Returns whether the team's limit allows one more task of the step.
    fn within_team_limit(
        &self,
        team: Option<&String>,
        step: &Step,
        used: &HashMap<String, Capacity>,
    ) -> bool {
        let Some(team) = team else { return true };
        let Some(team_policy) = self.policy.teams.get(team.as_str()) else {
            return true;
        };
        let team_used = used.get(team).copied().unwrap_or_default();
        team_used.within_limit(&step.reservation(), &team_policy.limit)
    }

    /// Adds a run of the task to the target. It gets its number from [`Self::record_planned_runs`],
    /// and its start is sent once that is stored.
    fn add_planned_run(
        &mut self,
        id: &TargetId,
        task: TaskKey,
        request: &PlacementRequest<'_>,
        team: Option<&String>,
    ) {
        let step = request.step;
        if let Some(target) = self.targets.get_mut(id) {
            let run = Run {
                number: 0,
                phase: RunPhase::Planned,
                reserved: step.reservation(),
                holds_before: self.holds_sent,
                working_since: None,
                progress: ReportedProgress::default(),
                sent_at: None,
                running_since: None,
                reported_clock: None,
                accepted_by: Responder::Unclear,
                suspect: request.suspect,
                long_running: step.long_running,
                team: team.cloned(),
            };
            target.add_run(task, run);
        }
    }

    /// Undoes the placement of a gang that could not be placed as a whole.
    fn remove_planned_runs(
        &mut self,
        placed: &[(TaskKey, TargetId)],
        used: &mut HashMap<String, Capacity>,
        team: Option<&String>,
        step: &Step,
        now: Millis,
    ) {
        for (task, id) in placed {
            if let Some(target) = self.targets.get_mut(id) {
                target.remove_run(*task, now);
            }
            if let Some(sum) = team.and_then(|team| used.get_mut(team)) {
                sum.subtract(&step.reservation());
            }
        }
    }

    /// Numbers the runs and marks their tasks as placed. The runs of a gang get the same number.
    fn record_planned_runs(
        &mut self,
        table: &mut JobTable,
        key: StepKey,
        placed: &[(TaskKey, TargetId)],
    ) {
        if placed.is_empty() {
            return;
        }
        let Some(job) = table.get_mut(key.job) else {
            return;
        };
        let gang = job.spec.steps[key.step as usize].gang;
        let latest = placed.iter().filter_map(|(task, _)| {
            let stored = job.progress.task(*task)?.run;
            let stray = self.stray_numbers.swap_remove(task).unwrap_or(0);
            Some((*task, stored.max(stray)))
        });
        let latest: IndexMap<TaskKey, u32> = latest.collect();
        let highest = latest.values().copied().max().unwrap_or(0);
        for (task, id) in placed {
            let Some(target) = self.targets.get_mut(id) else {
                continue;
            };
            let Some(stored) = job.progress.task_mut(*task) else {
                continue;
            };
            stored.run = if gang { highest } else { latest[task] } + 1;
            stored.phase = TaskPhase::Placed {
                target: id.clone(),
                born: target.entry.born,
            };
            if let Some(run) = target.runs.get_mut(task) {
                run.number = stored.run;
            }
            self.journal.add_planned_run(PlannedRun {
                target: id.clone(),
                task: *task,
                number: stored.run,
            });
        }
        self.journal.mark_job_dirty(key.job);
    }
}

fn add_used(used: &mut HashMap<String, Capacity>, team: Option<&String>, step: &Step) {
    if let Some(team) = team {
        used.entry(team.clone())
            .or_default()
            .add(&step.reservation());
    }
}
