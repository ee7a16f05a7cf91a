//! Replays of bursts beyond the capacity: which jobs are refused, and whether their callers find
//! capacity when they come back as told.

use std::collections::BTreeMap;
use std::sync::Arc;

use amaranthwick::scheduler::{
    Capacity, Change, JobKey, JobSpec, JobState, Millis, Policy, Record, RefusalCause, Team,
};
use fastrand::Rng;

use crate::fixtures::{job, long_running_step, policy, step};
use crate::world::{MIDNIGHT_MS, World};

/// Targets of 16 cores each.
const TARGETS: usize = 16;

/// Tasks of a job, of one core and 1 s each: the targets serve 16 such jobs a second.
const TASKS: u32 = 16;

/// Run time of a task as its job declares it, in ms.
const ESTIMATE_MS: Millis = 1_000;

/// Objective of such a job by its queue: 600 ms and 1.6 times its run time.
const OBJECTIVE_MS: Millis = 2_200;

/// Time between two steps of a replay, in ms.
const STEP_MS: Millis = 50;

/// Start and end of the burst, in ms.
const BURST_START_MS: Millis = 2_000;
const BURST_END_MS: Millis = 6_500;

/// Arrivals of one team.
#[derive(Clone, Copy, Debug)]
struct Arrivals {
    team: &'static str,
    /// Jobs per second outside the burst.
    usual: u64,
    /// Jobs per second in the burst.
    burst: u64,
}

/// What became of the jobs of a team.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    arrived: u32,
    in_time: u32,
    late: u32,
    past_use: u32,
    refused_for_capacity: u32,
    refused_over_share: u32,
    /// Tries of callers that came back as told, and those of them that were accepted.
    returns: u32,
    returns_accepted: u32,
}

/// A caller that offers a job until it is accepted.
#[derive(Clone, Debug)]
struct Caller {
    job: u64,
    team: &'static str,
    arrived: bool,
}

/// Replays arrivals for `end_ms`, with or without admission, and then lets the accepted jobs end.
struct Replay {
    world: World,
    arrivals: Vec<Arrivals>,
    /// Callers by the time at which they next offer their jobs.
    callers: BTreeMap<Millis, Vec<Caller>>,
    accepted: Vec<(JobKey, Millis, &'static str)>,
    outcomes: BTreeMap<&'static str, Outcomes>,
    /// Callers that came back in each step.
    returns: BTreeMap<Millis, u32>,
    admission: bool,
    rng: Rng,
    next_job: u64,
}

fn weighted_policy(arrivals: &[Arrivals]) -> Policy {
    let mut policy = policy();
    for arrivals in arrivals {
        let name: Arc<str> = Arc::from(arrivals.team);
        let team = Team {
            name: Arc::clone(&name),
            weight: 10,
            limit: Capacity::default(),
        };
        policy.teams.insert(name, team);
    }
    policy
}

impl Replay {
    fn new(arrivals: &[Arrivals], admission: bool, seed: u64) -> Self {
        let mut world = World::new(TARGETS, seed);
        world.set_policy(weighted_policy(arrivals));
        world.claim();
        world.run_for(500);
        Self {
            world,
            arrivals: arrivals.to_vec(),
            callers: BTreeMap::new(),
            accepted: Vec::new(),
            outcomes: BTreeMap::new(),
            returns: BTreeMap::new(),
            admission,
            rng: Rng::with_seed(seed),
            next_job: 0,
        }
    }

    fn run(mut self, end_ms: Millis) -> Self {
        while self.world.now < end_ms {
            let now = self.world.now;
            for arrivals in self.arrivals.clone() {
                let burst = (BURST_START_MS..BURST_END_MS).contains(&now);
                let rate = if burst {
                    arrivals.burst
                } else {
                    arrivals.usual
                };
                let mut expected = rate * STEP_MS;
                while self.rng.u64(..1_000) < expected {
                    expected = expected.saturating_sub(1_000);
                    self.next_job += 1;
                    let caller = Caller {
                        job: self.next_job,
                        team: arrivals.team,
                        arrived: false,
                    };
                    self.callers.entry(now).or_default().push(caller);
                }
            }
            while let Some(entry) = self.callers.first_entry()
                && *entry.key() <= now
            {
                for caller in entry.remove() {
                    self.offer(caller);
                }
            }
            self.world.run_for(STEP_MS);
        }
        self.world.run_for(10_000);
        self.count_ends();
        self
    }

