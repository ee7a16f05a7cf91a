//! Handle through which other threads use the control thread.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::id::{JobId, Offset, PoolId, RecordId, Revision, SectionId, TeamId, VmId};
use crate::ledger::{
    Allotment, Job, JobPhase, PlannedStop, Proposal, RoleHolder, Verdict, VmLocation,
};
use crate::membership::DemandReport;
use crate::peer::Heartbeat;
use crate::services::Vm;
use crate::view::View;

/// Commands that may wait for the control thread; senders wait while the queue is full.
const COMMAND_QUEUE_CAPACITY: usize = 1_024;

/// A command to the control thread; replies go to the sender that it carries.
#[derive(Debug)]
pub enum Command {
    /// Appends a proposal; the reply is its verdict once it has been folded.
    Propose(Proposal, Sender<Result<Verdict, ProposeError>>),
    /// Returns a job; `None` if the id is not known.
    Job(JobId, Sender<Option<JobState>>),
    /// Delivers a heartbeat of another process; the reply is a heartbeat of this one.
    Heartbeat(Heartbeat, Sender<Heartbeat>),
    /// Sets the address at which peers reach this process, and registers it in the log.
    Register(SocketAddr),
    /// Reports the demand that the traffic threads see.
    Report(DemandReport),
    /// Returns the whole folded state as an authenticated snapshot.
    State(Sender<Vec<u8>>),
    /// Returns the state that the planner decides on.
    Fleet(Sender<FleetState>),
    /// Returns the accepted text of a section; `None` if it does not exist.
    Section(SectionId, Sender<Option<SectionState>>),
    /// Returns the verdict on a record; `None` if it is not known or no longer remembered.
    Verdict(RecordId, Sender<Option<Verdict>>),
    /// Returns the state of the control thread as JSON, for diagnosis.
    Dump(Sender<serde_json::Value>),
}

/// Why a proposal got no verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// The record was not appended and has had no effect.
    NotAppended(String),
    /// The record may have been appended and may still take effect; its verdict was not seen
    /// in time.
    Unknown(String),
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotAppended(cause) => write!(f, "not appended: {cause}"),
            Self::Unknown(cause) => write!(f, "verdict not seen: {cause}"),
        }
    }
}

impl std::error::Error for ProposeError {}

/// A job and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// The job as submitted.
    pub job: Job,
    /// Whether it waits, runs or has ended, and with what result.
    pub phase: JobPhase,
    /// Number of changes of `phase` so far; a change must cite it (compare and set).
    pub step: u32,
}

/// State that the planner decides on; all of it but `vms` and `verified` is as of `offset`.
#[derive(Clone, Debug)]
pub struct FleetState {
    /// Next offset to be folded; everything before it is included.
    pub offset: Offset,
    /// Latest time at which the head of the log was known to be folded; `None` if it never
    /// was.
    pub verified: Option<Instant>,
    /// The accepted document; `None` until there is one.
    pub document: Option<Arc<Document>>,
    /// The platform's VM list as last read; empty until the first read.
    pub vms: Vec<Vm>,
    /// Pool of each VM that is assigned to one.
    pub assignment: IndexMap<VmId, PoolId>,
    /// Planned stops that are not resolved yet.
    pub stops: IndexMap<VmId, PlannedStop>,
    /// Location of each VM.
    pub locations: IndexMap<VmId, VmLocation>,
    /// Start of each VM's maintenance cycle, in s since 1970.
    pub cycle_starts_s: IndexMap<VmId, u64>,
    /// VMs that are down without a plan, or after one.
    pub down: IndexSet<VmId>,
    /// VMs that did not come back healthy from their last stop.
    pub failed_stops: IndexSet<VmId>,
    /// How each team's ceiling is divided among its holders.
    pub allotments: IndexMap<TeamId, Allotment>,
    /// Holder of the planner role; `None` if nobody has claimed it yet.
    pub planner: Option<RoleHolder>,
    /// Jobs that have not ended, in the order of their submission.
    pub jobs: Vec<JobState>,
}

/// The accepted text of a section.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionState {
    /// Number of accepted edits of the section.
    pub revision: Revision,
    /// JSON with comments, exactly as published.
    pub text: Arc<str>,
}

/// Handle of the control thread; the thread ends when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Control {
    view: Arc<ArcSwap<View>>,
    commands: Sender<Command>,
}

impl Control {
    /// Creates a handle and the receiver of its commands.
    #[must_use]
    pub fn channel() -> (Self, Receiver<Command>) {
        let (commands, received) = async_channel::bounded(COMMAND_QUEUE_CAPACITY);
        let view = Arc::new(ArcSwap::from_pointee(View::empty()));
        (Self { view, commands }, received)
    }

    /// Newest published view.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Cell with the newest view, for the control thread to write to.
    pub(super) fn view_cell(&self) -> Arc<ArcSwap<View>> {
        Arc::clone(&self.view)
    }

    /// Replaces the view; called by the control thread alone.
    pub fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    /// Appends a proposal and waits for its verdict.
    ///
    /// # Errors
    /// Returns an error when no verdict was seen; the error tells whether the proposal may
    /// still take effect.
    pub async fn propose(&self, proposal: Proposal) -> Result<Verdict, ProposeError> {
        self.ask(|reply| Command::Propose(proposal, reply))
            .await
            .unwrap_or_else(|| Err(ProposeError::Unknown("control thread ended".to_owned())))
    }

    /// Looks up a job; `None` if it is not known or the control thread has ended.
    pub async fn job(&self, id: &JobId) -> Option<JobState> {
        self.ask(|reply| Command::Job(id.clone(), reply))
            .await
            .flatten()
    }

    /// Delivers a heartbeat of another process and returns one of this process; `None` when
    /// the control thread has ended.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Option<Heartbeat> {
        self.ask(|reply| Command::Heartbeat(heartbeat, reply)).await
    }

    /// Returns the accepted text of a section; `None` if it does not exist or the control
    /// thread has ended.
    pub async fn section(&self, id: &SectionId) -> Option<SectionState> {
        self.ask(|reply| Command::Section(id.clone(), reply))
            .await
            .flatten()
    }

    /// Sets the address at which peers reach this process, and registers it in the log.
    pub async fn register(&self, peer: SocketAddr) {
        let _ = self.commands.send(Command::Register(peer)).await;
    }

    /// Reports the demand that the traffic threads see; the limits of the view follow it.
    pub async fn report(&self, report: DemandReport) {
        let _ = self.commands.send(Command::Report(report)).await;
    }

    /// Returns the whole folded state as an authenticated snapshot; `None` when the control
    /// thread has ended.
    pub async fn state(&self) -> Option<Vec<u8>> {
        self.ask(Command::State).await
    }

    /// Returns the state that the planner decides on; `None` when the control thread has
    /// ended.
    pub async fn fleet(&self) -> Option<FleetState> {
        self.ask(Command::Fleet).await
    }

    /// Returns the verdict on a record; `None` if it is not known or no longer remembered, or
    /// the control thread has ended.
    pub async fn verdict(&self, id: RecordId) -> Option<Verdict> {
        self.ask(|reply| Command::Verdict(id, reply))
            .await
            .flatten()
    }

    /// Returns the state of the control thread as JSON, for diagnosis; null when the thread
    /// has ended.
    pub async fn dump(&self) -> serde_json::Value {
        self.ask(Command::Dump).await.unwrap_or_default()
    }

    async fn ask<T>(&self, command: impl FnOnce(Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = async_channel::bounded(1);
        self.commands.send(command(reply)).await.ok()?;
        answer.recv().await.ok()
    }
}
