//! Jobs of a burst: few steps of several tasks, all sizes with high variance.

use amaranthwick::scheduler::{
    Capacity, Change, Event, JobKey, JobSpec, JobTable, Millis, Record, Step,
};
use fastrand::Rng;

use crate::fleet::fixtures::{MIDNIGHT_MS, TEAMS, pool_name};
use crate::fleet::queue_name;

/// Of this many jobs, one goes to each of the queues that are not overloaded.
const OTHER_QUEUES_EVERY: usize = 20;

pub(crate) struct Arrivals {
    rng: Rng,
    count: u64,
}

impl Arrivals {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            count: 0,
        }
    }

    /// Adds a job to the table, and returns the event that tells the leader of it.
    pub(crate) fn submit(&mut self, table: &mut JobTable, now: Millis) -> Event {
        self.count += 1;
        let key = JobKey(self.rng.u64(..));
        let spec = self.job(now);
        table.apply(Change::Put(Record::Job(key, spec)));
        Event::JobChanged(key)
    }

    fn job(&mut self, now: Millis) -> JobSpec {
        let pool = match self.rng.usize(..OTHER_QUEUES_EVERY) {
            other @ 1..=3 => other,
            _ => 0,
        };
        let steps = [1, 1, 1, 2, 2, 3, 4][self.rng.usize(..7)];
        JobSpec {
            queue: queue_name(pool),
            pool: pool_name(pool),
            team: Some(format!("team-{}", self.rng.usize(..TEAMS))),
            payload: "work".to_owned(),
            steps: (0..steps).map(|i| self.step(i)).collect(),
            occurrence_count: 0,
            first_due_ms: 0,
            interval_ms: 0,
            accepted_ms: MIDNIGHT_MS + now,
            terms: None,
        }
    }

    fn step(&mut self, index: u32) -> Step {
        let cpu = self.vary(3_100).clamp(200, 16_000);
        Step {
            count: u32::try_from(self.vary(8).clamp(1, 32)).unwrap_or(1),
            needs: Capacity {
                cpu,
                mem_mb: cpu * 2,
                gpu: 0,
            },
            estimate_ms: self.vary(640).clamp(50, 4_000),
            depends_on: index.checked_sub(1).into_iter().collect(),
            ..Step::default()
        }
    }

    /// A value from an exponential distribution with this mean.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )] // Small positive numbers.
    fn vary(&mut self, mean: u64) -> u64 {
        (-self.rng.f64().max(1e-9).ln() * mean as f64) as u64
    }
}