    fn spec(&self, team: &str) -> JobSpec {
        JobSpec {
            team: Some(team.to_owned()),
            accepted_ms: MIDNIGHT_MS + self.world.now,
            ..job(vec![step(TASKS, ESTIMATE_MS, &[])])
        }
    }

    fn offer(&mut self, mut caller: Caller) {
        let now = self.world.now;
        let spec = self.spec(caller.team);
        let actual = Rng::with_seed(caller.job).u64(ESTIMATE_MS * 6 / 10..ESTIMATE_MS * 14 / 10);
        self.world.run_times.insert(JobKey(caller.job), actual);
        let outcomes = self.outcomes.entry(caller.team).or_default();
        if caller.arrived {
            outcomes.returns += 1;
            *self.returns.entry(now / 250 * 250).or_default() += 1;
        } else {
            outcomes.arrived += 1;
        }
        let decision = if self.admission {
            self.world.offer(caller.job, spec)
        } else {
            Ok(self.world.submit(caller.job, spec))
        };
        match decision {
            Ok(key) => {
                outcomes.returns_accepted += u32::from(caller.arrived);
                self.accepted.push((key, now, caller.team));
            }
            Err(refusal) => {
                match refusal.cause {
                    RefusalCause::OverShare => outcomes.refused_over_share += 1,
                    _ => outcomes.refused_for_capacity += 1,
                }
                caller.arrived = true;
                let at = now + u64::from(refusal.retry_s) * 1_000;
                self.callers.entry(at).or_default().push(caller);
            }
        }
    }

