//! Earlier leaders that may not know that they were replaced.
//!
//! Cut off together with targets, such a leader goes on to extend their leases until it steps down.
//! It is told of this leader, and how long ago it stopped is learnt from its answer. While it is
//! silent it may go on: neither the store nor a refused connection proves otherwise.

use indexmap::IndexMap;

use super::{Command, Leader};
use crate::scheduler::Millis;
use crate::scheduler::lease::with_lease_margin;

/// Time between an earlier leader's failure to answer and the next call, in ms.
const RETRY_MS: Millis = 250;

/// Time after the start of the leader in which calls of earlier leaders may still arrive, in ms.
const LATE_CALL_MS: Millis = 1_000;

/// An earlier leader that has not given the role up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// Name of its process.
    pub member: String,
    /// Time after the start of this leader in which it may still extend leases, in ms.
    pub extend_ms: Millis,
}

/// State of the call that tells an earlier leader of this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Notice {
    /// To be sent at this time.
    Due(Millis),
    InFlight,
    Answered,
}

/// What is known of an earlier leader.
#[derive(Clone, Copy, Debug)]
struct Status {
    /// Until when it may extend leases.
    extends_until: Millis,
    notice: Notice,
}

/// What a task waits for that an earlier leader placed on an incarnation that is not listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrphanWait {
    /// This time: the target is listed as an earlier incarnation.
    Until(Millis),
    /// The end of the leases of targets that are not listed.
    UnlistedLeases,
}

/// The earlier leaders that may still have been active when this one started, by the names of their
/// processes.
#[derive(Debug, Default)]
pub(super) struct Predecessors {
    members: IndexMap<String, Status>,
}

impl Predecessors {
    pub(super) fn new(predecessors: &[Predecessor], now: Millis) -> Self {
        let members = predecessors.iter().map(|predecessor| {
            let status = Status {
                extends_until: now + predecessor.extend_ms,
                notice: Notice::Due(now),
            };
            (predecessor.member.clone(), status)
        });
        Self {
            members: members.collect(),
        }
    }

    /// Until when any of them may extend leases; 0 if there are none.
    fn extend_until(&self) -> Millis {
        let members = self.members.values();
        members
            .map(|status| status.extends_until)
            .max()
            .unwrap_or(0)
    }

    /// Takes the names of those that are to be told now.
    fn take_due(&mut self, now: Millis) -> Vec<String> {
        let mut due = Vec::new();
        for (member, status) in &mut self.members {
            let open = now < status.extends_until;
            if open && matches!(status.notice, Notice::Due(at) if at <= now) {
                status.notice = Notice::InFlight;
                due.push(member.clone());
            }
        }
        due
    }

    /// Applies that the process has answered that it has not acted as an earlier leader for `idle_ms`,
    /// or that there was no answer.
    fn answered(&mut self, member: &str, idle_ms: Option<Millis>, now: Millis) {
        let Some(status) = self.members.get_mut(member) else {
            return;
        };
        let Some(idle_ms) = idle_ms else {
            status.notice = Notice::Due(now + RETRY_MS);
            return;
        };
        status.notice = Notice::Answered;
        status.extends_until = status.extends_until.min(now.saturating_sub(idle_ms));
    }
}

impl Leader {
    /// Tells the earlier leaders of this one that have not answered yet.
    pub(super) fn notify_predecessors(&mut self, now: Millis) {
        for member in self.predecessors.take_due(now) {
            self.commands.push(Command::NotifyPredecessor { member });
        }
    }

    /// Applies the answer of an earlier leader that was told of this one.
    pub(super) fn predecessor_notified(
        &mut self,
        member: &str,
        idle_ms: Option<Millis>,
        now: Millis,
    ) {
        self.predecessors.answered(member, idle_ms, now);
        if let Some(idle_ms) = idle_ms.filter(|_| !self.orphans.is_empty()) {
            let wait_ms = self.unlisted_leases_lapsed_at().saturating_sub(now);
            spdlog::info!("predecessor_answered", kv: {
                member, idle_ms, epoch = self.epoch(), after_ms = now - self.started_at,
                orphans = self.orphans.len(), wait_ms
            });
        }
    }

    /// When the leases have certainly expired that earlier leaders gave targets that are not listed.
    pub(super) fn unlisted_leases_lapsed_at(&self) -> Millis {
        let extended_until = self.predecessors.extend_until();
        let last_call_at = extended_until.max(self.started_at + LATE_CALL_MS);
        last_call_at + with_lease_margin(self.settings.lease_ms)
    }
}
