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
const STOP_PROPAGATION: Duration = Duration::from_secs(5);

/// Time without running work before a reboot.
const IDLE_BEFORE_REBOOT: Duration = Duration::from_secs(2);

/// Longest wait for requests to end; far above the longest run time of a service.
const REQUEST_DRAIN_LIMIT: Duration = Duration::from_mins(30);

/// Longest wait for jobs to end.
const JOB_DRAIN_LIMIT: Duration = Duration::from_hours(6);

/// Longest time from a reboot until the VM serves.
const REBOOT_LIMIT: Duration = Duration::from_mins(10);

/// Time that a rebooted VM must answer checks.
const SERVING_AFTER_REBOOT: Duration = Duration::from_secs(2);

/// What is known of the VM at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmObservation {
    /// What the platform says of it now.
    pub report: VmReport,
    /// True if it answers checks.
    pub serves: bool,
    /// A job that is placed on it.
    pub job: Option<JobId>,
    /// True if the log's newest records are folded, so that the stop is surely in force.
    pub log_verified: bool,
}

/// What to do for a stop now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopAction {
    /// Nothing yet.
    Wait(WaitReason),
    /// Ask the platform to drain the VM if it has this generation.
    Drain(Generation),
    /// Take the drain back if the VM has this generation.
    Restore(Generation),
    /// Reboot the VM if it has this generation.
    Reboot(Generation),
    /// Propose that the stop has ended.
    Resolve(StopEnd),
}

/// How a stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopEnd {
    /// The VM was rebooted and serves.
    Rebooted,
    /// The stop was given up; the VM was not rebooted.
    Abandoned,
    /// The VM did not come back.
    Failed,
}

/// What a stop waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The log, without which nothing is begun.
    Log,
    /// Requests or tasks that run on the VM.
    Running(u64),
    /// A job that is placed on the worker.
    Job(JobId),
    /// Entries that may not know of the stop yet.
    StopPropagation,
    /// The VM, which is starting.
    Starting,
    /// Checks that the VM does not answer.
    Checks,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Log => f.write_str("waits for the log"),
            Self::Running(count) => write!(f, "waits for {count} running"),
            Self::Job(job) => write!(f, "waits for job {job}"),
            Self::StopPropagation => f.write_str("waits until no entry sends to it"),
            Self::Starting => f.write_str("waits for the VM to start"),
            Self::Checks => f.write_str("waits for the VM to answer checks"),
        }
    }
}

/// Progress of one stop as this process has watched it.
#[derive(Debug)]
pub struct StopProgress {
    watched_since: Instant,
    idle_since: Option<Instant>,
    reboot_seen_at: Option<Instant>,
    serving_since: Option<Instant>,
}

impl StopProgress {
    /// A stop that is first watched now, by whomever it was begun.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            watched_since: now,
            idle_since: None,
            reboot_seen_at: None,
            serving_since: None,
        }
    }

    /// Time for which the stop has been watched.
    #[must_use]
    pub fn watched_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.watched_since)
    }

    /// The action for what is seen now.
    pub fn next_action(
        &mut self,
        stop: &PlannedStop,
        observation: &VmObservation,
        now: Instant,
    ) -> StopAction {
        let VmReport {
            phase,
            generation,
            rebooted,
            ..
        } = observation.report;
        if rebooted > stop.generation {
            return self.after_reboot(observation, now);
        }
        let unchanged = generation == stop.generation;
        let drained = generation == stop.generation.next();
        match phase {
            VmPhase::Live if unchanged && !observation.log_verified => {
                StopAction::Wait(WaitReason::Log)
            }
            VmPhase::Live if unchanged => StopAction::Drain(generation),
            VmPhase::Leaving if drained => self.after_drain(observation, now),
            VmPhase::Down if drained || (unchanged && observation.log_verified) => {
                StopAction::Reboot(generation)
            }
            VmPhase::Down if unchanged => StopAction::Wait(WaitReason::Log),
            // Somebody else has changed the VM since, such as an operator.
            _ => StopAction::Resolve(StopEnd::Abandoned),
        }
    }

    /// Waits until nothing runs, and gives up after a time.
    fn after_drain(&mut self, observation: &VmObservation, now: Instant) -> StopAction {
        let generation = observation.report.generation;
        let (running, limit) = match (&observation.job, observation.report.running) {
            (Some(job), _) => (Some(WaitReason::Job(job.clone())), JOB_DRAIN_LIMIT),
            (None, 0) => (None, REQUEST_DRAIN_LIMIT),
            (None, running) => (Some(WaitReason::Running(running)), REQUEST_DRAIN_LIMIT),
        };
        if let Some(reason) = running {
            self.idle_since = None;
            if self.watched_for(now) >= limit {
                return StopAction::Restore(generation);
            }
            return StopAction::Wait(reason);
        }
        let idle_since = *self.idle_since.get_or_insert(now);
        if self.watched_for(now) < STOP_PROPAGATION
            || now.saturating_duration_since(idle_since) < IDLE_BEFORE_REBOOT
        {
            return StopAction::Wait(WaitReason::StopPropagation);
        }
        StopAction::Reboot(generation)
    }

    /// Waits until the rebooted VM serves.
    fn after_reboot(&mut self, observation: &VmObservation, now: Instant) -> StopAction {
        let rebooted = *self.reboot_seen_at.get_or_insert(now);
        let up = observation.report.phase == VmPhase::Live && observation.serves;
        self.serving_since = up.then(|| self.serving_since.unwrap_or(now));
        let long_enough = |at| now.saturating_duration_since(at) >= SERVING_AFTER_REBOOT;
        if self.serving_since.is_some_and(long_enough) {
            return StopAction::Resolve(StopEnd::Rebooted);
        }
        if !up && now.saturating_duration_since(rebooted) >= REBOOT_LIMIT {
            return StopAction::Resolve(StopEnd::Failed);
        }
        if observation.report.phase == VmPhase::Live {
            return StopAction::Wait(WaitReason::Checks);
        }
        StopAction::Wait(WaitReason::Starting)
    }
}
