//! Decides which tasks start next, and on which targets.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::Leader;
use super::isolation::{Isolation, IsolationPass};
use crate::scheduler::placement::{self, PlacementRequest, ReservedTargets};
use crate::scheduler::run::{ReportedProgress, Run, RunPhase};
use crate::scheduler::urgency::Urgency;
use crate::scheduler::{
    Capacity, Job, JobKey, JobState, JobTable, Millis, Occurrence, Step, StepKey, TargetId,
    TaskKey, TaskPhase,
};

/// State of one pass over the jobs.
struct SchedulingPass {
    /// Capacity that the runs of each team reserve, by the team's name.
    used_by_team: HashMap<String, Capacity>,
    /// Targets that get no tasks in this pass, because a long-running task waits for room there,
    /// and those that get only isolated ones.
    reserved_targets: ReservedTargets,
    isolation: IsolationPass,
    /// Reservations of tasks without special requirements that no target of a pool had room for,
    /// by the pool's name.
    without_room: HashMap<String, Vec<Capacity>>,
    now: Millis,
}

impl SchedulingPass {
    /// Returns whether a task that reserves no more than `reservation` has found no room in the
    /// pool in this pass.
    fn lacks_room(&self, pool: &str, reservation: &Capacity) -> bool {
        let none_used = Capacity::default();
        let no_room = self.without_room.get(pool);
        no_room.is_some_and(|no_room| {
            no_room
                .iter()
                .any(|failed| none_used.fits(failed, reservation))
        })
    }
}

impl Leader {
    /// Adds the occurrences of jobs that are due by `wall_ms`.
    pub(super) fn advance_occurrences(&mut self, table: &mut JobTable, now: Millis, wall_ms: u64) {
        self.now = now;
        self.wall_ms = wall_ms;
        if wall_ms < self.next_occurrence_ms {
            return;
        }
        self.next_occurrence_ms = u64::MAX;
        for key in self.active_jobs.clone() {
            let Some(job) = table.get_mut(key) else {
                continue;
            };
            while let Some(due) = next_occurrence(job) {
                if due > wall_ms {
                    self.next_occurrence_ms = self.next_occurrence_ms.min(due);
                    break;
                }
                job.progress.occurrences.push(Occurrence::new(&job.spec));
                self.needs_scheduling = true;
            }
        }
    }

    /// Places the pending tasks that may start and have room on a target, those of the most
    /// urgent jobs first.
    pub(super) fn schedule(&mut self, table: &mut JobTable, now: Millis) {
        let mut pass = SchedulingPass {
            used_by_team: self.used_by_team(),
            reserved_targets: self.isolation_targets.clone(),
            isolation: IsolationPass::new(std::mem::take(&mut self.isolation_targets)),
            without_room: HashMap::new(),
            now,
        };
        for Urgency { job: key, .. } in self.jobs_by_urgency(table) {
            let steps = table.get(key);
            let steps = steps.map_or_else(Vec::new, |job| ready_steps(key, job));
            for step in steps {
                self.start_step(table, step, &mut pass);
            }
        }
        self.finish_isolation(pass.isolation, now);
    }

    /// Capacity that the runs of each team reserve on all targets, by the team's name.
    fn used_by_team(&self) -> HashMap<String, Capacity> {
        let mut used: HashMap<String, Capacity> = HashMap::new();
        for run in self.targets.values().flat_map(|t| t.runs.values()) {
            if let Some(team) = &run.team {
                match used.get_mut(team) {
                    Some(sum) => sum.add(&run.reserved),
                    None => {
                        used.insert(team.clone(), run.reserved);
                    }
                }
            }
        }
        used
    }

    /// Jobs that have not ended, the most urgent first.
    fn jobs_by_urgency(&self, table: &JobTable) -> Vec<Urgency> {
        let mut jobs: Vec<Urgency> = self
            .active_jobs
            .iter()
            .filter_map(|key| {
                let job = table.get(*key)?;
                let queue = self.policy.queues.get(job.spec.queue.as_str());
                Some(Urgency::of(*key, job, queue, self.wall_ms))
            })
            .collect();
        jobs.sort_unstable();
        jobs
    }

