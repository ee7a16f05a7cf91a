//! The control thread: its decisions in virtual time, and the thread itself.

mod ceilings;
mod fake;
mod fixtures;
mod freshness;
mod inventory;
mod outbox;
mod shell;
mod simulation;
mod snapshotter;
