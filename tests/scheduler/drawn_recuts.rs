//! Groups of targets that start again under their ids and are cut off soon after, drawn at random.

mod jobs;

use std::ops::Range;

use amaranthwick::scheduler::{Capacity, JobKey, Millis, TargetId};
use indexmap::IndexMap;

use crate::drawn_parallel_runs::{GIVEN_UP, unended};
use crate::fixtures::further_seeds;
use crate::world::{CallKind, World};

/// Seeds that run without `AMARANTHWICK_SEEDS`.
const SEEDS: Range<u64> = 1_030..1_050;
/// Interval at which faults begin and end, in ms.
const ROUND_MS: Millis = 20;
/// Time in which faults begin, in ms.
const DISTURBED_MS: Millis = 12_000;
/// Time after that in which the faults end and leases lapse, in ms.
const QUIET_MS: Millis = 16_000;
/// Time after that within which all jobs end, in ms.
const END_LIMIT_MS: Millis = 200_000;
/// Time without a sign of the leader after which another process claims the role, in ms.
const CLAIM_AFTER_MS: Millis = 1_300;
/// Time after which the entry of a target that is cut off expires, in ms.
const ENTRY_EXPIRY_MS: Millis = 4_500;
/// Longest time from a target's return until its entry is published, in ms.
const MAX_ENTRY_LAG_MS: Millis = 1_500;

/// Something that is due at a later time.
#[derive(Clone, Debug)]
enum Due {
    Restart(TargetId),
    Return(TargetId),
    Cut(TargetId),
    Expire(TargetId),
    Publish(TargetId),
    LeaderFault,
    Claim,
    Submit,
}

/// What is drawn for a play as a whole.
struct Habits {
    /// Whether the network holds calls to targets that are out of reach for a moment.
    holds_calls: bool,
    /// Whether answers of new incarnations are lost.
    loses_answers: bool,
    /// Whether entries of targets that are cut off expire.
    entries_expire: bool,
    /// Mean time between two jobs, in ms.
    job_interval_ms: Millis,
}

struct Play {
    world: World,
    habits: Habits,
    due: Vec<(Millis, Due)>,
    /// Number of causes for which each target is out of reach.
    absences: IndexMap<TargetId, u32>,
    keys: Vec<JobKey>,
    /// Jobs that run until they are cancelled.
    endless: Vec<JobKey>,
}

impl Play {
    fn new(seed: u64) -> Self {
        let mut world = World::new(1, seed);
        let targets = world.rng().usize(3..=6);
        let mut world = World::new(targets, seed);
        world.holds_wait = world.rng().u32(..4) > 0;
        world.faults.jitter_ms = [0, 0, 100, 300][world.rng().usize(..4)];
        let habits = Habits {
            holds_calls: world.rng().u32(..5) > 0,
            loses_answers: world.rng().u32(..4) > 0,
            entries_expire: world.rng().bool(),
            job_interval_ms: world.rng().u64(250..1_500),
        };
        let ids: Vec<TargetId> = world.targets.keys().cloned().collect();
        for id in &ids {
            let capacity = Capacity {
                cpu: 96_000,
                mem_mb: 96_000,
                gpu: 0,
            };
            world.set_capacity(id, capacity);
            world.publish_entry(id);
        }
        world.claim();
        Self {
            world,
            habits,
            due: Vec::new(),
            absences: ids.into_iter().map(|id| (id, 0)).collect(),
            keys: Vec::new(),
            endless: Vec::new(),
        }
    }

    fn between(&mut self, range: Range<Millis>) -> Millis {
        self.world.rng().u64(range)
    }

    /// Whether one of `of` equally likely cases holds.
    fn one_of(&mut self, of: u32) -> bool {
        self.world.rng().u32(..of) == 0
    }

    fn plan(&mut self, delay: Millis, due: Due) {
        self.due.push((self.world.now + delay, due));
    }

