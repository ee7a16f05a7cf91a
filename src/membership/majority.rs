//! Contact with a majority of the data centre's members; any two majorities share a member.

use std::time::{Duration, Instant};

use super::FailureDetector;
use super::failure_detector::MemberLiveness;
use crate::id::MemberId;

impl FailureDetector {
    /// When the newest own heartbeat was made that a majority of the data centre's members
    /// has acknowledged; `None` if there is none.
    #[must_use]
    pub fn newest_majority_ack(&self, now: Instant) -> Option<Instant> {
        let local = self
            .members
            .iter()
            .filter(|(_, c)| c.data_centre == self.data_centre);
        let acks = local.filter_map(|(id, _)| self.acks.newest_ack(id));
        let times: Vec<Instant> = acks.chain([now]).collect();
        let acked_since = |since: Instant| {
            self.is_majority(|id, _| self.acks.newest_ack(id).is_some_and(|at| at >= since))
        };
        times.into_iter().filter(|at| acked_since(*at)).max()
    }

    /// True if a majority of the data centre's members is not suspected.
    #[must_use]
    pub fn hears_majority(&self, now: Instant) -> bool {
        self.is_majority(|_, member| member.is_recently_heard(now))
    }

    /// Counts this process as passing. Exactly half of the members are a majority if they
    /// include the one with the lowest id.
    fn is_majority(&self, test: impl Fn(&MemberId, &MemberLiveness) -> bool) -> bool {
        let local = || {
            self.members
                .iter()
                .filter(|(_, c)| c.data_centre == self.data_centre)
        };
        let passing = 1 + local().filter(|(id, c)| test(id, c)).count();
        let total = 1 + local().count();
        if 2 * passing != total {
            return 2 * passing > total;
        }
        let lowest_id = local().map(|(id, _)| id).min();
        lowest_id.is_none_or(|id| {
            *id > self.own.member || self.members.get(id).is_some_and(|c| test(id, c))
        })
    }

    /// Other members of the data centre whose heartbeat count has not grown for `time`.
    #[must_use]
    pub fn silent_members(&self, time: Duration, now: Instant) -> Vec<MemberId> {
        let is_silent = |member: &MemberLiveness| {
            member.data_centre == self.data_centre
                && now.saturating_duration_since(member.last_heard) >= time
        };
        let silent_members = self.members.iter().filter(|(_, c)| is_silent(c));
        silent_members.map(|(id, _)| id.clone()).collect()
    }
}
