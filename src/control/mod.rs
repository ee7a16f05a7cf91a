//! The control thread: one owner of all state that changes with the log.

mod backoff;
mod commands;
mod core;
mod follower;
mod handle;
mod heartbeats;
mod outbox;
mod picture;
mod publisher;
mod shell;
mod vms;

pub use backoff::Backoff;
pub use follower::STREAM;
pub use handle::{Command, Control, FleetState, JobState, ProposeError, SectionState};
pub use outbox::{APPEND_GAP_MS, DEADLINE_MS, MAX_BATCH, Outbox, Overdue};
pub use shell::spawn;
