//! Decides which processes are suspected of having failed.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::id::{Incarnation, MemberId, Offset};
use crate::peer::Heartbeat;

/// Silence after which a member is suspected, in ms; three lost heartbeats.
pub const SUSPECT_MS: u64 = 3_500;

/// Gap between two ticks, in ms, after which this process itself was paused.
const PAUSE_MS: u64 = 2_000;

/// What was last heard of each member.
#[derive(Debug, Default)]
pub struct Roster {
    heard: IndexMap<MemberId, Contact>,
    ticked: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Contact {
    incarnation: Incarnation,
    at: Instant,
    offset: Offset,
}

impl Roster {
    /// Starts to watch a member; it is alive until it has been silent for [`SUSPECT_MS`].
    pub fn watch(&mut self, id: &MemberId, incarnation: Incarnation, now: Instant) {
        let fresh = Contact {
            incarnation,
            at: now,
            offset: Offset(0),
        };
        let known = self.heard.entry(id.clone()).or_insert(fresh);
        if known.incarnation < incarnation {
            *known = fresh;
        }
    }

    /// Stops watching members that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&MemberId) -> bool) {
        self.heard.retain(|id, _| keep(id));
    }

    /// Notes a heartbeat; one of an older incarnation says nothing of the newer.
    pub fn hear(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let Some(known) = self.heard.get_mut(&heartbeat.member) else {
            return;
        };
        if known.incarnation <= heartbeat.incarnation {
            known.incarnation = heartbeat.incarnation;
            known.at = now;
            known.offset = known.offset.max(heartbeat.offset);
        }
    }

    /// Called at least once a second; after a pause of this process the others'
    /// silence proves nothing, so they get the time of the pause on top.
    pub fn tick(&mut self, now: Instant) {
        let gap = self.ticked.map_or(Duration::ZERO, |last| now - last);
        self.ticked = Some(now);
        if gap < Duration::from_millis(PAUSE_MS) {
            return;
        }
        for contact in self.heard.values_mut() {
            contact.at = (contact.at + gap).min(now);
        }
    }

    /// True unless the member has been silent for too long.
    #[must_use]
    pub fn is_alive(&self, id: &MemberId, now: Instant) -> bool {
        let limit = Duration::from_millis(SUSPECT_MS);
        self.heard
            .get(id)
            .is_some_and(|contact| now.saturating_duration_since(contact.at) < limit)
    }

    /// Highest offset that any member has reported.
    #[must_use]
    pub fn highest(&self) -> Offset {
        let offsets = self.heard.values().map(|contact| contact.offset);
        offsets.max().unwrap_or_default()
    }
}
