//! Runs the scheduler in a process: follows the stream of records, claims the role, and
//! carries out what the leader decides.

mod append_queue;
mod callers;
mod claiming;
mod clock;
mod follow;
mod lead;
mod services;
mod state;
mod store_router;
mod writer;

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Result;
use async_executor::Task;

use crate::runtime::Runtime;
use crate::scheduler::Millis;
use crate::telemetry::Metrics;

pub use callers::{CancelOutcome, Lookup, Submission};
pub use services::{
    AppendOutcome, HoldRequest, OperatorChange, Page, Producer, ReadOutcome, Services, Snapshot,
    StartAnswer, StartRequest, StopRequest, TargetChange,
};
pub use store_router::{StoreRoute, StoreRouter};

use state::Shared;

/// Who the process is, and the bounds that the platform sets.
#[derive(Clone, Debug)]
pub struct DispatchSettings {
    /// Name of the process.
    pub member: String,
    /// Tells two lives of a process of one name apart.
    pub incarnation: u64,
    /// Address at which other processes may ask this one to hand calls on.
    pub peer: SocketAddr,
    /// Place in the order of candidates for the role, from 0.
    pub rank: u64,
    /// Time after a claim before VMs are ordered about, in ms.
    pub vm_order_delay_ms: Millis,
    /// Longest lease that a target gives, in ms.
    pub max_lease_ms: u64,
    /// Time that a stop may take at a target, in ms.
    pub stop_timeout_ms: u64,
    /// Time that an ended job stays known, in ms.
    pub job_retention_ms: u64,
}

/// A running scheduler process; it ends when the last clone is dropped.
#[derive(Debug)]
pub struct Dispatch<S> {
    shared: Arc<Shared<S>>,
    tasks: Arc<Vec<Task<()>>>,
}

impl<S> Clone for Dispatch<S> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            tasks: Arc::clone(&self.tasks),
        }
    }
}

impl<S: Services> Dispatch<S> {
    /// Starts following and, when it is due, leading.
    ///
    /// # Errors
    /// Fails when a traffic thread can't be started.
    pub fn start(
        settings: DispatchSettings,
        services: S,
        metrics: Metrics,
        runtime: &Runtime,
    ) -> Result<Self> {
        let (append_queue, entries) = async_channel::unbounded();
        let shared = Shared::new(settings, services, metrics, runtime.clone(), append_queue);
        let shared = Arc::new(shared);
        let tasks = vec![
            runtime.spawn(append_queue::run(Arc::clone(&shared), entries)),
            runtime.spawn(follow::records(Arc::clone(&shared))),
            runtime.spawn(follow::operator(Arc::clone(&shared))),
            runtime.spawn(follow::targets(Arc::clone(&shared))),
            runtime.spawn(lead::run(Arc::clone(&shared))),
        ];
        Ok(Self {
            shared,
            tasks: Arc::new(tasks),
        })
    }

    /// Hands the role over, if this process holds it, so that another claims it at once.
    pub async fn stop(&self) {
        claiming::hand_over(&self.shared).await;
    }
}
