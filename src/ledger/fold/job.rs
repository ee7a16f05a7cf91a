//! Jobs: submitted once, then changed by compare-and-set on their step count.

use crate::control::JobState;
use crate::document::{Document, TargetKind};
use crate::id::{JobId, TeamId, VmId};
use crate::ledger::fold::allotment::AllotmentHolder;
use crate::ledger::{Job, JobPhase, JobUpdate, Refusal, State};

/// Ended jobs that are kept; the one that ended first is dropped first.
const MAX_ENDED: usize = 4_096;

impl State {
    pub(super) fn submit_job(&mut self, job: Job) -> Result<(), Refusal> {
        if self.facts.jobs.contains_key(&job.id) {
            return Err(Refusal::Repeated);
        }
        let Some(document) = &self.document else {
            return Err(Refusal::Missing(job.team.to_string()));
        };
        check_size(document, &job)?;
        let state = JobState {
            job,
            phase: JobPhase::Waiting,
            step: 0,
        };
        self.facts.jobs.insert(state.job.id.clone(), state);
        Ok(())
    }

    pub(super) fn update_job(&mut self, update: JobUpdate) -> Result<(), Refusal> {
        match update.epoch {
            Some(epoch) => self.check_epoch(epoch)?,
            None => check_cancellation(&update)?,
        }
        let Some(known) = self.facts.jobs.get(&update.id) else {
            return Err(Refusal::Missing(update.id.to_string()));
        };
        if known.step != update.expected_step || is_ended(&known.phase) {
            return Err(Refusal::Stepped(known.step));
        }
        if let JobPhase::Placed(vm) = &update.phase {
            self.check_worker(vm)?;
        }
        if is_placed(&update.phase) && !is_placed(&known.phase) {
            self.check_share(&known.job.team)?;
        }
        self.apply_update(update);
        Ok(())
    }

    pub(super) fn placed_jobs(&self, team: &TeamId) -> u32 {
        self.facts.placed_jobs.get(team).copied().unwrap_or(0)
    }

    /// Refuses to place a job on a worker that has a planned stop or is down.
    fn check_worker(&self, vm: &VmId) -> Result<(), Refusal> {
        if self.facts.stops.contains_key(vm) {
            return Err(Refusal::Budget(format!("{vm} has a planned stop")));
        }
        if self.facts.down.contains(vm) {
            return Err(Refusal::Budget(format!("{vm} is down")));
        }
        Ok(())
    }

    fn check_share(&self, team: &TeamId) -> Result<(), Refusal> {
        let share = self.share(team, &AllotmentHolder::Jobs);
        if self.placed_jobs(team) < share {
            return Ok(());
        }
        Err(Refusal::Allotment(share))
    }

    fn apply_update(&mut self, update: JobUpdate) {
        let Some(state) = self.facts.jobs.get_mut(&update.id) else {
            return;
        };
        let team = state.job.team.clone();
        let before = is_placed(&state.phase);
        let after = is_placed(&update.phase);
        let ended = is_ended(&update.phase);
        state.phase = update.phase;
        state.step += 1;
        self.count_placed(team, before, after);
        if ended {
            self.keep_ended(update.id);
        }
    }

    fn count_placed(&mut self, team: TeamId, before: bool, after: bool) {
        let count = self.facts.placed_jobs.entry(team).or_insert(0);
        *count = (*count + u32::from(after)).saturating_sub(u32::from(before));
    }

    /// Remembers an ended job, and drops the one that ended first beyond [`MAX_ENDED`].
    fn keep_ended(&mut self, ended: JobId) {
        self.facts.ended_jobs.push_back(ended);
        if self.facts.ended_jobs.len() > MAX_ENDED
            && let Some(oldest) = self.facts.ended_jobs.pop_front()
        {
            self.facts.jobs.swap_remove(&oldest);
        }
    }
}

const fn is_placed(phase: &JobPhase) -> bool {
    matches!(phase, JobPhase::Placed(_))
}

/// True for a phase that a job never leaves: done, failed or cancelled.
#[must_use]
pub const fn is_ended(phase: &JobPhase) -> bool {
    !matches!(phase, JobPhase::Waiting | JobPhase::Placed(_))
}

fn check_cancellation(update: &JobUpdate) -> Result<(), Refusal> {
    if update.phase == JobPhase::Cancelled {
        return Ok(());
    }
    Err(Refusal::Unsigned)
}

fn check_size(document: &Document, job: &Job) -> Result<(), Refusal> {
    let Some(team) = document.teams.get(&job.team) else {
        return Err(Refusal::Missing(job.team.to_string()));
    };
    if team.ceiling == 0 {
        return Err(Refusal::Impossible("the team's ceiling is 0".to_owned()));
    }
    let fits = document.fleet.classes.values().any(|class| {
        class.kind == TargetKind::Worker
            && class.cores >= job.cores
            && class.memory_mb >= job.memory_mb
            && class.accelerators >= job.accelerators
    });
    if fits {
        return Ok(());
    }
    Err(Refusal::Impossible(
        "no class of workers is large enough".to_owned(),
    ))
}
