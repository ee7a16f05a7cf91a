//! What most members of a data centre know; any two majorities share a member.

use std::time::{Duration, Instant};

use super::Roster;
use super::roster::Contact;
use crate::id::MemberId;

impl Roster {
    /// When the newest beat was made that most members of the data centre have heard.
    #[must_use]
    pub fn heard_by_most(&self, now: Instant) -> Option<Instant> {
        let local = self
            .members
            .iter()
            .filter(|(_, c)| c.data_centre == self.home);
        let echoes = local.filter_map(|(id, _)| self.echoes.last(id));
        let times: Vec<Instant> = echoes.chain([now]).collect();
        let heard_since = |since: Instant| {
            self.is_most(|id, _| self.echoes.last(id).is_some_and(|at| at >= since))
        };
        times.into_iter().filter(|at| heard_since(*at)).max()
    }

    /// True if this process hears most members of its data centre now.
    #[must_use]
    pub fn hears_most(&self, now: Instant) -> bool {
        self.is_most(|_, contact| contact.is_fresh(now))
    }

    /// Counts this process itself; half of the members are most if they hold the first.
    fn is_most(&self, test: impl Fn(&MemberId, &Contact) -> bool) -> bool {
        let local = || {
            self.members
                .iter()
                .filter(|(_, c)| c.data_centre == self.home)
        };
        let passed = 1 + local().filter(|(id, c)| test(id, c)).count();
        let all = 1 + local().count();
        if 2 * passed != all {
            return 2 * passed > all;
        }
        let first = local().map(|(id, _)| id).min();
        first.is_none_or(|id| {
            *id > self.own.member || self.members.get(id).is_some_and(|c| test(id, c))
        })
    }

    /// Members of the data centre that nobody has heard of for `time`.
    #[must_use]
    pub fn silent(&self, time: Duration, now: Instant) -> Vec<MemberId> {
        let is_silent = |contact: &Contact| {
            contact.data_centre == self.home && now.saturating_duration_since(contact.at) >= time
        };
        let silent = self.members.iter().filter(|(_, c)| is_silent(c));
        silent.map(|(id, _)| id.clone()).collect()
    }
}