    fn run_for(&mut self, span_ms: Millis, submits: bool) {
        let interval_ms = self.habits.job_interval_ms;
        for _ in 0..span_ms / ROUND_MS {
            if submits && self.between(0..interval_ms) < ROUND_MS {
                self.submit();
            }
            self.run_round();
        }
    }

    fn run_round(&mut self) {
        let now = self.world.now;
        let due: Vec<(Millis, Due)>;
        (due, self.due) = self.due.drain(..).partition(|(at, _)| *at <= now);
        for (_, due) in due {
            self.perform(due);
        }
        self.world.run_for(ROUND_MS);
    }

    fn perform(&mut self, due: Due) {
        match due {
            Due::Restart(id) => self.world.restart_out_of_touch(&id),
            Due::Return(id) => {
                self.absences[&id] -= 1;
                self.world.targets[&id].reachable = self.absences[&id] == 0;
            }
            Due::Cut(id) => self.cut(&id),
            Due::Expire(id) if self.absences[&id] > 0 => self.world.expire_entry(&id),
            Due::Expire(_) => {}
            Due::Publish(id) => self.world.publish_entry(&id),
            Due::LeaderFault => self.disturb_leader(),
            Due::Claim => self.world.claim(),
            Due::Submit => self.submit(),
        }
    }

    /// A group of targets falls dark, restarts, returns and is cut off soon after.
    fn begin_recut(&mut self) {
        let group = self.draw_group();
        let longest_dark_ms = [700, 1_500][self.world.rng().usize(..2)];
        let dark_ms = self.rounds(200..longest_dark_ms);
        let longest_stay_ms = [100, 300, 2_500][self.world.rng().usize(..3)];
        let cut_ms = self.rounds(0..longest_stay_ms);
        let loses_answers = self.habits.loses_answers && !self.one_of(4);
        let lost = [CallKind::Start, CallKind::Stop, CallKind::Hold].map(|kind| {
            let lost_ms = self.between(0..1_500);
            (kind, if self.one_of(4) { 0 } else { lost_ms })
        });
        for id in group {
            let restart_ms = self.rounds(0..dark_ms);
            self.leave(&id, dark_ms);
            self.plan(restart_ms, Due::Restart(id.clone()));
            self.plan(dark_ms + cut_ms, Due::Cut(id.clone()));
            // Otherwise its entry is published after the cut.
            if !self.one_of(3) {
                let lag_ms = self.between(0..MAX_ENTRY_LAG_MS);
                self.plan(dark_ms + lag_ms, Due::Publish(id.clone()));
            }
            for (kind, lost_ms) in lost.iter().filter(|_| loses_answers) {
                let until = self.world.now + dark_ms + lost_ms;
                self.world.lose_answers_until(&id, *kind, until);
            }
        }
        for _ in 0..self.world.rng().u32(2..8) {
            let delay = (dark_ms + 100).saturating_sub(self.between(0..500));
            self.plan(delay, Due::Submit);
        }
        match self.world.rng().u32(..6) {
            0 => {
                let delay = self.between(0..dark_ms + cut_ms + 5_000);
                self.plan(delay, Due::LeaderFault);
            }
            1 | 2 => {
                let delay = dark_ms + self.between(0..cut_ms + 1);
                self.plan(delay, Due::LeaderFault);
            }
            _ => {}
        }
    }

    /// Any of the targets, but at least one.
    fn draw_group(&mut self) -> Vec<TargetId> {
        let ids: Vec<TargetId> = self.absences.keys().cloned().collect();
        let first = self.world.rng().usize(..ids.len());
        let mut group = Vec::new();
        for (i, id) in ids.into_iter().enumerate() {
            if i == first || self.one_of(3) {
                group.push(id);
            }
        }
        group
    }

    /// A time that is a whole number of rounds.
    fn rounds(&mut self, range: Range<Millis>) -> Millis {
        self.between(range) / ROUND_MS * ROUND_MS
    }

