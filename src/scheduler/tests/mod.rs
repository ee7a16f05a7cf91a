//! Tests of decisions that the module keeps to itself.

mod admission;
mod backlog;
mod shares;
