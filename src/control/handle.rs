//! What other threads may ask of the control thread.

use std::fmt;
use std::sync::Arc;

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use serde::{Deserialize, Serialize};

use crate::id::{JobId, RecordId, Revision, SectionId};
use crate::ledger::{Job, JobPhase, Proposal, Verdict};
use crate::peer::Heartbeat;
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

/// The accepted text of a section.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionState {
    /// Number of accepted edits.
    pub revision: Revision,
    /// JSON with comments, as published.
    pub text: Arc<str>,
}

/// Handle of the control thread; cheap to clone.
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