    /// Places pending tasks of a step, until one finds no target, may still be running on an
    /// unlisted target, or would exceed the team's limit. A gang is placed as a whole or not at
    /// all. When a long-running or a suspect task finds no target, the one that is likely to have
    /// room first is reserved for it.
    fn start_step(&mut self, table: &mut JobTable, key: StepKey, pass: &mut SchedulingPass) {
        let now = pass.now;
        let Some(job) = table.get(key.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(key.step as usize) else {
            return;
        };
        let mut pending = pending_tasks(job, key);
        let crashes = |index: u32| {
            let stored = job.progress.task(key.task(index));
            stored.map_or(0, |task| task.crashes.count)
        };
        // Suspect tasks can go to fewer targets.
        pending.sort_by_cached_key(|index| Reverse(crashes(*index)));
        if pending.is_empty() || (step.gang && pending.len() < step.count as usize) {
            return;
        }
        let pool = self.policy.pool_of(&spec.queue, &spec.pool).to_owned();
        let reservation = step.reservation();
        let mut placed = Vec::new();
        for index in pending {
            let task = key.task(index);
            let mut request = PlacementRequest {
                pool: &pool,
                key,
                step,
                suspect: false,
            };
            if self.orphans.contains_key(&task)
                || !self.within_team_limit(spec.team.as_ref(), step, &pass.used_by_team)
            {
                break;
            }
            let isolation = self.isolate(&request, crashes(index), &mut pass.isolation, now);
            let target = match isolation {
                Isolation::On(id) => {
                    request.suspect = true;
                    Some(id)
                }
                Isolation::Wait => continue,
                Isolation::None if !step.long_running && pass.lacks_room(&pool, &reservation) => {
                    break;
                }
                Isolation::None => {
                    placement::choose_target(&self.targets, &request, &pass.reserved_targets, now)
                }
            };
            let Some(id) = target else {
                if step.required_label.is_empty() && step.max_per_target == 0 {
                    let no_room = pass.without_room.entry(pool.clone()).or_default();
                    no_room.push(step.reservation());
                }
                if step.long_running {
                    let reserved = &pass.reserved_targets;
                    let target =
                        placement::target_to_reserve(&self.targets, &request, reserved, now);
                    pass.isolation.exclude(target.as_ref());
                    pass.reserved_targets.extend(target);
                }
                break;
            };
            self.add_planned_run(&id, task, &request, spec.team.as_ref(), now);
            add_used(&mut pass.used_by_team, spec.team.as_ref(), step);
            placed.push((task, id));
        }
        if step.gang && placed.len() < step.count as usize {
            self.remove_planned_runs(
                &placed,
                &mut pass.used_by_team,
                spec.team.as_ref(),
                step,
                now,
            );
            return;
        }
        self.record_planned_runs(table, key, &placed);
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
        now: Millis,
    ) {
        let step = request.step;
        if let Some(target) = self.targets.get_mut(id) {
            let run = Run {
                number: 0,
                phase: RunPhase::Planned,
                reserved: step.reservation(),
                phase_since: now,
                working_since: None,
                progress: ReportedProgress::default(),
                sent_at: None,
                running_since: None,
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
        let highest = placed
            .iter()
            .filter_map(|(task, _)| job.progress.task(*task))
            .map(|task| task.run)
            .max()
            .unwrap_or(0);
        for (task, id) in placed {
            let Some(target) = self.targets.get_mut(id) else {
                continue;
            };
            let Some(stored) = job.progress.task_mut(*task) else {
                continue;
            };
            stored.run = if gang { highest } else { stored.run } + 1;
            stored.phase = TaskPhase::Placed {
                target: id.clone(),
                born: target.entry.born,
            };
            if let Some(run) = target.runs.get_mut(task) {
                run.number = stored.run;
            }
        }
        if job.progress.state == JobState::Queued {
            job.progress.state = JobState::Running;
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

/// Due time of the next occurrence, in ms since 1970; `None` when all have begun.
fn next_occurrence(job: &Job) -> Option<u64> {
    let begun = u32::try_from(job.progress.occurrences.len()).unwrap_or(u32::MAX);
    (begun < job.spec.occurrences()).then(|| job.spec.due_ms(begun).unwrap_or(0))
}

/// Steps of begun occurrences that are not done and whose `depends_on` steps are all done.
fn ready_steps(key: JobKey, job: &Job) -> Vec<StepKey> {
    let mut ready = Vec::new();
    for (occurrence, progress) in (0..).zip(&job.progress.occurrences) {
        for (step, spec) in (0..).zip(&job.spec.steps) {
            let open = !progress.steps[step as usize].is_empty();
            if open
                && spec
                    .depends_on
                    .iter()
                    .all(|needed| progress.step_done(*needed))
            {
                ready.push(StepKey {
                    job: key,
                    occurrence,
                    step,
                });
            }
        }
    }
    ready
}

/// Indices of the step's tasks that are neither placed nor done.
pub(super) fn pending_tasks(job: &Job, key: StepKey) -> Vec<u32> {
    let occurrence = &job.progress.occurrences[key.occurrence as usize];
    let tasks = occurrence.steps.get(key.step as usize);
    let tasks = (0..).zip(tasks.into_iter().flatten());
    tasks
        .filter(|(_, task)| task.phase == TaskPhase::Pending)
        .map(|(index, _)| index)
        .collect()
}