    /// The target is out of reach for `length_ms`.
    fn leave(&mut self, id: &TargetId, length_ms: Millis) {
        self.absences[id] += 1;
        self.world.targets[id].reachable = false;
        self.plan(length_ms, Due::Return(id.clone()));
        if self.habits.holds_calls {
            self.world.hold_calls(id, self.world.now + length_ms + 1);
        }
    }

    fn cut(&mut self, id: &TargetId) {
        let length_ms = self.rounds(2_000..9_000);
        self.leave(id, length_ms);
        if self.habits.entries_expire && length_ms > ENTRY_EXPIRY_MS {
            self.plan(ENTRY_EXPIRY_MS, Due::Expire(id.clone()));
        }
        let lag_ms = self.between(0..MAX_ENTRY_LAG_MS);
        self.plan(length_ms + lag_ms, Due::Publish(id.clone()));
    }

    fn disturb_leader(&mut self) {
        let awaits_claim = self.due.iter().any(|(_, due)| matches!(due, Due::Claim));
        if awaits_claim || !self.world.leads() {
            return;
        }
        match self.world.rng().u32(..3) {
            0 => {
                self.world.kill();
                self.plan(CLAIM_AFTER_MS, Due::Claim);
            }
            1 => {
                self.world.hand_over();
                self.plan(200, Due::Claim);
            }
            _ => {
                let length_ms = self.between(300..6_000);
                self.world.freeze(length_ms);
                if length_ms > CLAIM_AFTER_MS {
                    let claim_ms = self.between(CLAIM_AFTER_MS..6_000);
                    self.plan(claim_ms, Due::Claim);
                }
            }
        }
    }
}

/// Result of a play.
struct Outcome {
    /// Rules that were violated, and jobs that did not end.
    violations: Vec<String>,
    /// Starts that reached another incarnation than the one that was called.
    misdirected: usize,
}

/// Simulates the faults and then the time until all jobs have ended.
fn run_with_recuts(seed: u64) -> Outcome {
    let mut play = Play::new(seed);
    // Clocks of targets that have just started tell little about restarts.
    let calm_ms = if play.one_of(5) {
        play.between(100..2_000)
    } else {
        play.between(3_000..7_000)
    };
    play.run_for(calm_ms, true);
    let end = play.world.now + DISTURBED_MS;
    while play.world.now < end {
        play.begin_recut();
        let pause_ms = play.between(500..6_000);
        play.run_for(pause_ms, true);
    }
    play.run_for(QUIET_MS, false);
    for key in std::mem::take(&mut play.endless) {
        play.world.cancel(key);
        play.keys.push(key);
    }
    let limit = play.world.now + END_LIMIT_MS;
    while play.world.now < limit && !unended(&play.world, &play.keys).is_empty() {
        play.world.run_for(1_000);
    }
    let unended = unended(&play.world, &play.keys);
    let violations = play.world.violations.into_iter().chain(unended);
    Outcome {
        violations: violations.filter(|v| !v.ends_with(GIVEN_UP)).collect(),
        misdirected: play.world.starts_after_restart,
    }
}

/// Guards against second runs of a task: a start that was meant for the earlier incarnation of a
/// target reached the later one, which was cut off before it could tell of it.
#[test]
fn no_task_runs_twice_when_new_incarnations_are_cut_off() {
    let outcomes: Vec<(u64, Outcome)> = further_seeds(SEEDS)
        .map(|seed| (seed, run_with_recuts(seed)))
        .collect();
    let misdirected: usize = outcomes
        .iter()
        .map(|(_, outcome)| outcome.misdirected)
        .sum();
    let wrong: Vec<(u64, Vec<String>)> = outcomes
        .into_iter()
        .map(|(seed, outcome)| (seed, outcome.violations))
        .filter(|(_, violations)| !violations.is_empty())
        .collect();

    assert_eq!(wrong, Vec::new());
    assert!(misdirected > 0);
}
