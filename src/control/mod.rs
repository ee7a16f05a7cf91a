//! The control thread, which owns all state that is derived from the log.
//!
//! It folds the log's records in order into a replicated [`State`](crate::ledger::State),
//! appends the proposals of this process, polls the VM list, exchanges heartbeats and
//! publishes a [`View`](crate::view::View) for the traffic threads. [`Core`] takes the
//! decisions without I/O; the tasks around it do the I/O.

mod appender;
mod backoff;
mod commands;
mod core;
mod follower;
mod freshness;
mod handle;
mod heartbeats;
mod inventory;
mod outbox;
mod registrar;
mod retirement;
mod settings;
mod shell;
mod snapshots;
mod snapshotter;
mod view_builder;
mod vm_poller;

pub use backoff::Backoff;
pub use core::{Core, LogGap, ProposeResult};
pub use follower::CONTROL_STREAM;
pub use freshness::Freshness;
pub use handle::{Command, Control, FleetState, JobState, ProposeError, SectionState};
pub use inventory::{Inventory, ListFault};
pub use outbox::{MAX_BATCH_RECORDS, MIN_APPEND_INTERVAL_MS, Outbox, Overdue, PROPOSAL_TIMEOUT_MS};
pub use settings::Settings;
pub use shell::{spawn, spawn_with};
pub use snapshotter::{Capture, SNAPSHOT_INTERVAL_RECORDS, Snapshotter};
