//! Runs the scheduler in a process: reads the stream of records, claims the leader role when it
//! is free, carries out the leader's commands and serves callers.

mod admitting;
mod append_queue;
mod callers;
mod calls;
mod claiming;
mod clock;
mod feed;
mod follow;
mod forwarding;
mod lead;
mod operators;
mod pending_claim;
mod predecessor;
mod services;
mod shown_jobs;
mod state;
mod store_router;
#[cfg(test)]
mod tests;
mod writer;

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Result;
use async_executor::Task;

use crate::runtime::Runtime;
use crate::scheduler::Millis;
use crate::telemetry::Metrics;

pub use callers::{CancelOutcome, Lookup, Submission};
pub use clock::wall_ms;
pub use forwarding::{Appended, ForwardAnswer, PeerBuild, RefusedJob};
pub use predecessor::{Succession, SuccessionAnswer};
pub use services::{
    AppendOutcome, HoldRequest, OperatorChange, OrderClaim, Page, Producer, ReadOutcome, Services,
    Snapshot, StartAnswer, StartRequest, StopAnswer, StopRequest, TargetChange,
};
pub use store_router::{StoreRoute, StoreRouter};

use state::Shared;

/// Identity of the process, and time limits that the platform sets.
#[derive(Clone, Debug)]
pub struct DispatchSettings {
    /// Name of the process, different for each process of the system.
    pub member: String,
    /// Differs between two lives of a process with the same name.
    pub incarnation: u64,
    /// Address at which other processes reach this one, to forward records and calls to the
    /// store.
    pub peer: SocketAddr,
    /// Rank among the candidates for the leader role, from 0; a higher one waits longer before
    /// a claim.
    pub rank: u64,
    /// Time after the last sign of an earlier leader in which a new one sends no orders for VMs,
    /// in ms.
    pub vm_order_delay_ms: Millis,
    /// Longest lease that a target accepts, in ms.
    pub max_lease_ms: u64,
    /// Time that a stop may take at a target, in ms.
    pub stop_timeout_ms: u64,
    /// Time for which the records of an ended job are kept, in ms.
    pub job_retention_ms: u64,
}

/// A running scheduler; cheap to clone. It ends when the last clone is dropped.
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
    /// Starts to read the stream and, once the leader role is free, to lead.
    ///
    /// # Errors
    /// Returns none at present: the tasks run on the threads of `runtime`, which have started.
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
            runtime.spawn(operators::run(Arc::clone(&shared))),
            runtime.spawn(follow::targets(Arc::clone(&shared))),
            runtime.spawn(lead::run(Arc::clone(&shared))),
        ];
        Ok(Self {
            shared,
            tasks: Arc::new(tasks),
        })
    }

    /// Gives up the leader role, if this process holds it, so that another can claim it without
    /// waiting for a timeout. This process claims it no more.
    pub async fn stop(&self) {
        claiming::hand_over(&self.shared).await;
    }
}
