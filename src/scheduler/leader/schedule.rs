//! Decides which tasks start next: passes over the jobs, the most urgent first.

use std::collections::HashMap;

use indexmap::IndexSet;

use super::Leader;
use super::isolation::IsolationPass;
use crate::scheduler::order::{self, Plan, PoolLoad, PoolRoom, SmallestTask};
use crate::scheduler::placement::ReservedTargets;
use crate::scheduler::target::Target;
use crate::scheduler::{Capacity, Job, JobTable, Millis, StepKey, TaskKey, TaskPhase};

/// Least time between two passes over the jobs while many jobs wait for room, in ms: short beside
/// the run time of a task, and enough for the leader to handle the answers to its calls.
const PASS_INTERVAL_MS: Millis = 10;

/// Number of jobs that wait for room from which on [`PASS_INTERVAL_MS`] applies. A pass over fewer
/// costs little.
const MANY_WAITING_JOBS: usize = 50;

/// Time between two log lines on the order of the jobs of each pool, in ms.
const ORDER_LOG_INTERVAL_MS: Millis = 1_000;

/// State of one pass over the jobs.
pub(super) struct SchedulingPass {
    /// Capacity that the runs of each team reserve, by the team's name.
    pub(super) used_by_team: HashMap<String, Capacity>,
    /// Targets that get no tasks in this pass, because a long-running task waits for room there,
    /// and those that get only isolated ones.
    pub(super) reserved_targets: ReservedTargets,
    pub(super) isolation: IsolationPass,
    /// Tasks with stray runs, which do not start before these have ended.
    pub(super) strays: IndexSet<TaskKey>,
    /// Room of each pool, in the order of the pools in the cache of facts.
    pub(super) rooms: Vec<PoolRoom>,
    pub(super) now: Millis,
}

/// The latest pass over the jobs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LastPass {
    at: Millis,
    /// Number of jobs whose tasks found no room.
    waiting: usize,
}

impl LastPass {
    /// When the next pass may begin.
    const fn next_at(self) -> Millis {
        if self.waiting < MANY_WAITING_JOBS {
            0
        } else {
            self.at + PASS_INTERVAL_MS
        }
    }
}

impl Leader {
    /// Begins a pass over the jobs if one is wanted and may begin now.
    pub(super) fn schedule_if_due(&mut self, table: &mut JobTable, now: Millis) {
        let recheck = self.reschedule_at.is_some_and(|at| at <= now);
        if (self.needs_scheduling || recheck) && now >= self.last_pass.next_at() {
            self.needs_scheduling = false;
            self.schedule(table, now);
        }
    }

    /// When the leader should be polled although no event arrives: a pass over the jobs is wanted
    /// that may not begin before. `None` while none is.
    #[must_use]
    pub fn next_pass_at(&self) -> Option<Millis> {
        self.needs_scheduling.then(|| self.last_pass.next_at())
    }

    /// Places the pending tasks that may start and have room on a target, those of the most
    /// urgent jobs first.
    fn schedule(&mut self, table: &mut JobTable, now: Millis) {
        for job in self.journal.take_changed() {
            self.facts.note_change(job);
        }
        self.facts
            .refresh(table, &self.policy, &self.active_jobs, &self.due);
        let rooms = self.rooms(now);
        let plan = self.plan(&rooms);
        self.log_order(&plan, now);
        let mut pass = SchedulingPass {
            used_by_team: self.used_by_team(),
            reserved_targets: self.isolation_targets.clone(),
            isolation: IsolationPass::new(std::mem::take(&mut self.isolation_targets)),
            strays: self.stray_tasks(),
            rooms,
            now,
        };
        let mut waiting = 0;
        for position in plan.positions {
            let Some(facts) = self.facts.get(position.job) else {
                continue;
            };
            let room = &pass.rooms[facts.pool];
            let mut ready = facts.ready.iter();
            if ready.all(|step| !step.special && room.lacks(&step.reservation)) {
                waiting += 1;
                continue;
            }
            let (pool, ready) = (facts.pool, facts.ready.clone());
            for step in ready {
                self.start_step(table, &step, pool, &mut pass);
            }
            self.open_waiting_occurrences(table, position.job, pool, &mut pass);
        }
        self.log_waiting_occurrences(table, now);
        self.finish_isolation(pass.isolation, now);
        self.last_pass = LastPass { at: now, waiting };
    }

    /// Orders the jobs.
    fn plan(&self, rooms: &[PoolRoom]) -> Plan {
        let capacities: Vec<u64> = rooms.iter().map(|room| room.capacity).collect();
        let histories = self.facts.histories();
        let jobs = self.facts.iter();
        let over_share = |team: Option<&str>| self.admission.over_share(team);
        order::plan(jobs, &capacities, &histories, self.wall_ms, over_share)
    }

    /// Logs the jobs of each pool by class, when that is due.
    fn log_order(&mut self, plan: &Plan, now: Millis) {
        if now < self.next_order_log {
            return;
        }
        self.next_order_log = now + ORDER_LOG_INTERVAL_MS;
        for (pool, load) in self.facts.pools().iter().zip(&plan.pools) {
            let PoolLoad {
                placed,
                selected,
                deferred,
                past_use,
                work,
                capacity,
            } = *load;
            if placed + selected + deferred + past_use > 0 {
                spdlog::info!("order", kv: {
                    pool = pool.as_ref(), placed, selected, deferred, past_use, work, capacity
                });
            }
        }
    }

    /// Room of the pools of jobs, in the order of the pools in the cache of facts.
    fn rooms(&self, now: Millis) -> Vec<PoolRoom> {
        let pools = self.facts.pools();
        let mut smallest = vec![SmallestTask::default(); pools.len()];
        for (_, facts) in self.facts.iter() {
            for step in &facts.ready {
                smallest[facts.pool].include(&step.reservation);
            }
        }
        let pool_of = |target: &Target| pools.get_index_of(&target.entry.pool);
        PoolRoom::of_pools(&self.targets, &smallest, pool_of, now)
    }

    /// Capacity that the runs of each team reserve on all targets, by the team's name.
    fn used_by_team(&self) -> HashMap<String, Capacity> {
        let mut used: HashMap<String, Capacity> = HashMap::new();
        let runs = self.targets.values().flat_map(|t| t.runs.values());
        let runs = runs.map(|run| (&run.team, run.reserved));
        let strays = self.targets.values().flat_map(|t| t.strays.values());
        let strays = strays.map(|stray| (&stray.team, stray.reserved));
        for (team, reserved) in runs.chain(strays) {
            if let Some(team) = team {
                match used.get_mut(team) {
                    Some(sum) => sum.add(&reserved),
                    None => {
                        used.insert(team.clone(), reserved);
                    }
                }
            }
        }
        used
    }
}

/// Indices of the tasks of a step of an open occurrence that are neither placed nor done.
pub(super) fn pending_tasks(job: &Job, key: StepKey) -> Vec<u32> {
    let occurrence = job.progress.occurrence(key.occurrence);
    let tasks = occurrence.and_then(|occurrence| occurrence.steps.get(key.step as usize));
    let tasks = (0..).zip(tasks.into_iter().flatten());
    tasks
        .filter(|(_, task)| task.phase == TaskPhase::Pending)
        .map(|(index, _)| index)
        .collect()
}
