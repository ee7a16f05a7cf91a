//! State that the tasks of a scheduler process share.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use indexmap::IndexMap;

use super::DispatchSettings;
use super::admitting::Admissions;
use super::append_queue::PendingAppend;
use super::clock::Clock;
use super::pending_claim::{ClaimStatus, PendingClaim};
use super::services::{OrderClaim, Producer};
use super::shown_jobs::{Grounds, ShownEnd, ShownJobs};
use crate::runtime::Runtime;
use crate::scheduler::{
    ActiveLeader, BatchId, Change, Election, Evacuations, Event, Job, JobKey, JobState, JobUpdate,
    Millis, Policy, Record, StoredTable, Wave,
};
use crate::telemetry::Metrics;

/// State on which decisions are based, behind one lock that is never held during I/O.
#[derive(Debug)]
pub(super) struct State {
    /// Jobs, waves and processes, as far as they are known to be stored. Callers are answered from
    /// it.
    pub(super) stored: StoredTable,
    /// Offset at which reading the stream continues; `None` when the records must be loaded anew.
    pub(super) next_offset: Option<u64>,
    /// When the stream was last read to its end; `None` before the first time and after
    /// records that were not read had expired.
    pub(super) caught_up_at: Option<Millis>,
    /// Newest policy of the operators; of version 0 before the first.
    pub(super) policy: Arc<Policy>,
    /// Maintenance waves that the operators requested, by number.
    pub(super) waves: IndexMap<u64, Wave>,
    /// Data centres that the operators have had evacuated.
    pub(super) evacuations: Evacuations,
    /// When the operators' changes were last read; `None` before the first time.
    pub(super) operators_read_at: Option<Millis>,
    pub(super) election: Election,
    /// Claim of the leader role that this process has not taken yet.
    pub(super) claim: Option<PendingClaim>,
    /// Producer of the last claim that this process made.
    pub(super) last_claim: Option<Producer>,
    /// The leader while this process leads. Its decisions are not all stored.
    pub(super) leader: Option<ActiveLeader>,
    /// When this process last decided as the leader; 0 before the first time.
    pub(super) decided_at: Millis,
    /// What decisions on callers' jobs are based on besides the leader's state.
    pub(super) admissions: Admissions,
    /// Jobs that callers were shown as ended.
    pub(super) shown_jobs: ShownJobs,
    /// Whether the process is stopping and must not claim the role again.
    pub(super) stopping: bool,
}

/// Shared by all tasks of the process.
#[derive(Debug)]
pub(super) struct Shared<S> {
    pub(super) settings: DispatchSettings,
    pub(super) services: S,
    pub(super) metrics: Metrics,
    pub(super) runtime: Runtime,
    pub(super) clock: Clock,
    /// Queue of callers' records to be stored.
    pub(super) append_queue: Sender<PendingAppend>,
    state: Mutex<State>,
    /// Holds a message when the control loop should run at once.
    wakes: (Sender<()>, Receiver<()>),
    /// Holds a message when the stream should be read at once.
    read_requests: (Sender<()>, Receiver<()>),
}

