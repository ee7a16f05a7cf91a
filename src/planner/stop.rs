//! Steps of one planned stop: drain the VM, wait for running work to end, reboot, check health.
//!
//! Each decision compares the platform's current report with the generation that the accepted
//! stop carries. A call whose answer was lost, or that an earlier planner made, shows in the
//! report and is not repeated.

use std::fmt;
use std::time::{Duration, Instant};

use crate::id::{Generation, JobId};
use crate::ledger::PlannedStop;
use crate::services::{VmPhase, VmReport};

/// Time for all entries to learn of a stop and send no more work to the VM, with a margin.
const STOP_PROPAGATION: Duration = Duration::from_secs(5);

/// Time for which nothing must have run on the VM before its reboot.
const IDLE_BEFORE_REBOOT: Duration = Duration::from_secs(2);

/// Longest wait for running requests to end; far above the longest run time of a service.
const REQUEST_DRAIN_LIMIT: Duration = Duration::from_mins(30);

/// Longest wait for placed jobs to end.
const JOB_DRAIN_LIMIT: Duration = Duration::from_hours(6);

/// Longest time from a reboot until the VM serves.
const REBOOT_LIMIT: Duration = Duration::from_mins(10);

/// Time for which a rebooted VM must answer checks before the stop ends.
const SERVING_AFTER_REBOOT: Duration = Duration::from_secs(2);

/// What is known of the VM of a stop at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmObservation {
    /// The platform's current report of the VM.
    pub report: VmReport,
    /// True if the VM answers checks; only read after its reboot.
    pub serves: bool,
    /// A job that is placed on it.
    pub job: Option<JobId>,
    /// True if the newest records of the log have been read, so that the stop is known to
    /// still hold.
    pub log_verified: bool,
}

/// What to do next for a stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopAction {
    /// Do nothing yet.
    Wait(WaitReason),
    /// Ask the platform to drain the VM if it has this generation.
    Drain(Generation),
    /// Ask the platform to undo the drain if the VM has this generation.
    Restore(Generation),
    /// Ask the platform to reboot the VM if it has this generation.
    Reboot(Generation),
    /// Propose to the log that the stop has ended.
    Resolve(StopEnd),
}

/// How a stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopEnd {
    /// The VM was rebooted and answers checks.
    Rebooted,
    /// The stop was given up; the VM was not rebooted.
    Abandoned,
    /// The VM did not answer checks in time after its reboot, or is gone.
    Failed,
}

/// What a stop is waiting for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The newest records of the log, without which no drain is begun.
    Log,
    /// This number of requests or tasks that run on the VM.
    Running(u64),
    /// A job that is placed on the worker.
    Job(JobId),
    /// Entries that may not know of the stop yet, or the VM to have been idle for long enough.
    StopPropagation,
    /// The VM to start after its reboot.
    Starting,
    /// The VM to answer checks for long enough.
    Checks,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Log => f.write_str("waits for the log"),
            Self::Running(count) => write!(f, "waits for {count} running requests or tasks"),
            Self::Job(job) => write!(f, "waits for job {job}"),
            Self::StopPropagation => f.write_str("waits until entries send it no more work"),
            Self::Starting => f.write_str("waits for the VM to start"),
            Self::Checks => f.write_str("waits for the VM to answer checks"),
        }
    }
}

/// Progress of one stop, as far as this process has watched it.
#[derive(Debug)]
pub struct StopProgress {
    watched_since: Instant,
    /// Since when nothing has run on the drained VM.
    idle_since: Option<Instant>,
    /// When the reboot was first seen to have happened.
    reboot_seen_at: Option<Instant>,
    /// Since when the rebooted VM has answered checks.
    serving_since: Option<Instant>,
}

impl StopProgress {
    /// A stop that this process watches from now on, whichever process began it.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            watched_since: now,
            idle_since: None,
            reboot_seen_at: None,
            serving_since: None,
        }
    }

    /// Time for which this process has watched the stop.
    #[must_use]
    pub fn watched_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.watched_since)
    }

    /// The next action, given what is known of the VM now.
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
            // Someone else, such as an operator, has changed the VM since the stop was proposed.
            _ => StopAction::Resolve(StopEnd::Abandoned),
        }
    }

    /// Waits until nothing runs on the drained VM, then reboots it; undoes the drain when the
    /// wait takes too long.
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

    /// Waits until the rebooted VM has answered checks for long enough; if it does not answer in
    /// time, the stop has failed.
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
