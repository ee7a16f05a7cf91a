//! Targets that drain and leave.

use amaranthwick::scheduler::{Millis, TargetId, TargetState};

use super::{Action, World};

/// The end of a target that has announced that it leaves.
pub(super) struct Departure {
    target: TargetId,
    born: u64,
}

impl World {
    /// The target announces that it is about to leave, and does so `notice_ms` later; another one
    /// then takes its VM.
    pub(crate) fn drain(&mut self, id: &TargetId, notice_ms: Millis) {
        let target = &mut self.targets[id];
        target.entry.state = TargetState::Draining;
        let born = target.entry.born;
        self.publish_entry(id);
        let target = id.clone();
        self.schedule(notice_ms, Action::Leave(Departure { target, born }));
    }

    pub(super) fn leave(&mut self, departure: &Departure) {
        let now = self.now;
        let number = self.targets.len();
        let target = &mut self.targets[&departure.target];
        if target.entry.born != departure.born || !target.is_up() {
            return;
        }
        let id = TargetId(format!("{}-d{number}", departure.target.0).into());
        let mut successor = target.successor(id.clone(), now);
        successor.entry.state = TargetState::Ready;
        target.crash(now);
        target.alive = false;
        self.targets.insert(id.clone(), successor);
        self.lose(&departure.target);
        self.publish_entry(&id);
    }
}
