//! Replays of load in virtual time on 25 targets: bursts at several times what the targets can
//! serve, and light load.

use amaranthwick::scheduler::{JobKey, JobSpec, Millis, Step};
use fastrand::Rng;

use crate::fixtures::{job, policy, step};
use crate::world::{MIDNIGHT_MS, World};

/// Time after the last arrival until which ends of jobs count, in ms. By then jobs that have not
/// ended are past use.
const DRAIN_MS: Millis = 14_000;

/// Number of targets; each has 16 cores.
const TARGETS: usize = 25;

/// A load: jobs of a number of steps, each of 8 tasks of 640 ms and 3.1 cores in the mean.
#[derive(Clone, Copy)]
struct Load {
    seed: u64,
    jobs: u64,
    /// Time over which they arrive, in ms.
    span_ms: Millis,
    /// Time after the first arrival at which the leader is killed; `None` if it is not.
    killed_at: Option<Millis>,
}

/// Time from the kill of a leader to the next claim of the role, in ms.
const TAKEOVER_MS: Millis = 900;

/// A job and its end.
struct Served {
    /// Core-ms of all its tasks by their estimates, in thousandths.
    work: u64,
    objective_ms: u64,
    /// Time from its arrival to its end, in ms; `None` if it did not end.
    took_ms: Option<Millis>,
}

impl Served {
    fn within(&self, objectives: u64) -> bool {
        let limit = self.objective_ms * objectives;
        self.took_ms.is_some_and(|took| took <= limit)
    }
}

/// Numbers of jobs.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    jobs: usize,
    in_time: usize,
    late: usize,
    past_use: usize,
}

impl Count {
    fn of<'a>(jobs: impl Iterator<Item = &'a Served>) -> Self {
        let mut count = Self::default();
        for job in jobs {
            count.jobs += 1;
            if job.within(1) {
                count.in_time += 1;
            } else if job.within(3) {
                count.late += 1;
            } else {
                count.past_use += 1;
            }
        }
        count
    }

    /// Jobs that ended in time or late but of use, in thousandths of all.
    fn served(&self) -> usize {
        (self.in_time + self.late) * 1_000 / self.jobs.max(1)
    }

    fn add(&mut self, other: &Self) {
        self.jobs += other.jobs;
        self.in_time += other.in_time;
        self.late += other.late;
        self.past_use += other.past_use;
    }
}

/// Outcome of a replay by the size of the jobs: all, the largest tenth, the fifth below it, and the
/// rest.
#[derive(Default)]
struct Outcome {
    all: Count,
    largest: Count,
    large: Count,
    small: Count,
    /// Sum of the times that the jobs took, in ms.
    took_ms: Millis,
}

impl Outcome {
    fn of(mut jobs: Vec<Served>) -> Self {
        jobs.sort_by_key(|job| job.work);
        let count = jobs.len();
        let (large_from, largest_from) = (count * 7 / 10, count * 9 / 10);
        Self {
            all: Count::of(jobs.iter()),
            largest: Count::of(jobs[largest_from..].iter()),
            large: Count::of(jobs[large_from..largest_from].iter()),
            small: Count::of(jobs[..large_from].iter()),
            took_ms: jobs.iter().filter_map(|job| job.took_ms).sum(),
        }
    }

    /// Outcome of replays of a load with three seeds.
    fn of_three(load: Load) -> Self {
        let mut sum = Self::default();
        for seed in 1..4 {
            let outcome = replay(&Load { seed, ..load });
            outcome.print(seed);
            sum.all.add(&outcome.all);
            sum.largest.add(&outcome.largest);
            sum.large.add(&outcome.large);
            sum.small.add(&outcome.small);
            sum.took_ms += outcome.took_ms;
        }
        sum
    }

    /// Mean time that a job took, in ms.
    fn mean_ms(&self) -> Millis {
        self.took_ms / self.all.jobs as u64
    }

    fn print(&self, seed: u64) {
        let Self {
            all,
            largest,
            large,
            small,
            ..
        } = self;
        let mean_ms = self.mean_ms();
        println!(
            "replay seed={seed} mean_ms={mean_ms} all={all:?} largest={largest:?} large={large:?} small={small:?}"
        );
    }

    /// Checks that of the largest tenth and of the fifth below it at least half as many are served
    /// as of all.
    fn check_sizes(&self) {
        let least = self.all.served() / 2;
        assert!(self.largest.served() >= least, "{:?}", self.largest);
        assert!(self.large.served() >= least, "{:?}", self.large);
    }
}

fn exponential(rng: &mut Rng, mean: u64) -> u64 {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )] // Small positive numbers.
    let value = (-rng.f64().max(1e-9).ln() * mean as f64) as u64;
    value
}

