//! Earlier leaders that are told that they were replaced.

use amaranthwick::scheduler::{Event, Millis};

use super::{Action, CALL_LATENCY_MS, CALL_TIMEOUT_MS, World};

impl World {
    /// The VM of the process that claimed the role last is lost with it, for good.
    pub(crate) fn lose_leader(&mut self) {
        self.kill();
        self.processes.last_mut().unwrap().idle_since = Millis::MAX;
    }

    pub(super) fn notify_predecessor(&mut self, leader: usize, member: String) {
        let message = Action::NotifyPredecessor { leader, member };
        self.schedule(CALL_LATENCY_MS, message);
    }

    /// An earlier leader is told that it was replaced, and answers unless it is out of touch.
    pub(super) fn answer_successor(&mut self, leader: usize, member: String) {
        let mut processes = self.processes.iter();
        let told = processes.position(|process| process.member() == member);
        let told = told.expect("a process");
        let in_touch = self.process_is_cut_off(told) == self.process_is_cut_off(leader);
        let now = self.now;
        let process = &mut self.processes[told];
        let answers = in_touch && process.frozen_until <= now && process.idle_since <= now;
        let idle_ms = answers.then(|| {
            process.gone = true;
            now - process.idle_since
        });
        let delay = idle_ms.map_or(CALL_TIMEOUT_MS, |_| CALL_LATENCY_MS);
        let event = Event::PredecessorNotified { member, idle_ms };
        self.schedule(delay, Action::Deliver { leader, event });
    }
}
