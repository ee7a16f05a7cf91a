//! The control thread: one owner of all state that changes with the log.

mod handle;

pub use handle::{Command, Control, JobState, ProposeError, SectionState};