fn random_job(rng: &mut Rng) -> JobSpec {
    let steps = [1, 1, 1, 1, 1, 2, 2, 2, 3, 4][rng.usize(..10)];
    let steps: Vec<Step> = (0..steps)
        .map(|i: u32| {
            let count = u32::try_from(exponential(rng, 8).clamp(1, 32)).unwrap();
            let estimate_ms = exponential(rng, 640).clamp(60, 3_000);
            let before: Vec<u32> = i.checked_sub(1).into_iter().collect();
            let mut step = step(count, estimate_ms, &before);
            step.needs.cpu = exponential(rng, 3_100).clamp(300, 12_000);
            step.needs.mem_mb = step.needs.cpu * 2;
            step
        })
        .collect();
    job(steps)
}

/// Replays the load, and checks the model's rules.
fn replay(load: &Load) -> Outcome {
    let mut world = World::new(TARGETS, load.seed);
    world.claim();
    world.run_for(1_000);
    let mut rng = Rng::with_seed(load.seed);
    let mut submitted: Vec<(JobKey, JobSpec)> = Vec::new();
    let begin = world.now;
    let mut claim_at = None;
    let mut killed_at = load.killed_at;
    while world.now < begin + load.span_ms + DRAIN_MS {
        let passed = world.now - begin;
        let due = (load.jobs * passed / load.span_ms).min(load.jobs);
        while (submitted.len() as u64) < due {
            let mut spec = random_job(&mut rng);
            spec.accepted_ms = MIDNIGHT_MS + world.now;
            let key = JobKey(rng.u64(..));
            world.estimate_errors.insert(key, rng.u64(70..150));
            world.submit(key.0, spec.clone());
            submitted.push((key, spec));
        }
        if killed_at.take_if(|at| *at <= passed).is_some() {
            world.kill();
            claim_at = Some(passed + TAKEOVER_MS);
        }
        if claim_at.take_if(|at| *at <= passed).is_some() {
            world.claim();
        }
        world.run_for(5);
    }
    assert_eq!(world.violations, Vec::<String>::new());
    let table = world.stored();
    let policy = policy();
    let queue = &policy.queues[0];
    let served = submitted.iter().map(|(key, spec)| {
        let ended_ms = table.get(*key).unwrap().progress.ended_ms;
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )] // Small positive numbers.
        let stretched = (spec.critical_path_ms() as f64 * queue.slack_factor) as u64;
        let tasks = spec.steps.iter();
        Served {
            work: tasks
                .map(|step| u64::from(step.count) * step.needs.cpu * step.estimate_ms)
                .sum(),
            objective_ms: queue.objective_ms + stretched,
            took_ms: ended_ms.checked_sub(spec.accepted_ms),
        }
    });
    Outcome::of(served.collect())
}

/// Guards against bursts in which few jobs are in time although more could be: 582 of these 900
/// were in time when jobs that could be in time went by due time.
#[test]
fn more_jobs_are_in_time_in_a_burst_than_by_due_time() {
    let load = Load {
        seed: 0,
        jobs: 300,
        span_ms: 8_000,
        killed_at: None,
    };

    let outcome = Outcome::of_three(load);

    assert!(outcome.all.in_time > 582, "{:?}", outcome.all);
    outcome.check_sizes();
}

/// Guards against the same in a shorter and steeper burst, in which 522 of 900 were in time.
#[test]
fn more_jobs_are_in_time_in_a_steep_burst_than_by_due_time() {
    let load = Load {
        seed: 0,
        jobs: 300,
        span_ms: 4_500,
        killed_at: None,
    };

    let outcome = Outcome::of_three(load);

    assert!(outcome.all.in_time > 522, "{:?}", outcome.all);
    outcome.check_sizes();
}

/// Guards against an order that helps under load and hurts without: by due time, 116 of these 120
/// jobs are in time and none past use, and they take 1,860 ms on average.
#[test]
fn light_load_is_served_as_soon_as_by_due_time() {
    let load = Load {
        seed: 0,
        jobs: 40,
        span_ms: 8_000,
        killed_at: None,
    };

    let outcome = Outcome::of_three(load);

    assert!(outcome.all.in_time >= 116, "{:?}", outcome.all);
    assert_eq!(outcome.all.past_use, 0);
    assert!(outcome.mean_ms() <= 1_860, "{}", outcome.mean_ms());
}

/// Guards against an order that is lost with the leader: the next one computes it from the stored
/// progress. 206 of these jobs were in time when they went by due time.
#[test]
fn the_next_leader_keeps_to_the_order_of_a_burst() {
    let load = Load {
        seed: 4,
        jobs: 300,
        span_ms: 8_000,
        killed_at: Some(3_000),
    };

    let outcome = replay(&load);

    outcome.print(load.seed);
    assert!(outcome.all.in_time > 206, "{:?}", outcome.all);
    outcome.check_sizes();
}
