//! Connections to targets that are out of reach for a while: calls that the network holds until
//! then, and answers that it loses.

use amaranthwick::scheduler::{Event, Millis, TargetId};
use indexmap::IndexMap;

use super::{CALL_LATENCY_MS, CALL_TIMEOUT_MS, TICK_MS, World};

/// Kinds of calls to targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum CallKind {
    Start,
    Stop,
    Hold,
}

/// What happens to calls on their way to targets, and to the answers.
#[derive(Default)]
pub(super) struct Links {
    /// Until when calls of a kind to targets are held, which they reach then.
    held_until: IndexMap<(TargetId, CallKind), Millis>,
    /// Until when answers of targets to calls of a kind are lost.
    lost_until: IndexMap<(TargetId, CallKind), Millis>,
    /// Calls to targets that are carried out late.
    detained: IndexMap<TargetId, Detention>,
}

/// Calls that the network delivers after their callers have given them up.
#[derive(Clone, Copy, Debug)]
struct Detention {
    /// Calls that are sent before this time are concerned.
    sent_before: Millis,
    /// When they are delivered.
    until: Millis,
}

impl World {
    /// The network holds calls that are sent to the target until `until`, unless they fail before.
    pub(crate) fn hold_calls(&mut self, id: &TargetId, until: Millis) {
        for kind in [CallKind::Start, CallKind::Stop, CallKind::Hold] {
            self.links.held_until.insert((id.clone(), kind), until);
        }
    }

    /// The network holds starts that are sent to the target until `until`, unless they fail before.
    pub(crate) fn hold_starts(&mut self, id: &TargetId, until: Millis) {
        self.links
            .held_until
            .insert((id.clone(), CallKind::Start), until);
    }

    /// The network delivers calls that are sent to the target from now on, and before `sent_before`, only
    /// at `until`, to whoever is there. Nobody waits for the answers any more.
    pub(crate) fn detain_calls(&mut self, id: &TargetId, sent_before: Millis, until: Millis) {
        let detention = Detention { sent_before, until };
        self.links.detained.insert(id.clone(), detention);
    }

    /// Time after which a call that is sent now is delivered although its caller has given it up; `None`
    /// for any other call.
    pub(super) fn detained_ms(&self, id: &TargetId) -> Option<Millis> {
        let detention = self.links.detained.get(id)?;
        let detained = self.now < detention.sent_before;
        detained.then(|| detention.until.saturating_sub(self.now))
    }

    /// The network loses the target's answers to calls of a kind until `until`.
    pub(crate) fn lose_answers_until(&mut self, id: &TargetId, kind: CallKind, until: Millis) {
        self.links.lost_until.insert((id.clone(), kind), until);
    }

    /// The target restarts under its id, in touch as little as it was. Its entry remains the one that
    /// was published last.
    pub(crate) fn restart_out_of_touch(&mut self, id: &TargetId) {
        let before = &self.targets[id];
        let (reachable, listed) = (before.reachable, before.listed);
        let listed_as = before.listed_as.clone();
        self.restart_unpublished(id);
        let target = &mut self.targets[id];
        target.reachable = reachable;
        target.listed = listed;
        target.listed_as = listed_as.or(target.listed_as.take());
    }

    /// The entry of a target that is silent expires.
    pub(crate) fn expire_entry(&mut self, id: &TargetId) {
        self.targets[id].listed = false;
        self.notify_leaders(&Event::TargetRemoved(id.clone()));
    }

    /// Time in which a call that is sent now reaches the target.
    pub(super) fn transit_ms(&self, id: &TargetId, kind: CallKind) -> Millis {
        let answer_ms = match kind {
            CallKind::Start | CallKind::Stop => 0,
            CallKind::Hold => self.faults.jitter_ms,
        };
        let held_until = self.links.held_until.get(&(id.clone(), kind));
        let held_ms = held_until.map_or(0, |until| until.saturating_sub(self.now));
        if held_ms + answer_ms + 2 * TICK_MS < CALL_TIMEOUT_MS {
            held_ms.max(CALL_LATENCY_MS)
        } else {
            CALL_LATENCY_MS
        }
    }

    /// When a call that arrives now was sent, if it was ordered at `ordered_at`.
    pub(super) fn sent_at(&self, ordered_at: Millis) -> Millis {
        let age = self.now - ordered_at;
        if age > TICK_MS && age < CALL_TIMEOUT_MS {
            ordered_at
        } else {
            self.now - CALL_LATENCY_MS
        }
    }

    /// Time until the call that `event` answers fails.
    pub(super) fn time_left(&self, event: &Event) -> Millis {
        match event {
            Event::StartAnswered { sent_at, .. } | Event::StopAnswered { sent_at, .. } => {
                (sent_at + CALL_LATENCY_MS + CALL_TIMEOUT_MS).saturating_sub(self.now)
            }
            _ => CALL_TIMEOUT_MS,
        }
    }

    /// Returns whether the network loses an answer that a target gives now.
    pub(super) fn loses(&self, event: &Event) -> bool {
        let (id, kind) = match event {
            Event::StartAnswered { target, .. } => (target, CallKind::Start),
            Event::StopAnswered { target, .. } => (target, CallKind::Stop),
            Event::HoldAnswered { target, .. } => (target, CallKind::Hold),
            _ => return false,
        };
        let until = self.links.lost_until.get(&(id.clone(), kind));
        until.is_some_and(|until| self.now < *until)
    }
}
