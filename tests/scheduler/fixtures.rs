//! Jobs, policies and seeds for the tests.

use std::ops::Range;
use std::sync::Arc;

use amaranthwick::scheduler::{
    Capacity, JobKey, JobSpec, Policy, Pool, Queue, Step, StepKey, TaskKey, Team,
};

pub(crate) const POOL: &str = "herd";
pub(crate) const QUEUE: &str = "count";
pub(crate) const TEAM: &str = "pens";

/// A policy with one queue on one pool, a standby pool and one team.
pub(crate) fn policy() -> Policy {
    let queue = Queue {
        name: Arc::from(QUEUE),
        host: "farm.example".to_owned(),
        prefix: "/count/".to_owned(),
        pool: Arc::from(POOL),
        priority: 0,
        attempts: 2,
        objective_ms: 600,
        slack_factor: 1.6,
        public: false,
    };
    let pool = |name: &str, standby| {
        let pool = Pool {
            name: Arc::from(name),
            admission_check: true,
            standby,
        };
        (Arc::from(name), pool)
    };
    let team = Team {
        name: Arc::from(TEAM),
        weight: 1,
        limit: Capacity::default(),
    };
    Policy {
        version: 1,
        queues: [(Arc::from(QUEUE), queue)].into_iter().collect(),
        pools: [pool(POOL, false), pool("spare", true)]
            .into_iter()
            .collect(),
        teams: [(Arc::from(TEAM), team)].into_iter().collect(),
        api_keys: [("key".to_owned(), Arc::from(TEAM))].into_iter().collect(),
        max_body_bytes: 262_144,
    }
}

/// The same policy with a pool whose targets start whatever they are told to.
pub(crate) fn policy_without_admission_check() -> Policy {
    let mut policy = policy();
    policy.pools[POOL].admission_check = false;
    policy
}

/// A step of `count` tasks that need one core and 500 MB each.
pub(crate) fn step(count: u32, estimate_ms: u64, depends_on: &[u32]) -> Step {
    Step {
        count,
        needs: Capacity {
            cpu: 1_000,
            mem_mb: 500,
            gpu: 0,
        },
        estimate_ms,
        depends_on: depends_on.to_vec(),
        ..Step::default()
    }
}

/// A step of long-running tasks, at most one on each target.
pub(crate) fn long_running_step(count: u32, max_unavailable: u32) -> Step {
    Step {
        long_running: true,
        max_per_target: 1,
        max_unavailable,
        ..step(count, 300, &[])
    }
}

/// A job that runs once, as soon as possible.
pub(crate) fn job(steps: Vec<Step>) -> JobSpec {
    JobSpec {
        queue: QUEUE.to_owned(),
        pool: POOL.to_owned(),
        team: Some(TEAM.to_owned()),
        payload: "work".to_owned(),
        steps,
        occurrence_count: 0,
        first_due_ms: 0,
        interval_ms: 0,
        accepted_ms: 0,
        terms: None,
    }
}

/// The task with this index of the first step of a job that runs once.
pub(crate) fn task(job: u64, index: u32) -> TaskKey {
    let step = StepKey {
        job: JobKey(job),
        occurrence: 0,
        step: 0,
    };
    step.task(index)
}

/// The range of seeds in `AMARANTHWICK_SEEDS`, such as `1000..4000`; `usual` without it.
pub(crate) fn further_seeds(usual: Range<u64>) -> Range<u64> {
    let Ok(range) = std::env::var("AMARANTHWICK_SEEDS") else {
        return usual;
    };
    let (from, to) = range.split_once("..").expect("two numbers");
    from.parse().unwrap()..to.parse().unwrap()
}
