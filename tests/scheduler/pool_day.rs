//! A day at a small scale: four pools whose demand bursts in turns, each with long-running tasks
//! that may not share a VM, on VMs that are moved between them and the standby pool.

use std::fmt::Write as _;
use std::sync::Arc;

use amaranthwick::scheduler::{
    Capacity, Change, JobKey, JobSpec, Millis, Policy, Pool, Queue, Record, Step,
};
use fastrand::Rng;
use indexmap::IndexMap;

use crate::fixtures::{job, long_running_step, policy};
use crate::world::{MIDNIGHT_MS, World};

/// Number of pools that run jobs.
pub(crate) const POOLS: usize = 4;
/// CPU of a VM, in thousandths of a core.
const VM_CPU: u64 = 32_000;
/// Time in which the pools settle before the measurement, in ms.
pub(crate) const SETTLE_MS: Millis = 9_000;
/// Time between two samples, in ms.
const SAMPLE_MS: Millis = 50;
/// VM-ms in a pool that a move costs as much as.
const MOVE_COST_MS: u64 = 1_100;

/// Arrivals in a pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Jobs per second in the pool's turn.
    pub(crate) burst: f64,
    /// Jobs per second otherwise.
    pub(crate) quiet: f64,
    /// Length of a turn, in ms; 0 for no turns.
    pub(crate) turn_ms: Millis,
}

/// What a replay cost, and what became of its jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Figures {
    /// Time that VMs were in pools, in VM-ms.
    pub(crate) held_ms: u64,
    /// Least time in which VMs could have run what ran beside the long-running tasks, in VM-ms.
    pub(crate) least_ms: u64,
    /// Moves that were begun.
    pub(crate) moves: usize,
    pub(crate) in_time: usize,
    pub(crate) late: usize,
    /// Jobs that ended past three times their objective, or not at all.
    pub(crate) useless: usize,
}

impl Figures {
    /// VM-ms in pools, with the cost of the moves.
    pub(crate) const fn cost_ms(&self) -> u64 {
        self.held_ms + self.moves as u64 * MOVE_COST_MS
    }
}

pub(crate) fn pool_name(i: usize) -> String {
    format!("pool-{i}")
}

/// A policy with a queue on each pool, `priorities` by pool, and a standby pool.
pub(crate) fn pool_policy(priorities: &[u32]) -> Policy {
    let base = policy();
    let queue = base.queues.values().next().unwrap().clone();
    let pools = priorities.iter().enumerate().map(|(i, _)| Pool {
        name: Arc::from(pool_name(i)),
        admission_check: true,
        standby: false,
    });
    let standby = base.standby_pool().unwrap().clone();
    let pools = pools.chain([standby]);
    let queues = priorities.iter().enumerate().map(|(i, priority)| Queue {
        name: Arc::from(format!("queue-{i}")),
        pool: Arc::from(pool_name(i)),
        prefix: format!("/{i}/"),
        priority: *priority,
        ..queue.clone()
    });
    Policy {
        pools: pools.map(|pool| (Arc::clone(&pool.name), pool)).collect(),
        queues: queues
            .map(|queue| (Arc::clone(&queue.name), queue))
            .collect(),
        ..base
    }
}

/// A replay: the platform, the jobs that are still to arrive, and what was measured so far.
pub(crate) struct Day {
    pub(crate) world: World,
    pub(crate) figures: Figures,
    rng: Rng,
    loads: Vec<Load>,
    /// Longest critical path of the jobs that have arrived, in ms, and when they arrived.
    arrived: IndexMap<JobKey, (u64, Millis)>,
    floors: Vec<u32>,
    /// Prints the pools' state each second.
    pub(crate) verbose: bool,
}

impl Day {
    /// A platform with `vms` VMs of 32 cores, `floors[i]` of which run a long-running task of pool
    /// `i`; as many again and one more are in the pool at first.
    pub(crate) fn new(
        vms: usize,
        floors: &[u32],
        loads: &[Load],
        policy: Policy,
        seed: u64,
    ) -> Self {
        let mut world = World::new(vms, seed);
        world.set_policy(policy);
        let mut pools = Vec::new();
        for (i, floor) in floors.iter().enumerate() {
            pools.extend(vec![pool_name(i); *floor as usize * 2 + 1]);
        }
        let mut pools = pools.into_iter();
        for target in world.targets.values_mut() {
            let pool = pools.next().unwrap_or_else(|| "spare".to_owned());
            target.entry.pool = Arc::from(pool);
        }
        for id in world.targets.keys().cloned().collect::<Vec<_>>() {
            let capacity = Capacity {
                cpu: VM_CPU,
                mem_mb: 131_072,
                gpu: 0,
            };
            world.targets[&id].entry.capacity = capacity;
            world.targets[&id].room = crate::capacity::Room::new(capacity);
        }
        world.enable_moves();
        world.claim();
        for (i, floor) in floors.iter().enumerate().filter(|(_, floor)| **floor > 0) {
            let mut step = long_running_step(*floor, 1);
            step.needs.cpu = 2_000;
            world.submit(1_000_000 + i as u64, in_pool(job(vec![step]), i));
        }
        Self {
            world,
            figures: Figures::default(),
            rng: Rng::with_seed(seed ^ 0x5eed),
            loads: loads.to_vec(),
            arrived: IndexMap::new(),
            floors: floors.to_vec(),
            verbose: std::env::var("AMARANTHWICK_SHOW_POOLS").is_ok(),
        }
    }

