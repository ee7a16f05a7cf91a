//! The control thread: its decisions in virtual time, and the thread itself.

mod fake;
mod fixtures;
mod freshness;
mod keeper;
mod outbox;
mod shell;
mod simulation;
