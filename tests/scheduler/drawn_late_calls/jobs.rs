//! Jobs of the plays.

use amaranthwick::scheduler::Step;

use super::Play;
use crate::fixtures::{job, long_running_step, step};

/// Members of a gang; there are as many targets at least.
const GANG_SIZE: u32 = 3;

impl Play {
    /// Submits a job of short or long tasks, of a gang or of long-running tasks.
    pub(super) fn submit(&mut self) {
        let count = 1 + self.world.rng().u32(..6);
        let run_ms = match self.world.rng().u32(..5) {
            0 => self.between(200..2_500),
            _ => self.between(5_000..12_000),
        };
        let step = match self.world.rng().u32(..10) {
            0 if self.endless.len() < 3 => long_running_step(count, 0),
            1 | 2 => Step {
                gang: true,
                max_per_target: 1,
                ..step(GANG_SIZE, run_ms, &[])
            },
            _ => step(count, run_ms, &[]),
        };
        let endless = step.long_running;
        let number = (self.keys.len() + self.endless.len()) as u64;
        let key = self.world.submit(number, job(vec![step]));
        if endless {
            self.endless.push(key);
        } else {
            self.keys.push(key);
        }
    }
}
