//! Gangs: their runs make progress while all members run.

use amaranthwick::scheduler::{EndKind, Millis, Step, StepKey, TargetId, TaskKey};
use indexmap::IndexMap;

use super::{TICK_MS, World};
use crate::target::{FakeTarget, Pace, Run};

/// Time after which a run ends whose gang is not complete, in ms.
const MAX_WAIT_MS: Millis = 3_000;

/// Runs of gangs that have not ended, by their steps and run numbers.
pub(super) type Gangs = IndexMap<(StepKey, u32), Gang>;

/// A run of a gang.
pub(super) struct Gang {
    size: usize,
    /// Members that have started, with their targets.
    members: IndexMap<TaskKey, TargetId>,
}

impl World {
    /// A run has started; one of a gang waits for the other members.
    pub(super) fn join_gang(&mut self, step: &Step, task: TaskKey, number: u32, on: &TargetId) {
        if !step.gang {
            return;
        }
        let run = self.targets[on].run_mut(task, number).unwrap();
        run.end = Some((self.now + MAX_WAIT_MS, EndKind::Alone));
        let gang = self.gangs.entry((task.step, number));
        let gang = gang.or_insert_with(|| Gang {
            size: step.count as usize,
            members: IndexMap::new(),
        });
        gang.members.insert(task, on.clone());
    }

    /// Lets the runs of gangs work, wait or break; called before the targets advance to `now`.
    pub(super) fn advance_gangs(&mut self) {
        let now = self.now;
        let targets = &mut self.targets;
        self.gangs
            .retain(|(_, number), gang| gang.advance(targets, *number, now));
    }
}

impl Gang {
    /// Returns whether any of its runs goes on. Calls need not reach their targets.
    fn advance(
        &self,
        targets: &mut IndexMap<TargetId, FakeTarget>,
        number: u32,
        now: Millis,
    ) -> bool {
        let members = self.members.iter();
        let going: Vec<(&TargetId, TaskKey)> = members
            .filter(|(task, id)| targets[*id].alive && targets[*id].run(**task, number).is_some())
            .map(|(task, id)| (id, *task))
            .collect();
        let mut broken = going.len() < self.members.len();
        let mut works = self.members.len() == self.size;
        for (id, task) in &going {
            let target = &targets[*id];
            let run = target.run(*task, number).unwrap();
            broken |= ends_otherwise(target, run, now);
            works &= target.pace == Pace::Normal && !run.is_stopping();
        }
        for (id, task) in &going {
            let target = &mut targets[*id];
            let pace = target.pace;
            let ends = ends_otherwise(target, target.run(*task, number).unwrap(), now);
            let run = target.run_mut(*task, number).unwrap();
            if broken && !ends {
                run.end = Some((now, EndKind::Broken));
            } else if works && run.waits() {
                run.begin_work(now);
            } else if !works && pace == Pace::Normal {
                run.hold_back(TICK_MS);
            }
        }
        !going.is_empty()
    }
}

/// Returns whether the run ends now, and not as done.
fn ends_otherwise(target: &FakeTarget, run: &Run, now: Millis) -> bool {
    target
        .due_end(run, now)
        .is_some_and(|kind| kind != EndKind::Done)
}

impl Run {
    /// Returns whether it waits for the other members of its gang.
    const fn waits(&self) -> bool {
        matches!(self.end, Some((_, EndKind::Alone)))
    }

    const fn is_stopping(&self) -> bool {
        matches!(self.end, Some((_, EndKind::Stopped)))
    }
}
