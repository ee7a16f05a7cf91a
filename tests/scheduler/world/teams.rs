//! The limit of the team that all jobs of the tests belong to.

use amaranthwick::scheduler::Capacity;

use super::World;
use crate::fixtures::TEAM;

impl World {
    /// Checks that a start has not brought the team over its limit, if it has one.
    pub(super) fn check_team_limit(&mut self) {
        let limit = self.policy.teams[TEAM].limit.cpu;
        let mut used = Capacity::default();
        for target in self.targets.values().filter(|target| target.alive) {
            used.add(&target.used());
        }
        if limit > 0 && used.cpu > limit {
            self.violations.push(format!(
                "{}: the team is over its limit: {} of {limit}",
                self.now, used.cpu
            ));
        }
    }
}