    fn count_ends(&mut self) {
        let mut ended: BTreeMap<JobKey, Millis> = BTreeMap::new();
        for change in &self.world.log {
            if let Change::Put(Record::Progress(key, progress)) = change
                && progress.state == JobState::Complete
            {
                ended.insert(*key, progress.ended_ms - MIDNIGHT_MS);
            }
        }
        for (key, accepted_at, team) in &self.accepted {
            let outcomes = self.outcomes.entry(team).or_default();
            let took = ended.get(key).map(|at| at - accepted_at);
            match took {
                Some(took) if took <= OBJECTIVE_MS => outcomes.in_time += 1,
                Some(took) if took <= 3 * OBJECTIVE_MS => outcomes.late += 1,
                _ => outcomes.past_use += 1,
            }
        }
    }
}

/// Arrivals of six teams of equal weight that request three quarters of the capacity, until the
/// first one submits this many jobs per second.
fn teams(burst: u64) -> Vec<Arrivals> {
    let team = |(i, team): (usize, &&'static str)| Arrivals {
        team,
        usual: 2,
        burst: if i == 0 { burst } else { 2 },
    };
    ["a", "b", "c", "d", "e", "f"]
        .iter()
        .enumerate()
        .map(team)
        .collect()
}

/// Guards against callers that are told to come back too early, or all at the same time. Load: one
/// team submits five times the capacity for 4.5 s, and 0.4 of it before and after.
#[test]
fn callers_that_come_back_as_told_find_capacity() {
    let arrivals = [Arrivals {
        team: "pens",
        usual: 6,
        burst: 80,
    }];

    let before = Replay::new(&arrivals, false, 1).run(20_000).outcomes["pens"];
    let replay = Replay::new(&arrivals, true, 1).run(20_000);

    let after = replay.outcomes["pens"];
    println!(
        "before: {before:?}\nafter: {after:?}\nreturns: {:?}",
        replay.returns
    );
    assert!(after.refused_for_capacity >= 100);
    assert!(after.returns >= 50);
    assert!(after.returns_accepted * 10 >= after.returns * 9);
    // The targets serve 4 jobs in 250 ms.
    assert!(replay.returns.values().all(|count| *count <= 8));
    assert!(after.in_time > before.in_time);
    assert!(after.past_use < before.past_use);
}

/// Guards against teams that pay for the burst of another: one of six submits fourteen times its
/// usual number of jobs for 4.5 s, twice the capacity in all.
#[test]
fn neighbours_of_a_team_over_its_share_lose_nothing() {
    let before = Replay::new(&teams(28), false, 1).run(20_000).outcomes;
    let after = Replay::new(&teams(28), true, 1).run(20_000).outcomes;

    println!("before: {before:#?}\nafter: {after:#?}");
    let sum = |outcomes: &BTreeMap<&str, Outcomes>, figure: fn(&Outcomes) -> u32| -> u32 {
        let others = outcomes.iter().filter(|(team, _)| **team != "a");
        others.map(|(_, outcomes)| figure(outcomes)).sum()
    };
    let in_time: fn(&Outcomes) -> u32 = |outcomes| outcomes.in_time;
    assert!(after["a"].refused_over_share >= 50);
    assert!(after["a"].returns_accepted * 10 >= after["a"].returns * 8);
    assert!(after["a"].in_time >= before["a"].in_time);
    assert!(sum(&after, in_time) >= sum(&before, in_time));
    assert_eq!(sum(&after, |outcomes| outcomes.refused_for_capacity), 0);
    // Single jobs can bring a team over its share for a moment.
    assert!(sum(&after, |outcomes| outcomes.refused_over_share) <= 3);
}

/// A world whose targets have work for 20 s, with the next free job id.
fn overloaded_world(policy: Policy) -> (World, u64) {
    let mut world = World::new(TARGETS, 1);
    world.set_policy(policy);
    world.claim();
    world.run_for(500);
    for id in 0..320 {
        world.submit(id, new_job(&world));
    }
    world.run_for(500);
    (world, 320)
}

fn new_job(world: &World) -> JobSpec {
    JobSpec {
        accepted_ms: MIDNIGHT_MS + world.now,
        ..job(vec![step(TASKS, ESTIMATE_MS, &[])])
    }
}

/// Guards against refusals of jobs that are already stored, to which a wait means nothing, or whose
/// figures may be incomplete.
#[test]
fn known_long_running_timed_and_unplaceable_jobs_are_accepted() {
    let (mut world, id) = overloaded_world(policy());
    let plain = new_job(&world);
    let long_running = JobSpec {
        steps: vec![long_running_step(1, 0)],
        ..plain.clone()
    };
    let timed = JobSpec {
        occurrence_count: 2,
        first_due_ms: MIDNIGHT_MS,
        interval_ms: 1_000,
        ..plain.clone()
    };
    let mut unplaceable = plain.clone();
    unplaceable.steps[0].needs.cpu = 17_000;
    let mut unlabelled = plain.clone();
    unlabelled.steps[0].required_label = "none".to_owned();

    let refused = world.offer(id, plain.clone());

    assert_eq!(refused.unwrap_err().cause, RefusalCause::NoCapacity);
    assert!(world.offer(id - 1, plain).is_ok());
    for (id, spec) in (id..).zip([long_running, timed, unplaceable, unlabelled]) {
        assert!(world.offer(id, spec).is_ok());
    }
}

/// Guards against admission where the operators have configured nothing to decide by.
#[test]
fn jobs_are_accepted_while_no_team_has_a_weight() {
    let mut unweighted = policy();
    for team in unweighted.teams.values_mut() {
        team.weight = 0;
    }

    let (mut world, id) = overloaded_world(unweighted);
    let spec = new_job(&world);

    assert!(world.offer(id, spec).is_ok());
}

/// Guards against a new leader that refuses by figures which it does not have yet, or goes on to
/// accept what can't be served: it rebuilds them from the stored jobs and the targets.
#[test]
fn a_new_leader_refuses_once_it_knows_the_vms() {
    let (mut world, id) = overloaded_world(policy());
    world.kill();
    world.claim();
    let at_once = world.offer(id, new_job(&world));
    world.run_for(500);
    let later = world.offer(id + 1, new_job(&world));

    assert!(at_once.is_ok());
    assert_eq!(later.unwrap_err().cause, RefusalCause::NoCapacity);
}
