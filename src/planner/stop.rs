//! One planned stop: drain, end of running work, reboot, health check.
//!
//! Each decision is made on what the platform says at that moment and on the generation
//! that the accepted stop carries, so that a call whose answer was lost, or that an earlier
//! planner made, is seen and not repeated.

use std::fmt;
use std::time::{Duration, Instant};

use crate::id::{Generation, JobId};
use crate::ledger::PlannedStop;
use crate::services::{VmPhase, VmReport};

/// Time that entries take to stop sending work to a VM, with a margin.
const SETTLE: Duration = Duration::from_secs(5);

/// Time without running work before a reboot.
const QUIET: Duration = Duration::from_secs(2);

/// Longest wait for requests to end; far above the longest run time of a service.
const DRAIN_LIMIT: Duration = Duration::from_mins(30);

/// Longest wait for jobs to end.
const JOB_LIMIT: Duration = Duration::from_hours(6);

/// Longest time from a reboot until the VM serves.
const RETURN_LIMIT: Duration = Duration::from_mins(10);

/// Time that a rebooted VM must answer checks.
const HEALTHY: Duration = Duration::from_secs(2);

/// What is known of the VM at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sight {
    /// What the platform says of it now.
    pub report: VmReport,
    /// True if it answers checks.
    pub serves: bool,
    /// A job that is placed on it.
    pub job: Option<JobId>,
    /// True if the log's newest records are folded, so that the stop is surely in force.
    pub verified: bool,
}

/// What to do for a stop now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing yet.
    Wait(Cause),
    /// Ask the platform to drain the VM if it has this generation.
    Drain(Generation),
    /// Take the drain back if the VM has this generation.
    Restore(Generation),
    /// Reboot the VM if it has this generation.
    Reboot(Generation),
    /// Propose that the stop has ended.
    Resolve(End),
}

/// How a stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The VM was rebooted and serves.
    Rebooted,
    /// The stop was given up; the VM was not rebooted.
    Abandoned,
    /// The VM did not come back.
    Failed,
}

/// What a stop waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The log, without which nothing is begun.
    Log,
    /// Requests or tasks that run on the VM.
    Running(u64),
    /// A job that is placed on the worker.
    Job(JobId),
    /// Entries that may not know of the stop yet.
    Settling,
    /// The VM, which is starting.
    Starting,
    /// Checks that the VM does not answer.
    Checks,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Log => f.write_str("waits for the log"),
            Self::Running(count) => write!(f, "waits for {count} running"),
            Self::Job(job) => write!(f, "waits for job {job}"),
            Self::Settling => f.write_str("waits until no entry sends to it"),
            Self::Starting => f.write_str("waits for the VM to start"),
            Self::Checks => f.write_str("waits for the VM to answer checks"),
        }
    }
}

/// Progress of one stop as this process has watched it.
#[derive(Debug)]
pub struct Progress {
    since: Instant,
    quiet: Option<Instant>,
    rebooted: Option<Instant>,
    serves: Option<Instant>,
}

impl Progress {
    /// A stop that is first watched now, by whomever it was begun.
    #[must_use]
    pub const fn open(now: Instant) -> Self {
        Self {
            since: now,
            quiet: None,
            rebooted: None,
            serves: None,
        }
    }

    /// Time for which the stop has been watched.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// The action for what is seen now.
    pub fn decide(&mut self, stop: &PlannedStop, sight: &Sight, now: Instant) -> Action {
        let VmReport {
            phase,
            generation,
            rebooted,
            ..
        } = sight.report;
        if rebooted > stop.generation {
            return self.check(sight, now);
        }
        let untouched = generation == stop.generation;
        let drained = generation == stop.generation.next();
        match phase {
            VmPhase::Live if untouched && !sight.verified => Action::Wait(Cause::Log),
            VmPhase::Live if untouched => Action::Drain(generation),
            VmPhase::Leaving if drained => self.drained(sight, now),
            VmPhase::Down if drained || (untouched && sight.verified) => Action::Reboot(generation),
            VmPhase::Down if untouched => Action::Wait(Cause::Log),
            // Somebody else has changed the VM since, such as an operator.
            _ => Action::Resolve(End::Abandoned),
        }
    }

    /// Waits until nothing runs, and gives up after a time.
    fn drained(&mut self, sight: &Sight, now: Instant) -> Action {
        let generation = sight.report.generation;
        let (busy, limit) = match (&sight.job, sight.report.running) {
            (Some(job), _) => (Some(Cause::Job(job.clone())), JOB_LIMIT),
            (None, 0) => (None, DRAIN_LIMIT),
            (None, running) => (Some(Cause::Running(running)), DRAIN_LIMIT),
        };
        if let Some(cause) = busy {
            self.quiet = None;
            if self.age(now) >= limit {
                return Action::Restore(generation);
            }
            return Action::Wait(cause);
        }
        let quiet = *self.quiet.get_or_insert(now);
        if self.age(now) < SETTLE || now.saturating_duration_since(quiet) < QUIET {
            return Action::Wait(Cause::Settling);
        }
        Action::Reboot(generation)
    }

    /// Waits until the rebooted VM serves.
    fn check(&mut self, sight: &Sight, now: Instant) -> Action {
        let rebooted = *self.rebooted.get_or_insert(now);
        let up = sight.report.phase == VmPhase::Live && sight.serves;
        self.serves = up.then(|| self.serves.unwrap_or(now));
        let healthy = |since| now.saturating_duration_since(since) >= HEALTHY;
        if self.serves.is_some_and(healthy) {
            return Action::Resolve(End::Rebooted);
        }
        if !up && now.saturating_duration_since(rebooted) >= RETURN_LIMIT {
            return Action::Resolve(End::Failed);
        }
        if sight.report.phase == VmPhase::Live {
            return Action::Wait(Cause::Checks);
        }
        Action::Wait(Cause::Starting)
    }
}
