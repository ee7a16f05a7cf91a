//! Calls that targets carry out seconds after they have received them, and answers that overtake
//! each other.

use amaranthwick::scheduler::{
    Command, Event, HoldFailure, Millis, StartOutcome, StopOutcome, TargetEntry, TargetId, TaskKey,
};

use super::crash::Contact;
use super::{Action, CALL_TIMEOUT_MS, CallKind, World};

/// A hold call that its target carries out late.
pub(super) struct LateHold {
    leader: usize,
    command: Command,
    /// `born` of the incarnation that has received it.
    received_by: u64,
}

impl World {
    /// A target begins a run although the leader knows of no such start, as an earlier leader may have
    /// sent it.
    pub(crate) fn begin_stray_run(&mut self, id: &TargetId, task: TaskKey, number: u32) {
        let spec = self.stored().get(task.step.job).unwrap().spec.clone();
        let work = self.work(&spec, task);
        let now = self.now;
        self.callers.note_begun(task.step.job, now);
        self.targets[id].begin_run(task, number, work, now);
    }

    /// Returns whether a fault of this rate, in parts of a thousand, happens now.
    pub(super) fn draw(&mut self, rate: u32) -> bool {
        rate > 0 && self.rng.u32(..1_000) < rate
    }

    /// Time by which an answer is late, in ms.
    pub(super) fn draw_jitter(&mut self) -> Millis {
        match self.faults.jitter_ms {
            0 => 0,
            longest => self.rng.u64(..=longest),
        }
    }

    pub(super) fn send_stop(&mut self, leader: usize, command: Command) {
        let Command::Stop { target, task, run } = &command else {
            return;
        };
        let delay = self.transit_ms(&target.id, CallKind::Stop);
        if !self.draw(self.faults.late_stops) {
            let stop = Action::Stop {
                leader,
                command,
                sent_at: self.now,
                received_by: None,
            };
            return self.schedule(delay, stop);
        }
        let event = Event::StopAnswered {
            target: target.id.clone(),
            born: target.born,
            task: *task,
            run: *run,
            outcome: StopOutcome::Unknown,
            clock_ms: None,
            sent_at: self.now,
        };
        let received_by = Some(self.targets[&target.id].entry.born);
        self.schedule(CALL_TIMEOUT_MS, Action::Deliver { leader, event });
        let delay = self.draw_lateness();
        let stop = Action::Stop {
            leader,
            command,
            sent_at: self.now,
            received_by,
        };
        self.schedule(delay, stop);
    }

    pub(super) fn send_late_hold(&mut self, leader: usize, command: Command) {
        let Command::Hold {
            target,
            number,
            wait_ms,
            ..
        } = &command
        else {
            return;
        };
        let event = Event::HoldAnswered {
            target: target.id.clone(),
            born: target.born,
            number: *number,
            result: Err(HoldFailure::NoAnswer),
            sent_at: self.now,
        };
        let received_by = self.targets[&target.id].entry.born;
        let timeout = CALL_TIMEOUT_MS + if self.holds_wait { *wait_ms } else { 0 };
        self.schedule(timeout, Action::Deliver { leader, event });
        let delay = self.draw_lateness();
        let call = LateHold {
            leader,
            command,
            received_by,
        };
        self.schedule(delay, Action::LateHold(call));
    }

    /// A call of a process fails for want of an answer, and is delivered after that.
    pub(super) fn send_detained(&mut self, leader: usize, command: Command, delay: Millis) {
        let sent_at = self.now;
        let (timeout, event) = match &command {
            Command::Start {
                target, task, run, ..
            } => {
                let event = Event::StartAnswered {
                    target: target.id.clone(),
                    born: target.born,
                    task: *task,
                    run: *run,
                    outcome: StartOutcome::Unknown,
                    clock_ms: None,
                    sent_at,
                };
                (CALL_TIMEOUT_MS, event)
            }
            Command::Stop { target, task, run } => {
                let event = Event::StopAnswered {
                    target: target.id.clone(),
                    born: target.born,
                    task: *task,
                    run: *run,
                    outcome: StopOutcome::Unknown,
                    clock_ms: None,
                    sent_at,
                };
                (CALL_TIMEOUT_MS, event)
            }
            Command::Hold {
                target,
                number,
                wait_ms,
                ..
            } => {
                let event = Event::HoldAnswered {
                    target: target.id.clone(),
                    born: target.born,
                    number: *number,
                    result: Err(HoldFailure::NoAnswer),
                    sent_at,
                };
                let wait_ms = if self.holds_wait { *wait_ms } else { 0 };
                (CALL_TIMEOUT_MS + wait_ms, event)
            }
            _ => return,
        };
        self.schedule(timeout, Action::Deliver { leader, event });
        self.schedule(delay, Action::Detained { leader, command });
    }

    /// The incarnation that is there carries out a call that nobody waits for any more.
    pub(super) fn carry_out_detained(&mut self, leader: usize, command: Command) {
        match &command {
            Command::Start {
                target, task, spec, ..
            } if self.contact(target) == Contact::Reached => {
                let work = self.work(spec, *task);
                let sent_at = self.now;
                self.begin_start(leader, &command, work, sent_at);
            }
            Command::Stop { target, .. } if self.contact(target) == Contact::Reached => {
                let born = self.targets[&target.id].entry.born;
                self.carry_out_late_stop(leader, &command, born);
            }
            Command::Hold { target, .. } if self.contact(target) == Contact::Reached => {
                let received_by = self.targets[&target.id].entry.born;
                self.carry_out_late_hold(&LateHold {
                    leader,
                    command,
                    received_by,
                });
            }
            _ => {}
        }
    }

    fn draw_lateness(&mut self) -> Millis {
        self.rng.u64(2_000..12_000)
    }

    /// Carries out a stop that nobody waits for any more.
    pub(super) fn carry_out_late_stop(&mut self, leader: usize, command: &Command, born: u64) {
        let Command::Stop { target, task, run } = command else {
            return;
        };
        if self.is_there(target, born) {
            let epoch = self.epoch_of(leader);
            let now = self.now;
            self.targets[&target.id].stop(*task, *run, epoch, now);
        }
    }

    /// Carries out a hold that nobody waits for any more.
    pub(super) fn carry_out_late_hold(&mut self, call: &LateHold) {
        let Command::Hold {
            target,
            deadline_ms,
            forget_up_to,
            ..
        } = &call.command
        else {
            return;
        };
        if self.is_there(target, call.received_by) {
            let epoch = self.epoch_of(call.leader);
            let now = self.now;
            let fake = &mut self.targets[&target.id];
            let _ = fake.hold(*deadline_ms, *forget_up_to, epoch, now);
            let forgotten = std::mem::take(&mut fake.forgotten_done);
            self.note_done(&forgotten);
        }
    }

    /// Returns whether the incarnation that has received a call is still there, in touch or not.
    fn is_there(&self, called: &TargetEntry, born: u64) -> bool {
        let target = &self.targets[&called.id];
        target.is_up() && target.entry.born == born
    }
}