impl<S> Shared<S> {
    pub(super) fn new(
        settings: DispatchSettings,
        services: S,
        metrics: Metrics,
        runtime: Runtime,
        append_queue: Sender<PendingAppend>,
    ) -> Self {
        let election = Election::new(&settings.member, settings.incarnation, settings.rank);
        let state = State {
            stored: StoredTable::default(),
            next_offset: None,
            caught_up_at: None,
            policy: Arc::new(Policy::default()),
            waves: IndexMap::new(),
            evacuations: Evacuations::default(),
            operators_read_at: None,
            election,
            claim: None,
            last_claim: None,
            leader: None,
            decided_at: 0,
            admissions: Admissions::default(),
            shown_jobs: ShownJobs::default(),
            stopping: false,
        };
        Self {
            settings,
            services,
            metrics,
            runtime,
            clock: Clock::start(),
            append_queue,
            state: Mutex::new(state),
            wakes: async_channel::bounded(1),
            read_requests: async_channel::bounded(1),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The claim under which orders for VMs are sent until `send_by`.
    pub(super) const fn order_claim(&self, epoch: u64, send_by: Millis) -> OrderClaim {
        OrderClaim {
            epoch,
            clock: self.clock,
            send_by,
        }
    }

    /// Makes the control loop run at once instead of at its next tick.
    pub(super) fn wake(&self) {
        let _ = self.wakes.0.try_send(());
    }

    /// Waits for a call of [`Self::wake`] since the last wait.
    pub(super) async fn wait_for_wake(&self) {
        let _ = self.wakes.1.recv().await;
    }

    /// Makes the task that follows the stream read it at once, instead of after its pause.
    pub(super) fn request_read(&self) {
        let _ = self.read_requests.0.try_send(());
    }

    /// Waits for a call of [`Self::request_read`] since the last wait.
    pub(super) async fn wait_for_read_request(&self) {
        let _ = self.read_requests.1.recv().await;
    }
}

impl State {
    /// Address of the leader; `None` if there is none, it is `member` itself, or its address is
    /// not known.
    pub(super) fn leader_address(&self, member: &str) -> Option<SocketAddr> {
        let table = self.stored.table();
        let holder = table.holder();
        let holder = holder.filter(|holder| !holder.released && holder.member != member)?;
        table.member_address(&holder.member)
    }

    /// Passes an event to the leader, if this process leads.
    pub(super) fn notify_leader(&mut self, event: Event, now: Millis) {
        if let Some(leader) = &mut self.leader {
            leader.handle(event, now);
        }
    }

    /// Passes a change of a job to the leader, if this process leads.
    pub(super) fn update_leader(&mut self, update: Option<JobUpdate>, now: Millis) {
        if let (Some(leader), Some(update)) = (&mut self.leader, update) {
            leader.apply(update, now);
        }
    }

    /// Applies a caller's record whose append was acknowledged.
    pub(super) fn apply_acknowledged(&mut self, record: Record, now: Millis) {
        let update = self.stored.apply_acknowledged(record);
        self.update_leader(update, now);
    }

    /// Status of the claim that is being made; lost without one.
    pub(super) fn claim_status(&self) -> ClaimStatus {
        let claim = self.claim.as_ref();
        claim.map_or(ClaimStatus::Lost, |claim| {
            claim.status(self.stored.table().holder(), self.next_offset)
        })
    }

    /// The event that passes the evacuated data centres to the leader, with the age of what was
    /// known of them before.
    pub(super) fn evacuation_event(&self, now: Millis) -> Event {
        Event::EvacuationsChanged {
            evacuations: self.evacuations.clone(),
            age_ms: now - self.operators_read_at.unwrap_or(now),
        }
    }

    /// Applies the records of a batch of the leader whose append was acknowledged.
    pub(super) fn batch_stored(&mut self, batch: BatchId, records: Vec<Record>, now: Millis) {
        let jobs: Vec<JobKey> = records.iter().filter_map(job_of_progress).collect();
        self.stored.batch_stored(batch, records);
        for job in jobs {
            self.compare_shown(job, now);
        }
    }

    /// Applies the next change of the stream.
    pub(super) fn apply_read(&mut self, change: Change, now: Millis) {
        let job = match &change {
            Change::Put(Record::Cancel(job)) | Change::Forget(job) => Some(*job),
            Change::Put(record) => job_of_progress(record),
            Change::Other => None,
        };
        let update = self.stored.apply_read(change);
        if let Some(job) = job {
            self.compare_shown(job, now);
        }
        self.update_leader(update, now);
    }

    /// Notes that a caller is shown an ended job; returns what to log the first time.
    pub(super) fn show_end(
        &mut self,
        job: JobKey,
        state: JobState,
        now: Millis,
    ) -> Option<ShownEnd> {
        let grounds = Grounds {
            epoch: self.leader.as_ref().map_or(0, ActiveLeader::epoch),
            table_ms: self.caught_up_at.map(|at| now.saturating_sub(at)),
        };
        self.shown_jobs.show(job, state, grounds, now)
    }

    /// Compares the stored state of a job with what callers were shown.
    pub(super) fn compare_shown(&mut self, job: JobKey, now: Millis) {
        let Some(state) = self.stored.table().get(job).map(Job::state) else {
            self.shown_jobs.forget(job);
            return;
        };
        if let Some(changed) = self.shown_jobs.state_stored(job, state, now) {
            changed.log();
        }
    }

    /// Stops leading. Decisions that were not stored go with the leader.
    pub(super) fn step_down(&mut self, cause: &str) {
        if let Some(leader) = self.leader.take() {
            let unstored_ends = leader.unstored_end_count();
            spdlog::warn!("role_lost", kv: { epoch = leader.epoch(), cause, unstored_ends });
        }
    }

    /// Has the records loaded anew, because some that were not read have expired. Callers are
    /// answered from the earlier ones until then.
    pub(super) fn reload(&mut self) {
        self.step_down("records expired");
        self.next_offset = None;
        self.caught_up_at = None;
    }
}

/// The job whose progress a record holds; `None` for other kinds of record.
const fn job_of_progress(record: &Record) -> Option<JobKey> {
    match record {
        Record::Progress(job, _) => Some(*job),
        _ => None,
    }
}
