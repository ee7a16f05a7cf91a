//! Tests of decisions that the module keeps to itself.

mod admitting;
mod shown_grounds;
mod shown_jobs;
