//! Replays of bursts beyond the capacity, in which callers of refused jobs come back as told.

use std::collections::BTreeMap;
use std::sync::Arc;

use amaranthwick::scheduler::{
    Capacity, Change, JobKey, JobSpec, JobState, Millis, Policy, Record, RefusalCause, Team,
};
use fastrand::Rng;

use crate::fixtures::{job, policy, step};
use crate::world::{MIDNIGHT_MS, World};

/// Targets of 16 cores each.
pub(crate) const TARGETS: usize = 16;

/// Tasks of a job, of one core and 1 s each: the targets serve 16 such jobs a second.
pub(crate) const TASKS: u32 = 16;

/// Run time of a task as its job declares it, in ms.
pub(crate) const ESTIMATE_MS: Millis = 1_000;

/// Objective of such a job by its queue: 600 ms and 1.6 times its run time.
const OBJECTIVE_MS: Millis = 2_200;

/// Time between two steps of a replay, in ms.
const STEP_MS: Millis = 50;

/// Start and end of the burst, in ms.
const BURST_START_MS: Millis = 2_000;
const BURST_END_MS: Millis = 6_500;

/// Arrivals of one team.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrivals {
    pub(crate) team: &'static str,
    /// Jobs per second outside the burst.
    pub(crate) usual: u64,
    /// Jobs per second in the burst.
    pub(crate) burst: u64,
}

/// What became of the jobs of a team.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) arrived: u32,
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) past_use: u32,
    pub(crate) refused_for_capacity: u32,
    pub(crate) refused_over_share: u32,
    /// Tries of callers that came back as told, and those of them that were accepted.
    pub(crate) returns: u32,
    pub(crate) returns_accepted: u32,
}

/// A caller that offers a job until it is accepted.
#[derive(Clone, Debug)]
struct Caller {
    job: u64,
    team: &'static str,
    arrived: bool,
}

/// Replays arrivals for `end_ms`, with or without admission, and then lets the accepted jobs end.
pub(crate) struct Replay {
    world: World,
    arrivals: Vec<Arrivals>,
    /// Callers by the time at which they next offer their jobs.
    callers: BTreeMap<Millis, Vec<Caller>>,
    accepted: Vec<(JobKey, Millis, &'static str)>,
    pub(crate) outcomes: BTreeMap<&'static str, Outcomes>,
    /// Callers that came back in each step.
    pub(crate) returns: BTreeMap<Millis, u32>,
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
    pub(crate) fn new(arrivals: &[Arrivals], admission: bool, seed: u64) -> Self {
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

    pub(crate) fn run(mut self, end_ms: Millis) -> Self {
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
