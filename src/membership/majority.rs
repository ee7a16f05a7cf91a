//! What most members of a data centre know; any two majorities share a member.

use std::time::{Duration, Instant};

use super::FailureDetector;
use super::failure_detector::MemberLiveness;
use crate::id::MemberId;

impl FailureDetector {
    /// When the newest beat was made that most members of the data centre have heard.
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

    /// True if this process hears most members of its data centre now.
    #[must_use]
    pub fn hears_majority(&self, now: Instant) -> bool {
        self.is_majority(|_, member| member.is_recently_heard(now))
    }

    /// Counts this process itself; half of the members are most if they hold the first.
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

    /// Members of the data centre that nobody has heard of for `time`.
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
