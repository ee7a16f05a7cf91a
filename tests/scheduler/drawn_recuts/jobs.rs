//! Jobs of the plays.

use amaranthwick::scheduler::{Millis, Step};

use super::Play;
use crate::fixtures::{job, long_running_step, step};

impl Play {
    /// Submits a job of short or long tasks, of a gang or of long-running tasks.
    pub(super) fn submit(&mut self) {
        let count = 1 + self.world.rng().u32(..6);
        let run_ms = match self.world.rng().u32(..5) {
            0 | 1 => self.between(200..2_500),
            _ => self.between(5_000..12_000),
        };
        let step = match self.world.rng().u32(..10) {
            0 if self.endless.len() < 3 => long_running_step(count, 0),
            1 | 2 => self.draw_gang(run_ms),
            _ => Step {
                max_per_target: self.world.rng().u32(..3),
                ..step(count, run_ms, &[])
            },
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

    fn draw_gang(&mut self, run_ms: Millis) -> Step {
        let targets = self.absences.len();
        let count = self.world.rng().usize(2..=targets);
        Step {
            gang: true,
            max_per_target: self.world.rng().u32(..2),
            ..step(u32::try_from(count).unwrap(), run_ms, &[])
        }
    }
}