    /// A quiet day: 35 VMs, four pools whose demand bursts in turns of 4.5 s.
    pub(crate) fn quiet(seed: u64) -> Self {
        let load = Load {
            burst: 10.0,
            quiet: 0.9,
            turn_ms: 4_500,
        };
        Self::new(
            35,
            &[2, 2, 3, 3],
            &[load; POOLS],
            pool_policy(&[0; POOLS]),
            seed,
        )
    }

    /// Runs for `span_ms`, with arrivals; `measured` says whether it counts.
    pub(crate) fn run(&mut self, span_ms: Millis, measured: bool) {
        let end = self.world.now + span_ms;
        while self.world.now < end {
            self.arrive();
            let moves = self.world.moves.len();
            self.world.run_for(SAMPLE_MS);
            if measured {
                self.figures.moves += self.world.moves.len() - moves;
                self.sample();
            }
        }
    }

    /// No job arrives any more.
    pub(crate) fn end_loads(&mut self) {
        for load in &mut self.loads {
            load.burst = 0.0;
            load.quiet = 0.0;
        }
    }

    fn rate(&self, pool: usize) -> f64 {
        let load = self.loads[pool];
        let turn = self.world.now.checked_div(load.turn_ms).unwrap_or(0);
        let on = usize::try_from(turn).unwrap() % self.loads.len() == pool;
        if on && load.turn_ms > 0 {
            load.burst
        } else {
            load.quiet
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn arrive(&mut self) {
        for pool in 0..self.loads.len() {
            let mut left = self.rate(pool) * SAMPLE_MS as f64 / 1_000.0;
            // Of many small chances to arrive, each is taken independently.
            while left > 0.0 {
                if self.rng.f64() < left.min(0.05) {
                    let spec = self.random_job();
                    self.submit(pool, spec);
                }
                left -= 0.05;
            }
        }
    }

    /// Submits a job that takes 0.7 to 1.4 of its estimates.
    pub(crate) fn submit(&mut self, pool: usize, spec: JobSpec) -> JobKey {
        let now = self.world.now;
        let key = JobKey(self.arrived.len() as u64 + 1);
        let estimate = spec.steps.iter().map(|step| step.estimate_ms).max();
        let factor = self.rng.u64(70..140);
        let run_ms = estimate.unwrap_or(0) * factor / 100;
        self.world.run_times.insert(key, run_ms);
        self.arrived.insert(key, (spec.critical_path_ms(), now));
        let spec = JobSpec {
            accepted_ms: MIDNIGHT_MS + now,
            ..in_pool(spec, pool)
        };
        self.world.submit(key.0, spec)
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Small and not negative.
    fn exponential_ms(&mut self, mean: f64) -> u64 {
        (-(1.0 - self.rng.f64()).ln() * mean) as u64
    }

    /// A chain of 1 to 4 steps, 1.6 on average, of 8 tasks of 0.64 s and 3.1 cores on average.
    fn random_job(&mut self) -> JobSpec {
        let steps = match self.rng.u32(..100) {
            0..60 => 1,
            60..85 => 2,
            85..95 => 3,
            _ => 4,
        };
        let estimate_ms = 200 + self.exponential_ms(440.0);
        let steps = (0..steps).map(|i| {
            let count = u32::try_from(self.exponential_ms(7.5)).unwrap();
            let before: Vec<u32> = if i > 0 { vec![i - 1] } else { Vec::new() };
            Step {
                count: (count + 1).min(32),
                needs: Capacity {
                    cpu: 1_000 + self.rng.u64(..4_200),
                    mem_mb: 2_000 + self.rng.u64(..8_600),
                    gpu: 0,
                },
                estimate_ms: estimate_ms.min(2_500),
                depends_on: before,
                ..Step::default()
            }
        });
        job(steps.collect())
    }

    fn sample(&mut self) {
        let mut line = String::new();
        for (i, floor) in self.floors.iter().enumerate() {
            let name = pool_name(i);
            let held = self.world.vms_in(&name) as u64;
            let here = self.world.targets.values();
            let here = here.filter(|target| *target.entry.pool == *name && target.listed);
            let cpu: u64 = here.map(|target| target.used().cpu).sum();
            let least = cpu.div_ceil(VM_CPU).max(u64::from(*floor));
            self.figures.held_ms += held * SAMPLE_MS;
            self.figures.least_ms += least * SAMPLE_MS;
            write!(line, " {held}/{least}").unwrap();
        }
        if self.verbose && self.world.now.is_multiple_of(500) {
            println!("{:>6}{line}", self.world.now);
        }
    }

    /// Ends the replay: counts the jobs that arrived in `from..to` by how they ended.
    pub(crate) fn finish(mut self, from: Millis, to: Millis) -> (Figures, World) {
        let mut ended: IndexMap<JobKey, u64> = IndexMap::new();
        for change in &self.world.log {
            if let Change::Put(Record::Progress(key, progress)) = change
                && progress.state.ended()
            {
                ended.insert(*key, progress.ended_ms);
            }
        }
        for (key, (path_ms, at)) in &self.arrived {
            if !(from..to).contains(at) {
                continue;
            }
            let objective = 600 + path_ms * 16 / 10;
            match ended.get(key).map(|end| end - MIDNIGHT_MS - at) {
                Some(took) if took <= objective => self.figures.in_time += 1,
                Some(took) if took <= objective * 3 => self.figures.late += 1,
                _ => self.figures.useless += 1,
            }
        }
        (self.figures, self.world)
    }
}

pub(crate) fn in_pool(spec: JobSpec, pool: usize) -> JobSpec {
    JobSpec {
        queue: format!("queue-{pool}"),
        pool: pool_name(pool),
        team: None,
        ..spec
    }
}
