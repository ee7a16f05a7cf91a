//! What other threads may ask of the control thread.

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

const COMMANDS: usize = 1_024;

/// A question or an order for the control thread.
#[derive(Debug)]
pub enum Command {
    /// Appends a proposal and waits for the fold's verdict.
    Propose(Proposal, Sender<Result<Verdict, ProposeError>>),
    /// Asks for a job.
    Job(JobId, Sender<Option<JobState>>),
    /// Hands over a heartbeat of another process; answered with the own one.
    Heartbeat(Heartbeat, Sender<Heartbeat>),
    /// Makes this process known to the others at this address for their messages.
    Register(SocketAddr),
    /// Says what the traffic threads run.
    Report(DemandReport),
    /// Asks for the whole folded state as a sealed snapshot.
    State(Sender<Vec<u8>>),
    /// Asks for what the planner decides on.
    Fleet(Sender<FleetState>),
    /// Asks for the accepted text of a section.
    Section(SectionId, Sender<Option<SectionState>>),
    /// Asks for the verdict on a record, while it is still remembered.
    Verdict(RecordId, Sender<Option<Verdict>>),
    /// Asks for the state of the control thread.
    Dump(Sender<serde_json::Value>),
}

/// Why a proposal got no verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// The log did not take the record; it has had no effect.
    NotAppended(String),
    /// The record may have been appended; its verdict was not seen in time.
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

/// A job and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// As submitted.
    pub job: Job,
    /// Where it stands.
    pub phase: JobPhase,
    /// Steps taken so far.
    pub step: u32,
}

/// What the planner decides on, all from one offset.
#[derive(Clone, Debug)]
pub struct FleetState {
    /// Next offset to be folded.
    pub offset: Offset,
    /// When the head of the log was last known to be folded.
    pub verified: Option<Instant>,
    /// The accepted document, once there is one.
    pub document: Option<Arc<Document>>,
    /// The platform's list as last read; empty until it has been.
    pub vms: Vec<Vm>,
    /// Pool of each VM that is in one.
    pub assignment: IndexMap<VmId, PoolId>,
    /// Planned stops that are not resolved.
    pub stops: IndexMap<VmId, PlannedStop>,
    /// Where each VM is.
    pub sites: IndexMap<VmId, VmLocation>,
    /// Start of each VM's maintenance cycle, in s since 1970.
    pub cycles: IndexMap<VmId, u64>,
    /// VMs that are down without a plan, or after one.
    pub down: IndexSet<VmId>,
    /// VMs that did not come back healthy from their last stop.
    pub failed: IndexSet<VmId>,
    /// Parts of each team's ceiling.
    pub allotments: IndexMap<TeamId, Allotment>,
    /// Holder of the planner role.
    pub planner: Option<RoleHolder>,
    /// Jobs that have not ended, in the order of their submission.
    pub jobs: Vec<JobState>,
}

/// The accepted text of a section.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionState {
    /// Number of accepted edits.
    pub revision: Revision,
    /// JSON with comments, as published.
    pub text: Arc<str>,
}

/// Handle of the control thread, which ends when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Control {
    view: Arc<ArcSwap<View>>,
    commands: Sender<Command>,
}

impl Control {
    /// A handle and the end that the control thread receives on.
    #[must_use]
    pub fn channel() -> (Self, Receiver<Command>) {
        let (commands, received) = async_channel::bounded(COMMANDS);
        let view = Arc::new(ArcSwap::from_pointee(View::empty()));
        (Self { view, commands }, received)
    }

    /// The newest view.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// The cell that holds the newest view, for the control thread.
    pub(super) fn shared(&self) -> Arc<ArcSwap<View>> {
        Arc::clone(&self.view)
    }

    /// Replaces the view; called by the control thread alone.
    pub fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    /// Appends a proposal and waits for the fold's verdict.
    ///
    /// # Errors
    /// Tells whether the proposal may still take effect.
    pub async fn propose(&self, proposal: Proposal) -> Result<Verdict, ProposeError> {
        self.ask(|reply| Command::Propose(proposal, reply))
            .await
            .unwrap_or_else(|| Err(ProposeError::Unknown("control thread ended".to_owned())))
    }

    /// Looks a job up.
    pub async fn job(&self, id: &JobId) -> Option<JobState> {
        self.ask(|reply| Command::Job(id.clone(), reply))
            .await
            .flatten()
    }

    /// Hands over a heartbeat; `None` when the control thread has ended.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Option<Heartbeat> {
        self.ask(|reply| Command::Heartbeat(heartbeat, reply)).await
    }

    /// Accepted text of a section.
    pub async fn section(&self, id: &SectionId) -> Option<SectionState> {
        self.ask(|reply| Command::Section(id.clone(), reply))
            .await
            .flatten()
    }

    /// Makes this process known to the others at this address for their messages.
    pub async fn register(&self, peer: SocketAddr) {
        let _ = self.commands.send(Command::Register(peer)).await;
    }

    /// Says what the traffic threads run; drives the limits of the view.
    pub async fn report(&self, report: DemandReport) {
        let _ = self.commands.send(Command::Report(report)).await;
    }

    /// The whole folded state as a sealed snapshot; `None` when the control thread has ended.
    pub async fn state(&self) -> Option<Vec<u8>> {
        self.ask(Command::State).await
    }

    /// What the planner decides on; `None` when the control thread has ended.
    pub async fn fleet(&self) -> Option<FleetState> {
        self.ask(Command::Fleet).await
    }

    /// Verdict on a record, while it is still remembered.
    pub async fn verdict(&self, id: RecordId) -> Option<Verdict> {
        self.ask(|reply| Command::Verdict(id, reply))
            .await
            .flatten()
    }

    /// State of the control thread for the dump.
    pub async fn dump(&self) -> serde_json::Value {
        self.ask(Command::Dump).await.unwrap_or_default()
    }

    async fn ask<T>(&self, command: impl FnOnce(Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = async_channel::bounded(1);
        self.commands.send(command(reply)).await.ok()?;
        answer.recv().await.ok()
    }
}
